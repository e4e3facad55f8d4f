//! `jasmineusher state`: prints a summary of the state dumps of daemons, or the whole dumps.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::server::STATE_PATH;
use serde::Serialize;
use serde_json::Value;

use super::CommandError;
use super::Result;
use super::block_on;
use super::get;
use super::parse_addrs;

/// Flags of `state`.
#[derive(Debug, Options)]
pub struct StateFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "addresses of daemons", meta = "ADDRS")]
    daemon: Vec<String>,
    #[options(no_short, help = "print the whole dumps as JSON")]
    json: bool,
}

/// Result of reading one daemon's state dump: either `state` or `error` is present.
#[derive(Serialize)]
struct DaemonState {
    addr: SocketAddr,
    state: Option<Value>,
    error: Option<String>,
}

/// Runs the command. The exit code is 1 if the state of a daemon could not be read.
pub fn run(flags: StateFlags) -> Result<ExitCode> {
    let addrs = parse_addrs(&flags.daemon)?;
    let states = block_on(fetch_states(&addrs))?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&states).expect("states serialise"));
    } else {
        print_table(&states);
    }
    let all_reached = states.iter().all(|daemon| daemon.state.is_some());
    Ok(if all_reached { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn fetch_states(addrs: &[SocketAddr]) -> Vec<DaemonState> {
    let client = HttpClient::default();
    let mut states = Vec::new();
    for &addr in addrs {
        states.push(match fetch_state(&client, addr).await {
            Ok(state) => DaemonState { addr, state: Some(state), error: None },
            Err(e) => {
                let error = jasmineusher_lib::error_text::with_sources(&e);
                DaemonState { addr, state: None, error: Some(error) }
            }
        });
    }
    states
}

async fn fetch_state(client: &HttpClient, addr: SocketAddr) -> Result<Value> {
    let reply = get(client, addr, STATE_PATH).await?;
    serde_json::from_slice(&reply.body).map_err(|source| CommandError::Answer { addr, source })
}

fn print_table(states: &[DaemonState]) {
    println!(
        "{:<22} {:<14} {:<18} {:<9} {:>9} {:>7} {:>6} {:>9}",
        "DAEMON", "HOST", "ZONE", "PHASE", "CATALOGUE", "LAYOUT", "HOSTS", "QUERIES"
    );
    for DaemonState { addr, state, error } in states {
        let Some(state) = state else {
            println!("{:<22} {}", addr.to_string(), error.as_deref().unwrap_or_default());
            continue;
        };
        let text = |pointer: &str| match state.pointer(pointer) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "-".to_owned(),
        };
        println!(
            "{:<22} {:<14} {:<18} {:<9} {:>9} {:>7} {:>6} {:>9}",
            addr.to_string(),
            text("/identity/host"),
            text("/identity/zone"),
            text("/lifecycle"),
            text("/revisions/catalogue"),
            text("/revisions/layout"),
            text("/revisions/hosts"),
            text("/counters/queries"),
        );
        if let Some(refusal) = state.get("last_refusal").and_then(Value::as_str) {
            println!("  refused: {refusal}");
        }
    }
}
