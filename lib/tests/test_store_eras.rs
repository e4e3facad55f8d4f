//! The platform comes back from an older copy of its data: what was published since is gone, and
//! revisions are given out again.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::change_log::Change;
use jasmineusher_lib::change_log::ChangeLog;
use jasmineusher_lib::change_log::ChangeSet;
use jasmineusher_lib::change_log::Subject;
use jasmineusher_lib::configuration_order::ConfigurationMark;
use jasmineusher_lib::configuration_order::ConfigurationOrder;
use jasmineusher_lib::configuration_order::HOLD_TIME;
use jasmineusher_lib::configuration_order::Verdict;
use jasmineusher_lib::connection_share::HostCounts;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::ids::Era;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::Position;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::leaf_directory::EXPIRY_GRACE;
use jasmineusher_lib::leaf_directory::EntryVersion;
use jasmineusher_lib::leaf_directory::PublishedLeaf;
use jasmineusher_lib::platform_store::Decoder;
use jasmineusher_lib::platform_store::RawConfiguration;
use jasmineusher_lib::platform_store::Unusable;
use jasmineusher_lib::subscription::ChangeSource;
use jasmineusher_lib::subscription::HostCounter;
use jasmineusher_lib::subscription::Subscription;
use proptest::prelude::*;

const PLATFORM: ChangeSource = ChangeSource::Platform;

/// Decodes a configuration from `version text`, and a leaf from `port born sequence`.
struct PlainDecoder;

fn numbers(value: &[u8]) -> Vec<u64> {
    let text = std::str::from_utf8(value).expect("the tests write text");
    text.split(' ').filter_map(|number| number.parse().ok()).collect()
}

impl Decoder for PlainDecoder {
    fn configuration(&self, value: &[u8]) -> Result<RawConfiguration, Unusable> {
        Ok(RawConfiguration { version: numbers(value)[0], ..RawConfiguration::default() })
    }

    fn leaf(&self, instance: &str, value: &[u8]) -> Result<PublishedLeaf, Unusable> {
        let [port, born_ms, sequence] = numbers(value)[..] else {
            return Err(Unusable("expected three numbers".to_owned()));
        };
        Ok(PublishedLeaf {
            instance: instance.to_owned(),
            group: "careline".to_owned(),
            addr: format!("10.0.0.1:{port}").parse().expect("the port is valid"),
            zone: "muc-a".to_owned(),
            slots: 2,
            state: HostState::Live,
            cold_left: Duration::ZERO,
            entry_version: EntryVersion { born_ms, sequence },
        })
    }
}

struct OneHost;

impl HostCounter for OneHost {
    fn count(&self, _zone: &str) -> HostCounts {
        HostCounts { near: 1, far: 0, is_near: true, is_new: false }
    }
}

/// One host's view of the platform.
struct Host {
    subscription: Subscription,
    now: Instant,
}

impl Host {
    fn new() -> Self {
        let own = HostName::try_from("front-1").expect("the name is valid");
        let now = Instant::now();
        Self { subscription: Subscription::new(Box::new(PlainDecoder), own, now), now }
    }

    fn apply(&mut self, era: u64, set: ChangeSet) {
        self.subscription.apply(Era(era), set, PLATFORM, None, self.now);
    }

    fn poll(&mut self, other: &Host) {
        let set = other.subscription.since(self.subscription.position());
        let source =
            ChangeSource::Peer { configuration_era: other.subscription.configuration_era() };
        let era = other.subscription.position().era;
        self.subscription.apply(era, set, source, None, self.now);
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.subscription.apply_due(self.now);
    }

    fn version(&mut self) -> u64 {
        let view = self.subscription.build_view(&OneHost, self.now);
        view.catalogue.map_or(0, |catalogue| catalogue.version.0)
    }

    /// Returns the listed leafs as `name:port`.
    fn leafs(&mut self) -> Vec<String> {
        let view = self.subscription.build_view(&OneHost, self.now);
        let mut leafs: Vec<_> = view
            .leafs
            .iter()
            .map(|leaf| format!("{}:{}", leaf.host.name, leaf.host.addr.port()))
            .collect();
        leafs.sort();
        leafs
    }
}

fn set(position: u64, whole: bool, changes: &[(&str, u64, &str)]) -> ChangeSet {
    let change = |(subject, revision, value): &(&str, u64, &str)| Change {
        subject: match *subject {
            "configuration" => Subject::Configuration,
            instance => Subject::Leaf(instance.to_owned()),
        },
        revision: Revision(*revision),
        value: (!value.is_empty()).then(|| Bytes::from((*value).to_owned())),
    };
    ChangeSet { position: Revision(position), whole, changes: changes.iter().map(change).collect() }
}

/// A host that knows configuration 12 and three leafs at revision 100.
fn host_before() -> Host {
    let mut host = Host::new();
    let changes = [
        ("configuration", 60, "7"),
        ("a", 65, "1 10 1"),
        ("b", 66, "2 10 1"),
        ("moved", 67, "3 10 1"),
    ];
    host.apply(0, set(67, true, &changes));
    let changes =
        [("configuration", 90, "12"), ("c", 95, "5 80 1"), ("moved", 75, "4 10 2"), ("b", 96, "")];
    host.apply(0, set(100, false, &changes));
    assert_eq!((host.version(), host.leafs()), (12, leafs(&["a.10:1", "c.80:5", "moved.10:4"])));
    host
}

fn leafs(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// The copy of revision 70: before the configuration 12, before `c` and before the move.
fn copy() -> ChangeSet {
    let changes = [
        ("configuration", 60, "7"),
        ("a", 65, "1 10 1"),
        ("b", 66, "2 10 1"),
        ("moved", 67, "3 10 1"),
    ];
    set(70, true, &changes)
}

/// Guards against changes that are ignored until revisions have caught up.
#[test]
fn changes_after_the_return_are_applied_although_their_revisions_were_given_out_before() {
    let mut host = host_before();
    host.apply(1, copy());
    assert_eq!(host.subscription.position(), Position { era: Era(1), revision: Revision(70) });
    host.apply(1, set(73, false, &[("moved", 71, "6 10 3"), ("d", 72, "7 90 1")]));
    assert_eq!(host.leafs(), leafs(&["a.10:1", "c.80:5", "d.90:7", "moved.10:6"]));
    host.apply(1, set(75, false, &[("a", 74, "")]));
    assert_eq!(host.leafs(), leafs(&["c.80:5", "d.90:7", "moved.10:6"]));
}

/// Guards against leafs that serve no more because the copy lacks or does not yet know them.
#[test]
fn leaf_that_the_copy_lacks_serves_on_and_is_dropped_if_it_is_not_published_again() {
    let mut host = host_before();
    host.apply(1, copy());
    let all = leafs(&["a.10:1", "c.80:5", "moved.10:4"]);
    assert_eq!(host.leafs(), all, "no entry goes back and none that was removed comes back");
    host.wait(EXPIRY_GRACE - Duration::from_millis(1));
    assert_eq!(host.leafs(), all);
    host.wait(Duration::from_millis(2));
    assert_eq!(host.leafs(), leafs(&["a.10:1", "moved.10:4"]));
    host.apply(1, set(90, false, &[("c", 90, "5 80 1")]));
    assert_eq!(host.leafs(), all);
}

#[test]
fn leaf_that_took_over_an_address_is_the_only_one_that_serves_there() {
    let mut host = Host::new();
    host.apply(0, set(50, true, &[("configuration", 40, "7"), ("old", 41, "1 10 1")]));
    host.apply(0, set(60, false, &[("new", 60, "1 20 1")]));
    assert_eq!(host.leafs(), leafs(&["new.20:1"]));
    host.apply(0, set(61, false, &[("new", 61, "")]));
    assert_eq!(host.leafs(), leafs(&["old.10:1"]));
}

/// Guards against a configuration that goes back in force, or one that is never taken.
#[test]
fn configuration_of_the_copy_does_not_come_back_and_the_next_change_is_taken_whatever_its_number() {
    let mut host = host_before();
    host.apply(1, copy());
    assert_eq!(host.version(), 12);
    host.apply(1, set(72, false, &[("configuration", 72, "9 changed")]));
    assert_eq!(host.version(), 12, "lost versions may be published again one after the other");
    host.wait(HOLD_TIME);
    assert_eq!(host.version(), 9);
    host.apply(1, set(73, false, &[("configuration", 73, "10")]));
    assert_eq!(host.version(), 10);
    host.apply(1, set(74, false, &[("configuration", 74, "9 again")]));
    host.wait(HOLD_TIME);
    assert_eq!(host.version(), 10, "within an era a lower version is not taken");
}

#[test]
fn versions_that_are_published_again_one_after_the_other_change_nothing() {
    let mut host = host_before();
    host.apply(1, copy());
    for (revision, value) in [(71, "8 unknown here"), (72, "9 unknown here"), (73, "12")] {
        host.apply(1, set(revision, false, &[("configuration", revision, value)]));
        host.wait(HOLD_TIME / 2);
        assert_eq!(host.version(), 12);
    }
    host.wait(HOLD_TIME);
    assert_eq!(host.version(), 12);
}

/// Guards against hosts that disagree after the return.
#[test]
fn hosts_that_saw_the_return_or_did_not_or_started_after_it_end_with_the_same_view() {
    let mut reader = host_before();
    let mut cut_off = host_before();
    let mut with_old_era = host_before();
    reader.apply(1, copy());
    reader.apply(1, set(72, false, &[("configuration", 71, "9 changed"), ("c", 72, "5 80 2")]));
    reader.wait(HOLD_TIME);
    let mut fresh = Host::new();
    for host in [&mut fresh, &mut cut_off, &mut with_old_era] {
        host.poll(&reader);
        host.wait(HOLD_TIME.max(EXPIRY_GRACE));
        host.poll(&reader);
    }
    reader.wait(EXPIRY_GRACE);
    // Changes of the old era arrive late.
    let late = host_before();
    with_old_era.poll(&late);
    let expected = (9, leafs(&["a.10:1", "c.80:5", "moved.10:4"]));
    assert_eq!((reader.version(), reader.leafs()), expected);
    assert_eq!((cut_off.version(), cut_off.leafs()), expected);
    assert_eq!((with_old_era.version(), with_old_era.leafs()), expected);
    assert_eq!(fresh.version(), 9);
}

#[test]
fn two_returns_one_after_the_other_are_followed() {
    let mut host = host_before();
    host.apply(1, copy());
    host.apply(1, set(71, false, &[("configuration", 71, "14")]));
    host.apply(2, set(40, true, &[("configuration", 30, "5"), ("a", 35, "1 10 1")]));
    assert_eq!((host.version(), host.leafs()), (14, leafs(&["a.10:1", "c.80:5", "moved.10:4"])));
    host.apply(1, set(99, true, &[("configuration", 99, "99")]));
    assert_eq!(host.version(), 14, "an answer of an older era changes nothing");
    host.apply(2, set(42, false, &[("configuration", 41, "15"), ("c", 42, "5 80 1")]));
    host.wait(EXPIRY_GRACE);
    assert_eq!((host.version(), host.leafs()), (15, leafs(&["a.10:1", "c.80:5"])));
}

/// Guards against a part of the changes of a later era that is taken for all of them.
#[test]
fn changes_of_a_later_era_wait_for_its_full_snapshot() {
    let mut host = host_before();
    host.apply(1, set(101, false, &[("a", 101, "")]));
    assert_eq!(host.subscription.position(), Position { era: Era(0), revision: Revision(100) });
    assert_eq!(host.leafs(), leafs(&["a.10:1", "c.80:5", "moved.10:4"]));
}

#[test]
fn configuration_that_came_back_is_told_from_one_that_was_changed_on_purpose() {
    let mut order = ConfigurationOrder::default();
    let mut judge = |version, digest, published_in: Option<u64>| {
        let published_in = published_in.map(Era);
        order.judge(ConfigurationMark { version: IndexVersion(version), digest, published_in })
    };
    assert_eq!(judge(7, 70, None), Verdict::Apply);
    assert_eq!(judge(12, 120, Some(0)), Verdict::Apply);
    assert_eq!(judge(7, 70, None), Verdict::Stale, "the copy");
    assert_eq!(judge(7, 70, Some(1)), Verdict::Stale, "published again");
    assert_eq!(judge(8, 80, None), Verdict::Stale, "perhaps of the copy");
    assert_eq!(judge(9, 90, Some(1)), Verdict::Hold);
    assert_eq!(judge(12, 120, Some(1)), Verdict::Confirm);
    assert_eq!(judge(11, 110, Some(1)), Verdict::Stale);
    assert_eq!(judge(13, 130, None), Verdict::Apply);
}

/// Prints the time that a list and an exchange of 2,000 leafs take.
#[test]
fn measured_list_and_exchange_hold_all_leafs() {
    let entry = |n: u64| Change {
        subject: Subject::Leaf(format!("leaf-{n}")),
        revision: Revision(n + 1),
        value: Some(Bytes::from(vec![7; 200])),
    };
    let list = || ChangeSet {
        position: Revision(2_000),
        whole: true,
        changes: (0..2_000).map(entry).collect(),
    };
    let mut log = ChangeLog::default();
    log.apply(Era(0), list());
    let started = Instant::now();
    assert!(log.apply(Era(0), list()).is_empty());
    let listed = started.elapsed();
    let started = Instant::now();
    assert!(log.apply(Era(1), list()).is_empty());
    let returned = started.elapsed();
    let started = Instant::now();
    assert_eq!(log.since(Position::default()).changes.len(), 2_000);
    println!(
        "list {listed:?}, first list of an era {returned:?}, exchange {:?}",
        started.elapsed()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// A platform changes and comes back from older copies; one host follows it, and another one
    /// follows that host from time to time.
    #[test]
    fn follower_of_a_platform_that_goes_back_ends_with_its_entries(
        steps in proptest::collection::vec((0_u8..6, proptest::option::of(0_u8..9), 0_u8..10), 1..80),
        polls in proptest::collection::vec(any::<bool>(), 80),
    ) {
        let mut present: std::collections::BTreeMap<u8, (u64, u8)> = Default::default();
        let (mut era, mut revision) = (0, 0);
        let mut copies = vec![(revision, present.clone())];
        let (mut reader, mut follower) = (ChangeLog::default(), ChangeLog::default());
        let entry = |key: u8, revision: u64, value: Option<u8>| Change {
            subject: Subject::Leaf(format!("leaf-{key}")),
            revision: Revision(revision),
            value: value.map(|byte| Bytes::from(vec![byte])),
        };
        for (n, (key, value, kind)) in steps.iter().enumerate() {
            if *kind == 0 {
                let (copied_revision, copied) = copies[n % copies.len()].clone();
                (era, revision, present) = (era + 1, copied_revision, copied);
                let changes = present.iter().map(|(k, (r, v))| entry(*k, *r, Some(*v))).collect();
                let position = Revision(revision);
                reader.apply(Era(era), ChangeSet { position, whole: true, changes });
            } else {
                revision += 1;
                match value {
                    Some(value) => drop(present.insert(*key, (revision, *value))),
                    None => drop(present.remove(key)),
                }
                let changes = vec![entry(*key, revision, *value)];
                let position = Revision(revision);
                reader.apply(Era(era), ChangeSet { position, whole: false, changes });
            }
            copies.push((revision, present.clone()));
            if polls[n] {
                follower.apply(reader.position().era, reader.since(follower.position()));
            }
        }
        follower.apply(reader.position().era, reader.since(follower.position()));
        let entries = |log: &ChangeLog| {
            let mut all = log.since(Position::default()).changes;
            all.retain(|change| change.value.is_some());
            all.sort_by(|a, b| a.subject.cmp(&b.subject));
            all
        };
        let expected: Vec<_> =
            present.iter().map(|(key, (r, v))| entry(*key, *r, Some(*v))).collect();
        prop_assert_eq!(entries(&reader), expected.clone());
        prop_assert_eq!(entries(&follower), expected);
    }
}
