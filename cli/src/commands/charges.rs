//! `jasmineusher charges`: prints the effort charged per owner and entry.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::ledger::ChargeLine;
use jasmineusher_lib::ledger::Ledger;
use jasmineusher_lib::server::CHARGES_PATH;
use serde::Serialize;

use super::CommandError;
use super::Result;
use super::block_on;
use super::get;
use super::parse_addrs;

/// Flags of `charges`.
#[derive(Debug, Options)]
pub struct ChargesFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "addresses of daemons", meta = "ADDRS")]
    daemon: Vec<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Charges summed over several hosts.
#[derive(Serialize)]
struct Charges {
    lines: Vec<ChargeLine>,
    /// Daemons that did not answer, so that their charges are missing in `lines`.
    unreached: Vec<SocketAddr>,
}

/// Runs the command. The exit code is 1 if a daemon did not answer.
pub fn run(flags: ChargesFlags) -> Result<ExitCode> {
    let addrs = parse_addrs(&flags.daemon)?;
    let charges = block_on(sum_charges(&addrs))?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&charges).expect("charges serialise"));
    } else {
        print_lines(&charges.lines);
        for addr in &charges.unreached {
            println!("not reached: {addr}; its charges are not included above");
        }
    }
    Ok(if charges.unreached.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn sum_charges(addrs: &[SocketAddr]) -> Charges {
    let client = HttpClient::default();
    let mut ledger = Ledger::default();
    let mut unreached = Vec::new();
    for &addr in addrs {
        match fetch_charges(&client, addr).await {
            Ok(lines) => lines.into_iter().for_each(|line| ledger.merge(line)),
            Err(_) => unreached.push(addr),
        }
    }
    Charges { lines: ledger.lines(), unreached }
}

async fn fetch_charges(client: &HttpClient, addr: SocketAddr) -> Result<Vec<ChargeLine>> {
    let reply = get(client, addr, CHARGES_PATH).await?;
    serde_json::from_slice(&reply.body).map_err(|source| CommandError::Answer { addr, source })
}

/// Prints charges as a table with one line per owner and entry. Efforts are in milliseconds.
pub fn print_lines(lines: &[ChargeLine]) {
    println!(
        "{:<14} {:<24} {:>9} {:>8} {:>8} {:>14} {:>14}",
        "OWNER", "ENTRY", "FIRST", "HEDGES", "RETRIES", "REPORTED MS", "ESTIMATED MS"
    );
    for line in lines {
        let account = &line.account;
        println!(
            "{:<14} {:<24} {:>9} {:>8} {:>8} {:>14.1} {:>14.1}",
            line.owner.to_string(),
            line.entry.to_string(),
            account.first_calls,
            account.hedges,
            account.retries,
            account.reported_us as f64 / 1_000.0,
            account.estimated_us as f64 / 1_000.0,
        );
    }
}
