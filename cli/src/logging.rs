//! Sets up the output of log lines.

use jasmineusher_lib::settings::LogFormat;
use jasmineusher_lib::telemetry::BoundedOutput;
use tracing_subscriber::filter::LevelFilter;

/// Starts logging to standard error, as text or as JSON lines. Panics if logging has been started
/// before.
pub fn init(format: LogFormat, level: tracing::Level) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(LevelFilter::from_level(level))
        .with_writer(std::io::stderr)
        .with_target(false);
    match format {
        LogFormat::Human => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}

/// Starts logging of JSON lines to standard output, through a bounded buffer that drops lines when
/// it is full, so that a reader that stops never blocks the process.
///
/// Returns an error if the thread that writes the output cannot be started. Panics if logging has
/// been started before.
pub fn init_bounded(level: tracing::Level) -> std::io::Result<()> {
    let output = BoundedOutput::start(std::io::stdout())?;
    tracing_subscriber::fmt()
        .with_max_level(LevelFilter::from_level(level))
        .with_writer(output)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .init();
    Ok(())
}
