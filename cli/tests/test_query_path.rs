//! Sends queries to a real daemon process whose leafs fail in various ways.

use std::time::Duration;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::leaf;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::answer::Reason;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::server::QUERY_PATH;
use serde_json::json;
use testutils::TestBed;
use testutils::assert_consistent;
use testutils::eventually;
use tokio::io::AsyncWriteExt;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");

fn small_fleet() -> FleetShape {
    FleetShape { shards: 6, leafs: 6, replicas: 2, ..FleetShape::careline() }
}

fn lookup() -> serde_json::Value {
    json!({ "entry": "lookup", "params": {}, "hits": 4 })
}

fn reason(answer: &QueryAnswer) -> Option<Reason> {
    answer.refusal.as_ref().map(|refusal| refusal.reason)
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_answer_merges_the_best_hits_of_all_shards() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    let (status, answer) = bed.query(0, lookup()).await;
    assert_eq!((status, answer.outcome), (200, OutcomeKind::Complete));
    assert_consistent(&answer);
    let ids: Vec<_> = answer.hits.iter().map(|hit| hit.id.as_str()).collect();
    insta::assert_debug_snapshot!(ids, @r#"
    [
        "v1-s3-0",
        "v1-s2-2",
        "v1-s2-1",
        "v1-s5-2",
    ]
    "#);
    let all: Vec<u16> = answer.coverage.contributed.iter().map(|s| s.0).collect();
    assert_eq!(all, [0, 1, 2, 3, 4, 5]);
}

/// A caller decides by the coverage whether a partial answer is of use, so the coverage must list
/// exactly the missing shards. An entry that requires full coverage must get no partial hits.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_lists_exactly_the_shards_whose_replicas_are_down() {
    let shape = FleetShape { replicas: 1, ..small_fleet() };
    let bed = TestBed::start(DAEMON, shape, 1).await;
    bed.fleet.leafs[2].set_stopped(true);
    bed.fleet.leafs[4].set_stopped(true);
    let (status, answer) = bed.query(0, lookup()).await;
    assert_eq!((status, answer.outcome), (206, OutcomeKind::Partial));
    assert_consistent(&answer);
    let missing: Vec<u16> = answer.coverage.missing.iter().map(|s| s.0).collect();
    assert_eq!(missing, [2, 4]);
    let (status, answer) = bed.query(0, json!({ "entry": "table", "params": {} })).await;
    assert_eq!((status, answer.outcome), (504, OutcomeKind::Unknown));
    assert!(answer.hits.is_empty(), "an answer below the minimum coverage has no hits");
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_to_a_failed_replica_are_answered_by_the_other_one() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    bed.fleet.leafs[1].set_stopped(true);
    for _ in 0..20 {
        let (_, answer) = bed.query(0, lookup()).await;
        assert_eq!(answer.outcome, OutcomeKind::Complete);
        assert_consistent(&answer);
    }
}

/// A leaf replies with the identity of another call, as if responses on a connection were swapped.
/// Its hits must not be merged, and the shard counts as missing.
#[tokio::test(flavor = "multi_thread")]
async fn reply_to_another_call_is_never_merged() {
    let shape = FleetShape { replicas: 1, ..small_fleet() };
    let bed = TestBed::start(DAEMON, shape, 1).await;
    bed.fleet.leafs[3].change_behaviour(|behaviour| behaviour.wrong_identity = true);
    let (_, answer) = bed.query(0, lookup()).await;
    assert_consistent(&answer);
    assert_eq!(answer.outcome, OutcomeKind::Partial);
    assert_eq!(answer.coverage.missing.iter().map(|s| s.0).collect::<Vec<_>>(), [3]);
    let state = bed.state(0).await;
    assert!(state["counters"]["strays"].as_u64() > Some(0));
}

/// A leaf is slower than the deadline. Its late reply must be merged neither into the answer of
/// that query nor into that of a later one, and the leaf must be used again once it is fast.
#[tokio::test(flavor = "multi_thread")]
async fn reply_after_the_deadline_is_never_merged() {
    let shape = FleetShape { replicas: 1, ..small_fleet() };
    let bed = TestBed::start(DAEMON, shape, 1).await;
    bed.fleet.leafs[0].change_behaviour(|behaviour| behaviour.service = Duration::from_secs(30));
    let req = json!({ "entry": "lookup", "params": {}, "deadline_ms": 700 });
    let (_, late) = bed.query(0, req.clone()).await;
    assert_consistent(&late);
    assert_eq!(late.coverage.missing.iter().map(|s| s.0).collect::<Vec<_>>(), [0]);
    bed.fleet.leafs[0].change_behaviour(|behaviour| behaviour.service = Duration::from_millis(1));
    let complete = eventually("the leaf is used again", async || {
        let (_, answer) = bed.query(0, req.clone()).await;
        assert_consistent(&answer);
        (answer.outcome == OutcomeKind::Complete).then_some(answer)
    })
    .await;
    assert_ne!(complete.query, late.query);
}

/// The leafs load a new index version and unload the old one while queries run. Each query pins one
/// version. It must be restarted when that version is lost, and must never merge hits of two
/// versions.
#[tokio::test(flavor = "multi_thread")]
async fn index_version_change_under_load_never_mixes_versions() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    let (v1, v2) = (IndexVersion(1), IndexVersion(2));
    let queries = async {
        let mut versions = Vec::new();
        for _ in 0..300 {
            let (_, answer) = bed.query(0, json!({ "entry": "restarting", "params": {} })).await;
            assert_consistent(&answer);
            assert_eq!(answer.outcome, OutcomeKind::Complete, "{:?}", answer.refusal);
            versions.push(answer.version);
        }
        versions
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        bed.fleet.load_version(v2);
        bed.fleet.publish_layout(&[v1, v2]);
        tokio::time::sleep(Duration::from_millis(300)).await;
        bed.fleet.unload_version(v1);
        bed.fleet.publish_layout(&[v2]);
    };
    let (versions, ()) = tokio::join!(queries, change);
    assert_eq!((versions.first(), versions.last()), (Some(&Some(v1)), Some(&Some(v2))));
    assert!(versions.is_sorted(), "the old version was pinned after the new one");
}

/// If calls went on after their caller has disconnected, they would occupy slots of the leafs for
/// an answer that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_its_calls_at_the_leafs() {
    let shape = FleetShape { replicas: 1, ..small_fleet() };
    let bed = TestBed::start(DAEMON, shape, 1).await;
    for leaf in &bed.fleet.leafs {
        leaf.change_behaviour(|behaviour| behaviour.service = Duration::from_secs(30));
    }
    let mut caller = tokio::net::TcpStream::connect(bed.daemons[0].addr)
        .await
        .expect("the daemon accepts the connection");
    let body = lookup().to_string();
    let req = format!(
        "POST {QUERY_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(req.as_bytes()).await.expect("the request is written");
    eventually("all 6 calls have reached the leafs", async || {
        (bed.fleet.record.totals().calls_started.get("lookup") == Some(&6)).then_some(())
    })
    .await;
    drop(caller);
    eventually("the daemon has cancelled all 6 calls", async || {
        let state = bed.state(0).await;
        (state["counters"]["callers_gone"] == 1 && state["counters"]["cancels"] == 6).then_some(())
    })
    .await;
    eventually("the leafs have ended all 6 calls", async || {
        (bed.fleet.record.totals().calls_finished.get("lookup") == Some(&6)).then_some(())
    })
    .await;
}

/// A caller may resend a request that was refused as not run. If a leaf had run the request, it
/// would then run twice.
#[tokio::test(flavor = "multi_thread")]
async fn every_refused_request_is_not_run_and_reaches_no_leaf() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    let addr = bed.daemons[0].addr;
    let post = |body: &str| {
        HttpCall::post(addr, QUERY_PATH, body.to_owned().into(), Duration::from_secs(5))
    };
    let too_large = "x".repeat(2 << 20);
    let calls = [
        ("bad JSON", post("{")),
        ("unknown field", post(r#"{"entry":"lookup","params":{},"colour":1}"#)),
        ("unknown entry", post(r#"{"entry":"nothing","params":{}}"#)),
        ("too many hits", post(r#"{"entry":"lookup","params":{},"hits":100000}"#)),
        ("too large", post(&too_large)),
        ("wrong method", HttpCall::get(addr, QUERY_PATH, Duration::from_secs(5))),
        ("wrong path", HttpCall::get(addr, "/nowhere", Duration::from_secs(5))),
    ];
    let mut refusals = Vec::new();
    for (case, call) in calls {
        let reply = bed.client.call(call).await.expect("the daemon answers");
        let answer: QueryAnswer =
            serde_json::from_slice(&reply.body).expect("the body is a refusal in JSON");
        assert_eq!(answer.outcome, OutcomeKind::NotRun, "{case}");
        refusals.push(format!("{case}: {} {:?}", reply.status, reason(&answer)));
    }
    insta::assert_debug_snapshot!(refusals, @r#"
    [
        "bad JSON: 400 Some(BadRequest)",
        "unknown field: 400 Some(BadRequest)",
        "unknown entry: 404 Some(UnknownEntry)",
        "too many hits: 400 Some(BadRequest)",
        "too large: 413 Some(BadRequest)",
        "wrong method: 405 Some(BadRequest)",
        "wrong path: 404 Some(BadRequest)",
    ]
    "#);
    assert!(bed.fleet.record.totals().calls_finished.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn rate_limit_refusal_names_the_owner_and_a_retry_delay() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    let req = json!({ "entry": "scarce", "params": {} });
    let (first, _) = bed.query(0, req.clone()).await;
    let (second, answer) = bed.query(0, req).await;
    assert!(first == 200 || first == 429);
    assert_eq!((second, answer.outcome), (429, OutcomeKind::NotRun));
    assert_eq!(reason(&answer), Some(Reason::RateLimit));
    let refusal = answer.refusal.expect("the answer has a refusal");
    assert!(refusal.message.contains("tabela-viva"), "{}", refusal.message);
    assert!(refusal.retry_after > Some(Duration::from_secs(1)));
}

/// A leaf reports in its replies that it is draining before the host list does. From then on it
/// would refuse each call, which then has to be retried. At most 2 calls that were already in
/// progress may still arrive.
#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_reported_draining_gets_no_more_calls() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    bed.query(0, lookup()).await;
    bed.fleet.leafs[0].change_behaviour(|behaviour| behaviour.draining = true);
    for _ in 0..50 {
        let (_, answer) = bed.query(0, lookup()).await;
        assert_eq!(answer.outcome, OutcomeKind::Complete);
    }
    let calls_after_report = bed.fleet.record.totals().calls_while_draining;
    assert!(
        calls_after_report <= 2,
        "{calls_after_report} calls reached a leaf that had reported draining"
    );
    bed.fleet.publish_hosts();
    eventually("the leaf is draining after the host list lists it as leaving", async || {
        let state = bed.state(0).await;
        (state["leafs"]["careline-0"]["usability"] == "draining").then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_says_in_an_answer_that_it_is_leaving_gets_no_more_calls() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    bed.fleet.leafs[0].change_behaviour(|behaviour| behaviour.says_leaving = true);
    let usability = async || bed.state(0).await["leafs"]["careline-0"]["usability"].clone();
    eventually("the leaf has answered a call", async || {
        bed.query(0, lookup()).await;
        (usability().await == "draining").then_some(())
    })
    .await;
    // Any further call would be answered with a garbled reply.
    bed.fleet.leafs[0].change_behaviour(|behaviour| behaviour.wrong_identity = true);
    for _ in 0..50 {
        let (_, answer) = bed.query(0, lookup()).await;
        assert_eq!(answer.outcome, OutcomeKind::Complete);
    }
    assert_eq!(bed.state(0).await["counters"]["strays"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaf_that_sheds_a_call_and_names_a_time_gets_no_call_before() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    let pause = |behaviour: &mut leaf::Behaviour| behaviour.retry_after_ms = Some(60_000);
    bed.fleet.leafs[0].change_behaviour(pause);
    eventually("the leaf has shed a call", async || {
        bed.query(0, lookup()).await;
        (bed.fleet.record.totals().sheds > 0).then_some(())
    })
    .await;
    for _ in 0..50 {
        let (_, answer) = bed.query(0, lookup()).await;
        assert_eq!(answer.outcome, OutcomeKind::Complete);
    }
    // Two calls may have been on their way when the leaf named the time.
    let sheds = bed.fleet.record.totals().sheds;
    assert!(sheds <= 2, "{sheds} calls reached a leaf that wanted none");
}

/// Requests still arrive while the daemon shuts down. Each must be answered or refused as not run;
/// none may end by a closed connection.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_under_load_loses_no_request() {
    let mut bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    for leaf in &bed.fleet.leafs {
        leaf.change_behaviour(|behaviour| behaviour.service = Duration::from_millis(40));
    }
    // A load balancer in front of the daemon sends nothing more after a refusal, so the load ends
    // there too.
    let load = async {
        let mut outcomes = Vec::new();
        while !outcomes.contains(&OutcomeKind::NotRun) {
            let batch = (0..8).map(|_| bed.try_query(0, lookup()));
            for result in futures_util::future::join_all(batch).await {
                let (_, answer) = result.expect("the connection was not lost");
                outcomes.push(answer.outcome);
            }
        }
        outcomes
    };
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        bed.daemons[0].signal("TERM");
    };
    let (outcomes, ()) = tokio::join!(load, stop);
    assert!(outcomes.contains(&OutcomeKind::Complete));
    assert!(outcomes.iter().all(|o| matches!(o, OutcomeKind::Complete | OutcomeKind::NotRun)));
    assert_eq!(bed.daemons[0].wait(), Some(0));
}

/// Guards against a query that is cut without an answer, since its leafs take longer than the daemon's
/// shutdown may.
#[tokio::test(flavor = "multi_thread")]
async fn query_that_outlasts_a_graceful_shutdown_is_answered() {
    let mut bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    bed.daemon_configs[0].shutdown = Duration::from_millis(700);
    bed.restart(0);
    bed.wait_ready(0).await;
    for leaf in &bed.fleet.leafs {
        leaf.change_behaviour(|behaviour| behaviour.service = Duration::from_secs(60));
    }
    let query = bed.try_query(0, lookup());
    let stop = async {
        eventually("the query runs", async || {
            let calls = bed.state(0).await["counters"]["first_calls"].as_u64();
            (calls > Some(0)).then_some(())
        })
        .await;
        bed.daemons[0].signal("TERM");
    };
    let (result, ()) = tokio::join!(query, stop);
    let (_, answer) = result.expect("the connection was not lost");
    assert_eq!(answer.outcome, OutcomeKind::Unknown);
    assert_eq!(bed.daemons[0].wait(), Some(0));
}

/// If the valid part of an invalid catalogue were applied, entries could disappear or change by a
/// typo.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_catalogue_is_refused_whole_and_the_last_valid_one_stays() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    bed.fleet.publish_catalogue("[[entry]]\nname = \"lookup\"\n");
    let state = eventually("the refusal is in the state dump", async || {
        let state = bed.state(0).await;
        state["last_refusal"].is_string().then_some(state)
    })
    .await;
    assert_eq!(state["revisions"]["catalogue"], 1);
    let refusal = state["last_refusal"].as_str().expect("checked above");
    insta::assert_snapshot!(refusal, @r#"catalogue revision 2: Catalogue is refused: Catalogue has 1 fault(s); the first: Line 1: entry "lookup", field "kind": missing field `kind`"#);
    let reads = state["counters"]["platform_reads"].as_u64();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let later = bed.state(0).await["counters"]["platform_reads"].as_u64();
    assert_eq!(reads, later, "a refused document is not read again");
    let (status, _) = bed.query(0, lookup()).await;
    assert_eq!(status, 200);
}
