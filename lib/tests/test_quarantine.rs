//! Tests of poison request detection: which crashes are attributed to a request, and what hosts that
//! exchange their records decide.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::crash_detector::CrashDetector;
use jasmineusher_lib::crash_detector::LeafCheck;
use jasmineusher_lib::crash_detector::UnansweredCall;
use jasmineusher_lib::fingerprint::Fingerprint;
use jasmineusher_lib::fleet::AgedRecord;
use jasmineusher_lib::fleet::Fleet;
use jasmineusher_lib::fleet::HostRecord;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::LeafHash;
use jasmineusher_lib::ids::LeafKey;
use jasmineusher_lib::plan::Suspicion;
use jasmineusher_lib::quarantine::Crash;
use jasmineusher_lib::quarantine::Decision;
use jasmineusher_lib::quarantine::Quarantine;
use jasmineusher_lib::suspect_report::SuspectReport;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: Duration = Duration::from_secs(1);
const REQUEST: Fingerprint = Fingerprint(1);
/// Number of crashes that block a request in these tests.
const BLOCKING_CRASHES: usize = 3;

fn call(leaf: u32, started_at: Instant) -> UnansweredCall {
    UnansweredCall {
        fingerprint: REQUEST,
        leaf: LeafKey(leaf),
        leaf_hash: LeafHash(leaf.into()),
        started_at,
        was_probe: false,
    }
}

fn crash(leaf: u64) -> Crash {
    Crash { fingerprint: REQUEST, leaf: LeafHash(leaf), was_probe: false }
}

fn probe_crash(leaf: u64) -> Crash {
    Crash { was_probe: true, ..crash(leaf) }
}

/// Lets each host send its reports to all others until nothing can change any more.
fn exchange_all(hosts: &mut [Quarantine], now: Instant) {
    for _ in 0..hosts.len() {
        for from in 0..hosts.len() {
            let reports = hosts[from].reports(now);
            for host in hosts.iter_mut() {
                reports.iter().for_each(|report| _ = host.merge(report, now));
            }
        }
    }
}

fn hosts(count: usize) -> Vec<Quarantine> {
    (0..count).map(|_| Quarantine::new(BLOCKING_CRASHES)).collect()
}

/// Connections break for many reasons. Only if the leaf is found lost does an unanswered call count
/// as a crash caused by the request.
#[test]
fn broken_connections_alone_are_no_crashes() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    for leaf in 0..20 {
        assert_eq!(detector.record_unanswered(call(leaf, now), LeafCheck::Connect, now), None);
    }
    assert_eq!(detector.record_lost_leaf(LeafKey(99), now), []);
}

/// A host may not connect to a leaf for seconds after it has lost a call there, and a leaf that
/// fell silent is missing from the list only when its entry has expired.
#[test]
fn leaf_found_lost_seconds_after_an_unanswered_call_counts_as_crashed() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_unanswered(call(4, now), LeafCheck::None, now);
    assert_eq!(detector.record_lost_leaf(LeafKey(4), now + 5 * SECOND), [crash(4)]);
    assert_eq!(detector.record_lost_leaf(LeafKey(4), now + 5 * SECOND), [], "it counts once");
    detector.record_unanswered(call(5, now), LeafCheck::None, now);
    assert_eq!(detector.record_lost_leaf(LeafKey(5), now + 11 * SECOND), [], "too late");
}

/// A leaf may be replaced while the call to its former incarnation still waits for an answer.
#[test]
fn call_that_ends_after_its_leaf_was_found_lost_counts_as_a_crash() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_lost_leaf(LeafKey(4), now + SECOND);
    let ended_at = now + 3 * SECOND;
    let late = detector.record_unanswered(call(4, now), LeafCheck::Connect, ended_at);
    assert_eq!(late, Some(crash(4)));
    let later = call(4, now + 2 * SECOND);
    let after_restart = detector.record_unanswered(later, LeafCheck::Connect, ended_at);
    assert_eq!(after_restart, None, "the call was written after the loss");
}

/// Hosts go on calling a leaf on open connections for a while after they found it lost. The requests
/// of these calls did not crash it.
#[test]
fn call_written_after_its_leaf_was_found_lost_is_no_crash() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_lost_leaf(LeafKey(4), now);
    let later = now + SECOND;
    detector.record_unanswered(call(4, later), LeafCheck::Connect, later);
    assert_eq!(detector.record_lost_leaf(LeafKey(4), later + SECOND), []);
    detector.record_connected(LeafKey(4));
    detector.record_unanswered(call(4, later), LeafCheck::Connect, later);
    let crashes = detector.record_lost_leaf(LeafKey(4), later + SECOND);
    assert_eq!(crashes, [crash(4)], "the leaf was back before the call");
}

/// Several calls of one request run on a leaf when it is lost. That is one crash.
#[test]
fn one_lost_leaf_with_three_calls_of_a_request_is_one_crash() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    for _ in 0..3 {
        detector.record_unanswered(call(4, now), LeafCheck::Connect, now);
    }
    assert_eq!(detector.record_lost_leaf(LeafKey(4), now), [crash(4)]);
    let mut quarantine = Quarantine::new(1);
    quarantine.record_crash(probe_crash(4), now);
    assert_eq!(quarantine.record_crash(probe_crash(4), now), None, "two hosts may detect it");
}

#[test]
fn request_that_was_answered_is_not_blamed_for_a_leaf_lost_later() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_unanswered(call(4, now), LeafCheck::Connect, now);
    detector.record_answer(REQUEST);
    assert_eq!(detector.record_lost_leaf(LeafKey(4), now), []);
}

/// Each check opens a connection, of which a crowded leaf has none left.
#[test]
fn leafs_of_unanswered_calls_are_checked_twice_and_a_few_at_a_time() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    for leaf in 0..6 {
        detector.record_unanswered(call(leaf, now), LeafCheck::Connect, now);
    }
    detector.record_unanswered(call(6, now), LeafCheck::None, now);
    let mut checks: Vec<_> = (0..100)
        .flat_map(|round| detector.leafs_to_check(now + round * Duration::from_millis(50)))
        .collect();
    assert!(detector.leafs_to_check(now).is_empty());
    checks.sort();
    assert_eq!(checks, (0..6).flat_map(|leaf| [LeafKey(leaf); 2]).collect::<Vec<_>>());
}

/// Three hosts each detect one crash before they hear of each other. If they exchanged numbers, each
/// would still hold the number 1.
#[test]
fn crashes_counted_by_three_hosts_at_once_add_up_to_three() {
    let now = Instant::now();
    let mut hosts = hosts(3);
    for (host, leaf) in hosts.iter_mut().zip(0..) {
        host.record_crash(probe_crash(leaf), now);
    }
    exchange_all(&mut hosts, now);
    for host in &hosts {
        assert_eq!(host.suspicion(REQUEST, now), Suspicion::Blocked);
        assert_eq!(host.reports(now)[0].crashes.len(), 3);
    }
}

/// A lost rack takes many leafs at once, on which harmless requests run too.
#[test]
fn leafs_lost_at_once_make_a_request_suspected_and_block_it_only_after_a_probe() {
    let now = Instant::now();
    let mut hosts = hosts(3);
    for leaf in 0..12 {
        hosts[leaf as usize % 3].record_crash(crash(leaf), now);
    }
    exchange_all(&mut hosts, now);
    for host in &mut hosts {
        assert_eq!(host.suspicion(REQUEST, now), Suspicion::Suspected);
    }
    hosts[1].record_crash(probe_crash(12), now);
    exchange_all(&mut hosts, now);
    for host in &mut hosts {
        assert!(matches!(host.decide(REQUEST, now), Decision::Refuse(_)));
    }
}

/// Reports of the crashes are still on their way when the request is answered, and must not make it
/// suspected again.
#[test]
fn answer_on_one_host_clears_a_request_on_all() {
    let now = Instant::now();
    let mut hosts = hosts(3);
    (0..3).for_each(|leaf| _ = hosts[0].record_crash(probe_crash(leaf), now));
    let old_reports = hosts[0].reports(now);
    exchange_all(&mut hosts, now);
    let answered_at = now + SECOND;
    assert!(hosts[2].record_answer(REQUEST, answered_at));
    exchange_all(&mut hosts, answered_at);
    for host in &mut hosts {
        assert_eq!(host.decide(REQUEST, answered_at), Decision::Run);
    }
    let mut late_report = old_reports[0].clone();
    late_report.crashes.iter_mut().for_each(|crash| crash.age += SECOND);
    assert_eq!(hosts[1].merge(&late_report, answered_at), None);
    let crash_at = answered_at + 4 * SECOND;
    hosts[1].record_crash(crash(3), crash_at);
    assert_eq!(hosts[1].suspicion(REQUEST, crash_at), Suspicion::Suspected, "a new crash counts");
}

/// Requests that are sent often run on many leafs, and some of them on each leaf that is lost.
#[test]
fn request_answered_shortly_before_is_not_suspected_for_a_lost_leaf() {
    let now = Instant::now();
    let mut hosts = hosts(2);
    hosts[0].record_answer(REQUEST, now);
    let crash_at = now + 2 * SECOND;
    hosts[1].record_crash(crash(0), crash_at);
    assert_eq!(hosts[1].suspicion(REQUEST, crash_at), Suspicion::Suspected);
    exchange_all(&mut hosts, crash_at);
    for host in &hosts {
        assert_eq!(host.suspicion(REQUEST, crash_at), Suspicion::Clear);
    }
}

/// Guards against a poison request that crashes several leafs at once because it runs several times
/// while it is suspected, on one host or on several.
#[test]
fn suspected_request_gets_one_probe_at_a_time_and_a_blocked_one_none() {
    let now = Instant::now();
    let pause = Duration::from_millis(300);
    let mut hosts = hosts(2);
    assert_eq!(hosts[0].decide(REQUEST, now), Decision::Run);
    hosts[0].record_crash(crash(0), now);
    exchange_all(&mut hosts, now);
    assert_eq!(hosts[0].decide(REQUEST, now), Decision::Probe);
    assert_eq!(hosts[0].decide(REQUEST, now), Decision::Refuse(pause));
    exchange_all(&mut hosts, now);
    assert_eq!(hosts[1].decide(REQUEST, now), Decision::Refuse(pause));
    hosts[0].release_probe(REQUEST);
    assert_eq!(hosts[0].decide(REQUEST, now), Decision::Probe, "no leaf has run the probe");
    let now = now + pause;
    assert_eq!(hosts[1].decide(REQUEST, now), Decision::Probe, "the first one went unanswered");
    exchange_all(&mut hosts, now);
    assert_eq!(hosts[0].decide(REQUEST, now), Decision::Refuse(2 * pause));
    hosts[0].record_crash(probe_crash(1), now);
    hosts[0].record_crash(probe_crash(2), now);
    assert!(matches!(hosts[0].decide(REQUEST, now), Decision::Refuse(wait) if wait > SECOND));
    let weaker = hosts[1].reports(now);
    assert_eq!(hosts[0].merge(&weaker[0], now), None);
    assert_eq!(hosts[0].suspicion(REQUEST, now), Suspicion::Blocked, "a weaker report lifts none");
}

/// A message may hold any number, as it is not checked on the users' platform.
#[test]
fn report_with_the_greatest_number_of_probes_does_not_overflow() {
    let now = Instant::now();
    let mut hosts = hosts(2);
    hosts[0].record_crash(crash(0), now);
    let mut report = hosts[0].reports(now).remove(0);
    report.probes = u32::MAX;
    hosts[1].merge(&report, now);
    assert_eq!(hosts[1].decide(REQUEST, now), Decision::Probe);
    assert_eq!(hosts[1].decide(REQUEST, now), Decision::Refuse(10 * SECOND));
}

/// If a request ran like any other after its block, it would crash a leaf of each shard again.
#[test]
fn request_is_probed_after_its_block_and_a_further_block_lasts_twice_as_long() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(2);
    quarantine.record_crash(crash(0), now);
    quarantine.record_crash(probe_crash(1), now);
    let refused = |decision| match decision {
        Decision::Refuse(wait) => wait,
        other => panic!("the request must be refused, not {other:?}"),
    };
    assert_eq!(refused(quarantine.decide(REQUEST, now)), 120 * SECOND);
    let after_block = now + 121 * SECOND;
    assert_eq!(quarantine.decide(REQUEST, after_block), Decision::Probe);
    quarantine.record_crash(probe_crash(2), after_block);
    let wait = refused(quarantine.decide(REQUEST, after_block));
    assert_eq!(wait, 240 * SECOND);
    let much_later = after_block + 301 * SECOND;
    assert_eq!(quarantine.decide(REQUEST, much_later), Decision::Run);
}

/// Hosts of the own interface are restarted one by one with a new version, and exchange reports with
/// those of the version before, which have fewer fields.
#[test]
fn report_of_the_version_before_suspects_or_blocks_and_is_read_by_it() {
    let now = Instant::now();
    for (condemned, expected) in [(false, Suspicion::Suspected), (true, Suspicion::Blocked)] {
        let earlier = serde_json::json!({
            "fingerprint": 1, "condemned": condemned, "remaining_ms": 5_000
        });
        let earlier: SuspectReport = serde_json::from_value(earlier).expect("the report is read");
        let mut quarantine = Quarantine::default();
        quarantine.merge(&earlier, now);
        assert_eq!(quarantine.suspicion(REQUEST, now), expected);
        let sent = serde_json::to_value(&quarantine.reports(now)[0]).expect("a report serialises");
        assert_eq!(sent["condemned"], condemned);
        assert!(sent["remaining_ms"].as_u64() > Some(50_000));
    }
}

#[derive(Clone, Copy, Debug)]
enum TestEvent {
    Crash(u64, bool),
    Answer,
}

fn test_events() -> impl Strategy<Value = Vec<(usize, TestEvent)>> {
    let event = prop_oneof![
        5 => (0..6_u64, any::<bool>()).prop_map(|(leaf, probe)| TestEvent::Crash(leaf, probe)),
        1 => Just(TestEvent::Answer),
    ];
    prop::collection::vec((0..4_usize, event), 1..24)
}

proptest! {
    /// Hosts that have received the same reports must agree, whichever of them detected what and
    /// in whatever order the reports arrived.
    #[test]
    fn hosts_agree_after_any_events_and_any_order_of_exchanges(
        events in test_events(),
        exchanges in prop::collection::vec((0..4_usize, 0..4_usize), 0..40),
    ) {
        let mut now = Instant::now();
        let mut hosts = hosts(4);
        let mut exchanges = exchanges.into_iter();
        for (host, event) in events {
            now += Duration::from_millis(10);
            match event {
                TestEvent::Crash(leaf, was_probe) => {
                    let crash = Crash { was_probe, ..crash(leaf) };
                    hosts[host].record_crash(crash, now);
                }
                TestEvent::Answer => _ = hosts[host].record_answer(REQUEST, now),
            }
            if let Some((from, to)) = exchanges.next() {
                let reports = hosts[from].reports(now);
                reports.iter().for_each(|report| _ = hosts[to].merge(report, now));
            }
        }
        exchange_all(&mut hosts, now);
        let suspicions: Vec<_> = hosts.iter().map(|h| h.suspicion(REQUEST, now)).collect();
        prop_assert!(suspicions.iter().all(|s| *s == suspicions[0]), "{suspicions:?}");
    }
}

/// Hosts of a fleet that know each other, with a quarantine each.
struct TestFleet {
    hosts: Vec<(SocketAddr, Fleet, Quarantine)>,
    rng: StdRng,
}

impl TestFleet {
    fn new(count: u8, seed: u64, now: Instant) -> Self {
        let record = |number: u8| HostRecord {
            name: format!("front-{number}"),
            addr: SocketAddr::from(([10, 0, 0, number], 8224)),
            zone: format!("zone-{}", number % 6),
            incarnation: Incarnation(1),
            leaving: false,
            blind: false,
        };
        let records: Vec<_> = (0..count)
            .map(|number| AgedRecord { card: record(number), age: Duration::ZERO })
            .collect();
        let host = |number| {
            let mut fleet = Fleet::new(record(number), [], now);
            fleet.merge_records(records.clone(), now);
            (record(number).addr, fleet, Quarantine::new(BLOCKING_CRASHES))
        };
        Self { hosts: (0..count).map(host).collect(), rng: StdRng::seed_from_u64(seed) }
    }

    /// Lets each host announce its news to `fan_out` others until none has any left. Returns the
    /// number of rounds. A share `loss` of the announcements does not arrive.
    fn announce(&mut self, fan_out: usize, loss: f64, now: Instant) -> usize {
        for round in 0.. {
            let mut messages = Vec::new();
            for (_, fleet, quarantine) in &mut self.hosts {
                let news = quarantine.take_news(32, now);
                if !news.is_empty() {
                    let peers = fleet.sample(&mut self.rng, fan_out);
                    messages.extend(peers.into_iter().map(|peer| (peer, news.clone())));
                }
            }
            if messages.is_empty() {
                return round;
            }
            for (peer, news) in messages {
                let is_lost = self.rng.random_bool(loss);
                let to = self.hosts.iter_mut().find(|(addr, ..)| *addr == peer && !is_lost);
                if let Some((_, _, quarantine)) = to {
                    news.iter().for_each(|report| _ = quarantine.merge(report, now));
                }
            }
        }
        unreachable!("the rounds are not bounded")
    }
}

/// A large outage makes many requests suspected at once.
#[test]
fn requests_with_the_most_crashes_are_announced_first() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(BLOCKING_CRASHES);
    for request in 0..100 {
        for leaf in 0..=u64::from(request == 70) {
            let fingerprint = Fingerprint(request);
            quarantine.record_crash(Crash { fingerprint, ..crash(leaf) }, now);
        }
    }
    let first = quarantine.take_news(32, now);
    assert_eq!((first.len(), first[0].fingerprint), (32, Fingerprint(70)));
    let rest: Vec<_> = (0..3).flat_map(|_| quarantine.take_news(32, now)).collect();
    assert_eq!((rest.len(), quarantine.has_news()), (68, false));
}

/// Exchanges every 2 s alone need several rounds, in which the request goes on crashing leafs.
#[test]
fn announced_crashes_reach_nearly_all_of_84_hosts_within_few_hops() {
    let now = Instant::now();
    for seed in 0..20 {
        let mut fleet = TestFleet::new(84, seed, now);
        for leaf in 0..3 {
            fleet.hosts[leaf as usize].2.record_crash(probe_crash(leaf), now);
        }
        let rounds = fleet.announce(6, 0.1, now);
        let blocked = fleet
            .hosts
            .iter()
            .filter(|(_, _, quarantine)| quarantine.suspicion(REQUEST, now) == Suspicion::Blocked);
        assert!(rounds <= 10, "seed {seed}: {rounds} rounds");
        let blocked = blocked.count();
        assert!(blocked >= 80, "seed {seed}: {blocked} of 84 hosts block the request");
    }
}
