//! Checks that a request which crashes each leaf that runs it stops reaching leafs, and that other
//! requests go on being served.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::edge_bed::CRASHING_PATH;
use crate::edge_bed::Caller;
use crate::edge_bed::Downtime;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::Leaf;
use crate::edge_bed::runs;

/// Time after the third crash from which on the platform counts the retries that reach leafs.
pub const CONTACT_TIME: Duration = Duration::from_secs(5);
/// Largest number of such retries.
pub const MAX_LATE_RUNS: usize = 3;
/// Time for which a request is sent again.
const RESEND_TIME: Duration = Duration::from_secs(10);
/// Text of the refusal of a request that has crashed leafs.
const REFUSAL: &str = "crashed several leafs";

/// Returns the number of hosts and of leafs of each shard, from `CRASH_HOSTS` and `CRASH_REPLICAS`
/// if they are set.
fn hosts_and_replicas(replicas: usize) -> (usize, usize) {
    let from_env = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    (from_env("CRASH_HOSTS").unwrap_or(6), from_env("CRASH_REPLICAS").unwrap_or(replicas))
}

/// Attempts of one request, sent at regular intervals through one daemon after the other, each
/// without waiting for the answer of the one before.
struct Attempts {
    sent: Vec<(String, Instant)>,
    answers: JoinSet<Option<String>>,
}

impl Attempts {
    /// Sends attempts for [`RESEND_TIME`]. The ids begin with `name`.
    async fn send(daemons: &[SocketAddr], path: &str, name: &str, interval: Duration) -> Self {
        let mut attempts = Self { sent: Vec::new(), answers: JoinSet::new() };
        let mut ticks = tokio::time::interval(interval);
        let end = Instant::now() + RESEND_TIME;
        while Instant::now() < end {
            ticks.tick().await;
            let number = attempts.sent.len();
            let (daemon, path) = (daemons[number % daemons.len()], path.to_owned());
            let id = format!("{name}{number}");
            attempts.sent.push((id.clone(), Instant::now()));
            attempts.answers.spawn(async move {
                let answer = Caller::connect(daemon).await?.get(&path, &id).await?;
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                Some(format!("{} {text}", answer.status))
            });
        }
        attempts
    }

    /// Returns the answers of all attempts, as status and body.
    async fn answers(self) -> Vec<String> {
        self.answers.join_all().await.into_iter().flatten().collect()
    }
}

/// Returns the times of all crashes, in order.
fn crash_times(leafs: &[Arc<Leaf>]) -> Vec<Instant> {
    let mut times: Vec<_> = leafs.iter().flat_map(|leaf| leaf.crashes()).collect();
    times.sort();
    times
}

/// Sends a crashing request to a route and other requests to the same route meanwhile. Checks that
/// few attempts run once the platform counts them, and that no other request is refused as
/// crashing.
async fn check_crashing_request(bed: &EdgeBed, route: &str, interval: Duration) {
    let daemons: Vec<_> = bed.daemons.iter().map(|daemon| daemon.callers).collect();
    let (crashing_path, popular_path) = (format!("/{route}{CRASHING_PATH}"), format!("/{route}/1"));
    let (attempts, popular) = tokio::join!(
        Attempts::send(&daemons, &crashing_path, "c", interval),
        Attempts::send(&daemons, &popular_path, "p", Duration::from_millis(50)),
    );
    let sent = attempts.sent.clone();
    attempts.answers().await;
    let crashes = crash_times(&bed.leafs);
    assert!(crashes.len() >= 3, "the request crashed {} leafs, too few to be found", crashes.len());
    let counted_from = crashes[2] + CONTACT_TIME;
    let late = sent.iter().filter(|(id, at)| *at > counted_from && runs(&bed.leafs, id) > 0);
    let late = late.count();
    println!("{route}: {} crashes by {} attempts, {late} of them late", crashes.len(), sent.len());
    let answers = popular.answers().await;
    let succeeded = answers.iter().filter(|answer| answer.starts_with("200 ")).count();
    println!("{route}: {succeeded} of {} other requests succeeded", answers.len());
    assert!(late <= MAX_LATE_RUNS, "{late} attempts ran long after the third crash");
    let refused = answers.iter().filter(|answer| answer.contains(REFUSAL)).count();
    assert_eq!(refused, 0, "other requests were refused as crashing");
    assert!(succeeded * 2 > answers.len(), "{succeeded} of {} others succeeded", answers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_leafs_which_fall_silent_stops_reaching_leafs() {
    let (hosts, replicas) = hosts_and_replicas(16);
    let bed = EdgeBed::start_without_leaf_proxies(1, replicas, hosts, Downtime::Silent).await;
    check_crashing_request(&bed, "one", Duration::from_millis(250)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_leafs_which_refuse_connections_stops_reaching_leafs() {
    let (hosts, replicas) = hosts_and_replicas(16);
    let bed = EdgeBed::start_without_leaf_proxies(1, replicas, hosts, Downtime::Refusing).await;
    check_crashing_request(&bed, "one", Duration::from_millis(250)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gathered_request_that_crashes_leafs_blocks_no_other_request() {
    let (hosts, replicas) = hosts_and_replicas(6);
    let bed = EdgeBed::start_without_leaf_proxies(4, replicas, hosts, Downtime::Refusing).await;
    check_crashing_request(&bed, "all", Duration::from_millis(400)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gathered_request_that_crashes_silent_leafs_stops_reaching_leafs() {
    let (hosts, replicas) = hosts_and_replicas(6);
    let bed = EdgeBed::start_without_leaf_proxies(4, replicas, hosts, Downtime::Silent).await;
    check_crashing_request(&bed, "all", Duration::from_millis(400)).await;
}

/// Sends a request, and sends it again if it fails. Returns whether any attempt was refused as
/// crashing.
async fn is_refused_as_crashing(daemons: Vec<SocketAddr>, path: String, id: String) -> bool {
    for attempt in 0..3 {
        let daemon = daemons[attempt % daemons.len()];
        let Some(mut caller) = Caller::connect(daemon).await else { continue };
        let Some(answer) = caller.get(&path, &format!("{id}-{attempt}")).await else { continue };
        if answer.status == 200 {
            return false;
        }
        if String::from_utf8_lossy(&answer.body).contains(REFUSAL) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    false
}

/// Loses three quarters of the leafs at once, as a rack or a zone does, with the requests that run
/// on them. None of these requests is to blame, and their callers send them again.
async fn check_leafs_lost_together(downtime: Downtime) {
    let bed = EdgeBed::start_without_leaf_proxies(4, 4, 3, downtime).await;
    let mut daemons: Vec<_> = bed.daemons.iter().map(|daemon| daemon.callers).collect();
    let mut requests = JoinSet::new();
    for number in 0..200 {
        if number == 50 {
            bed.leafs.iter().filter(|leaf| !leaf.instance.ends_with("-0")).for_each(|l| l.crash());
        }
        let route = ["one", "all"][number % 2];
        daemons.rotate_left(1);
        let path = format!("/{route}/{number}");
        requests.spawn(is_refused_as_crashing(daemons.clone(), path, format!("r{number}")));
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let refused = requests.join_all().await.into_iter().filter(|refused| *refused).count();
    assert_eq!(refused, 0, "requests that ran on lost leafs were refused as crashing");
}

#[tokio::test(flavor = "multi_thread")]
async fn leafs_that_fall_silent_together_block_no_request() {
    check_leafs_lost_together(Downtime::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leafs_that_refuse_connections_together_block_no_request() {
    check_leafs_lost_together(Downtime::Refusing).await;
}
