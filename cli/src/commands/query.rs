//! `jasmineusher query`: sends a query to a daemon and prints the answer.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use jasmineusher_lib::answer::DEFAULT_HITS;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::answer::QueryRequest;
use jasmineusher_lib::client::TierClient;
use serde_json::value::RawValue;

use super::CommandError;
use super::Result;
use super::block_on;
use super::parse_addrs;
use super::usage_error;

/// Default of `--limit-ms`: total time for all sends of a query, over all daemons.
const DEFAULT_QUERY_LIMIT: Duration = Duration::from_secs(65);

/// Flags of `query`.
#[derive(Debug, Options)]
pub struct QueryFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "addresses of daemons, tried in this order", meta = "ADDRS")]
    daemon: Vec<String>,
    #[options(help = "name of the catalogue entry", meta = "NAME")]
    entry: Option<String>,
    #[options(help = "parameters for the leafs (default: {})", meta = "JSON")]
    params: Option<String>,
    #[options(no_short, help = "number of hits (default: 10)", meta = "N")]
    hits: Option<usize>,
    #[options(no_short, help = "deadline, if shorter than the entry's", meta = "MS")]
    deadline_ms: Option<u64>,
    #[options(
        no_short,
        help = "ticket (default: obtained if the entry needs one)",
        meta = "TICKET"
    )]
    ticket: Option<String>,
    #[options(
        no_short,
        help = "total time for attempts and resends (default: 65000)",
        meta = "MS"
    )]
    limit_ms: Option<u64>,
    #[options(no_short, help = "print the answer as JSON")]
    json: bool,
}

/// Runs the command. The exit code is 0 for a complete answer and 1 otherwise.
pub fn run(flags: QueryFlags) -> Result<ExitCode> {
    let client = TierClient::new(parse_addrs(&flags.daemon)?);
    let limit = flags.limit_ms.map_or(DEFAULT_QUERY_LIMIT, Duration::from_millis);
    let answer = block_on(client.query(request(&flags)?, limit))?.map_err(CommandError::Query)?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&answer).expect("answers serialise"));
    } else {
        print_answer(&answer);
    }
    let complete = answer.outcome == OutcomeKind::Complete;
    Ok(if complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn request(flags: &QueryFlags) -> Result<QueryRequest> {
    let hint = "jasmineusher query --daemon 127.0.0.1:8100 --entry symptom-lookup";
    let Some(entry) = &flags.entry else { return Err(usage_error("No --entry is given", hint)) };
    let params = flags.params.as_deref().unwrap_or("{}");
    let params = RawValue::from_string(params.to_owned())
        .map_err(|e| usage_error(format!("Parameters \"{params}\" are not JSON: {e}"), hint))?;
    Ok(QueryRequest {
        entry: entry.clone(),
        params,
        hits: flags.hits.unwrap_or(DEFAULT_HITS),
        deadline: flags.deadline_ms.map(Duration::from_millis),
        ticket: flags.ticket.clone(),
    })
}

/// Prints an answer as text: outcome and coverage, the missing shards if others contributed, the
/// refusal, and the hits.
pub fn print_answer(answer: &QueryAnswer) {
    let coverage = &answer.coverage;
    let version = answer.version.map_or("-".to_owned(), |v| v.to_string());
    println!(
        "{:?}: {} of {} shards, index version {version}",
        answer.outcome,
        coverage.contributed.len(),
        coverage.shards
    );
    if !coverage.missing.is_empty() && !coverage.contributed.is_empty() {
        println!(
            "  missing shards: {:?}",
            coverage.missing.iter().map(|s| s.0).collect::<Vec<_>>()
        );
    }
    if let Some(refusal) = &answer.refusal {
        println!("  {}", refusal.message);
        if let Some(wait) = refusal.retry_after {
            println!("  may be sent again after {} ms", wait.as_millis());
        }
    }
    for hit in &answer.hits {
        println!("  {:>6.1}  {}", hit.score, hit.id);
    }
}
