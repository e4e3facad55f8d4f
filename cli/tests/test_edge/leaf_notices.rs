//! Checks that a leaf which says that it is leaving, or that it wants no requests for some time, gets
//! none, and that requests which no leaf takes are refused at once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use testutils::eventually;

use crate::edge_bed::Answer;
use crate::edge_bed::Behaviour;
use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::Leaf;
use crate::edge_bed::store::StoreFault;

/// Number of requests that are sent one after the other to show that none reaches a leaf.
const REQUESTS: usize = 20;
/// A named time that does not end while a test runs, in seconds.
const LONG: &str = "60.5";

/// Sends requests, one after the other, to the first daemon of a test bed.
struct Sender {
    caller: Caller,
    sent: usize,
}

impl Sender {
    async fn connect(bed: &EdgeBed) -> Self {
        let caller = Caller::connect(bed.daemons[0].callers).await;
        Self { caller: caller.expect("the daemon accepts connections"), sent: 0 }
    }

    async fn send(&mut self, route: &str) -> Answer {
        self.sent += 1;
        let (path, id) = (format!("/{route}/{}", self.sent), format!("{route}{}", self.sent));
        self.caller.get(&path, &id).await.expect("the request is answered")
    }

    /// Sends requests until one reaches the leaf.
    async fn reach(&mut self, leaf: &Leaf, route: &str) {
        let before = leaf.arrivals();
        for _ in 0..2_000 {
            self.send(route).await;
            if leaf.arrivals() > before {
                return;
            }
        }
        panic!("no request reached {}", leaf.instance);
    }

    /// Sends [`REQUESTS`] requests on each route. Returns how many of them reached the leaf, and
    /// the number of answers with status 200.
    async fn send_on_all_routes(&mut self, leaf: &Leaf) -> (usize, usize) {
        let before = leaf.arrivals();
        let mut served = 0;
        for route in ["one", "send", "all"] {
            for _ in 0..REQUESTS {
                served += usize::from(self.send(route).await.status == 200);
            }
        }
        (leaf.arrivals() - before, served)
    }
}

/// Returns the text of a refusal's time to come back as a duration.
fn retry_after(answer: &Answer) -> Duration {
    let seconds = answer.header("retry-after").parse().expect("a refusal names a time");
    Duration::from_secs_f64(seconds)
}

async fn assert_leaving_leaf_gets_no_request(fault: StoreFault, route: &str) {
    let bed = EdgeBed::start(2, 3, 2).await;
    let leaf = bed.leafs[0].clone();
    let mut sender = Sender::connect(&bed).await;
    bed.store.set_fault(fault);
    leaf.set_leaving(true);
    sender.reach(&leaf, route).await;
    assert_eq!(sender.send_on_all_routes(&leaf).await, (0, 3 * REQUESTS));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_says_in_a_single_answer_that_it_is_leaving_gets_no_further_request() {
    assert_leaving_leaf_gets_no_request(StoreFault::None, "one").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_says_in_a_part_that_it_is_leaving_gets_no_further_request() {
    assert_leaving_leaf_gets_no_request(StoreFault::None, "all").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_says_that_it_is_leaving_gets_no_further_request_while_the_store_refuses() {
    assert_leaving_leaf_gets_no_request(StoreFault::Busy, "send").await;
}

/// Guards against an entry that still says ready, or is written again, over the leaf's own word.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_leaf_gets_no_request_through_a_new_entry_until_it_has_started_again() {
    let bed = EdgeBed::start(2, 3, 1).await;
    let leaf = bed.leafs[0].clone();
    let mut sender = Sender::connect(&bed).await;
    leaf.set_leaving(true);
    sender.reach(&leaf, "one").await;
    leaf.set_leaving(false);
    let listed = async || {
        let state = bed.daemons[0].state().await.expect("the daemon answers");
        let leafs = state["leafs"].as_array().expect("the state lists the leafs").clone();
        let name = format!("{}.{}", leaf.instance, leaf.born_ms());
        leafs.iter().any(|leaf| leaf["name"] == *name)
    };
    let key = format!("servers/{}", leaf.instance);
    bed.store.remove(&key);
    eventually("the leaf is removed", async || (!listed().await).then_some(())).await;
    bed.store.put_leaf(&leaf, "ready", 2);
    eventually("the leaf is listed again", async || listed().await.then_some(())).await;
    assert_eq!(sender.send_on_all_routes(&leaf).await, (0, 3 * REQUESTS));
    leaf.crash();
    eventually("its next start is listed", async || listed().await.then_some(())).await;
    sender.reach(&leaf, "one").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_refused_at_once_as_not_run_when_all_leafs_of_its_shard_are_leaving() {
    let bed = EdgeBed::start(2, 2, 1).await;
    let mut sender = Sender::connect(&bed).await;
    for leaf in &bed.leafs[..2] {
        leaf.set_leaving(true);
        sender.reach(leaf, "one").await;
    }
    for route in ["one", "send"] {
        let answer = sender.send(route).await;
        assert_eq!((answer.status, bed.runs(&format!("{route}{}", sender.sent))), (503, 0));
        assert!(!answer.header("retry-after").is_empty());
    }
    // Half of the shards are below the minimum coverage of this route.
    assert_eq!(sender.send("all").await.status, 503);
}

async fn assert_paused_leaf_gets_no_request(behaviour: Behaviour) {
    let bed = EdgeBed::start(2, 3, 2).await;
    let leaf = bed.leafs[0].clone();
    let mut sender = Sender::connect(&bed).await;
    leaf.set_retry_after(&[LONG]);
    leaf.set_behaviour(behaviour);
    sender.reach(&leaf, "one").await;
    leaf.set_behaviour(Behaviour::Normal);
    // The other replicas are so slow that only the named time keeps requests from the leaf.
    bed.leafs[1..3].iter().for_each(|other| other.set_behaviour(Behaviour::Slow(60)));
    assert_eq!(sender.send_on_all_routes(&leaf).await, (0, 3 * REQUESTS));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_sheds_with_a_time_to_come_back_gets_no_request_before() {
    assert_paused_leaf_gets_no_request(Behaviour::Shed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_fails_with_a_time_to_come_back_gets_no_request_before() {
    assert_paused_leaf_gets_no_request(Behaviour::Unavailable).await;
}

/// Guards against a leaf that is left idle after the time that it named.
#[tokio::test(flavor = "multi_thread")]
async fn leaf_is_used_again_after_the_time_that_it_named() {
    let bed = EdgeBed::start(1, 3, 1).await;
    let leaf = bed.leafs[0].clone();
    let mut sender = Sender::connect(&bed).await;
    leaf.set_retry_after(&["0.5"]);
    leaf.set_behaviour(Behaviour::Shed);
    sender.reach(&leaf, "one").await;
    leaf.set_behaviour(Behaviour::Normal);
    sender.reach(&leaf, "one").await;
}

async fn pause_all(bed: &EdgeBed, sender: &mut Sender, leafs: &[Arc<Leaf>], seconds: &str) {
    for leaf in leafs {
        leaf.set_retry_after(&[seconds]);
        leaf.set_behaviour(Behaviour::Shed);
    }
    while leafs.iter().any(|leaf| leaf.arrivals() == 0) {
        sender.send("one").await;
    }
    bed.heal();
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_no_leaf_takes_is_refused_with_the_time_until_one_does() {
    let bed = EdgeBed::start(1, 3, 1).await;
    let mut sender = Sender::connect(&bed).await;
    let before = Instant::now();
    pause_all(&bed, &mut sender, &bed.leafs, LONG).await;
    let arrivals: usize = bed.leafs.iter().map(|leaf| leaf.arrivals()).sum();
    for route in ["one", "send", "all"] {
        let answer = sender.send(route).await;
        assert_eq!(answer.status, 503, "{}", String::from_utf8_lossy(&answer.body));
        let first_end = Duration::from_secs_f64(60.5).saturating_sub(before.elapsed());
        assert!(retry_after(&answer) >= first_end, "{route}: {}", answer.header("retry-after"));
    }
    let after: usize = bed.leafs.iter().map(|leaf| leaf.arrivals()).sum();
    assert_eq!(after, arrivals);
}

/// Guards against calls that were queued for a leaf before it named a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_slot_of_a_leaf_are_not_sent_after_it_named_a_time() {
    let bed = EdgeBed::start(1, 1, 1).await;
    let leaf = bed.leafs[0].clone();
    let mut sender = Sender::connect(&bed).await;
    sender.reach(&leaf, "one").await;
    leaf.set_behaviour(Behaviour::SlowShed(300));
    leaf.set_retry_after(&[LONG]);
    let before = leaf.arrivals();
    let daemon = bed.daemons[0].callers;
    let mut waiting = tokio::task::JoinSet::new();
    for n in 0..12 {
        waiting.spawn(async move {
            let mut caller = Caller::connect(daemon).await.expect("the daemon accepts");
            caller.get("/one/waiting", &format!("w{n}")).await.expect("it is answered")
        });
    }
    let answers = waiting.join_all().await;
    assert!(answers.iter().all(|answer| answer.status == 503));
    // The leaf has two slots, so that two calls were on their way at most.
    assert!(leaf.arrivals() - before <= 2, "{} requests", leaf.arrivals() - before);
}
