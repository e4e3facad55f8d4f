//! Runs more daemons than a leaf accepts connections, so that some calls go through relays: other
//! daemons that hold a connection to the leaf.

use std::time::Duration;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::zones;
use jasmineusher_lib::answer::OutcomeKind;
use serde_json::json;
use testutils::TestBed;
use testutils::assert_consistent;
use testutils::eventually;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");

/// Returns the shape of a fleet whose 6 leafs accept 4 connections each, fewer than the 6 daemons
/// of these tests need.
fn scarce_connection_fleet() -> FleetShape {
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

/// If every daemon connected to every leaf, the leafs would refuse connections and shards would be
/// missing. Instead, two daemons hold connections to each leaf and relay the calls of the others.
#[tokio::test(flavor = "multi_thread")]
async fn every_host_answers_completely_within_the_connection_limits_of_leafs() {
    let bed = TestBed::start(DAEMON, scarce_connection_fleet(), 6).await;
    // A host's share of an entry's rate limit starts with a credit of one query at the first query,
    // so that a restart causes no burst. The pause lets the credit grow, here by 1,500 queries a
    // second.
    for number in 0..6 {
        let (_, answer) = bed.query(number, lookup()).await;
        assert_consistent(&answer);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused_before = bed.fleet.record.totals().refused_connections;
    let queries = (0..120).map(|n| bed.query(n % 6, lookup()));
    for (_, answer) in futures_util::future::join_all(queries).await {
        assert_consistent(&answer);
        assert_eq!(answer.outcome, OutcomeKind::Complete, "{:?}", answer.refusal);
    }
    let totals = bed.fleet.record.totals();
    assert_eq!(totals.refused_connections, refused_before);
    let mut direct = 0;
    for number in 0..6 {
        let state = bed.state(number).await;
        let leafs = state["leafs"].as_object().expect("the state dump lists the leafs");
        direct += leafs.values().filter(|leaf| leaf["route"].get("direct").is_some()).count();
        assert_eq!(state["counters"]["strays"], 0);
    }
    assert_eq!(direct, 12, "expected 2 daemons with direct connections for each of 6 leafs");
}

/// A relay makes calls for queries of other hosts. Only the host that received the query may charge
/// them, or they would be charged twice.
#[tokio::test(flavor = "multi_thread")]
async fn charges_are_recorded_at_the_host_that_received_the_query() {
    let bed = TestBed::start(DAEMON, scarce_connection_fleet(), 6).await;
    for _ in 0..10 {
        bed.query(0, lookup()).await;
    }
    let state = bed.state(0).await;
    assert!(state["charges"][0]["first_calls"].as_u64() >= Some(60));
    for number in 1..6 {
        assert_eq!(bed.state(number).await["charges"], json!([]), "host {number}");
    }
}

/// Two of six hosts, which may be relays, are killed. The other hosts must answer completely again,
/// and connect directly once the host list names only four hosts, as many as a leaf accepts.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_recovers_after_relay_hosts_are_lost() {
    let mut bed = TestBed::start(DAEMON, scarce_connection_fleet(), 6).await;
    bed.query(0, lookup()).await;
    bed.daemons[5].kill();
    bed.daemons[4].kill();
    eventually("the other hosts answer completely again", async || {
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
    eventually("the first host calls a leaf directly", async || {
        let state = bed.state(0).await;
        (state["leafs"]["careline-0"]["route"]["direct"] == 1).then_some(())
    })
    .await;
    let (_, answer) = bed.query(0, lookup()).await;
    assert_eq!(answer.outcome, OutcomeKind::Complete);
}

/// A request is sent again with its ticket through another host. It must get the recorded answer
/// and must not run again, also if its calls went through relays.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_runs_once_through_relays() {
    let bed = TestBed::start(DAEMON, scarce_connection_fleet(), 6).await;
    for number in 0..6 {
        let ticket = bed.ticket(number).await.expect("the host issues a ticket");
        let run = format!("run-{number}");
        let body = json!({ "entry": "send", "params": { "run": run }, "ticket": ticket });
        let (_, first) = bed.query(number, body.clone()).await;
        assert_eq!(first.outcome, OutcomeKind::Complete);
        let (_, again) = bed.query((number + 1) % 6, body).await;
        assert_eq!(again.query, first.query);
    }
    assert_eq!(bed.fleet.record.duplicate_runs(), 0);
    assert_eq!(bed.fleet.record.totals().runs.len(), 36);
}
