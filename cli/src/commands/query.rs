//! `jasmineusher query`: sends a query to a daemon and prints the answer.

use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use gumdrop::Options;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::server::QUERY_PATH;
use serde_json::json;

use super::CommandError;
use super::Result;
use super::block_on;
use super::parse_addrs;
use super::usage;

/// Time allowed beyond the longest deadline.
const QUERY_LIMIT: Duration = Duration::from_secs(65);

/// Flags of `query`.
#[derive(Debug, Options)]
pub struct QueryFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "addresses of daemons; the first is asked", meta = "ADDRS")]
    daemon: Vec<String>,
    #[options(help = "name of the catalogue entry", meta = "NAME")]
    entry: Option<String>,
    #[options(help = "parameters for the leafs (default: {})", meta = "JSON")]
    params: Option<String>,
    #[options(no_short, help = "number of hits (default: 10)", meta = "N")]
    hits: Option<usize>,
    #[options(no_short, help = "a shorter deadline than the entry's", meta = "MS")]
    deadline_ms: Option<u64>,
    #[options(no_short, help = "print the answer as JSON")]
    json: bool,
}

/// Runs the command. Exits with 0 for a complete answer, 1 otherwise.
pub fn run(flags: QueryFlags) -> Result<ExitCode> {
    let addrs = parse_addrs(&flags.daemon)?;
    let body = body(&flags)?;
    let answer = block_on(send(addrs[0], body))??;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&answer).expect("answers serialise"));
    } else {
        print_answer(&answer);
    }
    let complete = answer.outcome == OutcomeKind::Complete;
    Ok(if complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn body(flags: &QueryFlags) -> Result<Bytes> {
    let hint = "jasmineusher query --daemon 127.0.0.1:8100 --entry symptom-lookup";
    let Some(entry) = &flags.entry else { return Err(usage("No entry is named", hint)) };
    let params = flags.params.as_deref().unwrap_or("{}");
    let params: serde_json::Value = serde_json::from_str(params)
        .map_err(|e| usage(format!("Parameters \"{params}\" are not JSON: {e}"), hint))?;
    let mut body = json!({ "entry": entry, "params": params });
    if let Some(hits) = flags.hits {
        body["hits"] = hits.into();
    }
    if let Some(deadline_ms) = flags.deadline_ms {
        body["deadline_ms"] = deadline_ms.into();
    }
    Ok(body.to_string().into())
}

async fn send(addr: std::net::SocketAddr, body: Bytes) -> Result<QueryAnswer> {
    let call = HttpCall::post(addr, QUERY_PATH, body, QUERY_LIMIT);
    let reply = HttpClient::default().call(call).await.map_err(CommandError::Daemon)?;
    serde_json::from_slice(&reply.body).map_err(|source| CommandError::Answer { addr, source })
}

/// Prints an answer for people.
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
