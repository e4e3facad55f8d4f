//! Entries that come, change and lapse one by one, and how hosts tell each other of them.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::change_log::Change;
use jasmineusher_lib::change_log::ChangeLog;
use jasmineusher_lib::change_log::ChangeSet;
use jasmineusher_lib::change_log::Subject;
use jasmineusher_lib::connection_share::HostCounts;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::leaf_directory::EntryVersion;
use jasmineusher_lib::leaf_directory::Heard;
use jasmineusher_lib::leaf_directory::LAPSE_GRACE;
use jasmineusher_lib::leaf_directory::LeafFeed;
use jasmineusher_lib::leaf_directory::PublishedLeaf;
use jasmineusher_lib::outage::OutageTracker;
use jasmineusher_lib::outage::Turn;
use jasmineusher_lib::platform_store::Decoder;
use jasmineusher_lib::platform_store::RawConfiguration;
use jasmineusher_lib::platform_store::Unusable;
use jasmineusher_lib::subscription::HostCounter;
use jasmineusher_lib::subscription::Source;
use jasmineusher_lib::subscription::Subscription;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn leaf(instance: &str, born_ms: u64, sequence: u64, state: HostState) -> PublishedLeaf {
    PublishedLeaf {
        instance: instance.to_owned(),
        group: "careline".to_owned(),
        addr: "10.0.0.1:80".parse().expect("the address is sound"),
        zone: "muc-a".to_owned(),
        slots: 2,
        state,
        cold_left: Duration::ZERO,
        entry_version: EntryVersion { born_ms, sequence },
    }
}

fn states(feed: &LeafFeed) -> Vec<(String, HostState)> {
    feed.leafs().map(|fed| (fed.leaf.instance.clone(), fed.leaf.state)).collect()
}

#[test]
fn entry_written_before_a_later_one_never_replaces_it() {
    let now = Instant::now();
    let mut feed = LeafFeed::default();
    feed.heard(leaf("a", 100, 7, HostState::Leaving), Revision(1), now);
    let late = feed.heard(leaf("a", 100, 6, HostState::Live), Revision(2), now);
    assert_eq!(late, Heard::Stale);
    assert_eq!(feed.heard(leaf("a", 90, 99, HostState::Live), Revision(3), now), Heard::Stale);
    assert_eq!(states(&feed), [("a".to_owned(), HostState::Leaving)]);
    assert_eq!(feed.heard(leaf("a", 200, 1, HostState::Live), Revision(4), now), Heard::Taken);
}

#[test]
fn late_entry_of_a_leaf_that_is_gone_does_not_bring_it_back() {
    let now = Instant::now();
    let mut feed = LeafFeed::default();
    feed.heard(leaf("a", 100, 7, HostState::Leaving), Revision(1), now);
    assert!(feed.removed("a", None, now));
    assert_eq!(feed.heard(leaf("a", 100, 6, HostState::Live), Revision(3), now), Heard::Stale);
    assert_eq!(feed.heard(leaf("a", 100, 8, HostState::Live), Revision(4), now), Heard::Taken);
}

#[test]
fn leaf_that_lapsed_in_an_outage_is_usable_for_two_seconds_and_then_gone() {
    let now = Instant::now();
    let mut feed = LeafFeed::default();
    feed.heard(leaf("a", 100, 7, HostState::Live), Revision(1), now);
    feed.heard(leaf("b", 100, 7, HostState::Leaving), Revision(1), now);
    feed.heard(leaf("c", 100, 7, HostState::Live), Revision(1), now);
    for instance in ["a", "b", "c"] {
        feed.removed(instance, Some(now + LAPSE_GRACE), now);
    }
    assert_eq!(states(&feed).len(), 2, "a leaving leaf is not bridged");
    feed.heard(leaf("c", 100, 8, HostState::Live), Revision(9), now + SECOND);
    assert_eq!(feed.expire(now + SECOND), Vec::<String>::new());
    assert_eq!(feed.expire(now + LAPSE_GRACE), ["a"]);
    assert_eq!(states(&feed), [("c".to_owned(), HostState::Live)]);
}

#[test]
fn removal_on_a_calm_day_counts_at_once() {
    let now = Instant::now();
    let mut feed = LeafFeed::default();
    feed.heard(leaf("a", 100, 7, HostState::Live), Revision(1), now);
    assert!(feed.removed("a", None, now));
    assert!(states(&feed).is_empty());
}

#[test]
fn outage_is_bridged_from_the_return_on_and_short_failures_are_not() {
    let start = Instant::now();
    let mut outage = OutageTracker::new(start);
    assert_eq!(outage.failed(start), Turn::Lost);
    assert_eq!(outage.failed(start + SECOND), Turn::Same);
    assert!(outage.bridged_until(start).is_some(), "nothing is believed gone while it lasts");
    assert_eq!(outage.heard(start + 4 * SECOND), Turn::Regained(4 * SECOND));
    let bridged = outage.bridged_until(start + 4 * SECOND);
    assert_eq!(bridged, Some(start + 4 * SECOND + LAPSE_GRACE));
    assert_eq!(outage.bridged_until(start + 7 * SECOND), None);
    outage.failed(start + 7 * SECOND);
    outage.heard(start + 7 * SECOND + SECOND / 4);
    assert_eq!(outage.bridged_until(start + 7 * SECOND + SECOND / 4), None);
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

    /// A host that hears the platform in batches, and one that hears the first host now and then,
    /// end with the same.
    #[test]
    fn host_that_hears_another_host_ends_with_the_same(
        changes in proptest::collection::vec((0_u8..6, proptest::option::of(0_u8..9)), 1..60),
        asks in proptest::collection::vec(any::<bool>(), 60),
        shuffle in any::<bool>(),
    ) {
        let (mut reader, mut listener) = (ChangeLog::default(), ChangeLog::default());
        for (n, (key, value)) in changes.iter().enumerate() {
            let revision = n as u64 + 1;
            let mut batch = vec![change(*key, revision, *value)];
            if shuffle {
                batch.push(change(*key, revision.saturating_sub(1).max(1), Some(42)));
            }
            reader.apply(ChangeSet { position: Revision(revision), whole: false, changes: batch });
            if asks[n] {
                listener.apply(reader.since(listener.position()));
            }
        }
        listener.apply(reader.since(listener.position()));
        prop_assert_eq!(listener.position(), reader.position());
        let held = |published: &ChangeLog| {
            let mut all = published.since(Revision(0)).changes;
            all.sort_by(|a, b| a.subject.cmp(&b.subject));
            all
        };
        prop_assert_eq!(held(&listener), held(&reader));
    }
}

#[test]
fn whole_list_removes_what_it_does_not_name_unless_that_is_newer() {
    let mut published = ChangeLog::default();
    let set = |position, whole, changes| ChangeSet { position: Revision(position), whole, changes };
    published.apply(set(5, true, vec![change(1, 3, Some(1)), change(2, 4, Some(1))]));
    published.apply(set(9, false, vec![change(3, 9, Some(1))]));
    let news = published.apply(set(8, true, vec![change(1, 3, Some(1))]));
    assert_eq!(news, [change(2, 8, None)]);
    assert_eq!(published.position(), Revision(9));
}

/// Reads configurations that are a version in decimal, and leafs that are a state letter.
struct PlainDecoder;

impl Decoder for PlainDecoder {
    fn configuration(&self, value: &[u8]) -> Result<RawConfiguration, Unusable> {
        let text = std::str::from_utf8(value).map_err(|e| Unusable(e.to_string()))?;
        let version = text.parse().map_err(|_| Unusable(format!("\"{text}\" is no version")))?;
        Ok(RawConfiguration { version, ..RawConfiguration::default() })
    }

    fn leaf(&self, instance: &str, value: &[u8]) -> Result<PublishedLeaf, Unusable> {
        match value {
            b"r" => Ok(leaf(instance, 1, 1, HostState::Live)),
            _ => Err(Unusable("it is no leaf".to_owned())),
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
    let own = HostName::try_from("front-1").expect("the name is sound");
    Subscription::new(Box::new(PlainDecoder), own, now)
}

fn told(revision: u64, subject: Subject, value: &str) -> ChangeSet {
    let value = Some(Bytes::from(value.to_owned()));
    let change = Change { subject, revision: Revision(revision), value };
    ChangeSet { position: Revision(revision), whole: false, changes: vec![change] }
}

#[test]
fn version_in_force_never_goes_back_and_unusable_news_change_nothing() {
    let now = Instant::now();
    let mut subscription = subscription(now);
    let version = |s: &mut Subscription| {
        s.make_view(&OneHost, now).catalogue.map(|catalogue| catalogue.version)
    };
    let configuration = || Subject::Configuration;
    assert!(subscription.take(told(1, configuration(), "7"), Source::Platform, None, now));
    assert!(!subscription.take(told(2, configuration(), "6"), Source::Peer, None, now));
    assert!(!subscription.take(told(3, configuration(), "\u{fffd}"), Source::Platform, None, now));
    assert_eq!(version(&mut subscription), Some(IndexVersion(7)));
    assert!(subscription.take(told(4, configuration(), "12"), Source::Platform, None, now));
    assert_eq!(version(&mut subscription), Some(IndexVersion(12)));
}

#[test]
fn entry_that_cannot_be_read_leaves_the_leaf_it_replaces() {
    let now = Instant::now();
    let mut subscription = subscription(now);
    let subject = || Subject::Leaf("a".to_owned());
    assert!(subscription.take(told(1, subject(), "r"), Source::Platform, None, now));
    assert!(!subscription.take(told(2, subject(), "?"), Source::Platform, None, now));
    let view = subscription.make_view(&OneHost, now);
    assert_eq!(view.leafs.iter().count(), 1);
}
