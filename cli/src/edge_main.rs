//! `jasmineusherd --edge`: runs the daemon that serves opaque requests on the users' platform.

use std::process::ExitCode;

use jasmineusher_lib::edge_daemon::EdgeDaemon;
use jasmineusher_lib::edge_daemon::PlatformParts;
use jasmineusher_lib::error_text::with_sources;
use jasmineusher_lib::events::Event;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::log_event;
use jasmineusher_platform::caller::PlatformCallerCodec;
use jasmineusher_platform::configuration::PlatformDecoder;
use jasmineusher_platform::leaf::PlatformLeafCodecs;
use jasmineusher_platform::names::READY_PATH;
use jasmineusher_platform::settings;
use jasmineusher_platform::settings::PlatformSettings;
use jasmineusher_platform::store::StoreClient;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::EXIT_SETTINGS;
use crate::logging;

/// Runs the edge daemon until SIGTERM arrives and the graceful shutdown that it starts has ended.
/// Returns the exit code of the process. SIGHUP makes the daemon load its settings file again.
pub fn run_edge(log_level: Option<&str>, metrics_port: Option<u16>) -> ExitCode {
    let Ok(log_level) = log_level.unwrap_or("info").parse() else {
        eprintln!(
            "jasmineusherd: Setting \"log-level\": expected error, warn, info, debug or trace"
        );
        return ExitCode::from(EXIT_SETTINGS);
    };
    if let Err(e) = logging::init_bounded(log_level) {
        eprintln!("jasmineusherd: Starting the log output failed: {e}");
        return ExitCode::FAILURE;
    }
    let settings = match settings::load() {
        Ok(mut settings) => {
            settings.edge.metrics_port = metrics_port;
            settings
        }
        Err(e) => {
            eprintln!("jasmineusherd: {}", with_sources(&e));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jasmineusherd: {}", with_sources(&*e));
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: PlatformSettings) -> Result<(), Box<dyn std::error::Error>> {
    log_replaced_values(&settings);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let client = HttpClient::with_local_address(Some(settings.edge.control.ip()));
    let parts = PlatformParts {
        platform_store: Box::new(StoreClient::new(settings.store, client)),
        decoder: Box::new(PlatformDecoder),
        caller_codec: Box::new(PlatformCallerCodec),
        leaf_codecs: Box::new(PlatformLeafCodecs),
        ready_path: READY_PATH,
    };
    let daemon = EdgeDaemon::start(settings.edge, parts).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&daemon),
        }
    }
    daemon.shut_down().await;
    Ok(())
}

/// Loads the settings file again. If it cannot be used, the daemon keeps its current settings and
/// logs the reason.
fn reload(daemon: &EdgeDaemon) {
    match settings::load() {
        Ok(settings) => {
            log_replaced_values(&settings);
            daemon.reload(&settings.edge);
        }
        Err(e) => log_event!(warn, Event::SettingsUnusable, cause = with_sources(&e)),
    }
}

fn log_replaced_values(settings: &PlatformSettings) {
    for replaced in &settings.replaced {
        log_event!(
            warn,
            Event::SettingsUnusable,
            field = replaced.field,
            value = replaced.value.as_str(),
            allowed = replaced.allowed
        );
    }
}
