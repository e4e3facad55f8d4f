//! Small tables: gate, belief, budget, ledger, quarantine, tickets, lifecycle and settings.

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
use jasmineusher_lib::quarantine::Decision;
use jasmineusher_lib::quarantine::Fingerprint;
use jasmineusher_lib::quarantine::Quarantine;
use jasmineusher_lib::quarantine::SuspectReport;
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

#[test]
fn urgent_waiter_goes_before_every_ordinary_one() {
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

#[test]
fn gate_refuses_what_cannot_start_in_time_and_drops_what_waited_too_long() {
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
    assert!((4..=8).contains(&before), "{before}");
    assert!(after[0] <= before / 2 + 1 && after[1] <= after[0], "{after:?}");
}

#[test]
fn own_observations_go_before_the_host_list_and_ejected_leafs_are_probed() {
    let now = Instant::now();
    let mut estimates = LeafEstimates::default();
    estimates.set_listed_leaving(false);
    assert!(
        !estimates.record_loss(now) && !estimates.record_loss(now) && estimates.record_loss(now)
    );
    assert_eq!(estimates.usability(now), Usability::Ejected, "the list says live, the calls fail");
    assert_eq!(estimates.usability(now + SECOND), Usability::Usable, "it is probed later");
    estimates.record_loss(now + SECOND);
    assert_eq!(estimates.usability(now + 1_600 * MS), Usability::Ejected, "and stays out longer");
    estimates.record_answer(MS, 0, now + 3 * SECOND);
    assert_eq!(estimates.usability(now + 3 * SECOND), Usability::Usable);
    estimates.record_draining(now + 3 * SECOND);
    assert_eq!(estimates.usability(now + 3 * SECOND), Usability::Draining, "the list lags");
}

#[test]
fn news_of_draining_that_is_older_than_an_own_answer_is_ignored() {
    let now = Instant::now() + 10 * SECOND;
    let mut estimates = LeafEstimates::default();
    estimates.record_answer(MS, 0, now);
    estimates.record_reported_draining(SECOND, now + 500 * MS);
    assert_eq!(estimates.usability(now + 500 * MS), Usability::Usable);
    estimates.record_reported_draining(100 * MS, now + 500 * MS);
    assert_eq!(estimates.usability(now + 500 * MS), Usability::Draining);
}

#[test]
fn extra_load_stays_within_its_share_of_first_calls() {
    let mut budget = ExtraLoadBudget::default();
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.deposit(30, 0.05);
        taken += (0..10).filter(|_| budget.try_withdraw()).count();
    }
    assert!(taken <= 30 * 1_000 / 20 + 2, "{taken}");
    assert!(taken >= 1_490, "{taken}: the budget can be used up");
}

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

#[test]
fn suspected_request_gets_one_trial_at_a_time_and_a_condemned_one_none() {
    let now = Instant::now();
    let request = Fingerprint(1);
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.decide(request, now, now), Decision::Run);
    assert!(quarantine.suspect(request, now));
    assert!(!quarantine.suspect(request, now), "it is known");
    let due = now + SECOND;
    assert_eq!(quarantine.decide(request, due, now), Decision::Probe);
    assert_eq!(quarantine.decide(request, due, now), Decision::Refuse(SECOND));
    quarantine.clear(request);
    assert_eq!(quarantine.decide(request, due, now), Decision::Run);
    quarantine.suspect(request, now);
    quarantine.block(request, now);
    assert!(matches!(quarantine.decide(request, due, now), Decision::Refuse(_)));
    let weaker = SuspectReport { fingerprint: request, condemned: false, remaining_ms: 1 };
    quarantine.merge(weaker, now);
    assert!(quarantine.reports(now)[0].condemned, "weaker news changes nothing");
    assert_eq!(quarantine.decide(request, due, now + 130 * SECOND), Decision::Run, "it expires");
}

fn not_run() -> QueryAnswer {
    Refusal::new(Reason::RateLimit, "", None).into()
}

#[test]
fn ticket_runs_once_unless_it_is_proved_not_to_have_run() {
    let now = Instant::now();
    let host = HostName::try_from("host-0").expect("a constant name is valid");
    let mut tickets = TicketTable::new(host, Incarnation(1), now);
    let ticket = tickets.issue(now);
    let request = Fingerprint(1);
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Run)));
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Wait(_))));
    tickets.record_outcome(&ticket, &not_run());
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Run)), "it did not run");
    let ran = QueryAnswer { outcome: OutcomeKind::Unknown, ..not_run() };
    tickets.record_outcome(&ticket, &ran);
    assert!(matches!(tickets.redeem(&ticket, request, now), Ok(Redemption::Wait(_))));
    let other = tickets.redeem(&ticket, Fingerprint(2), now).expect_err("another request");
    assert_eq!(other, TicketError::OtherRequest);
    let unused = tickets.issue(now);
    let late = tickets.redeem(&unused, request, now + 61 * SECOND).expect_err("too late");
    assert_eq!(late, TicketError::ExpiredUnused);
    let lost = tickets.redeem(&ticket, request, now + 121 * SECOND).expect_err("no record left");
    assert_eq!(lost, TicketError::RecordExpired);
    assert_eq!(tickets.records(), 0, "records are dropped in time");
}

#[test]
fn tickets_and_messages_are_not_forged_and_keys_can_be_rotated() {
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
    assert!(!old.verify("peer-reply", b"message", &signature), "each purpose has its own");
}

#[test]
fn paused_process_takes_nothing_until_it_has_checked_with_news_asked_for_later() {
    let start = Instant::now();
    let lifecycle = Lifecycle::new(start);
    assert!(lifecycle.begin_request(start).is_err());
    assert!(lifecycle.mark_ready(start));
    assert!(lifecycle.begin_request(start + SECOND).is_ok());
    let woken = start + 60 * SECOND;
    assert_eq!(
        lifecycle.begin_request(woken).err(),
        Some(Phase::Starting),
        "before the loop has noticed"
    );
    assert_eq!(lifecycle.record_heartbeat(woken), Some(60 * SECOND));
    assert!(!lifecycle.mark_ready(woken - MS), "an answer to a question from before the pause");
    assert!(lifecycle.begin_request(woken).is_err());
    assert!(lifecycle.mark_ready(woken));
    assert!(lifecycle.begin_request(woken).is_ok());
    lifecycle.start_leaving();
    assert!(!lifecycle.mark_ready(woken), "leaving is final");
}

#[test]
fn wrong_setting_names_itself_its_value_and_what_is_allowed() {
    let sound = RawSettings {
        listen: Some("127.0.0.1:8100".to_owned()),
        host: Some("host-0".to_owned()),
        zone: Some("muc-a".to_owned()),
        platform: Some("127.0.0.1:8000".to_owned()),
        peer_keys: Some("0123456789abcdef".to_owned()),
        ..RawSettings::default()
    };
    assert!(Settings::try_from(sound.clone()).is_ok());
    let set = |change: fn(&mut RawSettings)| {
        let mut raw = sound.clone();
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

#[test]
fn environment_fills_in_what_flags_leave_out() {
    let flags = RawSettings { zone: Some("from-flag".to_owned()), ..RawSettings::default() };
    let raw = flags.or_environment(|name| match name {
        "JASMINEUSHER_ZONE" | "JASMINEUSHER_PEER_KEYS" => Some("from-environment".to_owned()),
        _ => None,
    });
    assert_eq!(raw.zone.as_deref(), Some("from-flag"));
    assert_eq!(raw.peer_keys.as_deref(), Some("from-environment"));
}

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
