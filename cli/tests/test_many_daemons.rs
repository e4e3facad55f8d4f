//! Several real daemon processes over stand-ins, behind a fault-injecting proxy.

use std::time::Duration;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::zones;
use jasmineusher_bench::platform::PlatformMood;
use jasmineusher_bench::proxy::Fault;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::Reason;
use jasmineusher_lib::publication::DocumentKind;
use serde_json::Value;
use serde_json::json;
use testutils::CATALOGUE;
use testutils::TestBed;
use testutils::assert_consistent;
use testutils::eventually;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");

fn small() -> FleetShape {
    FleetShape { shards: 6, leafs: 6, replicas: 2, ..FleetShape::careline() }
}

fn one_zone() -> FleetShape {
    FleetShape { zones: zones(&["muc-a"]), ..small() }
}

fn catalogue_revision(state: &Value) -> u64 {
    state["revisions"]["catalogue"].as_u64().unwrap_or(0)
}

async fn wait_for_catalogue(bed: &TestBed, numbers: &[usize], revision: u64) {
    for &number in numbers {
        eventually("catalogue is in force", async || {
            (catalogue_revision(&bed.state(number).await) >= revision).then_some(())
        })
        .await;
    }
}

fn with_comment(n: usize) -> String {
    format!("# edit {n}\n{CATALOGUE}")
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_everywhere_and_few_hosts_read_it() {
    let bed = TestBed::start(DAEMON, small(), 9).await;
    let all: Vec<usize> = (0..9).collect();
    let revision = bed.fleet.publish_catalogue(&with_comment(1));
    wait_for_catalogue(&bed, &all, revision).await;
    let mut watching = 0;
    for number in all {
        let before = bed.state(number).await["counters"]["platform_reads"].as_u64();
        let revision = bed.fleet.publish_catalogue(&with_comment(number + 2));
        wait_for_catalogue(&bed, &[number], revision).await;
        let after = bed.state(number).await["counters"]["platform_reads"].as_u64();
        watching += usize::from(after > before);
    }
    assert!(watching <= 6, "{watching} of 9 hosts read changes themselves; 2 of each zone should");
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_platform_and_restarted_host_revert_nothing() {
    let mut bed = TestBed::start(DAEMON, small(), 3).await;
    bed.fleet.platform.set_mood(PlatformMood::Stale);
    let revision = bed.fleet.publish_catalogue(&with_comment(1));
    bed.fleet.platform.set_mood(PlatformMood::Well);
    wait_for_catalogue(&bed, &[0, 1, 2], revision).await;
    bed.fleet.platform.rewind(DocumentKind::Catalogue, CATALOGUE);
    bed.restart(2);
    bed.wait_ready(2).await;
    assert_eq!(catalogue_revision(&bed.state(2).await), revision, "heard from its peers");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..3 {
        assert_eq!(catalogue_revision(&bed.state(number).await), revision);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn host_restarted_while_the_platform_is_down_hears_its_peers() {
    let mut bed = TestBed::start(DAEMON, small(), 3).await;
    bed.fleet.platform.set_mood(PlatformMood::Down);
    bed.restart(2);
    bed.wait_ready(2).await;
    let (status, answer) = bed.query(2, json!({ "entry": "lookup", "params": {} })).await;
    assert_eq!((status, answer.outcome), (200, OutcomeKind::Complete));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_restarted_while_the_platform_is_down_say_that_they_are_not_ready() {
    let mut bed = TestBed::start(DAEMON, small(), 2).await;
    bed.fleet.platform.set_mood(PlatformMood::Down);
    bed.daemons[0].kill();
    bed.daemons[1].kill();
    bed.restart(0);
    bed.restart(1);
    eventually("daemons listen", async || {
        bed.get(bed.places[0].addr, "/health/live").await.ok()?;
        bed.get(bed.places[1].addr, "/health/live").await.ok()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    for number in 0..2 {
        let (status, answer) = bed.query(number, json!({ "entry": "lookup", "params": {} })).await;
        assert_eq!((status, answer.outcome), (503, OutcomeKind::NotRun));
        assert_eq!(answer.refusal.map(|r| r.reason), Some(Reason::NotReady));
    }
    bed.fleet.platform.set_mood(PlatformMood::Well);
    bed.wait_ready(0).await;
    bed.wait_ready(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_cut_off_goes_on_serving_and_catches_up_after_healing() {
    let bed = TestBed::start(DAEMON, small(), 6).await;
    for round in 1..=2 {
        bed.isolate(&[0, 3], true);
        let revision = bed.fleet.publish_catalogue(&with_comment(round));
        wait_for_catalogue(&bed, &[1, 2, 4, 5], revision).await;
        for number in [0, 3] {
            assert_eq!(catalogue_revision(&bed.state(number).await), revision - 1);
            let (_, answer) = bed.query(number, json!({ "entry": "lookup", "params": {} })).await;
            assert_eq!(answer.outcome, OutcomeKind::Complete);
            assert_consistent(&answer);
        }
        bed.network.heal();
        wait_for_catalogue(&bed, &[0, 3], revision).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_process_believes_nothing_old_when_it_wakes() {
    let bed = TestBed::start(DAEMON, small(), 3).await;
    bed.daemons[0].signal("STOP");
    let revision = bed.fleet.publish_catalogue(&with_comment(1));
    wait_for_catalogue(&bed, &[1, 2], revision).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    bed.isolate(&[0], true);
    bed.daemons[0].signal("CONT");
    let (_, answer) = bed.query(0, json!({ "entry": "lookup", "params": {} })).await;
    assert_eq!(answer.outcome, OutcomeKind::NotRun, "cut off, it cannot check what it believed");
    assert_eq!(answer.refusal.map(|r| r.reason), Some(Reason::NotReady));
    bed.network.heal();
    bed.wait_ready(0).await;
    wait_for_catalogue(&bed, &[0], revision).await;
}

fn send(ticket: Option<&str>, run: &str) -> Value {
    match ticket {
        Some(ticket) => json!({ "entry": "send", "params": { "run": run }, "ticket": ticket }),
        None => json!({ "entry": "send", "params": { "run": run } }),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_runs_once_however_often_it_is_sent_through_any_host() {
    let bed = TestBed::start(DAEMON, one_zone(), 3).await;
    let (status, answer) = bed.query(0, send(None, "none")).await;
    assert_eq!((status, answer.outcome), (428, OutcomeKind::NotRun));
    let ticket = bed.ticket(0).await.expect("a ticket");
    let (_, first) = bed.query(0, send(Some(&ticket), "a")).await;
    assert_eq!(first.outcome, OutcomeKind::Complete);
    for number in [0, 1, 2, 1] {
        let (_, again) = bed.query(number, send(Some(&ticket), "a")).await;
        assert_eq!((again.outcome, again.query), (OutcomeKind::Complete, first.query));
    }
    let (status, other) = bed.query(1, send(Some(&ticket), "b")).await;
    assert_eq!((status, other.outcome), (400, OutcomeKind::NotRun));
    let (status, _) = bed.query(1, send(Some(&format!("{ticket}0")), "c")).await;
    assert_eq!(status, 400);
    assert_eq!(bed.fleet.record.doubled(), 0);
    assert_eq!(bed.fleet.record.sums().runs.len(), 6, "one run of one request on 6 shards");
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_lost_issuer_is_unknown_and_never_runs_again() {
    let mut bed = TestBed::start(DAEMON, one_zone(), 2).await;
    let used = bed.ticket(0).await.expect("a ticket");
    let fresh = bed.ticket(0).await.expect("a ticket");
    bed.query(0, send(Some(&used), "used")).await;
    bed.fault_between(1, 0, Fault::Cut);
    let (status, answer) = bed.query(1, send(Some(&used), "used")).await;
    assert_eq!((status, answer.outcome), (504, OutcomeKind::Unknown));
    bed.network.heal();
    bed.restart(0);
    bed.wait_ready(0).await;
    for number in 0..2 {
        for (ticket, run) in [(&used, "used"), (&fresh, "fresh")] {
            let (_, answer) = bed.query(number, send(Some(ticket), run)).await;
            assert_eq!(answer.outcome, OutcomeKind::Unknown, "through host {number}");
        }
    }
    assert_eq!(bed.fleet.record.doubled(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_resent_through_all_hosts_loses_few_leafs() {
    let shape = FleetShape { replicas: 3, ..small() };
    let bed = TestBed::start(DAEMON, shape, 3).await;
    let body = json!({ "entry": "lookup", "params": { "crash": true } });
    let first_fan_out = 6;
    let mut refused = 0;
    for n in 0..50 {
        let (_, answer) = bed.query(n % 3, body.clone()).await;
        assert_consistent(&answer);
        refused += usize::from(answer.refusal.map(|r| r.reason) == Some(Reason::Quarantined));
    }
    let crashes = bed.fleet.record.sums().crashes;
    assert!(crashes <= first_fan_out + 2, "{crashes} leafs were lost to one request");
    assert!(refused >= 40, "{refused} of 50 resends were refused");
    eventually("leafs are back and innocent requests are answered", async || {
        let (_, answer) = bed.query(0, json!({ "entry": "lookup", "params": {} })).await;
        (answer.outcome == OutcomeKind::Complete).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_peer_messages_are_refused() {
    let bed = TestBed::start(DAEMON, small(), 1).await;
    let call = jasmineusher_lib::http_client::HttpCall::post(
        bed.places[0].addr,
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
async fn leaving_host_is_known_to_its_peers() {
    let mut bed = TestBed::start(DAEMON, one_zone(), 3).await;
    bed.daemons[0].signal("TERM");
    eventually("peers know", async || {
        let state = bed.state(1).await;
        (state["members"]["host-0"]["phase"] == "leaving").then_some(())
    })
    .await;
    assert_eq!(bed.daemons[0].wait(), Some(0));
}
