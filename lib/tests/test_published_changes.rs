//! Leaf entries and the configuration, which are published, changed and removed one by one, and
//! the exchange of these changes between hosts.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::change_log::Change;
use jasmineusher_lib::change_log::ChangeLog;
use jasmineusher_lib::change_log::ChangeSet;
use jasmineusher_lib::change_log::Subject;
use jasmineusher_lib::connection_share::HostCounts;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::ids::Era;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::Position;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::leaf_directory::EXPIRY_GRACE;
use jasmineusher_lib::leaf_directory::EntryEffect;
use jasmineusher_lib::leaf_directory::EntryVersion;
use jasmineusher_lib::leaf_directory::LeafDirectory;
use jasmineusher_lib::leaf_directory::PublishedLeaf;
use jasmineusher_lib::outage::OutageTracker;
use jasmineusher_lib::outage::Transition;
use jasmineusher_lib::platform_store::Decoder;
use jasmineusher_lib::platform_store::RawConfiguration;
use jasmineusher_lib::platform_store::Unusable;
use jasmineusher_lib::subscription::ChangeSource;
use jasmineusher_lib::subscription::HostCounter;
use jasmineusher_lib::subscription::Subscription;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn leaf(instance: &str, born_ms: u64, sequence: u64, state: HostState) -> PublishedLeaf {
    PublishedLeaf {
        instance: instance.to_owned(),
        group: "careline".to_owned(),
        addr: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "muc-a".to_owned(),
        slots: 2,
        state,
        cold_left: Duration::ZERO,
        entry_version: EntryVersion { born_ms, sequence },
    }
}

fn states(directory: &LeafDirectory) -> Vec<(String, HostState)> {
    directory
        .leafs()
        .map(|directory_leaf| (directory_leaf.leaf.instance.clone(), directory_leaf.leaf.state))
        .collect()
}

/// Entries of a leaf can reach the platform out of order. If an earlier entry replaced a later one,
/// a leaving leaf would be called again.
#[test]
fn older_entry_of_a_leaf_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut directory = LeafDirectory::default();
    directory.apply_entry(leaf("a", 100, 7, HostState::Leaving), Revision(1), now);
    let late = directory.apply_entry(leaf("a", 100, 6, HostState::Live), Revision(2), now);
    assert_eq!(late, EntryEffect::Stale);
    assert_eq!(
        directory.apply_entry(leaf("a", 90, 99, HostState::Live), Revision(3), now),
        EntryEffect::Stale
    );
    assert_eq!(states(&directory), [("a".to_owned(), HostState::Leaving)]);
    assert_eq!(
        directory.apply_entry(leaf("a", 200, 1, HostState::Live), Revision(4), now),
        EntryEffect::Applied
    );
}

/// An entry that the leaf wrote before its removal can arrive after it. If it were applied, a
/// stopped leaf would be called.
#[test]
fn late_entry_of_a_removed_leaf_does_not_bring_it_back() {
    let now = Instant::now();
    let mut directory = LeafDirectory::default();
    directory.apply_entry(leaf("a", 100, 7, HostState::Leaving), Revision(1), now);
    assert!(directory.remove_entry("a", None, now));
    assert_eq!(
        directory.apply_entry(leaf("a", 100, 6, HostState::Live), Revision(3), now),
        EntryEffect::Stale
    );
    assert_eq!(
        directory.apply_entry(leaf("a", 100, 8, HostState::Live), Revision(4), now),
        EntryEffect::Applied
    );
}

/// During an outage leafs cannot renew their entries. Without a grace period all of them would be
/// removed when the platform returns; with an endless one, stopped leafs would still be called.
#[test]
fn leaf_that_expired_in_an_outage_is_usable_for_two_seconds_and_then_removed() {
    let now = Instant::now();
    let mut directory = LeafDirectory::default();
    directory.apply_entry(leaf("a", 100, 7, HostState::Live), Revision(1), now);
    directory.apply_entry(leaf("b", 100, 7, HostState::Leaving), Revision(1), now);
    directory.apply_entry(leaf("c", 100, 7, HostState::Live), Revision(1), now);
    for instance in ["a", "b", "c"] {
        directory.remove_entry(instance, Some(now + EXPIRY_GRACE), now);
    }
    assert_eq!(states(&directory).len(), 2, "a leaving leaf must not get a grace period");
    directory.apply_entry(leaf("c", 100, 8, HostState::Live), Revision(9), now + SECOND);
    assert_eq!(directory.remove_expired(now + SECOND), Vec::<String>::new());
    assert_eq!(directory.remove_expired(now + EXPIRY_GRACE), ["a"]);
    assert_eq!(states(&directory), [("c".to_owned(), HostState::Live)]);
}

#[test]
fn removal_outside_an_outage_takes_effect_at_once() {
    let now = Instant::now();
    let mut directory = LeafDirectory::default();
    directory.apply_entry(leaf("a", 100, 7, HostState::Live), Revision(1), now);
    assert!(directory.remove_entry("a", None, now));
    assert!(states(&directory).is_empty());
}

/// A single failed call must not delay the removal of leafs that have stopped.
#[test]
fn grace_period_follows_an_outage_but_not_a_short_failure() {
    let start = Instant::now();
    let mut outage = OutageTracker::new(start);
    assert_eq!(outage.record_failure(start), Transition::BecameUnreachable);
    assert_eq!(outage.record_failure(start + SECOND), Transition::Unchanged);
    assert!(outage.grace_until(start).is_some(), "no leaf may be removed during an outage");
    assert_eq!(outage.record_answer(start + 4 * SECOND), Transition::BecameReachable(4 * SECOND));
    let grace = outage.grace_until(start + 4 * SECOND);
    assert_eq!(grace, Some(start + 4 * SECOND + EXPIRY_GRACE));
    assert_eq!(outage.grace_until(start + 7 * SECOND), None);
    outage.record_failure(start + 7 * SECOND);
    outage.record_answer(start + 7 * SECOND + SECOND / 4);
    assert_eq!(outage.grace_until(start + 7 * SECOND + SECOND / 4), None);
}

fn change(key: u8, revision: u64, value: Option<u8>) -> Change {
    Change {
        subject: Subject::Leaf(format!("leaf-{key}")),
        revision: Revision(revision),
        value: value.map(|byte| Bytes::from(vec![byte])),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// One host reads the platform in batches, and another one polls that host from time to time. A
    /// change that is lost between them, or replaced by an older one, would leave them with
    /// different state.
    #[test]
    fn host_that_polls_another_host_ends_with_the_same_state(
        changes in proptest::collection::vec((0_u8..6, proptest::option::of(0_u8..9)), 1..60),
        polls in proptest::collection::vec(any::<bool>(), 60),
        shuffle in any::<bool>(),
    ) {
        let (mut reader, mut follower) = (ChangeLog::default(), ChangeLog::default());
        for (n, (key, value)) in changes.iter().enumerate() {
            let revision = n as u64 + 1;
            let mut batch = vec![change(*key, revision, *value)];
            if shuffle {
                batch.push(change(*key, revision.saturating_sub(1).max(1), Some(42)));
            }
            reader.apply(Era(0), ChangeSet { position: Revision(revision), whole: false, changes: batch });
            if polls[n] {
                follower.apply(Era(0), reader.since(follower.position()));
            }
        }
        follower.apply(Era(0), reader.since(follower.position()));
        prop_assert_eq!(follower.position(), reader.position());
        let latest_changes = |published: &ChangeLog| {
            let mut all = published.since(Position::default()).changes;
            all.sort_by(|a, b| a.subject.cmp(&b.subject));
            all
        };
        prop_assert_eq!(latest_changes(&follower), latest_changes(&reader));
    }
}

/// A key that is missing in a list may have been set after the list was read. Such a key must not
/// be removed.
#[test]
fn whole_list_removes_missing_keys_unless_they_are_newer() {
    let mut published = ChangeLog::default();
    let set = |position, whole, changes| ChangeSet { position: Revision(position), whole, changes };
    published.apply(Era(0), set(5, true, vec![change(1, 3, Some(1)), change(2, 4, Some(1))]));
    published.apply(Era(0), set(9, false, vec![change(3, 9, Some(1))]));
    let new_changes = published.apply(Era(0), set(8, true, vec![change(1, 3, Some(1))]));
    assert_eq!(new_changes, [change(2, 8, None)]);
    assert_eq!(published.position().revision, Revision(9));
}

/// Decodes a configuration from its version in decimal, and a live leaf from the letter `r`.
struct PlainDecoder;

impl Decoder for PlainDecoder {
    fn configuration(&self, value: &[u8]) -> Result<RawConfiguration, Unusable> {
        let text = std::str::from_utf8(value).map_err(|e| Unusable(e.to_string()))?;
        let version = text.parse().map_err(|_| Unusable(format!("\"{text}\" is not a version")))?;
        Ok(RawConfiguration { version, ..RawConfiguration::default() })
    }

    fn leaf(&self, instance: &str, value: &[u8]) -> Result<PublishedLeaf, Unusable> {
        match value {
            b"r" => Ok(leaf(instance, 1, 1, HostState::Live)),
            _ => Err(Unusable("expected the letter r".to_owned())),
        }
    }
}

struct OneHost;

impl HostCounter for OneHost {
    fn count(&self, _zone: &str) -> HostCounts {
        HostCounts { near: 1, far: 0, is_near: true, is_new: false }
    }
}

fn subscription(now: Instant) -> Subscription {
    let own = HostName::try_from("front-1").expect("the name is valid");
    Subscription::new(Box::new(PlainDecoder), own, now)
}

fn single_change(revision: u64, subject: Subject, value: &str) -> ChangeSet {
    let value = Some(Bytes::from(value.to_owned()));
    let change = Change { subject, revision: Revision(revision), value };
    ChangeSet { position: Revision(revision), whole: false, changes: vec![change] }
}

#[test]
fn configuration_version_never_decreases_and_an_unusable_one_changes_nothing() {
    let now = Instant::now();
    let mut subscription = subscription(now);
    let version = |s: &mut Subscription| {
        s.build_view(&OneHost, now).catalogue.map(|catalogue| catalogue.version)
    };
    let configuration = || Subject::Configuration;
    assert!(subscription.apply(
        Era(0),
        single_change(1, configuration(), "7"),
        ChangeSource::Platform,
        None,
        now
    ));
    assert!(!subscription.apply(
        Era(0),
        single_change(2, configuration(), "6"),
        ChangeSource::Peer { configuration_era: Era(0) },
        None,
        now
    ));
    assert!(!subscription.apply(
        Era(0),
        single_change(3, configuration(), "\u{fffd}"),
        ChangeSource::Platform,
        None,
        now
    ));
    assert_eq!(version(&mut subscription), Some(IndexVersion(7)));
    assert!(subscription.apply(
        Era(0),
        single_change(4, configuration(), "12"),
        ChangeSource::Platform,
        None,
        now
    ));
    assert_eq!(version(&mut subscription), Some(IndexVersion(12)));
}

#[test]
fn unreadable_entry_does_not_replace_the_previous_one() {
    let now = Instant::now();
    let mut subscription = subscription(now);
    let subject = || Subject::Leaf("a".to_owned());
    assert!(subscription.apply(
        Era(0),
        single_change(1, subject(), "r"),
        ChangeSource::Platform,
        None,
        now
    ));
    assert!(!subscription.apply(
        Era(0),
        single_change(2, subject(), "?"),
        ChangeSource::Platform,
        None,
        now
    ));
    let view = subscription.build_view(&OneHost, now);
    assert_eq!(view.leafs.iter().count(), 1);
}
