//! Checks the answers that callers get without faults and under one fault at a time.

use std::time::Duration;

use bytes::Bytes;
use testutils::eventually;

use crate::edge_bed::Behaviour;
use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::configuration;
use crate::edge_bed::store::StoreFault;

async fn caller(bed: &EdgeBed, daemon: usize) -> Caller {
    Caller::connect(bed.daemons[daemon].callers).await.expect("the daemon accepts connections")
}

/// A merged answer must contain the best records of all shards and prove each part by the signature
/// of the leaf's response to this very request.
#[tokio::test(flavor = "multi_thread")]
async fn scatter_gather_answer_is_complete_and_carries_every_signature() {
    let bed = EdgeBed::start(4, 2, 1).await;
    let answer = caller(&bed, 0).await.get("/all/1", "a1").await.expect("the request is answered");
    assert_eq!((answer.status, answer.header("x-missing-parts").as_str()), (200, "0"));
    let signatures = answer.header("x-part-seals");
    let signed: Vec<_> = signatures.split(", ").map(|signature| &signature[..3]).collect();
    assert_eq!(signed.len(), 4);
    assert!(signatures.split(", ").all(|signature| signature.ends_with(".a1")), "{signatures}");
    assert_eq!(answer.body.len(), 3 * 16);
    assert!(answer.body.chunks(16).is_sorted_by(|a, b| a >= b), "records are in descending order");
}

/// A truncated or failed leaf response must not pass as a part of the answer: the shard counts as
/// missing. The route needs a coverage of 0.6, so two of five shards may be missing, but not three.
#[tokio::test(flavor = "multi_thread")]
async fn failed_shards_are_counted_as_missing_and_too_few_shards_fail_the_request() {
    let bed = EdgeBed::start(5, 1, 1).await;
    let mut caller = caller(&bed, 0).await;
    bed.leafs[0].set_behaviour(Behaviour::Truncated);
    bed.leafs[1].set_behaviour(Behaviour::Failure);
    let answer = caller.get("/all/1", "a1").await.expect("the request is answered");
    assert_eq!((answer.status, answer.header("x-missing-parts").as_str()), (200, "2"));
    assert_eq!(answer.header("x-part-seals").split(", ").count(), 3);
    bed.leafs[2].set_behaviour(Behaviour::Failure);
    let answer = caller.get("/all/2", "a2").await.expect("the request is answered");
    assert_eq!(answer.status, 502, "503 would claim that no shard has run the request");
}

/// If the daemon replaced a leaf's failure by an answer of its own, the caller would lose the
/// leaf's status and signature.
#[tokio::test(flavor = "multi_thread")]
async fn leaf_response_is_passed_through_unchanged_even_if_it_is_a_failure() {
    let bed = EdgeBed::start(1, 1, 1).await;
    let mut caller = caller(&bed, 0).await;
    let answer = caller.get("/one/1", "a1").await.expect("the request is answered");
    assert_eq!((answer.status, answer.body.len()), (200, 32));
    assert_eq!(answer.header("x-response-seal"), "i-0-0.a1");
    bed.leafs[0].set_behaviour(Behaviour::Failure);
    let answer = caller.get("/one/2", "a2").await.expect("the request is answered");
    assert_eq!((answer.status, answer.header("x-response-seal").as_str()), (500, "i-0-0.a2"));
}

/// An unsafe request must not be retried once it may have run: a leaf that resets the connection
/// may have run it, so the caller gets 502. 503 guarantees that no leaf has run it.
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_runs_at_most_once_and_never_after_a_503() {
    let bed = EdgeBed::start(1, 3, 1).await;
    let mut caller = caller(&bed, 0).await;
    bed.leafs.iter().for_each(|leaf| leaf.set_behaviour(Behaviour::ResetAfterRun));
    let body = Bytes::from_static(b"send");
    let answer =
        caller.send("POST", "/send/1", "s1", body.clone()).await.expect("the request is answered");
    assert_eq!((answer.status, bed.runs("s1")), (502, 1));
    bed.leafs.iter().for_each(|leaf| leaf.set_behaviour(Behaviour::Shed));
    let answer = caller.send("POST", "/send/2", "s2", body).await.expect("the request is answered");
    assert_eq!((answer.status, bed.runs("s2")), (503, 0));
    let seconds: f64 = answer.header("retry-after").parse().expect("the retry delay is a number");
    assert!(seconds > 0.0 && seconds < 2.0);
}

/// One of two leafs resets each connection after it has run the request. A safe request must
/// succeed on the other leaf, with at most one retry.
#[tokio::test(flavor = "multi_thread")]
async fn safe_request_is_retried_on_another_leaf_when_one_fails() {
    let bed = EdgeBed::start(1, 2, 1).await;
    let mut caller = caller(&bed, 0).await;
    bed.leafs[0].set_behaviour(Behaviour::ResetAfterRun);
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = caller.get("/one/1", &id).await.expect("the request is answered");
        assert_eq!(answer.status, 200);
        assert!(bed.runs(&id) <= 2);
    }
}

/// A leaf sends a second response, to another request, directly after the first. If the connection
/// were reused without a check, the next request would get that response.
#[tokio::test(flavor = "multi_thread")]
async fn extra_response_on_a_reused_connection_is_never_passed_through() {
    let bed = EdgeBed::start(1, 1, 1).await;
    let mut caller = caller(&bed, 0).await;
    bed.leafs[0].set_behaviour(Behaviour::ExtraResponse);
    for number in 0..8 {
        let id = format!("e{number}");
        let answer = caller.get("/one/1", &id).await.expect("the request is answered");
        assert_eq!(answer.header("x-response-seal"), format!("i-0-0.{id}"));
    }
}

/// The store may publish a configuration of a lower version, one that cannot be decoded, or a
/// malformed leaf entry after a good configuration. None of them may replace the good one.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_applied_on_all_hosts_and_never_reverted() {
    let bed = EdgeBed::start(2, 1, 3).await;
    let mut renamed = configuration(7, 2);
    renamed["routes"][1]["prefix"] = "/renamed/".into();
    bed.store.put("op/config", &renamed);
    for daemon in 0..3 {
        let mut caller = caller(&bed, daemon).await;
        eventually("the new route is served", async || {
            (caller.get("/renamed/1", "c1").await?.status == 200).then_some(())
        })
        .await;
        assert_eq!(caller.get("/one/1", "c2").await.map(|a| a.status), Some(404));
    }
    bed.store.put("op/config", &configuration(3, 2));
    bed.store.put_bytes("op/config", Bytes::from_static(b"\xff"));
    bed.store.put_bytes("servers/i-other", Bytes::from_static(b"{}"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answer =
        caller(&bed, 1).await.get("/renamed/1", "c3").await.expect("the request is answered");
    assert_eq!(answer.status, 200);
}

/// An entry of a leaf that was written earlier (lower `sequence`) may arrive after a later one. It
/// must not make a draining leaf usable again.
#[tokio::test(flavor = "multi_thread")]
async fn draining_or_removed_leaf_gets_no_new_calls() {
    let bed = EdgeBed::start(1, 3, 1).await;
    let mut caller = caller(&bed, 0).await;
    bed.store.put_leaf(&bed.leafs[0], "draining", 2);
    bed.store.put_leaf(&bed.leafs[0], "ready", 1);
    bed.store.remove("servers/i-0-1");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before: Vec<_> = bed.leafs.iter().map(|leaf| leaf.arrivals()).collect();
    for number in 0..10 {
        let answer =
            caller.get("/one/1", &format!("d{number}")).await.expect("the request is answered");
        assert_eq!(answer.status, 200);
    }
    let after: Vec<_> = bed.leafs.iter().map(|leaf| leaf.arrivals()).collect();
    assert_eq!((after[0], after[1], after[2] >= before[2] + 10), (before[0], before[1], true));
}

/// While the store refuses every call, a restarted daemon can get the configuration and the leafs
/// only from its peers. It must become ready, and apply changes of the store again after the
/// outage.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_serve_without_the_platform_and_bring_a_restarted_host_up_to_date() {
    let mut bed = EdgeBed::start(2, 2, 3).await;
    eventually("the third host has discovered both others", async || {
        let state = bed.daemons[2].state().await?;
        (state["hosts"].as_array()?.len() == 2).then_some(())
    })
    .await;
    bed.store.set_fault(StoreFault::Busy);
    bed.daemons[2].restart();
    eventually("the restarted host is ready without the store", async || {
        bed.daemons[2].is_ready().await.then_some(())
    })
    .await;
    for daemon in 0..3 {
        let answer =
            caller(&bed, daemon).await.get("/all/1", "p1").await.expect("the request is answered");
        assert_eq!(answer.status, 200);
    }
    bed.store.set_fault(StoreFault::None);
    bed.store.put("op/config", &configuration(9, 2));
    eventually("the restarted host applies the new configuration", async || {
        (bed.daemons[2].state().await?["version"] == 9).then_some(())
    })
    .await;
}

/// The store answers a watch with 410 if it no longer has the changes after the watch's revision.
/// If the daemon only started a new watch, it would miss these changes, here the removal of a leaf.
#[tokio::test(flavor = "multi_thread")]
async fn lost_watch_history_makes_the_daemon_list_all_leafs_again() {
    let bed = EdgeBed::start(1, 2, 1).await;
    bed.store.set_fault(StoreFault::HistoryLost);
    bed.store.remove("servers/i-0-1");
    bed.store.put("op/config", &configuration(5, 1));
    eventually("the new configuration is applied and the removed leaf is not listed", async || {
        let state = bed.daemons[0].state().await?;
        let leafs = state["leafs"].as_array()?.len();
        (state["version"] == 5 && leafs == 1).then_some(())
    })
    .await;
}

/// A request that is running when SIGTERM arrives must be answered, with `connection: close`,
/// before the process exits. The readiness poll fails meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_daemon_finishes_open_requests_and_exits_in_time() {
    let mut bed = EdgeBed::start(1, 1, 1).await;
    bed.leafs[0].set_behaviour(Behaviour::Slow(1_200));
    let mut caller = caller(&bed, 0).await;
    let pending = tokio::spawn(async move { caller.get("/one/1", "t1").await });
    eventually("the request runs", async || (bed.runs("t1") == 1).then_some(())).await;
    bed.daemons[0].terminate();
    let answer = pending.await.expect("the caller's task ends").expect("the request is answered");
    assert_eq!((answer.status, answer.header("connection").as_str()), (200, "close"));
    assert!(!bed.daemons[0].is_ready().await);
    eventually("the daemon exits", async || bed.daemons[0].has_ended().then_some(())).await;
}

/// A leaf that falls silent keeps requests open until their deadline, which may be later than the
/// end of the process. The caller must be told that the request may have run.
#[tokio::test(flavor = "multi_thread")]
async fn request_open_at_the_end_of_a_graceful_shutdown_is_answered() {
    let mut bed = EdgeBed::start(1, 1, 1).await;
    let mut caller = caller(&bed, 0).await;
    caller.get("/one/1", "o1").await.expect("the request is answered");
    bed.leafs[0].set_behaviour(Behaviour::Slow(10_000));
    bed.daemons[0].terminate();
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    let answer = caller.get("/one/1", "o2").await.expect("the request is answered");
    assert_eq!((answer.status, answer.header("connection").as_str()), (502, "close"));
    assert_eq!(bed.runs("o2"), 1);
    eventually("the daemon exits", async || bed.daemons[0].has_ended().then_some(())).await;
}

/// If the call went on after its caller has disconnected, it would occupy a slot of the leaf for an
/// answer that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_call_at_the_leaf() {
    let bed = EdgeBed::start(1, 1, 1).await;
    bed.leafs[0].set_behaviour(Behaviour::Slow(10_000));
    let mut caller = caller(&bed, 0).await;
    let pending = tokio::spawn(async move { caller.get("/one/1", "g1").await });
    eventually("the request runs", async || (bed.runs("g1") == 1).then_some(())).await;
    pending.abort();
    eventually("the call to the leaf is closed", async || {
        (bed.leafs[0].abandoned() == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_too_large_or_has_no_route_is_refused() {
    let bed = EdgeBed::start(1, 1, 1).await;
    let mut caller = caller(&bed, 0).await;
    let large = Bytes::from(vec![0; 5_000]);
    let answer =
        caller.send("POST", "/send/1", "l1", large).await.expect("the request is answered");
    assert_eq!((answer.status, bed.runs("l1")), (413, 0));
    let answer = caller.get("/nowhere/1", "n1").await.expect("the request is answered");
    assert_eq!(answer.status, 404);
}

/// The entry of a former leaf may remain after another leaf has taken its address. The other leaf
/// refuses calls that carry the former leaf's instance name with 421. The caller must then be
/// answered by the valid leaf, and at most one call may be sent to the address of the former one.
#[tokio::test(flavor = "multi_thread")]
async fn call_to_an_address_taken_by_another_leaf_is_not_run() {
    let bed = EdgeBed::start(1, 2, 1).await;
    let taken = &bed.leafs[1];
    let value = serde_json::json!({"service": "shard0", "address": taken.addr.to_string(),
        "zone": "muc-a", "version": "v1", "max_concurrency": 2, "state": "ready",
        "cold_left_ms": 0, "sequence": 1, "born": 5});
    bed.store.put("servers/i-former", &value);
    bed.store.remove("servers/i-0-1");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut caller = caller(&bed, 0).await;
    for number in 0..10 {
        let answer =
            caller.get("/one/1", &format!("m{number}")).await.expect("the request is answered");
        assert_eq!(answer.header("x-response-seal"), format!("i-0-0.m{number}"));
    }
    assert!(taken.arrivals() <= 1, "more than one call reached the address of the former leaf");
}
