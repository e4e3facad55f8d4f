//! Command `bench`: runs experiments and writes their records, the page of results and plots.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_bench::exp_control;
use jasmineusher_bench::exp_faults;
use jasmineusher_bench::exp_fleet;
use jasmineusher_bench::exp_latency;
use jasmineusher_bench::experiment::BenchEnv;
use jasmineusher_bench::experiment::Experiment;
use jasmineusher_bench::experiment::Kind;
use jasmineusher_bench::report::PAGE_HEAD;
use jasmineusher_bench::report::Record;
use jasmineusher_bench::report::page;
use jasmineusher_bench::report::with_tables;
use jasmineusher_bench::report::write;

/// Exit code if the command is used wrongly or a file cannot be read or written. Exit code 1 means
/// that a target was not met.
const EXIT_USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "experiment files")]
    files: Vec<String>,
    #[options(no_short, help = "folder of records (default: bench/records)", meta = "DIR")]
    records: Option<String>,
    #[options(
        no_short,
        help = "page to write from all records (default: docs/BENCHMARKS.md)",
        meta = "FILE"
    )]
    page: Option<String>,
    #[options(no_short, help = "the daemon's program (default: beside this one)", meta = "FILE")]
    daemon: Option<String>,
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match run(&flags) {
        Ok(all_met) if all_met => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("bench: {}", jasmineusher_lib::error_text::with_sources(&*e));
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(flags: &Flags) -> Result<bool, Box<dyn std::error::Error>> {
    let records = PathBuf::from(flags.records.as_deref().unwrap_or("bench/records"));
    let page_file = PathBuf::from(flags.page.as_deref().unwrap_or("docs/BENCHMARKS.md"));
    let daemon = match &flags.daemon {
        Some(daemon) => PathBuf::from(daemon),
        None => std::env::current_exe()?.with_file_name("jasmineusherd"),
    };
    let plots = page_file.parent().unwrap_or(Path::new(".")).join("plots");
    std::fs::create_dir_all(&plots)?;
    let bench_env = BenchEnv { daemon, plots };
    let mut all_met = true;
    for file in &flags.files {
        let experiment = Experiment::load(Path::new(file))?;
        eprintln!("bench: {} ({}) ...", experiment.id, experiment.title);
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let record = runtime.block_on(run_experiment(&experiment, &bench_env));
        runtime.shutdown_background();
        println!("{}", record.to_markdown());
        all_met &= record.verdicts.iter().all(|result| result.met);
        record.save(&records)?;
    }
    let records = Record::load_all(&records)?;
    write(&page_file, &page(&records, PAGE_HEAD))?;
    let capacity = page_file.with_file_name("CAPACITY.md");
    if let Ok(text) = std::fs::read_to_string(&capacity) {
        write(&capacity, &with_tables(&text, &records))?;
    }
    Ok(all_met)
}

async fn run_experiment(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    match experiment.kind {
        Kind::Overhead => exp_latency::overhead(experiment, bench_env).await,
        Kind::Tail => exp_latency::tail(experiment, bench_env).await,
        Kind::Tradeoff => exp_latency::tradeoff(experiment, bench_env).await,
        Kind::Overload => exp_latency::overload(experiment, bench_env).await,
        Kind::Crash => exp_faults::crash(experiment, bench_env).await,
        Kind::Charges => exp_faults::charges(experiment, bench_env).await,
        Kind::Drain => exp_faults::drain(experiment, bench_env).await,
        Kind::Tickets => exp_faults::tickets(experiment, bench_env).await,
        Kind::Change => exp_fleet::change(experiment, bench_env).await,
        Kind::Limits => exp_fleet::limits(experiment, bench_env).await,
        Kind::Relays => exp_fleet::relays(experiment, bench_env).await,
        Kind::Control => exp_control::control(experiment, bench_env).await,
    }
}
