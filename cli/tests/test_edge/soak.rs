//! Soak test: runs real daemons against stand-ins under a seeded random series of faults, while
//! callers check every answer against the runs that the leafs recorded.
//!
//! CI runs a few short seeds; docs/SOAK.md describes how to run more.

use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_bench::proxy::Fault;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::json;
use testutils::eventually;

use crate::crashing_requests::CONTACT_TIME;
use crate::crashing_requests::MAX_LATE_RUNS;
use crate::edge_bed::Answer;
use crate::edge_bed::Behaviour;
use crate::edge_bed::Build;
use crate::edge_bed::CRASHING_PATH;
use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::Ending;
use crate::edge_bed::Framing;
use crate::edge_bed::Leaf;
use crate::edge_bed::OTHER_BUILD;
use crate::edge_bed::configuration;
use crate::edge_bed::runs;
use crate::edge_bed::store::StoreFault;

/// Behaviour that breaks guarantees of builds before e6c3826.
const LATE_REFUSAL: Behaviour = Behaviour::LateRefusal { names_request: true };

const SHARDS: usize = 3;
const REPLICAS: usize = 3;
/// Number of daemons unless `SOAK_DAEMONS` is set.
const DAEMONS: usize = 3;
/// Seeds of a run in CI. If another seed fails, it is included here, with a line on the cause.
const CI_SEEDS: Range<u64> = 1..4;
const CI_STEPS: u64 = 14;
/// Pause between two faults.
const STEP: Duration = Duration::from_millis(350);
const CALLERS: usize = 4;
/// Time between two attempts of the crashing request.
const CRASHING_INTERVAL: Duration = Duration::from_millis(600);

const BEHAVIOURS: [Behaviour; 10] = [
    Behaviour::Normal,
    Behaviour::Normal,
    Behaviour::Slow(120),
    Behaviour::Slow(700),
    Behaviour::Shed,
    Behaviour::ResetAfterRun,
    Behaviour::Failure,
    Behaviour::ExtraResponse,
    Behaviour::Truncated,
    Behaviour::Cut { bytes: 60, framing: Framing::Length, ending: Ending::Close },
];

/// Rate limits that leafs name, of which one cannot be read.
const LIMITS: [Option<&str>; 5] = [None, Some("0"), Some("4.5"), Some("40"), Some("many")];
/// Times that leafs name when they shed, in seconds; one cannot be read.
const RETRY_TIMES: [&str; 4] = ["0.4", "1.5", "0", "soon"];
const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::Delay(Duration::from_millis(15)),
    Fault::Delay(Duration::from_millis(300)),
    Fault::Reset,
    Fault::RequestsCut,
    Fault::AnswersCut,
];

/// Counts of all callers, and the flag that stops them.
#[derive(Default)]
struct Tally {
    answered: AtomicU64,
    succeeded: AtomicU64,
    next_id: AtomicU64,
    stopped: AtomicBool,
}

/// Checks a successful answer to a scatter-gather request: it has one signature of this request for
/// every shard that is not counted as missing, and its body has the 3 greatest records of the
/// signed parts.
fn check_merged(id: &str, answer: &Answer) {
    let missing: usize = answer.header("x-missing-parts").parse().expect("the header is a number");
    let signatures = answer.header("x-part-seals");
    let signatures: Vec<_> = signatures.split(", ").collect();
    assert_eq!(
        signatures.len() + missing,
        SHARDS,
        "coverage of {id}: {signatures:?}, {missing} missing"
    );
    assert!(
        signatures.iter().all(|signature| signature.ends_with(&format!(".{id}"))),
        "{id}: some signature belongs to another request: {signatures:?}"
    );
    // A signature begins with the name of the leaf, `i-SHARD-REPLICA`.
    let mut shards: Vec<_> = signatures.iter().map(|signature| &signature[..3]).collect();
    shards.dedup();
    shards.sort();
    shards.dedup();
    assert_eq!(shards.len(), signatures.len(), "{id} merges a shard twice: {signatures:?}");
    // Each part has two records: the name of its leaf, and that name with a `z` before it.
    let mut expected: Vec<Vec<u8>> = signatures
        .iter()
        .flat_map(|signature| {
            let leaf = signature.split('.').next().unwrap_or_default();
            [format!("{leaf:0<16}"), format!("{:0<16}", format!("z{leaf}"))]
        })
        .map(String::into_bytes)
        .collect();
    expected.sort();
    expected.reverse();
    expected.truncate(3);
    assert_eq!(answer.body.as_ref(), expected.concat(), "body of {id}");
}

/// Checks an answer to an unsafe request against the runs that the leafs recorded: at most one in
/// any case, none if the status guarantees that, and one if the request succeeded.
fn check_unsafe_request(leafs: &[Arc<Leaf>], id: &str, answer: Option<&Answer>) {
    let runs = runs(leafs, id);
    assert!(runs <= 1, "{id} ran {runs} times");
    match answer.map(|answer| answer.status) {
        Some(429 | 503 | 408 | 421) => assert_eq!(runs, 0, "{id} ran in spite of its status"),
        Some(200) => assert_eq!(runs, 1, "{id} succeeded without a run"),
        _ => {}
    }
}

/// Flag that is set while a daemon is killed and for one step after, because its callers may lose
/// connections then.
#[derive(Default)]
struct ConnectionLoss {
    allowed: AtomicBool,
}

/// Checks a request whose connection ended without an answer. If a leaf has run it, this is allowed
/// only for a daemon that was killed. A daemon that shuts down may close an idle connection while a
/// request is in transit on it; such a request has no runs.
fn check_lost_connection(leafs: &[Arc<Leaf>], id: &str, connection_loss: &ConnectionLoss) {
    let runs = runs(leafs, id);
    let loss_allowed = connection_loss.allowed.load(Ordering::Relaxed);
    assert!(loss_allowed || runs == 0, "{id}: connection lost after {runs} runs");
}

/// Sends requests to one daemon over one connection at a time and checks their answers, until
/// `tally.stopped` is set. A share of 0.3 of the requests is unsafe, that is, must not run twice.
async fn run_caller(
    addr: SocketAddr,
    leafs: Vec<Arc<Leaf>>,
    tally: Arc<Tally>,
    connection_loss: Arc<ConnectionLoss>,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !tally.stopped.load(Ordering::Relaxed) {
        let Some(mut caller) = Caller::connect(addr).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while !tally.stopped.load(Ordering::Relaxed) {
            let id = format!("s{:06}", tally.next_id.fetch_add(1, Ordering::Relaxed));
            let is_unsafe = rng.random_bool(0.3);
            let answer = if is_unsafe {
                caller.send("POST", "/send/1", &id, Bytes::from_static(b"once")).await
            } else {
                caller.get("/all/1", &id).await
            };
            if is_unsafe {
                check_unsafe_request(&leafs, &id, answer.as_ref());
            }
            // A killed daemon loses its connections; one that shuts down sends `connection: close`.
            let Some(answer) = answer else {
                check_lost_connection(&leafs, &id, &connection_loss);
                break;
            };
            if !is_unsafe && answer.status == 200 {
                check_merged(&id, &answer);
            }
            assert_ne!(answer.status, 404, "{id}: the route is in every configuration");
            tally.answered.fetch_add(1, Ordering::Relaxed);
            tally.succeeded.fetch_add(u64::from(answer.status == 200), Ordering::Relaxed);
            if answer.header("connection") == "close" {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..20))).await;
        }
    }
}

/// Path of the request that crashes each leaf which runs it.
fn crashing_path() -> String {
    format!("/all{CRASHING_PATH}")
}

/// Sends a crashing request to the daemons in turn until `tally.stopped` is set. Its answers are not
/// of interest.
async fn run_crashing_caller(daemons: Vec<SocketAddr>, tally: Arc<Tally>) {
    for number in 0.. {
        if tally.stopped.load(Ordering::Relaxed) {
            return;
        }
        let addr = daemons[number % daemons.len()];
        tokio::spawn(async move {
            let mut caller = Caller::connect(addr).await?;
            caller.get(&crashing_path(), &format!("crash{number}")).await
        });
        tokio::time::sleep(CRASHING_INTERVAL).await;
    }
}

/// Sends the crashing request for long enough after the end of all faults that every daemon must
/// refuse it, and checks how many of the attempts after that run.
async fn check_crashing_request(bed: &EdgeBed, seed: u64) {
    let started = Instant::now();
    let mut late_ids = Vec::new();
    for (number, daemon) in bed.daemons.iter().cycle().enumerate() {
        let id = format!("end{number}");
        if let Some(mut caller) = Caller::connect(daemon.callers).await {
            // Only the runs that the leafs recorded are of interest.
            let _ = caller.get(&crashing_path(), &id).await;
        }
        if started.elapsed() > CONTACT_TIME {
            late_ids.push(id);
        }
        if late_ids.len() == 4 * bed.daemons.len() {
            break;
        }
        tokio::time::sleep(CRASHING_INTERVAL / 4).await;
    }
    let late = late_ids.iter().filter(|id| bed.runs(id) > 0).count();
    assert!(late <= MAX_LATE_RUNS, "seed {seed}: the crashing request ran in {late} late attempts");
}

/// Which builds the daemons run that are restarted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Builds {
    /// Only the build under test.
    Own,
    /// The build under test and another one, at random.
    Mixed,
}

fn draw_behaviour(builds: Builds, rng: &mut StdRng) -> Behaviour {
    let late_refusal = (builds == Builds::Own).then_some(LATE_REFUSAL);
    let all: Vec<_> = BEHAVIOURS.into_iter().chain(late_refusal).collect();
    *all.choose(rng).expect("there are behaviours")
}

impl Builds {
    /// Returns [`Builds::Mixed`] if another build is named in the environment.
    fn from_env() -> Self {
        if std::env::var_os(OTHER_BUILD).is_some() { Self::Mixed } else { Self::Own }
    }

    fn draw(self, rng: &mut StdRng) -> Build {
        match self {
            Self::Mixed if rng.random() => Build::Other,
            Self::Own | Self::Mixed => Build::Own,
        }
    }
}

/// Injects or ends one random fault and returns its description. Daemon 0 is never restarted or
/// paused, so that some callers are always served.
async fn inject_fault(
    bed: &mut EdgeBed,
    losses: &[Arc<ConnectionLoss>],
    builds: Builds,
    rng: &mut StdRng,
    version: &mut u64,
) -> String {
    let daemon = rng.random_range(1..bed.daemons.len());
    match rng.random_range(0..18) {
        0..3 => {
            let leaf = bed.leafs.choose(rng).expect("there are leafs");
            let behaviour = draw_behaviour(builds, rng);
            leaf.set_behaviour(behaviour);
            format!("leaf {} behaves as {behaviour:?}", leaf.instance)
        }
        3 => {
            losses[daemon].allowed.store(true, Ordering::Relaxed);
            let build = builds.draw(rng);
            bed.daemons[daemon].restart_as(build);
            tokio::time::sleep(STEP).await;
            losses[daemon].allowed.store(false, Ordering::Relaxed);
            format!("daemon {daemon} is killed and restarted, build {build:?}")
        }
        4 => {
            bed.daemons[daemon].terminate();
            eventually("the daemon exits", async || bed.daemons[daemon].has_ended().then_some(()))
                .await;
            let build = builds.draw(rng);
            bed.daemons[daemon].restart_as(build);
            format!("daemon {daemon} is shut down and restarted, build {build:?}")
        }
        5 => {
            bed.daemons[daemon].signal("STOP");
            tokio::time::sleep(STEP).await;
            bed.daemons[daemon].signal("CONT");
            format!("daemon {daemon} is paused and resumed")
        }
        6 => {
            let store_fault = *[StoreFault::None, StoreFault::Busy, StoreFault::HistoryLost]
                .choose(rng)
                .expect("there are store faults");
            bed.store.set_fault(store_fault);
            format!("the store has fault {store_fault:?}")
        }
        7 => {
            *version += rng.random_range(1..5);
            bed.store.put("op/config", &configuration(*version, SHARDS));
            format!("version {version} is published")
        }
        8 | 9 => {
            let leaf = bed.leafs.choose(rng).expect("there are leafs");
            let fault = *FAULTS.choose(rng).expect("there are faults");
            bed.set_network_fault(leaf.addr, fault);
            format!("the network in front of leaf {} has fault {fault:?}", leaf.instance)
        }
        10 => {
            let fault = *FAULTS.choose(rng).expect("there are faults");
            bed.set_network_fault(bed.store.addr, fault);
            format!("the network in front of the store has fault {fault:?}")
        }
        11 => {
            let leaf = bed.leafs.choose(rng).expect("there are leafs");
            let limit = *LIMITS.choose(rng).expect("there are limits");
            leaf.set_limit(limit);
            format!("leaf {} names the limit {limit:?}", leaf.instance)
        }
        12 => {
            let leaf = bed.leafs.choose(rng).expect("there are leafs");
            let time = *RETRY_TIMES.choose(rng).expect("there are times");
            leaf.set_retry_after(&[time]);
            leaf.set_behaviour(Behaviour::Shed);
            format!("leaf {} sheds and names the time {time:?}", leaf.instance)
        }
        13 => come_back_from_copy(bed, rng, version).await,
        14 => {
            for leaf in &bed.leafs {
                bed.set_network_fault(leaf.addr, Fault::Reset);
            }
            tokio::time::sleep(STEP).await;
            bed.heal();
            "the network in front of all leafs resets connections, then all faults are ended"
                .to_owned()
        }
        15 => {
            bed.store.put("op/evacuate/muc-a", &json!({}));
            tokio::time::sleep(STEP).await;
            bed.store.remove("op/evacuate/muc-a");
            "the zone of all leafs is evacuated and taken back".to_owned()
        }
        _ => {
            bed.heal();
            "all faults are ended".to_owned()
        }
    }
}

/// Lets the store lose a configuration and entries of leafs, which are written again later. Returns
/// a description.
async fn come_back_from_copy(bed: &EdgeBed, rng: &mut StdRng, version: &mut u64) -> String {
    let copy = bed.store.copy();
    *version += 1;
    bed.store.put("op/config", &configuration(*version, SHARDS));
    let lost = bed.leafs.choose(rng).expect("there are leafs");
    bed.store.remove(&format!("servers/{}", lost.instance));
    tokio::time::sleep(STEP.mul_f64(rng.random_range(0.0..2.0))).await;
    let era = bed.store.come_back(&copy);
    tokio::time::sleep(STEP).await;
    bed.store.put("op/config", &configuration(*version, SHARDS));
    bed.leafs.iter().for_each(|leaf| bed.store.put_leaf(leaf, "ready", 1));
    format!("the store comes back from a copy as era {era}, without version {version}")
}

/// Runs callers against a new test bed while `steps` faults are injected, then ends all faults and
/// checks that every daemon applies the last configuration.
async fn soak(seed: u64, steps: u64) {
    let builds = Builds::from_env();
    let mut rng = StdRng::seed_from_u64(seed);
    let daemons = number_from_env("SOAK_DAEMONS").unwrap_or(DAEMONS);
    let mut bed = EdgeBed::start(SHARDS, REPLICAS, daemons).await;
    for daemon in &mut bed.daemons[1..] {
        match builds.draw(&mut rng) {
            Build::Own => {}
            Build::Other => daemon.restart_as(Build::Other),
        }
    }
    let tally = Arc::new(Tally::default());
    let losses: Vec<_> = (0..daemons).map(|_| Arc::new(ConnectionLoss::default())).collect();
    let callers: Vec<_> = (0..CALLERS.max(daemons))
        .map(|n| {
            let addr = bed.daemons[n % daemons].callers;
            let (losses, seed) = (losses[n % daemons].clone(), seed * 1_000 + n as u64);
            tokio::spawn(run_caller(addr, bed.leafs.clone(), tally.clone(), losses, seed))
        })
        .collect();
    let addrs = bed.daemons.iter().map(|daemon| daemon.callers).collect();
    let crashing_caller = tokio::spawn(run_crashing_caller(addrs, tally.clone()));
    let mut version = 1;
    // Daemon 0 is never restarted, so the version of its configuration may only rise.
    let mut last_version = 0;
    for step in 0..steps {
        let fault = inject_fault(&mut bed, &losses, builds, &mut rng, &mut version).await;
        if let Some(state) = bed.daemons[0].state().await {
            let applied_version = state["version"].as_u64().expect("the state dump has a version");
            assert!(
                applied_version >= last_version,
                "seed {seed} step {step}: version {last_version}, then {applied_version}"
            );
            last_version = applied_version;
        }
        println!("seed {seed} step {step}: {fault}");
        tokio::time::sleep(STEP).await;
        let failed = callers.iter().any(|caller| caller.is_finished());
        assert!(!failed, "seed {seed} step {step}: a check failed");
    }
    bed.heal();
    version += 1;
    bed.store.put("op/config", &configuration(version, SHARDS));
    for daemon in &bed.daemons {
        eventually("the daemon has applied the last version", async || {
            let state = daemon.state().await?;
            // Another build may not know evacuations.
            let is_evacuated = state["evacuated"].as_array().is_some_and(|zones| !zones.is_empty());
            (state["version"] == version && !is_evacuated).then_some(())
        })
        .await;
    }
    check_crashing_request(&bed, seed).await;
    tally.stopped.store(true, Ordering::Relaxed);
    crashing_caller.await.expect("the caller ends when it is stopped");
    for caller in callers {
        caller.await.expect("no check failed");
    }
    let (succeeded, answered) = (&tally.succeeded, &tally.answered);
    let (succeeded, answered) =
        (succeeded.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    println!("seed {seed}: {answered} answers, {succeeded} of them 200, version {version}");
    assert!(succeeded > 0, "seed {seed}: no request succeeded");
}

/// Returns the seeds and the number of steps of each, from `SOAK_SEEDS` (such as `100-149`) and
/// `SOAK_STEPS` if they are set.
fn seeds_and_steps() -> (Range<u64>, u64) {
    let from_env = std::env::var("SOAK_SEEDS").ok();
    let range = from_env
        .as_deref()
        .and_then(|text| text.split_once('-'))
        .and_then(|(from, to)| Some(from.parse::<u64>().ok()?..to.parse::<u64>().ok()? + 1));
    (range.unwrap_or(CI_SEEDS), number_from_env("SOAK_STEPS").unwrap_or(CI_STEPS))
}

fn number_from_env<T: FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Under any mix of faults of leafs, daemons, store and network, an unsafe request must run at most
/// once, and must not have run if its status guarantees that; a merged answer must match its
/// signatures; a request that a leaf has run must be answered unless its daemon is killed; the
/// version of the configuration must never decrease; and a request that crashes leafs must stop
/// reaching them.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_breaks_a_guarantee_under_random_faults() {
    let (seeds, steps) = seeds_and_steps();
    for seed in seeds {
        soak(seed, steps).await;
    }
}
