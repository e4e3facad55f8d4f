//! Sets up the log on standard error.

use jasmineusher_lib::settings::LogFormat;
use tracing_subscriber::filter::LevelFilter;

/// Starts logging.
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
