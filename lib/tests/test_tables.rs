//! Tests of the state that a process keeps in small tables: admission queues, estimates of leafs,
//! budgets, ledger, quarantine, tickets, lifecycle, settings and events.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::admission_queue::Admission;
use jasmineusher_lib::admission_queue::AdmissionQueue;
use jasmineusher_lib::admission_queue::CallEnd;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::answer::Reason;
use jasmineusher_lib::answer::Refusal;
use jasmineusher_lib::budget::ExtraLoadBudget;
use jasmineusher_lib::catalogue::Class;
use jasmineusher_lib::events::Event;
use jasmineusher_lib::fingerprint::Fingerprint;
use jasmineusher_lib::ids::EntryName;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::Owner;
use jasmineusher_lib::leaf_estimates::LeafEstimates;
use jasmineusher_lib::leaf_estimates::Usability;
use jasmineusher_lib::ledger::Charge;
use jasmineusher_lib::ledger::Effort;
use jasmineusher_lib::ledger::Ledger;
use jasmineusher_lib::lifecycle::Lifecycle;
use jasmineusher_lib::lifecycle::Phase;
use jasmineusher_lib::plan::Purpose;
use jasmineusher_lib::settings::PeerKey;
use jasmineusher_lib::settings::RawSettings;
use jasmineusher_lib::settings::Settings;
use jasmineusher_lib::signature::KeyRing;
use jasmineusher_lib::ticket::Redemption;
use jasmineusher_lib::ticket::Ticket;
use jasmineusher_lib::ticket::TicketError;
use jasmineusher_lib::ticket::TicketTable;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Guards against urgent calls that wait behind ordinary ones which arrived earlier or have an
/// earlier deadline.
#[test]
fn urgent_calls_are_admitted_before_ordinary_ones() {
    let now = Instant::now();
    let mut admission_queue = AdmissionQueue::new(1);
    let mut enter =
        |class, due, token| admission_queue.request_slot(class, now + due, MS, now, token);
    assert_eq!(enter(Class::Ordinary, SECOND, "running"), Admission::Admitted);
    assert_eq!(enter(Class::Ordinary, SECOND, "ordinary"), Admission::Queued);
    assert_eq!(enter(Class::Urgent, 3 * SECOND, "urgent late"), Admission::Queued);
    assert_eq!(enter(Class::Urgent, 2 * SECOND, "urgent soon"), Admission::Queued);
    let mut order = Vec::new();
    while let [token] = admission_queue.release_slot(CallEnd::Answered, now)[..] {
        order.push(token);
    }
    assert_eq!(order, ["urgent soon", "urgent late", "ordinary"]);
}

/// Guards against calls that are queued or sent although their deadline passes before they can be
/// answered, which costs effort at the leaf for nothing.
#[test]
fn admission_queue_refuses_calls_that_cannot_start_in_time_and_drops_late_ones() {
    let now = Instant::now();
    let mut admission_queue = AdmissionQueue::new(1);
    admission_queue.request_slot(Class::Ordinary, now + SECOND, 100 * MS, now, 0);
    assert_eq!(
        admission_queue.request_slot(Class::Ordinary, now + 50 * MS, 100 * MS, now, 1),
        Admission::Refused
    );
    assert_eq!(
        admission_queue.request_slot(Class::Ordinary, now + 300 * MS, 100 * MS, now, 2),
        Admission::Queued
    );
    assert_eq!(admission_queue.release_slot(CallEnd::Answered, now + SECOND), Vec::<i32>::new());
    assert_eq!((admission_queue.queued(), admission_queue.in_flight()), (0, 0));
}

/// Guards against a window that keeps overloading a leaf after it shed a call, or that grows beyond
/// its maximum.
#[test]
fn window_halves_on_a_shed_and_grows_back_within_its_limit() {
    let now = Instant::now();
    let mut admission_queue = AdmissionQueue::new(8);
    let mut windows = Vec::new();
    for end in [CallEnd::Answered; 40].into_iter().chain([CallEnd::Shed; 2]) {
        admission_queue.request_slot(Class::Urgent, now + SECOND, MS, now, ());
        admission_queue.release_slot(end, now);
        windows.push(admission_queue.window());
    }
    let (before, after) = (windows[39], &windows[40..]);
    assert!((4..=8).contains(&before), "the window is {before} before the sheds");
    assert!(after[0] <= before / 2 + 1 && after[1] <= after[0], "{after:?}");
}

/// Guards against calls to a leaf that fails or drains while the host list, which is updated later,
/// still lists it as live, and against an ejection that never ends.
#[test]
fn own_observations_override_the_host_list_and_ejected_leafs_are_probed() {
    let now = Instant::now();
    let mut estimates = LeafEstimates::default();
    estimates.set_listed_leaving(false);
    assert!(
        !estimates.record_loss(now) && !estimates.record_loss(now) && estimates.record_loss(now)
    );
    assert_eq!(
        estimates.usability(now),
        Usability::Ejected,
        "calls fail while the host list lists the leaf as live"
    );
    assert_eq!(
        estimates.usability(now + SECOND),
        Usability::Usable,
        "the leaf is probed after a while"
    );
    estimates.record_loss(now + SECOND);
    assert_eq!(
        estimates.usability(now + 1_600 * MS),
        Usability::Ejected,
        "the second ejection lasts longer"
    );
    estimates.record_answer(MS, 0, now + 3 * SECOND);
    assert_eq!(estimates.usability(now + 3 * SECOND), Usability::Usable);
    estimates.record_draining(now + 3 * SECOND);
    assert_eq!(
        estimates.usability(now + 3 * SECOND),
        Usability::Draining,
        "the leaf drains while the host list lists it as live"
    );
}

/// Guards against a peer's outdated report of draining that takes a restarted leaf out of service.
#[test]
fn reported_draining_is_ignored_if_older_than_an_own_reply() {
    let now = Instant::now() + 10 * SECOND;
    let mut estimates = LeafEstimates::default();
    estimates.record_answer(MS, 0, now);
    estimates.record_reported_draining(SECOND, now + 500 * MS);
    assert_eq!(estimates.usability(now + 500 * MS), Usability::Usable);
    estimates.record_reported_draining(100 * MS, now + 500 * MS);
    assert_eq!(estimates.usability(now + 500 * MS), Usability::Draining);
}

/// Guards against hedges and retries that exceed their share of the load, and against a budget that
/// cannot be used up.
#[test]
fn extra_load_stays_within_its_share_of_first_calls() {
    let mut budget = ExtraLoadBudget::default();
    let mut withdrawn = 0;
    for _ in 0..1_000 {
        budget.deposit(30, 0.05);
        withdrawn += (0..10).filter(|_| budget.try_withdraw()).count();
    }
    assert!(withdrawn <= 30 * 1_000 / 20 + 2, "{withdrawn} extra calls");
    assert!(withdrawn >= 1_490, "{withdrawn}: part of the budget cannot be used");
}

/// Guards against calls that are missing from the ledger or counted twice, and against sums that
/// overflow when ledgers are merged.
#[test]
fn every_call_is_charged_once_and_sums_do_not_wrap() {
    let owner = Owner::try_from("lidwerk").expect("a constant name is valid");
    let entry = EntryName::try_from("lookup").expect("a constant name is valid");
    let mut ledger = Ledger::default();
    let mut charge = |purpose, effort| ledger.charge(&owner, &entry, Charge { purpose, effort });
    charge(Purpose::First, Effort::Reported(100));
    charge(Purpose::Hedge, Effort::Reported(50));
    charge(Purpose::Retry, Effort::Estimated(10_000));
    charge(Purpose::Retry, Effort::None);
    insta::assert_debug_snapshot!(ledger.lines());
    let mut other = ledger.lines()[0].clone();
    other.account.reported_us = u64::MAX;
    ledger.merge(other);
    assert_eq!(ledger.lines()[0].account.reported_us, u64::MAX);
}

fn not_run() -> QueryAnswer {
    Refusal::new(Reason::RateLimit, "", None).into()
}

/// Guards against a request that runs twice because its ticket is sent again, possibly after the
/// record of its outcome has expired.
#[test]
fn ticket_runs_again_only_if_the_first_attempt_provably_did_not_run() {
    let now = Instant::now();
    let host = HostName::try_from("host-0").expect("a constant name is valid");
    let mut tickets = TicketTable::new(host, Incarnation(1), now);
    let ticket = tickets.issue(now);
    let request = Fingerprint(1);
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Run)));
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Wait(_))));
    tickets.record_outcome(&ticket, &not_run());
    assert!(
        matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Run)),
        "the first attempt did not run"
    );
    let ran = QueryAnswer { outcome: OutcomeKind::Unknown, ..not_run() };
    tickets.record_outcome(&ticket, &ran);
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Wait(_))));
    let other = tickets
        .redeem(&ticket, Fingerprint(2), now)
        .expect_err("the ticket belongs to another request");
    assert_eq!(other, TicketError::OtherRequest);
    let unused = tickets.issue(now);
    let late = tickets
        .redeem(&unused, request, now + 61 * SECOND)
        .expect_err("the ticket was not used in time");
    assert_eq!(late, TicketError::ExpiredUnused);
    let expired =
        tickets.redeem(&ticket, request, now + 121 * SECOND).expect_err("the record has expired");
    assert_eq!(expired, TicketError::RecordExpired);
    assert_eq!(tickets.records(), 0, "expired records are dropped");
}

/// Guards against tickets and messages that were altered, and against a rotation of keys during
/// which hosts refuse each other's messages.
#[test]
fn forged_tickets_and_messages_are_refused_and_keys_can_be_rotated() {
    let keys = |names: &[&str]| {
        KeyRing::new(names.iter().map(|name| PeerKey(name.as_bytes().to_vec())).collect())
    };
    let (old, both, new) = (keys(&["old"]), keys(&["new", "old"]), keys(&["new"]));
    let host = HostName::try_from("host-0").expect("a constant name is valid");
    let ticket = TicketTable::new(host, Incarnation(1), Instant::now()).issue(Instant::now());
    let text = ticket.signed(&old);
    assert_eq!(Ticket::verified(&text, &both), Ok(ticket.clone()));
    assert_eq!(Ticket::verified(&text, &new), Err(TicketError::Forged));
    assert_eq!(Ticket::verified(&ticket.signed(&both), &new), Ok(ticket));
    assert_eq!(
        Ticket::verified(&text.replacen("host-0", "host-1", 1), &old),
        Err(TicketError::Forged)
    );
    let signature = old.sign("peer-request", b"message");
    assert!(
        !old.verify("peer-reply", b"message", &signature),
        "a signature is valid for one purpose only"
    );
}

/// Guards against a process that resumes after a pause and takes queries with outdated documents,
/// because it relies on an answer that was requested before the pause.
#[test]
fn paused_process_refuses_requests_until_an_answer_requested_after_the_pause() {
    let start = Instant::now();
    let lifecycle = Lifecycle::new(start);
    assert!(lifecycle.begin_request(start).is_err());
    assert!(lifecycle.mark_ready(start));
    assert!(lifecycle.begin_request(start + SECOND).is_ok());
    let resumed_at = start + 60 * SECOND;
    assert_eq!(
        lifecycle.begin_request(resumed_at).err(),
        Some(Phase::Starting),
        "the heartbeat has not detected the pause yet"
    );
    assert_eq!(lifecycle.record_heartbeat(resumed_at), Some(60 * SECOND));
    assert!(!lifecycle.mark_ready(resumed_at - MS), "the answer was requested before the pause");
    assert!(lifecycle.begin_request(resumed_at).is_err());
    assert!(lifecycle.mark_ready(resumed_at));
    assert!(lifecycle.begin_request(resumed_at).is_ok());
    lifecycle.start_leaving();
    assert!(!lifecycle.mark_ready(resumed_at), "a leaving process does not become ready");
}

/// Guards against error messages that do not identify the setting to correct, and against messages
/// that contain a peer key.
#[test]
fn invalid_setting_is_reported_with_its_name_value_and_allowed_values() {
    let valid = RawSettings {
        listen: Some("127.0.0.1:8100".to_owned()),
        host: Some("host-0".to_owned()),
        zone: Some("muc-a".to_owned()),
        platform: Some("127.0.0.1:8000".to_owned()),
        peer_keys: Some("0123456789abcdef".to_owned()),
        ..RawSettings::default()
    };
    assert!(Settings::try_from(valid.clone()).is_ok());
    let set = |change: fn(&mut RawSettings)| {
        let mut raw = valid.clone();
        change(&mut raw);
        Settings::try_from(raw).expect_err("the setting is wrong").to_string()
    };
    let errors = [
        set(|raw| raw.listen = None),
        set(|raw| raw.host = Some("Host 0".to_owned())),
        set(|raw| raw.workers = Some("0".to_owned())),
        set(|raw| raw.log_format = Some("xml".to_owned())),
        set(|raw| raw.peer_keys = Some("short".to_owned())),
        set(|raw| raw.seeds = Some("host:1".to_owned())),
    ];
    insta::assert_debug_snapshot!(errors);
}

/// Guards against an environment variable that overrides a flag.
#[test]
fn environment_variables_fill_in_settings_without_a_flag() {
    let flags = RawSettings { zone: Some("from-flag".to_owned()), ..RawSettings::default() };
    let raw = flags.or_environment(|name| match name {
        "JASMINEUSHER_ZONE" | "JASMINEUSHER_PEER_KEYS" => Some("from-environment".to_owned()),
        _ => None,
    });
    assert_eq!(raw.zone.as_deref(), Some("from-flag"));
    assert_eq!(raw.peer_keys.as_deref(), Some("from-environment"));
}

/// Guards against a page of events, on which operators rely, that differs from the code.
#[test]
fn events_page_lists_exactly_the_events_of_the_code() {
    let page = include_str!("../../docs/EVENTS.md");
    let rows: Vec<_> = page
        .lines()
        .filter(|line| line.strip_prefix("| ").is_some_and(|row| row.starts_with(char::is_numeric)))
        .collect();
    let expected: Vec<_> = Event::ALL
        .iter()
        .map(|event| format!("| {} | {} | {} |", event.number(), event.name(), event.meaning()))
        .collect();
    assert_eq!(rows, expected);
}
