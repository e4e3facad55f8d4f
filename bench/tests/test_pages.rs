//! Guards against pages of results that differ from the records, because a page was edited by hand
//! or was not written again after a run; against missed targets that KNOWN-RED.txt does not list;
//! and against invalid experiment files.

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
    Record::load_all(&root().join("bench/records")).expect("all records can be read")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).expect("the file can be read")
}

#[test]
fn benchmark_page_matches_the_records() {
    assert_eq!(read("docs/BENCHMARKS.md"), page(&records(), PAGE_HEAD));
}

#[test]
fn capacity_page_tables_match_the_records() {
    let page = read("docs/CAPACITY.md");
    assert!(
        page.contains("<!-- record b9 -->"),
        "the page lacks the table of experiment b9, which has the slopes"
    );
    assert_eq!(page, with_tables(&page, &records()));
}

#[test]
fn unmet_targets_are_listed_in_known_red() {
    let known_red = read("KNOWN-RED.txt");
    for record in records() {
        for result in record.verdicts.iter().filter(|result| !result.met) {
            assert!(known_red.contains(&result.target), "{}: {}", record.id, result.target);
        }
    }
}

#[test]
fn experiment_files_are_valid_and_named_after_their_id() {
    for entry in
        std::fs::read_dir(root().join("bench/experiments")).expect("the folder can be read")
    {
        let path = entry.expect("the folder can be read").path();
        let experiment = Experiment::load(&path).expect("the experiment file is valid");
        assert_eq!(path.file_stem().and_then(|stem| stem.to_str()), Some(experiment.id.as_str()));
    }
}

#[test]
fn fit_returns_the_line_and_its_error() {
    let point_on_line = |x: f64| Sample { x, y: 2.0 + 3.0 * x };
    let exact_fit = fit(&[point_on_line(0.0), point_on_line(1.0), point_on_line(5.0)]);
    assert!((exact_fit.intercept - 2.0).abs() < 1e-9 && (exact_fit.slope - 3.0).abs() < 1e-9);
    assert!(exact_fit.error < 1e-9);
    let fit_with_outlier =
        fit(&[point_on_line(0.0), point_on_line(1.0), Sample { x: 2.0, y: 0.0 }]);
    assert!(fit_with_outlier.error > 0.1);
}
