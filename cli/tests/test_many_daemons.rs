//! Runs several real daemon processes against stand-ins, connected through a fault-injecting proxy.

use std::time::Duration;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::zones;
use jasmineusher_bench::platform::PlatformState;
use jasmineusher_bench::proxy::Fault;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::Reason;
use jasmineusher_lib::documents::DocumentKind;
use serde_json::Value;
use serde_json::json;
use testutils::CATALOGUE;
use testutils::TestBed;
use testutils::assert_consistent;
use testutils::eventually;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");

fn small_fleet() -> FleetShape {
    FleetShape { shards: 6, leafs: 6, replicas: 2, ..FleetShape::careline() }
}

fn one_zone_fleet() -> FleetShape {
    FleetShape { zones: zones(&["muc-a"]), ..small_fleet() }
}

fn catalogue_revision(state: &Value) -> u64 {
    state["revisions"]["catalogue"].as_u64().unwrap_or(0)
}

async fn wait_for_catalogue(bed: &TestBed, numbers: &[usize], revision: u64) {
    for &number in numbers {
        eventually("the catalogue revision is applied", async || {
            (catalogue_revision(&bed.state(number).await) >= revision).then_some(())
        })
        .await;
    }
}

fn catalogue_with_comment(n: usize) -> String {
    format!("# edit {n}\n{CATALOGUE}")
}

/// If every host read each change from the platform, the platform's load would grow with the number
/// of hosts. Two hosts of each zone read it; the others get it from peers.
#[tokio::test(flavor = "multi_thread")]
async fn catalogue_change_reaches_all_hosts_through_few_platform_readers() {
    let bed = TestBed::start(DAEMON, small_fleet(), 9).await;
    let all: Vec<usize> = (0..9).collect();
    let revision = bed.fleet.publish_catalogue(&catalogue_with_comment(1));
    wait_for_catalogue(&bed, &all, revision).await;
    let mut readers = 0;
    for number in all {
        let before = bed.state(number).await["counters"]["platform_reads"].as_u64();
        let revision = bed.fleet.publish_catalogue(&catalogue_with_comment(number + 2));
        wait_for_catalogue(&bed, &[number], revision).await;
        let after = bed.state(number).await["counters"]["platform_reads"].as_u64();
        readers += usize::from(after > before);
    }
    assert!(
        readers <= 6,
        "{readers} of 9 hosts read changes from the platform; expected 2 of each zone"
    );
}

/// The platform may return an older revision than the hosts have, here because it was reset to the
/// first one. Neither a running nor a restarted host may apply it.
#[tokio::test(flavor = "multi_thread")]
async fn no_document_is_reverted_by_a_stale_platform_or_a_host_restart() {
    let mut bed = TestBed::start(DAEMON, small_fleet(), 3).await;
    bed.fleet.platform.set_state(PlatformState::Stale);
    let revision = bed.fleet.publish_catalogue(&catalogue_with_comment(1));
    bed.fleet.platform.set_state(PlatformState::Up);
    wait_for_catalogue(&bed, &[0, 1, 2], revision).await;
    bed.fleet.platform.rewind(DocumentKind::Catalogue, CATALOGUE);
    bed.restart(2);
    bed.wait_ready(2).await;
    assert_eq!(catalogue_revision(&bed.state(2).await), revision, "received from peers");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..3 {
        assert_eq!(catalogue_revision(&bed.state(number).await), revision);
    }
}

/// While the platform is down, a restarted host can get its documents only from peers.
#[tokio::test(flavor = "multi_thread")]
async fn host_restarted_while_the_platform_is_down_gets_documents_from_peers() {
    let mut bed = TestBed::start(DAEMON, small_fleet(), 3).await;
    bed.fleet.platform.set_state(PlatformState::Down);
    bed.restart(2);
    bed.wait_ready(2).await;
    let (status, answer) = bed.query(2, json!({ "entry": "lookup", "params": {} })).await;
    assert_eq!((status, answer.outcome), (200, OutcomeKind::Complete));
}

/// After a restart of all hosts while the platform is down, no host has a catalogue. Until the
/// platform is up again, the hosts must refuse queries as not ready, which callers may retry.
#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_restarted_while_the_platform_is_down_refuse_as_not_ready() {
    let mut bed = TestBed::start(DAEMON, small_fleet(), 2).await;
    bed.fleet.platform.set_state(PlatformState::Down);
    bed.daemons[0].kill();
    bed.daemons[1].kill();
    bed.restart(0);
    bed.restart(1);
    eventually("both daemons listen", async || {
        bed.get(bed.daemon_configs[0].addr, "/health/live").await.ok()?;
        bed.get(bed.daemon_configs[1].addr, "/health/live").await.ok()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    for number in 0..2 {
        let (status, answer) = bed.query(number, json!({ "entry": "lookup", "params": {} })).await;
        assert_eq!((status, answer.outcome), (503, OutcomeKind::NotRun));
        assert_eq!(answer.refusal.map(|r| r.reason), Some(Reason::NotReady));
    }
    bed.fleet.platform.set_state(PlatformState::Up);
    bed.wait_ready(0).await;
    bed.wait_ready(1).await;
}

/// Both hosts of one zone are cut off from the platform and the other zones, twice in a row. They
/// must answer by the documents that they have, and apply the missed revision once the network
/// faults end.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_keeps_serving_and_catches_up_after_healing() {
    let bed = TestBed::start(DAEMON, small_fleet(), 6).await;
    for round in 1..=2 {
        bed.isolate(&[0, 3], true);
        let revision = bed.fleet.publish_catalogue(&catalogue_with_comment(round));
        wait_for_catalogue(&bed, &[1, 2, 4, 5], revision).await;
        for number in [0, 3] {
            assert_eq!(catalogue_revision(&bed.state(number).await), revision - 1);
            let (_, answer) = bed.query(number, json!({ "entry": "lookup", "params": {} })).await;
            assert_eq!(answer.outcome, OutcomeKind::Complete);
            assert_consistent(&answer);
        }
        bed.network.clear_faults();
        wait_for_catalogue(&bed, &[0, 3], revision).await;
    }
}

/// A paused process receives no changes. If it is cut off when it resumes, it cannot check whether
/// its state is still valid, so it must refuse queries until it has contact again.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_process_does_not_answer_from_state_it_cannot_check() {
    let bed = TestBed::start(DAEMON, small_fleet(), 3).await;
    bed.daemons[0].signal("STOP");
    let revision = bed.fleet.publish_catalogue(&catalogue_with_comment(1));
    wait_for_catalogue(&bed, &[1, 2], revision).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    bed.isolate(&[0], true);
    bed.daemons[0].signal("CONT");
    let (_, answer) = bed.query(0, json!({ "entry": "lookup", "params": {} })).await;
    assert_eq!(
        answer.outcome,
        OutcomeKind::NotRun,
        "a host that is cut off cannot check its state"
    );
    assert_eq!(answer.refusal.map(|r| r.reason), Some(Reason::NotReady));
    bed.network.clear_faults();
    bed.wait_ready(0).await;
    wait_for_catalogue(&bed, &[0], revision).await;
}

fn send_body(ticket: Option<&str>, run: &str) -> Value {
    match ticket {
        Some(ticket) => json!({ "entry": "send", "params": { "run": run }, "ticket": ticket }),
        None => json!({ "entry": "send", "params": { "run": run } }),
    }
}

/// A caller that lost an answer sends its request again, perhaps through another host. The same
/// request must get the same answer without a second run. Another request with the same ticket, and
/// a request with a forged ticket, must be refused.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_runs_once_when_resent_through_any_host() {
    let bed = TestBed::start(DAEMON, one_zone_fleet(), 3).await;
    let (status, answer) = bed.query(0, send_body(None, "none")).await;
    assert_eq!((status, answer.outcome), (428, OutcomeKind::NotRun));
    let ticket = bed.ticket(0).await.expect("the host issues a ticket");
    let (_, first) = bed.query(0, send_body(Some(&ticket), "a")).await;
    assert_eq!(first.outcome, OutcomeKind::Complete);
    for number in [0, 1, 2, 1] {
        let (_, again) = bed.query(number, send_body(Some(&ticket), "a")).await;
        assert_eq!((again.outcome, again.query), (OutcomeKind::Complete, first.query));
    }
    let (status, other) = bed.query(1, send_body(Some(&ticket), "b")).await;
    assert_eq!((status, other.outcome), (400, OutcomeKind::NotRun));
    let (status, _) = bed.query(1, send_body(Some(&format!("{ticket}0")), "c")).await;
    assert_eq!(status, 400);
    assert_eq!(bed.fleet.record.duplicate_runs(), 0);
    assert_eq!(bed.fleet.record.totals().runs.len(), 6, "one request ran once on each of 6 shards");
}

/// Only the issuer of a ticket has the record of its outcome. If the issuer cannot be reached, or
/// has lost the record by a restart, the request may have run. Its outcome is unknown, and it must
/// not be run through another host.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_lost_issuer_has_an_unknown_outcome_and_never_runs_again() {
    let mut bed = TestBed::start(DAEMON, one_zone_fleet(), 2).await;
    let used = bed.ticket(0).await.expect("the host issues a ticket");
    let fresh = bed.ticket(0).await.expect("the host issues a ticket");
    bed.query(0, send_body(Some(&used), "used")).await;
    bed.fault_between(1, 0, Fault::Cut);
    let (status, answer) = bed.query(1, send_body(Some(&used), "used")).await;
    assert_eq!((status, answer.outcome), (504, OutcomeKind::Unknown));
    bed.network.clear_faults();
    bed.restart(0);
    bed.wait_ready(0).await;
    for number in 0..2 {
        for (ticket, run) in [(&used, "used"), (&fresh, "fresh")] {
            let (_, answer) = bed.query(number, send_body(Some(ticket), run)).await;
            assert_eq!(answer.outcome, OutcomeKind::Unknown, "through host {number}");
        }
    }
    assert_eq!(bed.fleet.record.duplicate_runs(), 0);
}

/// A request that crashes each leaf that runs it is sent 50 times through 3 hosts. If the hosts did
/// not exchange reports of crashes, each of them would let the request crash further leafs. The
/// first calls to the 6 shards may crash one leaf each; after them, at most 2 more may crash.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_resent_through_all_hosts_crashes_few_leafs() {
    let shape = FleetShape { replicas: 3, ..small_fleet() };
    let bed = TestBed::start(DAEMON, shape, 3).await;
    let body = json!({ "entry": "lookup", "params": { "crash": true } });
    let first_calls = 6;
    let mut refused = 0;
    for n in 0..50 {
        let (_, answer) = bed.query(n % 3, body.clone()).await;
        assert_consistent(&answer);
        refused += usize::from(answer.refusal.map(|r| r.reason) == Some(Reason::Quarantined));
    }
    let crashes = bed.fleet.record.totals().crashes;
    assert!(crashes <= first_calls + 2, "one request crashed {crashes} leafs");
    assert!(refused >= 40, "{refused} of 50 sends were refused");
    eventually("leafs have restarted and other requests are answered", async || {
        let (_, answer) = bed.query(0, json!({ "entry": "lookup", "params": {} })).await;
        (answer.outcome == OutcomeKind::Complete).then_some(())
    })
    .await;
}

/// A process that does not have the peers' key must not be able to change a daemon's state.
#[tokio::test(flavor = "multi_thread")]
async fn forged_peer_messages_are_refused() {
    let bed = TestBed::start(DAEMON, small_fleet(), 1).await;
    let call = jasmineusher_lib::http_client::HttpCall::post(
        bed.daemon_configs[0].addr,
        jasmineusher_lib::peer_protocol::EXCHANGE_PATH,
        vec![0x80].into(),
        Duration::from_secs(5),
    );
    let reply = bed.client.call(call).await.expect("the daemon answers");
    assert_eq!(reply.status, 403);
    let state = bed.state(0).await;
    assert_eq!(state["counters"]["peer_forgeries"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_host_is_listed_as_leaving_by_its_peers() {
    let mut bed = TestBed::start(DAEMON, one_zone_fleet(), 3).await;
    bed.daemons[0].signal("TERM");
    eventually("a peer lists the host as leaving", async || {
        let state = bed.state(1).await;
        (state["members"]["host-0"]["phase"] == "leaving").then_some(())
    })
    .await;
    assert_eq!(bed.daemons[0].wait(), Some(0));
}
