//! The cases. Each returns whether the rule was broken.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::bed;
use crate::bed::Machine;
use crate::client;
use crate::client::Sent;
use crate::leaf::CRASHING_PATH;
use crate::leaf::Fault;
use crate::leaf::Kind;
use crate::leaf::Leaf;
use crate::leaf::Run;
use crate::leaf::Runs;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "leno12.example";
/// `config_apply_ms` and `contact_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(5_000);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [429, 503, 408, 421];

type Result = std::result::Result<bool, String>;

pub fn run(case: &str, folder: &Path, trouble: bool) -> Result {
    let record = Arc::new(Record::create(folder).map_err(|e| e.to_string())?);
    record.say(format!("case {case}, trouble: {trouble}"));
    let broken = match case {
        "late-refusals" => late_refusals(&record, trouble),
        "failures-with-503" => failures_with_503(&record, trouble),
        "readers-turned-away" => readers_turned_away(&record, trouble),
        "crashing-request" => crashing_request(&record, trouble),
        "lost-watch" => lost_watch(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    }?;
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}

/// A deployment: store, leafs, daemons.
struct Bed {
    store: Arc<Store>,
    leafs: Vec<Arc<Leaf>>,
    machines: Vec<Machine>,
    runs: Runs,
    record: Arc<Record>,
    /// Number of the next request.
    next: Arc<AtomicU64>,
}

/// A route: name, prefix, kind, service.
type Route<'a> = (&'a str, &'a str, &'a str, &'a str);

fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    let route = |(name, prefix, kind, service): &Route| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":3000,\"latency_goal_ms\":300,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let services: Vec<_> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

impl Bed {
    /// Starts the leafs of these services, `per_zone` of each, and the daemons.
    fn start(
        record: &Arc<Record>,
        per_zone: [usize; 3],
        services: &[(&str, [usize; 3])],
        kind: impl Fn() -> Kind,
        configuration: &str,
    ) -> std::result::Result<Self, String> {
        let store = Store::start(record.clone());
        store.put("op/config", configuration);
        let runs = Runs::default();
        let mut leafs = Vec::new();
        for (service, counts) in services {
            for ((zone, _), count) in bed::ZONES.iter().zip(counts) {
                for _ in 0..*count {
                    let id =
                        format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(leafs.len() as u32 + 3));
                    let (runs, store, record) = (runs.clone(), store.clone(), record.clone());
                    leafs.push(Leaf::start(&id, service, zone, kind(), runs, store, record));
                }
            }
        }
        let machines = bed::machines(per_zone);
        bed::start(&machines, store.addr, record)?;
        let record = record.clone();
        Ok(Self { store, leafs, machines, runs, record, next: Arc::default() })
    }

    /// Sends requests from `clients` clients, each to one of these addresses at a time and `pause`
    /// after its last answer, until `stop` is set. Returns them when it is joined.
    fn clients(
        &self,
        clients: usize,
        to: &[SocketAddr],
        (method, path): (&'static str, &'static str),
        pause: Duration,
        stop: &Arc<AtomicBool>,
    ) -> Vec<JoinHandle<Vec<(SocketAddr, Sent)>>> {
        let client = |number: usize| {
            let (next, stop, record) = (self.next.clone(), stop.clone(), self.record.clone());
            let to = to.to_vec();
            std::thread::spawn(move || {
                let mut sent = Vec::new();
                sleep(pause.mul_f64(number as f64 / clients as f64));
                let mut turn = number;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!(
                        "{:016x}",
                        0x9c41_d07b_0000_0000 + next.fetch_add(1, Ordering::Relaxed)
                    );
                    let addr = to[turn % to.len()];
                    turn += 1;
                    let path = format!("{path}{}f", turn % 40);
                    sent.push((addr, client::send(addr, method, HOST, &path, &id, 3_000, &record)));
                    sleep(pause);
                }
                sent
            })
        };
        (0..clients).map(client).collect()
    }

    fn runs_by_id(&self) -> HashMap<String, Vec<Run>> {
        let mut by_id: HashMap<_, Vec<Run>> = HashMap::new();
        for run in self.runs.lock().unwrap().iter() {
            by_id.entry(run.id.clone()).or_default().push(run.clone());
        }
        by_id
    }
}

fn join(clients: Vec<JoinHandle<Vec<(SocketAddr, Sent)>>>) -> Vec<(SocketAddr, Sent)> {
    let mut all: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    all.sort_by_key(|(_, sent)| sent.sent_at);
    all
}

/// Checks what the rules TWICE and REFUSED say of these requests, none of which is idempotent.
/// Returns the numbers of those that ran more than once and of those that were refused and ran.
fn check_unsafe(bed: &Bed, sent: &[(SocketAddr, Sent)]) -> (usize, usize) {
    // What was refused may still run later.
    sleep(Duration::from_millis(500));
    let runs = bed.runs_by_id();
    let (mut twice, mut refused) = (0, 0);
    let mut statuses: HashMap<Option<u16>, usize> = HashMap::new();
    for (_, request) in sent {
        *statuses.entry(request.status).or_default() += 1;
        let ran = runs.get(&request.id).map(Vec::as_slice).unwrap_or_default();
        let where_run: Vec<_> = ran.iter().map(|run| run.leaf.as_str()).collect();
        let (id, status) = (&request.id, request.status);
        if ran.len() > 1 {
            twice += 1;
            bed.record.say(format!("TWICE: {id} ran on {where_run:?}, answered {status:?}"));
        }
        if !ran.is_empty() && status.is_some_and(|status| PROMISES.contains(&status)) {
            refused += 1;
            bed.record.say(format!("REFUSED: {id} ran on {where_run:?}, answered {status:?}"));
        }
    }
    let count = sent.len();
    bed.record.say(format!("{count} requests, by status: {statuses:?}"));
    bed.record.say(format!("ran more than once: {twice}; refused though they ran: {refused}"));
    (twice, refused)
}

/// Leafs of a service send a second copy of some of their refusals, late.
fn late_refusals(record: &Arc<Record>, trouble: bool) -> Result {
    let route = ("r-send", "/goka902/", "unsafe", "sendplan");
    let kind = || Kind { slots: 2, queue: 4, work_ms: 60 };
    let configuration = configuration(1, &[route], &["sendplan"]);
    let bed = Bed::start(record, [4, 2, 3], &[("sendplan", [2, 2, 1])], kind, &configuration)?;
    let stop = Arc::default();
    let fronts: Vec<_> = bed.machines.iter().map(|machine| machine.front).collect();
    let clients = bed.clients(45, &fronts, ("POST", "/goka902/"), Duration::from_millis(60), &stop);
    sleep(Duration::from_secs(4));
    let faulty = &bed.leafs[..3];
    if trouble {
        faulty.iter().for_each(|leaf| leaf.set_fault(Fault::LateCopies { per_thousand: 30 }));
    }
    sleep(Duration::from_secs(5));
    faulty.iter().for_each(|leaf| leaf.set_fault(Fault::None));
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let (twice, refused) = check_unsafe(&bed, &join(clients));
    Ok(twice + refused > 0)
}

/// A leaf fails part of its requests with status 503 after it has run them.
fn failures_with_503(record: &Arc<Record>, trouble: bool) -> Result {
    let route = ("r-send", "/goka902/", "unsafe", "sendplan");
    let kind = || Kind { slots: 2, queue: 8, work_ms: 60 };
    let configuration = configuration(1, &[route], &["sendplan"]);
    let bed = Bed::start(record, [4, 2, 3], &[("sendplan", [3, 3, 2])], kind, &configuration)?;
    let stop = Arc::default();
    let fronts: Vec<_> = bed.machines.iter().map(|machine| machine.front).collect();
    let clients = bed.clients(9, &fronts, ("POST", "/goka902/"), Duration::from_millis(150), &stop);
    sleep(Duration::from_secs(4));
    if trouble {
        bed.leafs[0].set_fault(Fault::FailsWith503 { per_thousand: 450 });
    }
    sleep(Duration::from_millis(6_500));
    bed.leafs[0].set_fault(Fault::None);
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let (_, refused) = check_unsafe(&bed, &join(clients));
    Ok(refused > 0)
}

/// Counts the requests that were sent after `due` and run by `old`, a service that only an older
/// version allows. Those to machines that were not in touch do not count.
fn check_configuration(
    bed: &Bed,
    sent: &[(SocketAddr, Sent)],
    old: &str,
    due: Instant,
    in_touch: impl Fn(&Machine, Instant) -> bool,
) -> usize {
    let runs = bed.runs_by_id();
    let mut late: HashMap<String, Vec<f64>> = HashMap::new();
    for (front, request) in sent {
        let Some(machine) = bed.machines.iter().find(|machine| machine.front == *front) else {
            continue;
        };
        let ran = runs.get(&request.id).map(Vec::as_slice).unwrap_or_default();
        let is_old = ran.iter().any(|run| run.service == old);
        if request.sent_at > due && is_old && in_touch(machine, request.sent_at) {
            let after = request.sent_at.duration_since(due) + CONFIG_APPLY;
            let after = after.as_secs_f64();
            bed.record.line(format!(
                "CONFIG: {} sent to {} {after:.3} s after the acknowledgement, run by {old}",
                request.id, machine.name
            ));
            late.entry(machine.name.clone()).or_default().push(after);
        }
    }
    let mut count = 0;
    for (machine, times) in &late {
        let (number, last) = (times.len(), times.iter().copied().fold(0.0, f64::max));
        count += number;
        bed.record.say(format!(
            "CONFIG: {machine} had {number} requests run by the old service, the last one sent \
             {last:.3} s after the acknowledgement (bound: 3.000 s)"
        ));
    }
    bed.record.say(format!("{} requests, {count} of them handled by the old version", sent.len()));
    count
}

/// The store turns two machines of nine away, without a response, and serves the others.
fn readers_turned_away(record: &Arc<Record>, trouble: bool) -> Result {
    let old = ("r-fetch", "/goka902/", "safe", "salon-portal");
    let new = ("r-fetch", "/goka902/", "safe", "sendplan");
    let services = ["salon-portal", "sendplan"];
    let kind = || Kind { slots: 2, queue: 8, work_ms: 20 };
    let counts = [("salon-portal", [2, 2, 1]), ("sendplan", [2, 2, 1])];
    let bed = Bed::start(record, [6, 2, 1], &counts, kind, &configuration(1, &[old], &services))?;
    let stop = Arc::default();
    let fronts: Vec<_> = bed.machines.iter().map(|machine| machine.front).collect();
    let clients = bed.clients(27, &fronts, ("GET", "/goka902/"), Duration::from_millis(200), &stop);
    sleep(Duration::from_secs(10));
    let watchers = bed.store.watchers(Instant::now() - Duration::from_millis(5_800));
    let in_first_zone = |ip: &&IpAddr| {
        bed.machines.iter().any(|machine| machine.ip == **ip && machine.zone == bed::ZONES[0].0)
    };
    let turned_away: Vec<IpAddr> = watchers.keys().filter(in_first_zone).copied().collect();
    record.say(format!("machines of {} that watch the store: {turned_away:?}", bed::ZONES[0].0));
    if turned_away.len() > 2 {
        return Err("more than two machines watch the store".to_owned());
    }
    // A change some moments before, so that all watches have started anew.
    let idle = ("r-idle", "/idle/", "safe", "sendplan");
    bed.store.put("op/config", &configuration(5, &[old, idle], &services));
    sleep(Duration::from_millis(900));
    if trouble {
        bed.store.turn_away(&turned_away);
    }
    sleep(Duration::from_millis(200));
    let acknowledged = bed.store.put("op/config", &configuration(7, &[new], &services));
    sleep(Duration::from_millis(8_500));
    bed.store.turn_away(&[]);
    sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    let sent = join(clients);
    let disturbed: HashSet<_> = turned_away.into_iter().collect();
    let in_touch = |machine: &Machine, _| !disturbed.contains(&machine.ip);
    let due = acknowledged + CONFIG_APPLY;
    Ok(check_configuration(&bed, &sent, "salon-portal", due, in_touch) > 0)
}

/// The store loses one answer, to one machine.
fn lost_watch(record: &Arc<Record>, trouble: bool) -> Result {
    let old = ("r-fetch", "/goka902/", "safe", "salon-portal");
    let new = ("r-fetch", "/goka902/", "safe", "sendplan");
    let services = ["salon-portal", "sendplan"];
    let kind = || Kind { slots: 2, queue: 8, work_ms: 20 };
    let counts = [("salon-portal", [2, 2, 1]), ("sendplan", [2, 2, 1])];
    let bed = Bed::start(record, [1, 1, 1], &counts, kind, &configuration(1, &[old], &services))?;
    let stop = Arc::default();
    let fronts: Vec<_> = bed.machines.iter().map(|machine| machine.front).collect();
    let clients = bed.clients(12, &fronts, ("GET", "/goka902/"), Duration::from_millis(60), &stop);
    sleep(Duration::from_secs(6));
    let machine = bed.machines[0].clone();
    // Configurations in quick succession, which add idle routes; the last one moves the route.
    for version in 2..8 {
        let idle = format!("r-idle{version}");
        let idle = (idle.as_str(), "/idle/", "safe", "sendplan");
        bed.store.put("op/config", &configuration(version, &[old, idle], &services));
        sleep(Duration::from_millis(330));
    }
    if trouble {
        bed.store.lose_next_answer(machine.ip);
    }
    let acknowledged = bed.store.put("op/config", &configuration(9, &[new], &services));
    sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    let sent = join(clients);
    let lost_at = bed.store.lost_at(machine.ip);
    if trouble && lost_at.is_none() {
        return Err("no answer was lost".to_owned());
    }
    let in_touch = |_: &Machine, at: Instant| lost_at.is_none_or(|lost| at > lost + CONTACT);
    let due = acknowledged + CONFIG_APPLY;
    Ok(check_configuration(&bed, &sent, "salon-portal", due, in_touch) > 0)
}

/// A request crashes the leafs of two of ten shards, and comes again.
fn crashing_request(record: &Arc<Record>, trouble: bool) -> Result {
    let shards: Vec<_> = (0..10).map(|number| format!("careline{number}")).collect();
    let names: Vec<_> = shards.iter().map(String::as_str).collect();
    let quoted: Vec<_> = names.iter().map(|name| format!("\"{name}\"")).collect();
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":26}}")
    };
    let services: Vec<_> = names.iter().map(service).collect();
    let text = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-lookup\",\"host\":\"{HOST}\",\
         \"prefix\":\"/goka902/\",\"kind\":\"safe\",\"timeout_ms\":1200,\
         \"latency_goal_ms\":120,\"priority\":1,\"gather\":[{}],\"max_attempts\":2,\
         \"top_k\":10,\"min_coverage\":0.89}}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        quoted.join(","),
        services.join(",")
    );
    let kind = || Kind { slots: 2, queue: 12, work_ms: 7 };
    let counts: Vec<_> = names.iter().map(|name| (*name, [1, 1, 1])).collect();
    let bed = Bed::start(record, [4, 2, 3], &counts, kind, &text)?;
    let stop = Arc::default();
    let fronts: Vec<_> = bed.machines.iter().map(|machine| machine.front).collect();
    let clients = bed.clients(18, &fronts, ("GET", "/goka902/"), Duration::from_millis(450), &stop);
    sleep(Duration::from_secs(6));
    // Each leaf of these two shards crashes when it begins to run the request.
    let crashing = bed.leafs.iter().filter(|leaf| names[..2].contains(&leaf.service.as_str()));
    if trouble {
        crashing.for_each(|leaf| leaf.set_fault(Fault::Crashes));
    }
    let path = format!("/goka902{CRASHING_PATH}");
    let mut retries = Vec::new();
    for number in 0..30 {
        let (addr, record) = (fronts[number * 4 % fronts.len()], record.clone());
        let (id, path) = (format!("{:016x}", 0x5c41_0000_0000_0000 + number), path.clone());
        let send = move || client::send(addr, "GET", HOST, &path, &id, 1_200, &record);
        retries.push(std::thread::spawn(send));
        sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    let retries: Vec<_> = retries.into_iter().filter_map(|retry| retry.join().ok()).collect();
    let others = join(clients);
    let mut crashes: Vec<_> = bed.leafs.iter().flat_map(|leaf| leaf.crashes()).collect();
    crashes.sort();
    let third = crashes.get(2).copied();
    let runs = bed.runs_by_id();
    let is_late = |retry: &&Sent| third.is_some_and(|third| retry.sent_at > third + CONTACT);
    let reached = retries.iter().filter(is_late).filter(|retry| runs.contains_key(&retry.id));
    let reached = reached.count();
    let served = others.iter().filter(|(_, sent)| sent.status == Some(200)).count();
    record.say(format!("{} retries, {} crashes of leafs", retries.len(), crashes.len()));
    record.say(format!("{served} of {} other requests were served", others.len()));
    record.say(format!(
        "BUDGET: {reached} retries reached leafs that were sent more than 5 s after the third \
         crash (bound: 3)"
    ));
    Ok(reached > 3)
}
