//! Checks of the catalogue, and parsers fed with noise.

use jasmineusher_lib::catalogue::Catalogue;
use jasmineusher_lib::hosts::RawHostList;
use jasmineusher_lib::layout::RawLayout;
use jasmineusher_lib::leaf_protocol::LeafAnswer;
use jasmineusher_lib::peer_protocol::ExchangeReply;
use jasmineusher_lib::peer_protocol::ExchangeRequest;
use jasmineusher_lib::peer_protocol::decode;
use jasmineusher_lib::ticket::Ticket;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SOUND: &str = include_str!("../../docs/examples/lidwerk.toml");

fn faults(text: &str) -> Vec<String> {
    match Catalogue::try_from(text) {
        Ok(_) => Vec::new(),
        Err(e) => e.faults().iter().map(|f| format!("{f} | {}", f.hint)).collect(),
    }
}

#[test]
fn examples_are_accepted() {
    assert_eq!(faults(SOUND), Vec::<String>::new());
    let tabela = include_str!("../../docs/examples/tabela-viva.toml");
    assert_eq!(Catalogue::try_from(tabela).expect("the example is sound").entries().len(), 4);
}

#[test]
fn every_fault_is_named_with_line_entry_field_and_hint() {
    let text = r#"
[[entry]]
name = "Symptom Lookup"
kind = ""
owner = "lidwerk"
index = "careline"
class = "urgent"
idempotent = false
deadline_ms = 0
minimum_coverage = 1.5
on_version_loss = "restart"
limits = { queries_per_second = -1.0, concurrent = 0, effort_ms_per_second = nan, extra_load = 0.1 }
"#;
    insta::assert_debug_snapshot!(faults(text));
}

#[test]
fn unknown_field_duplicate_name_and_bad_syntax_are_refused() {
    let unknown = SOUND.replacen("deadline_ms", "dead_line", 1);
    let duplicate = format!("{SOUND}\n{SOUND}");
    let broken = SOUND.replacen("[[entry]]", "[[entry", 1);
    let mut all = faults(&unknown);
    all.extend(faults(&duplicate));
    all.extend(faults(&broken).into_iter().map(|f| f.lines().next().unwrap_or("").to_owned()));
    insta::assert_debug_snapshot!(all);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn damaged_catalogue_is_an_error_or_a_catalogue_but_never_a_panic(
        at in 0..SOUND.len(),
        cut in 0..40_usize,
        put in "[ -~\n]{0,8}",
    ) {
        let end = (at + cut).min(SOUND.len());
        let text = format!("{}{put}{}", &SOUND[..at], &SOUND[end..]);
        if let Err(e) = Catalogue::try_from(text.as_str()) {
            prop_assert!(!e.faults().is_empty());
        }
    }

    #[test]
    fn noise_is_refused_by_every_parser(noise in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(RawHostList::parse(&noise).is_err());
        prop_assert!(RawLayout::parse(&noise).is_err());
        prop_assert!(LeafAnswer::parse(&noise).is_err());
        prop_assert!(decode::<ExchangeRequest>(&noise).is_err());
        prop_assert!(decode::<ExchangeReply>(&noise).is_err());
        prop_assert!(String::from_utf8_lossy(&noise).parse::<Ticket>().is_err());
    }
}

#[test]
fn wrong_type_or_range_names_the_field_and_what_is_allowed() {
    let faults: Vec<String> = [
        ("deadline_ms = 5000", "deadline_ms = -5"),
        ("owner = \"lidwerk\"", "owner = 7"),
        ("class = \"urgent\"", "class = \"fast\""),
        ("idempotent = true", "idempotent = \"yes\""),
        ("extra_load = 0.1", "extra_load = \"much\""),
        ("concurrent = 900", "concurrent = 1.5"),
    ]
    .into_iter()
    .map(|(from, to)| {
        let text = testutils::CATALOGUE.replacen(from, to, 1);
        let fault = &Catalogue::try_from(text.as_str()).unwrap_err().faults()[0];
        format!("{}: {} ({})", fault.field, fault.message, fault.hint)
    })
    .collect();
    insta::assert_snapshot!(faults.join("\n"));
}
