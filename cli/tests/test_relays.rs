//! More daemons than a leaf accepts connections: calls go through relays.

use std::time::Duration;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::zones;
use jasmineusher_lib::answer::OutcomeKind;
use serde_json::json;
use testutils::TestBed;
use testutils::assert_consistent;
use testutils::eventually;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");

/// Six daemons against leafs that accept four connections.
fn scarce() -> FleetShape {
    FleetShape {
        zones: zones(&["muc-a"]),
        shards: 6,
        leafs: 6,
        replicas: 2,
        connections: 4,
        ..FleetShape::careline()
    }
}

fn lookup() -> serde_json::Value {
    json!({ "entry": "lookup", "params": {} })
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_answers_whole_and_no_leaf_refuses_a_connection() {
    let bed = TestBed::start(DAEMON, scarce(), 6).await;
    // A share starts with room for one query, so that a restart gives no burst; it fills at 1,500 a
    // second here.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused_before = bed.fleet.record.sums().refused_connections;
    let queries = (0..120).map(|n| bed.query(n % 6, lookup()));
    for (_, answer) in futures_util::future::join_all(queries).await {
        assert_consistent(&answer);
        assert_eq!(answer.outcome, OutcomeKind::Complete, "{:?}", answer.refusal);
    }
    let sums = bed.fleet.record.sums();
    assert_eq!(sums.refused_connections, refused_before);
    let mut direct = 0;
    for number in 0..6 {
        let state = bed.state(number).await;
        let leafs = state["leafs"].as_object().expect("leafs are dumped");
        direct += leafs.values().filter(|leaf| leaf["route"].get("direct").is_some()).count();
        assert_eq!(state["counters"]["strays"], 0);
    }
    assert_eq!(direct, 12, "each of 6 leafs has 2 relays");
}

#[tokio::test(flavor = "multi_thread")]
async fn charges_stay_with_the_host_that_asked() {
    let bed = TestBed::start(DAEMON, scarce(), 6).await;
    for _ in 0..10 {
        bed.query(0, lookup()).await;
    }
    let state = bed.state(0).await;
    assert!(state["charges"][0]["first_calls"].as_u64() >= Some(60));
    for number in 1..6 {
        assert_eq!(bed.state(number).await["charges"], json!([]), "host {number}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_relay_costs_no_coverage_once_it_is_noticed() {
    let mut bed = TestBed::start(DAEMON, scarce(), 6).await;
    bed.query(0, lookup()).await;
    bed.daemons[5].kill();
    bed.daemons[4].kill();
    eventually("hosts answer whole again", async || {
        let mut complete = true;
        for number in 0..4 {
            let (_, answer) = bed.query(number, lookup()).await;
            assert_consistent(&answer);
            complete &= answer.outcome == OutcomeKind::Complete;
        }
        complete.then_some(())
    })
    .await;
    bed.fleet.unlist_daemon("host-4");
    bed.fleet.unlist_daemon("host-5");
    bed.fleet.publish_hosts();
    eventually("four hosts are few enough to call directly", async || {
        let state = bed.state(0).await;
        (state["leafs"]["careline-0"]["route"]["direct"] == 1).then_some(())
    })
    .await;
    let (_, answer) = bed.query(0, lookup()).await;
    assert_eq!(answer.outcome, OutcomeKind::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_idempotent_runs_once_through_relays_too() {
    let bed = TestBed::start(DAEMON, scarce(), 6).await;
    for number in 0..6 {
        let ticket = bed.ticket(number).await.expect("a ticket");
        let run = format!("run-{number}");
        let body = json!({ "entry": "send", "params": { "run": run }, "ticket": ticket });
        let (_, first) = bed.query(number, body.clone()).await;
        assert_eq!(first.outcome, OutcomeKind::Complete);
        let (_, again) = bed.query((number + 1) % 6, body).await;
        assert_eq!(again.query, first.query);
    }
    assert_eq!(bed.fleet.record.doubled(), 0);
    assert_eq!(bed.fleet.record.sums().runs.len(), 36);
}
