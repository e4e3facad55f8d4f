//! `jasmineusher check`: checks a catalogue file as the daemons will.

use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_lib::catalogue::Catalogue;
use jasmineusher_lib::catalogue::Fault;
use serde::Serialize;

use super::CommandError;
use super::Result;
use super::usage;

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
struct FileVerdict {
    file: String,
    entries: usize,
    faults: Vec<Fault>,
}

/// Runs the command. Exits with 1 when a file has a fault.
pub fn run(flags: CheckFlags) -> Result<ExitCode> {
    if flags.files.is_empty() {
        return Err(usage("No file is named", "jasmineusher check catalogue.toml"));
    }
    let verdicts = flags.files.iter().map(|file| check(file)).collect::<Result<Vec<_>>>()?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&verdicts).expect("verdicts serialise"));
    } else {
        verdicts.iter().for_each(print_verdict);
    }
    let sound = verdicts.iter().all(|verdict| verdict.faults.is_empty());
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check(file: &str) -> Result<FileVerdict> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| CommandError::Read { path: file.to_owned(), source })?;
    let (entries, faults) = match Catalogue::try_from(text.as_str()) {
        Ok(catalogue) => (catalogue.entries().len(), Vec::new()),
        Err(e) => (0, e.faults()),
    };
    Ok(FileVerdict { file: file.to_owned(), entries, faults })
}

fn print_verdict(verdict: &FileVerdict) {
    if verdict.faults.is_empty() {
        println!("{}: accepted, {} entries", verdict.file, verdict.entries);
    }
    for fault in &verdict.faults {
        println!(
            "{}:{}: entry \"{}\", field \"{}\": {}",
            verdict.file, fault.line, fault.entry, fault.field, fault.message
        );
        println!("  Hint: {}", fault.hint);
    }
}
