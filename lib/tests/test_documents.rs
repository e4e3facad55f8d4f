//! Published documents: revisions, patches, and what reaches a host that lags.

use jasmineusher_lib::distribution::Archive;
use jasmineusher_lib::distribution::is_watcher;
use jasmineusher_lib::distribution::received;
use jasmineusher_lib::distribution::revisions;
use jasmineusher_lib::documents::Document;
use jasmineusher_lib::documents::DocumentKind;
use jasmineusher_lib::documents::View;
use jasmineusher_lib::hosts::LeafRegistry;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::patch::Patch;
use jasmineusher_lib::peer_protocol::Transfer;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn catalogue(revision: u64, text: &str) -> Document {
    let body = text.as_bytes().to_vec().into();
    Document { kind: DocumentKind::Catalogue, revision: Revision(revision), body }
}

fn edited(n: u64) -> String {
    testutils::CATALOGUE.replacen("5000", &format!("{}", 1_000 + n), 1)
}

fn host(name: &str) -> HostName {
    HostName::try_from(name).expect("a constant name is valid")
}

#[test]
fn document_in_force_is_never_replaced_by_a_lower_revision_or_an_invalid_one() {
    let registry = LeafRegistry::default();
    let view = View::default()
        .next(catalogue(5, testutils::CATALOGUE), &registry, &host("host-0"))
        .expect("sound");
    assert!(view.next(catalogue(4, testutils::CATALOGUE), &registry, &host("host-0")).is_err());
    assert!(view.next(catalogue(5, testutils::CATALOGUE), &registry, &host("host-0")).is_err());
    assert!(view.next(catalogue(6, "entry = 1"), &registry, &host("host-0")).is_err());
    assert_eq!(view.revision(DocumentKind::Catalogue), Revision(5));
}

#[test]
fn lagging_host_gets_small_patches_and_one_far_behind_the_whole() {
    let registry = LeafRegistry::default();
    let mut archive = Archive::default();
    let mut view = View::default();
    let mut views = vec![view.clone()];
    for n in 1..=30 {
        let document = catalogue(n, &edited(n));
        let old = view.document(DocumentKind::Catalogue).cloned();
        view = view.next(document.clone(), &registry, &host("host-0")).expect("sound");
        archive.record_replacement(old.as_ref(), &document);
        views.push(view.clone());
    }
    for (behind, is_small) in [(1, true), (5, true), (25, false), (30, false)] {
        let lagging = &views[30 - behind];
        let transfers = archive.transfers(&view, &revisions(lagging));
        let [transfer] = &transfers[..] else { panic!("one document is lacking") };
        assert_eq!(matches!(transfer, Transfer::Patches { .. }), is_small, "{behind} behind");
        let document = received(transfer.clone(), lagging).expect("the transfer fits");
        assert_eq!(Some(&document), view.document(DocumentKind::Catalogue));
    }
    assert!(archive.transfers(&view, &revisions(&view)).is_empty());
}

#[test]
fn patch_that_does_not_fit_is_refused() {
    let patch = Patch::between(Revision(1), b"abc", Revision(2), b"abd");
    assert_eq!(patch.apply(b"abc").as_deref(), Some(&b"abd"[..]));
    assert_eq!(patch.apply(b"xbc"), None);
    assert_eq!(patch.apply(b""), None);
}

#[test]
fn two_hosts_of_a_zone_watch_each_document_and_their_loss_gives_others_the_duty() {
    let hosts: Vec<_> = (0..9).map(|n| host(&format!("host-{n}"))).collect();
    for kind in DocumentKind::ALL {
        let mut present: Vec<_> = hosts.iter().collect();
        while present.len() >= 2 {
            let watchers: Vec<_> =
                present.iter().copied().filter(|own| is_watcher(own, kind, &present)).collect();
            assert_eq!(watchers.len(), 2);
            let lost = watchers[0].clone();
            present.retain(|host| **host != lost);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn patch_makes_the_new_body(old in "[ab]{0,30}", new in "[ab]{0,30}") {
        let patch = Patch::between(Revision(1), old.as_bytes(), Revision(2), new.as_bytes());
        let made = patch.apply(old.as_bytes());
        prop_assert_eq!(made.as_deref(), Some(new.as_bytes()));
    }
}
