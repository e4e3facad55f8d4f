//! `jasmineusherd`: the daemon that runs on each host of the query tier.

mod edge_main;
mod logging;

use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_lib::error_text::with_sources;
use jasmineusher_lib::running::RunningDaemon;
use jasmineusher_lib::settings::RawSettings;
use jasmineusher_lib::settings::Settings;
use mimalloc::MiMalloc;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// mimalloc replaces the system allocator because leaf calls allocate small buffers on one thread
/// and free them on another.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code for a missing or wrong setting.
const EXIT_SETTINGS: u8 = 2;

/// Flags of the daemon. Each of them but `--help`, `--edge` and `--metrics-port` can also be set by
/// an environment variable: `JASMINEUSHER_` and the flag's name in upper case, with `_` for `-`.
#[derive(Debug, Options)]
struct Flags {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "serve opaque requests on the users' platform; settings come from its file, except --metrics-port and --log-level"
    )]
    edge: bool,
    #[options(no_short, help = "with --edge: port that serves metrics", meta = "PORT")]
    metrics_port: Option<u16>,
    #[options(no_short, help = "address to listen on, such as 127.0.0.1:8100", meta = "ADDR")]
    listen: Option<String>,
    #[options(no_short, help = "address that peers connect to", meta = "ADDR")]
    advertise: Option<String>,
    #[options(no_short, help = "name of this host, as in the host list", meta = "NAME")]
    host: Option<String>,
    #[options(no_short, help = "availability zone of this host", meta = "ZONE")]
    zone: Option<String>,
    #[options(no_short, help = "address of the platform", meta = "ADDR")]
    platform: Option<String>,
    #[options(no_short, help = "addresses of peers to contact at startup", meta = "ADDRS")]
    seeds: Option<String>,
    #[options(no_short, help = "worker threads (default: one per core)", meta = "N")]
    workers: Option<String>,
    #[options(no_short, help = "human or json (default: human)", meta = "FORMAT")]
    log_format: Option<String>,
    #[options(
        no_short,
        help = "error, warn, info, debug or trace (default: info)",
        meta = "LEVEL"
    )]
    log_level: Option<String>,
    #[options(no_short, help = "address of a statsd server", meta = "ADDR")]
    statsd: Option<String>,
    #[options(
        no_short,
        help = "1 or 2 keys that authenticate peers; the first one signs",
        meta = "KEYS"
    )]
    peer_keys: Option<String>,
    #[options(no_short, help = "time limit of a graceful shutdown (default: 30000)", meta = "MS")]
    shutdown_ms: Option<String>,
}

impl From<Flags> for RawSettings {
    fn from(flags: Flags) -> Self {
        Self {
            listen: flags.listen,
            advertise: flags.advertise,
            host: flags.host,
            zone: flags.zone,
            platform: flags.platform,
            seeds: flags.seeds,
            workers: flags.workers,
            log_format: flags.log_format,
            log_level: flags.log_level,
            statsd: flags.statsd,
            peer_keys: flags.peer_keys,
            shutdown_ms: flags.shutdown_ms,
        }
    }
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    if flags.edge {
        return edge_main::run_edge(flags.log_level.as_deref(), flags.metrics_port);
    }
    let raw = RawSettings::from(flags).or_environment(|name| std::env::var(name).ok());
    let settings = match Settings::try_from(raw) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("jasmineusherd: {e}");
            eprintln!("Hint: see jasmineusherd --help");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    logging::init(settings.log_format, settings.log_level);
    match run_daemon(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jasmineusherd: {}", with_sources(&*e));
            ExitCode::FAILURE
        }
    }
}

fn run_daemon(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let mut signals = {
        let _entered = runtime.enter();
        Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        }
    };
    let mut running = RunningDaemon::start(settings)?;
    runtime.block_on(signals.next());
    // A second signal ends the process at once, without waiting for the graceful shutdown.
    runtime.spawn(async move {
        signals.next().await;
        std::process::exit(1);
    });
    running.stop();
    Ok(())
}

/// The signals that end the daemon.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Waits for the next SIGTERM or SIGINT.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
