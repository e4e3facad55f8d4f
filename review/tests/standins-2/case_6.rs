//! CONFIG: a machine goes back to an older version, as it passes a request on to a machine that
//! still applies the older version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::daemon::Addresses;
use crate::daemon::Daemon;
use crate::daemon::Place;
use crate::daemon::SMALL;
use crate::http;
use crate::leaf::Leaf;
use crate::leaf::LeafSettings;
use crate::leaf::Runs;
use crate::leaf::HEARTBEAT;
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

const HOST: &str = "leno12.example";
/// `rollback_slack_ms` of the settings.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const SERVER_PORT: u16 = 8080;
/// Pause between two requests to one machine.
const PAUSE: Duration = Duration::from_millis(40);

fn configuration(version: u64, service: &str) -> String {
    let services: Vec<_> = ["salon-portal", "sendplan"]
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-fetch\",\"host\":\"{HOST}\",\"prefix\":\"/goka902/\",\
         \"kind\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":300,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}],\
         \"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        services.join(",")
    )
}

/// A request that a client has sent to machine `machine`.
struct Sent {
    id: String,
    machine: usize,
    at: Duration,
}

fn start_leafs(
    service: &str,
    first_ip: u8,
    addresses: &Addresses,
    store: &Store,
    runs: &Runs,
    record: &Record,
) -> Result<Vec<Leaf>, String> {
    let zones = ["muc-a", "nue-a", "aug-a"];
    let start = |n: u8| {
        let addr = SocketAddr::new(addresses.ip(first_ip + n), SERVER_PORT);
        let id = format!("i-{service}-{n}");
        let zone = zones[usize::from(n) % 3];
        let settings =
            LeafSettings { id: &id, service, zone, addr, work: Duration::from_millis(20) };
        Leaf::start(settings, store, runs, record).map_err(|e| format!("leaf {id}: {e}"))
    };
    (0..5).map(start).collect()
}

/// Plays the case. The machines are `front-muc-a-1` and `front-muc-a-2`, which reach everything, and
/// `front-muc-a-3`, which is partitioned from the store for 5.5 s.
pub fn run(trouble: bool, record: &Record) -> Verdict {
    let addresses = Addresses::find()?;
    let store_addr = SocketAddr::new(addresses.ip(100), 8229);
    let store = Store::start(store_addr).map_err(|e| format!("store: {e}"))?;
    let runs = Runs::default();
    store.put("op/config", &configuration(7, "salon-portal"));
    let _old = start_leafs("salon-portal", 110, &addresses, &store, &runs, record)?;
    let new = start_leafs("sendplan", 120, &addresses, &store, &runs, record)?;
    let ips: Vec<_> = (1..=3).map(|n| addresses.ip(n)).collect();
    let mut daemons = Vec::new();
    for (n, &ip) in ips.iter().enumerate() {
        let name = format!("front-muc-a-{}", n + 1);
        let place =
            Place { name: &name, zone: "muc-a", ip, seeds: &ips, store: store_addr, bounds: SMALL };
        daemons.push(Daemon::start(&place)?);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    // Traffic starts 10 s after the machines do.
    std::thread::sleep(Duration::from_secs(10));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = daemons
        .iter()
        .enumerate()
        .map(|(machine, daemon)| {
            let (front, sent, record) = (daemon.front(), sent.clone(), record.clone());
            let until = record.now() + Duration::from_secs(18);
            std::thread::spawn(move || send_requests(machine, front, until, &sent, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        record.line("front-muc-a-3 is partitioned from the store");
        store.set_cut(ips[2], true);
    }
    std::thread::sleep(Duration::from_millis(200));
    store.put("op/config", &configuration(9, "sendplan"));
    record.line("the store has acknowledged version 9: sendplan instead of salon-portal");
    std::thread::sleep(Duration::from_millis(900));
    if trouble {
        record.line("all leafs of sendplan crash");
        new.iter().for_each(Leaf::crash);
    }
    // Entries are removed after three heartbeats of silence.
    std::thread::sleep(3 * HEARTBEAT);
    if trouble {
        new.iter().for_each(Leaf::expire);
    }
    std::thread::sleep(Duration::from_millis(800));
    if trouble {
        record.line("front-muc-a-3 reaches the store again; the leafs of sendplan are back");
        store.set_cut(ips[2], false);
        for leaf in &new {
            leaf.come_up(0).map_err(|e| format!("a leaf does not start again: {e}"))?;
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client has failed".to_owned())?;
    }
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    Ok(check(&sent, &runs, record))
}

fn send_requests(
    machine: usize,
    front: SocketAddr,
    until: Duration,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let mut waiting = Vec::new();
    let mut number = 0;
    while record.now() < until {
        number += 1;
        let id = format!("{:x}{number:06x}", 0xa0 + machine);
        sent.lock().unwrap().push(Sent { id: id.clone(), machine, at: record.now() });
        record.line(&format!("client sends {id} to front-muc-a-{}", machine + 1));
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

/// Checks that no request which was sent to a machine later than `ROLLBACK_SLACK` after a leaf of
/// the new service has run one of that machine is run by the old service.
fn check(sent: &[Sent], runs: &[crate::leaf::Run], record: &Record) -> bool {
    let mut broken = 0;
    for machine in 0..3 {
        let of_machine = |id: &str| sent.iter().find(|s| s.id == id && s.machine == machine);
        let new_runs =
            runs.iter().filter(|r| r.service == "sendplan" && of_machine(&r.id).is_some());
        let Some(seen_at) = new_runs.map(|run| run.at).min() else { continue };
        record.line(&format!(
            "a leaf has seen version 9 from front-muc-a-{} first at {:.3}",
            machine + 1,
            seen_at.as_secs_f64()
        ));
        for run in runs.iter().filter(|run| run.service == "salon-portal") {
            let Some(request) = of_machine(&run.id) else { continue };
            if request.at > seen_at + ROLLBACK_SLACK {
                broken += 1;
                record.line(&format!(
                    "BROKEN: {} was sent to front-muc-a-{} at {:.3} and run by the old service",
                    request.id,
                    machine + 1,
                    request.at.as_secs_f64()
                ));
            }
        }
    }
    record.line(&format!("{broken} of {} requests went back to the older version", sent.len()));
    broken == 0
}
