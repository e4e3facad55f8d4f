//! Stand-ins of the platform for the scripts of this review, on loopback addresses: the store, leafs,
//! clients and the operator. Starts the daemons with the command of the deploy file.
//!
//! Usage: `bed CASE FOLDER`, where FOLDER is the case's folder, into which `record.txt` is written.
//! The environment variable `TROUBLE` is `0` for a run without the disruption. The exit code is 0 if
//! the rule held, 1 if it was broken, 2 if the case could not run.

mod base64;
mod daemon;
mod http;
mod leaf;
mod record;
mod store;

mod case_6;
mod case_7;

use std::process::ExitCode;

/// What a case finds, or why it could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: bed CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(folder);
    record.line(&format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let verdict = match case.as_str() {
        "6" => case_6::run(trouble, &record),
        "7" => case_7::run(trouble, &record),
        other => Err(format!("no case {other}")),
    };
    match verdict {
        Ok(true) => {
            record.line("VERDICT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("VERDICT: the rule was broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(&format!("VERDICT: the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
