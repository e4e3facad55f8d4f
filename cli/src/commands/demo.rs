//! `jasmineusher demo`: runs a stand-in platform, stand-in leafs and a daemon in one process, and
//! compares the latency of the tier with that of a naive fan-out.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use hdrhistogram::Histogram;
use jasmineusher_bench::fleet::Fleet;
use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::parse_name;
use jasmineusher_bench::leaf::Behaviour;
use jasmineusher_bench::naive::NaiveFanOut;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::hosts::DaemonHost;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::lifecycle::Phase;
use jasmineusher_lib::running::RunningDaemon;
use jasmineusher_lib::server::QUERY_PATH;
use jasmineusher_lib::settings::RawSettings;
use jasmineusher_lib::settings::Settings;
use serde::Serialize;

use super::CommandError;
use super::Result;
use super::charges::print_lines;
use super::query::print_answer;

/// Catalogue of the demo; docs/CATALOGUE.md explains it.
const CATALOGUE: &str = include_str!("../../../docs/examples/lidwerk.toml");
/// Number of queries of each of the two measurements.
const QUERIES: usize = 250;
/// Pause between two queries, so that the leafs are not overloaded.
const INTERVAL: Duration = Duration::from_millis(8);
/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Flags of `demo`.
#[derive(Debug, Options)]
pub struct DemoFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the figures as JSON")]
    json: bool,
}

#[derive(Serialize)]
struct Figures {
    tier_p50_ms: f64,
    tier_p99_ms: f64,
    naive_p50_ms: f64,
    naive_p99_ms: f64,
    complete: usize,
    queries: usize,
    extra_calls_share: f64,
}

/// Runs the command. The exit code is 1 if an answer was not complete.
pub fn run(flags: DemoFlags) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().map_err(other_error)?;
    println!("Starting a platform, a daemon and 30 leafs; 1 in 100 calls is 30 times slower ...");
    let fleet = runtime.block_on(start_fleet())?;
    let mut running = RunningDaemon::start(settings(&fleet)?).map_err(other_error)?;
    fleet.list_daemon(DaemonHost {
        name: running.daemon.settings.host.clone(),
        addr: running.addr,
        zone: running.daemon.settings.zone.clone(),
        state: HostState::Live,
    });
    fleet.publish_hosts();
    fleet.publish_catalogue(CATALOGUE);
    wait_until_ready(&running)?;
    print_sample_answers(&runtime, running.addr)?;
    println!("\nMeasuring {QUERIES} queries through the tier, then by naive fan-out ...");
    let figures = runtime.block_on(measure(&fleet, &running))?;
    print_figures(&figures);
    println!("\nCharges:");
    let lines = running.daemon.tier.ledger.lock().unwrap().lines();
    print_lines(&lines);
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&figures).expect("figures serialise"));
    }
    running.stop();
    Ok(if figures.complete == figures.queries { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn other_error(error: impl std::error::Error + Send + Sync + 'static) -> CommandError {
    CommandError::Other(Box::new(error))
}

async fn start_fleet() -> Result<Fleet> {
    let mut shape = FleetShape::careline();
    shape.behaviour = Behaviour {
        straggler_share: 0.01,
        straggler_factor: 30.0,
        connect_delay: Duration::from_millis(5),
        ..Behaviour::default()
    };
    let platform = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Fleet::start(shape, platform).await.map_err(other_error)
}

fn settings(fleet: &Fleet) -> Result<Settings> {
    let raw = RawSettings {
        listen: Some("127.0.0.1:0".to_owned()),
        host: Some("demo".to_owned()),
        zone: Some("muc-a".to_owned()),
        platform: Some(fleet.platform.addr.to_string()),
        workers: Some("2".to_owned()),
        peer_keys: Some("demo-key-of-16-bytes".to_owned()),
        ..RawSettings::default()
    };
    Settings::try_from(raw).map_err(other_error)
}

fn wait_until_ready(running: &RunningDaemon) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while running.daemon.lifecycle.phase() != Phase::Ready {
        if Instant::now() > deadline {
            let e = std::io::Error::new(
                std::io::ErrorKind::TimedOut,
                "Daemon did not become ready in time",
            );
            return Err(other_error(e));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn print_sample_answers(runtime: &tokio::runtime::Runtime, addr: SocketAddr) -> Result<()> {
    let client = HttpClient::default();
    for entry in ["symptom-lookup", "refill-check", "template-fetch"] {
        println!("\nQuery of entry \"{entry}\":");
        print_answer(&runtime.block_on(query(&client, addr, entry))?);
    }
    Ok(())
}

async fn query(client: &HttpClient, addr: SocketAddr, entry: &str) -> Result<QueryAnswer> {
    let body = format!(r#"{{"entry":"{entry}","params":{{"text":"lifting"}},"hits":3}}"#);
    let call = HttpCall::post(addr, QUERY_PATH, body.into(), QUERY_TIMEOUT);
    let reply = client.call(call).await.map_err(CommandError::Daemon)?;
    serde_json::from_slice(&reply.body).map_err(|source| CommandError::Answer { addr, source })
}

async fn measure(fleet: &Fleet, running: &RunningDaemon) -> Result<Figures> {
    let client = HttpClient::default();
    let mut tier = new_histogram();
    let mut complete = 0;
    for _ in 0..QUERIES {
        let started = Instant::now();
        let answer = query(&client, running.addr, "symptom-lookup").await?;
        tier.saturating_record(started.elapsed().as_micros() as u64);
        complete += usize::from(answer.outcome == OutcomeKind::Complete);
        tokio::time::sleep(INTERVAL).await;
    }
    let naive_fan_out = NaiveFanOut::new(fleet, parse_name("careline"));
    let mut naive = new_histogram();
    for _ in 0..QUERIES {
        let started = Instant::now();
        naive_fan_out.query(QUERY_TIMEOUT).await;
        naive.saturating_record(started.elapsed().as_micros() as u64);
        tokio::time::sleep(INTERVAL).await;
    }
    let counters = running.daemon.tier.counters.values();
    Ok(Figures {
        tier_p50_ms: quantile_ms(&tier, 0.5),
        tier_p99_ms: quantile_ms(&tier, 0.99),
        naive_p50_ms: quantile_ms(&naive, 0.5),
        naive_p99_ms: quantile_ms(&naive, 0.99),
        complete,
        queries: QUERIES,
        extra_calls_share: (counters.hedges + counters.retries) as f64
            / counters.first_calls.max(1) as f64,
    })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds are valid")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn print_figures(figures: &Figures) {
    println!("{:<16} {:>9} {:>9}", "", "P50 MS", "P99 MS");
    println!("{:<16} {:>9.1} {:>9.1}", "jasmineusher", figures.tier_p50_ms, figures.tier_p99_ms);
    println!("{:<16} {:>9.1} {:>9.1}", "naive fan-out", figures.naive_p50_ms, figures.naive_p99_ms);
    println!(
        "{} of {} answers complete; {:.1}% extra leaf calls",
        figures.complete,
        figures.queries,
        figures.extra_calls_share * 100.0
    );
}
