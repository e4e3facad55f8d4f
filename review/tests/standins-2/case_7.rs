//! DRAIN: a leaf goes down and up by turns while the time of day on its machine jumps back. What it
//! reports from then on is taken for older than what is known, also that it is draining.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::daemon::Addresses;
use crate::daemon::Daemon;
use crate::daemon::Place;
use crate::daemon::GROWN;
use crate::http;
use crate::leaf::Leaf;
use crate::leaf::LeafSettings;
use crate::leaf::Runs;
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

const HOST: &str = "leno12.example";
const SERVICE: &str = "salon-portal";
const SERVER_PORT: u16 = 8080;
const ZONES: [&str; 3] = ["muc-a", "nue-a", "aug-a"];
/// Pause between two requests to one machine.
const PAUSE: Duration = Duration::from_millis(66);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(GROWN.drain);
/// Time between two starts of the leaf that goes down and up (`srv_flap`, `gap_s` 1.4).
const FLAP: Duration = Duration::from_millis(1_400);
/// Jump of the time of day (`clock_step`, `x` 2,400).
const CLOCK_STEP_MS: i64 = -2_400;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-fetch\",\"host\":\"{HOST}\",\"prefix\":\"/goka902/\",\
         \"kind\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":300,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Plays the case with three daemons, one in each zone, and ten leafs.
pub fn run(trouble: bool, record: &Record) -> Verdict {
    let addresses = Addresses::find()?;
    let store_addr = SocketAddr::new(addresses.ip(100), 8229);
    let store = Store::start(store_addr).map_err(|e| format!("store: {e}"))?;
    let runs = Runs::default();
    store.put("op/config", &configuration());
    let mut leafs = Vec::new();
    for n in 0..10u8 {
        let addr = SocketAddr::new(addresses.ip(110 + n), SERVER_PORT);
        let id = format!("i-7f3a91c{n}");
        let zone = ZONES[usize::from(n) % 3];
        let work = Duration::from_millis(60);
        let settings = LeafSettings { id: &id, service: SERVICE, zone, addr, work };
        let leaf = Leaf::start(settings, &store, &runs, record);
        leafs.push(leaf.map_err(|e| format!("leaf {id}: {e}"))?);
    }
    let ips: Vec<_> = (1..=3).map(|n| addresses.ip(n)).collect();
    let mut daemons = Vec::new();
    for (&ip, zone) in ips.iter().zip(ZONES) {
        let name = format!("front-{zone}-1");
        let place = Place { name: &name, zone, ip, seeds: &ips, store: store_addr, bounds: GROWN };
        daemons.push(Daemon::start(&place)?);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    // Traffic starts 10 s after the machines do.
    std::thread::sleep(Duration::from_secs(10));
    let sent: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let until = record.now() + Duration::from_secs(32);
    let clients: Vec<_> = daemons
        .iter()
        .enumerate()
        .map(|(machine, daemon)| {
            let (front, sent, record) = (daemon.front(), sent.clone(), record.clone());
            std::thread::spawn(move || send_requests(machine, front, until, &sent, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let leaf = &leafs[0];
    if trouble {
        // Three starts; the time of day jumps back between the second and the third one.
        for (start, clock_ms) in [0, 0, CLOCK_STEP_MS].into_iter().enumerate() {
            record.line("i-7f3a91c0 goes down");
            leaf.crash();
            std::thread::sleep(FLAP / 2);
            leaf.come_up(clock_ms).map_err(|e| format!("the leaf does not start again: {e}"))?;
            record.line(&format!("i-7f3a91c0 is up, start {}, clock {clock_ms} ms", start + 1));
            std::thread::sleep(FLAP / 2);
        }
    }
    // More than `contact_ms` later, planned work: the leaf is taken away.
    std::thread::sleep(Duration::from_secs(8));
    leaf.drain();
    let acknowledged_at = record.now();
    record.line("the store has acknowledged that i-7f3a91c0 is draining");
    // It continues to serve for `drain_ms` and many seconds more.
    std::thread::sleep(DRAIN + Duration::from_secs(6));
    record.line("i-7f3a91c0 exits");
    leaf.crash();
    leaf.expire();
    for client in clients {
        client.join().map_err(|_| "a client has failed".to_owned())?;
    }
    let runs = runs.lock().unwrap();
    let late = runs.iter().filter(|r| r.leaf == "i-7f3a91c0" && r.at > acknowledged_at + DRAIN);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = (run.at - acknowledged_at).as_secs_f64();
        record.line(&format!(
            "BROKEN: {} reached i-7f3a91c0 {after:.3} s after it was draining",
            run.id
        ));
    }
    let all = sent.lock().unwrap().len();
    record.line(&format!("{} of {all} requests reached the leaf later than drain_ms", late.len()));
    Ok(late.is_empty())
}

fn send_requests(
    machine: usize,
    front: SocketAddr,
    until: Duration,
    sent: &Mutex<Vec<(String, Duration)>>,
    record: &Record,
) {
    let mut waiting = Vec::new();
    let mut number = 0;
    while record.now() < until {
        number += 1;
        let id = format!("{:x}{number:06x}", 0xa0 + machine);
        sent.lock().unwrap().push((id.clone(), record.now()));
        record.line(&format!("client sends {id} to machine {}", machine + 1));
        let record = record.clone();
        waiting.push(std::thread::spawn(move || {
            let text = http::request("GET", HOST, "/goka902/2f", &id, 3_000);
            match http::call(front, &text, Duration::from_millis(3_500)) {
                Ok(answer) => {
                    let seal = answer.header("x-response-seal");
                    record.line(&format!(
                        "client gets {} for {id}, seal \"{seal}\"",
                        answer.status()
                    ));
                }
                Err(e) => record.line(&format!("client gets no answer for {id}: {e}")),
            }
        }));
        std::thread::sleep(PAUSE);
    }
    for thread in waiting {
        let _ = thread.join();
    }
}
