//! The pages of figures are equal to the records that they are made of.

use std::path::Path;
use std::path::PathBuf;

use jasmineusher_bench::experiment::Experiment;
use jasmineusher_bench::fit::Sample;
use jasmineusher_bench::fit::fit;
use jasmineusher_bench::report::PAGE_HEAD;
use jasmineusher_bench::report::Record;
use jasmineusher_bench::report::page;
use jasmineusher_bench::report::with_tables;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn records() -> Vec<Record> {
    Record::load_all(&root().join("bench/records")).expect("records are sound")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).expect("the page is read")
}

#[test]
fn benchmark_page_is_made_of_the_records() {
    assert_eq!(read("docs/BENCHMARKS.md"), page(&records(), PAGE_HEAD));
}

#[test]
fn tables_of_the_capacity_page_are_those_of_the_records() {
    let page = read("docs/CAPACITY.md");
    assert!(page.contains("<!-- record b9 -->"), "the page shows the measured slopes");
    assert_eq!(page, with_tables(&page, &records()));
}

#[test]
fn every_target_that_is_not_met_stands_in_known_red() {
    let red = read("KNOWN-RED.txt");
    for record in records() {
        for result in record.verdicts.iter().filter(|result| !result.met) {
            assert!(red.contains(&result.target), "{}: {}", record.id, result.target);
        }
    }
}

#[test]
fn every_experiment_file_is_sound_and_named_by_its_id() {
    for entry in std::fs::read_dir(root().join("bench/experiments")).expect("the folder is read") {
        let path = entry.expect("the folder is read").path();
        let experiment = Experiment::load(&path).expect("the experiment is sound");
        assert_eq!(path.file_stem().and_then(|stem| stem.to_str()), Some(experiment.id.as_str()));
    }
}

#[test]
fn fit_finds_a_line_and_its_error() {
    let line = |x: f64| Sample { x, y: 2.0 + 3.0 * x };
    let exact = fit(&[line(0.0), line(1.0), line(5.0)]);
    assert!((exact.intercept - 2.0).abs() < 1e-9 && (exact.slope - 3.0).abs() < 1e-9);
    assert!(exact.error < 1e-9);
    let off = fit(&[line(0.0), line(1.0), Sample { x: 2.0, y: 0.0 }]);
    assert!(off.error > 0.1);
}
