//! `jasmineusher check`: checks catalogue files by the rules that the daemons apply.

use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_lib::catalogue::Catalogue;
use jasmineusher_lib::catalogue::Fault;
use serde::Serialize;

use super::CommandError;
use super::Result;
use super::usage_error;

/// Flags of `check`.
#[derive(Debug, Options)]
pub struct CheckFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "catalogue files")]
    files: Vec<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Serialize)]
struct FileReport {
    file: String,
    entries: usize,
    faults: Vec<Fault>,
}

/// Runs the command. The exit code is 1 if a file has a fault.
pub fn run(flags: CheckFlags) -> Result<ExitCode> {
    if flags.files.is_empty() {
        return Err(usage_error("No catalogue file is given", "jasmineusher check catalogue.toml"));
    }
    let reports = flags.files.iter().map(|file| check_file(file)).collect::<Result<Vec<_>>>()?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&reports).expect("reports serialise"));
    } else {
        reports.iter().for_each(print_report);
    }
    let all_accepted = reports.iter().all(|report| report.faults.is_empty());
    Ok(if all_accepted { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check_file(file: &str) -> Result<FileReport> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| CommandError::Read { path: file.to_owned(), source })?;
    let (entries, faults) = match Catalogue::try_from(text.as_str()) {
        Ok(catalogue) => (catalogue.entries().len(), Vec::new()),
        Err(e) => (0, e.faults()),
    };
    Ok(FileReport { file: file.to_owned(), entries, faults })
}

fn print_report(report: &FileReport) {
    if report.faults.is_empty() {
        println!("{}: accepted, {} entries", report.file, report.entries);
    }
    for fault in &report.faults {
        println!(
            "{}:{}: entry \"{}\", field \"{}\": {}",
            report.file, fault.line, fault.entry, fault.field, fault.message
        );
        println!("  Hint: {}", fault.hint);
    }
}
