//! Validation of the catalogue, and robustness of all parsers against random input.

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

const VALID: &str = include_str!("../../docs/examples/lidwerk.toml");

fn faults(text: &str) -> Vec<String> {
    match Catalogue::try_from(text) {
        Ok(_) => Vec::new(),
        Err(e) => e.faults().iter().map(|f| format!("{f} | {}", f.hint)).collect(),
    }
}

#[test]
fn example_catalogues_are_accepted() {
    assert_eq!(faults(VALID), Vec::<String>::new());
    let tabela = include_str!("../../docs/examples/tabela-viva.toml");
    assert_eq!(Catalogue::try_from(tabela).expect("the example is valid").entries().len(), 4);
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

/// A misspelt field or a second entry of the same name must not be ignored silently.
#[test]
fn unknown_field_duplicate_name_and_bad_syntax_are_refused() {
    let unknown = VALID.replacen("deadline_ms", "dead_line", 1);
    let duplicate = format!("{VALID}\n{VALID}");
    let unclosed = VALID.replacen("[[entry]]", "[[entry", 1);
    let mut all = faults(&unknown);
    all.extend(faults(&duplicate));
    all.extend(faults(&unclosed).into_iter().map(|f| f.lines().next().unwrap_or("").to_owned()));
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
    fn damaged_catalogue_is_parsed_or_refused_without_a_panic(
        offset in 0..VALID.len(),
        removed in 0..40_usize,
        inserted in "[ -~\n]{0,8}",
    ) {
        let end = (offset + removed).min(VALID.len());
        let text = format!("{}{inserted}{}", &VALID[..offset], &VALID[end..]);
        if let Err(e) = Catalogue::try_from(text.as_str()) {
            prop_assert!(!e.faults().is_empty());
        }
    }

    /// All of these parsers read bytes from other processes, so no input may make them panic.
    #[test]
    fn every_parser_refuses_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(RawHostList::parse(&bytes).is_err());
        prop_assert!(RawLayout::parse(&bytes).is_err());
        prop_assert!(LeafAnswer::parse(&bytes).is_err());
        prop_assert!(decode::<ExchangeRequest>(&bytes).is_err());
        prop_assert!(decode::<ExchangeReply>(&bytes).is_err());
        prop_assert!(String::from_utf8_lossy(&bytes).parse::<Ticket>().is_err());
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
