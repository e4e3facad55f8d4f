//! Published documents: revisions, patches, transfers to hosts that are behind, and the choice of
//! watchers.

use std::time::Instant;

use jasmineusher_lib::distribution::Archive;
use jasmineusher_lib::distribution::document_from_transfer;
use jasmineusher_lib::distribution::is_watcher;
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

fn edited_catalogue(n: u64) -> String {
    testutils::CATALOGUE.replacen("5000", &format!("{}", 1_000 + n), 1)
}

fn host(name: &str) -> HostName {
    HostName::try_from(name).expect("a constant name is valid")
}

#[test]
fn current_document_is_never_replaced_by_an_older_or_invalid_one() {
    let registry = LeafRegistry::default();
    let view = View::default()
        .with_document(
            catalogue(5, testutils::CATALOGUE),
            &registry,
            &host("host-0"),
            Instant::now(),
        )
        .expect("the catalogue is valid");
    assert!(
        view.with_document(
            catalogue(4, testutils::CATALOGUE),
            &registry,
            &host("host-0"),
            Instant::now()
        )
        .is_err()
    );
    assert!(
        view.with_document(
            catalogue(5, testutils::CATALOGUE),
            &registry,
            &host("host-0"),
            Instant::now()
        )
        .is_err()
    );
    assert!(
        view.with_document(catalogue(6, "entry = 1"), &registry, &host("host-0"), Instant::now())
            .is_err()
    );
    assert_eq!(view.revision(DocumentKind::Catalogue), Revision(5));
}

/// If each small change were sent as the whole document, the traffic between hosts would multiply.
#[test]
fn host_slightly_behind_gets_patches_and_one_far_behind_the_whole_document() {
    let registry = LeafRegistry::default();
    let mut archive = Archive::default();
    let mut view = View::default();
    let mut views = vec![view.clone()];
    for n in 1..=30 {
        let document = catalogue(n, &edited_catalogue(n));
        let old = view.document(DocumentKind::Catalogue).cloned();
        view = view
            .with_document(document.clone(), &registry, &host("host-0"), Instant::now())
            .expect("the catalogue is valid");
        archive.record_replacement(old.as_ref(), &document);
        views.push(view.clone());
    }
    for (revisions_behind, is_small) in [(1, true), (5, true), (25, false), (30, false)] {
        let lagging = &views[30 - revisions_behind];
        let transfers = archive.transfers(&view, &revisions(lagging));
        let [transfer] = &transfers[..] else { panic!("expected exactly one transfer") };
        assert_eq!(
            matches!(transfer, Transfer::Patches { .. }),
            is_small,
            "{revisions_behind} revisions behind"
        );
        let document =
            document_from_transfer(transfer.clone(), lagging).expect("the transfer applies");
        assert_eq!(Some(&document), view.document(DocumentKind::Catalogue));
    }
    assert!(archive.transfers(&view, &revisions(&view)).is_empty());
}

/// A patch that is applied to a body other than the one that it was made from would produce a
/// document that nobody published.
#[test]
fn patch_does_not_apply_to_another_body() {
    let patch = Patch::between(Revision(1), b"abc", Revision(2), b"abd");
    assert_eq!(patch.apply(b"abc").as_deref(), Some(&b"abd"[..]));
    assert_eq!(patch.apply(b"xbc"), None);
    assert_eq!(patch.apply(b""), None);
}

/// If all watchers of a document fail and no other host replaces them, changes of the document
/// reach the hosts of the zone only after a long delay.
#[test]
fn each_document_has_two_watchers_in_a_zone_even_after_losses() {
    let hosts: Vec<_> = (0..9).map(|n| host(&format!("host-{n}"))).collect();
    for kind in DocumentKind::ALL {
        let mut live_hosts: Vec<_> = hosts.iter().collect();
        while live_hosts.len() >= 2 {
            let watchers: Vec<_> = live_hosts
                .iter()
                .copied()
                .filter(|own| is_watcher(own, kind, &live_hosts))
                .collect();
            assert_eq!(watchers.len(), 2);
            let failed_host = watchers[0].clone();
            live_hosts.retain(|host| **host != failed_host);
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
    fn patch_restores_the_new_body(old in "[ab]{0,30}", new in "[ab]{0,30}") {
        let patch = Patch::between(Revision(1), old.as_bytes(), Revision(2), new.as_bytes());
        let result = patch.apply(old.as_bytes());
        prop_assert_eq!(result.as_deref(), Some(new.as_bytes()));
    }
}
