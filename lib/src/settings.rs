//! Settings of a daemon: the raw texts from flags and environment variables, and their checked
//! form.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::ids::HostName;
use crate::ids::Zone;

/// Prefix of the names of environment variables. The rest of the name is that of the flag in upper
/// case, with `_` for `-`.
pub const ENV_PREFIX: &str = "JASMINEUSHER_";
/// Smallest length of a peer key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;
/// Largest number of worker threads.
pub const MAX_WORKERS: usize = 256;

/// Error for a setting that is missing or whose value is not allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("Setting \"{name}\" is \"{value}\"; allowed is {allowed}")]
pub struct SettingError {
    /// Name of the setting, as in its flag.
    pub name: &'static str,
    /// Value of the setting, empty if it is missing. Peer keys are replaced by `(hidden)`.
    pub value: String,
    /// Description of the values that are allowed.
    pub allowed: String,
}

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, SettingError>;

/// Settings as texts, `None` where they are missing. A flag takes precedence over its environment
/// variable.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// Address to listen on, for callers and peers.
    pub listen: Option<String>,
    /// Address at which peers reach this daemon, if it differs from `listen`.
    pub advertise: Option<String>,
    /// Name of this host, as in the host list.
    pub host: Option<String>,
    /// Availability zone of this host.
    pub zone: Option<String>,
    /// Address of the platform.
    pub platform: Option<String>,
    /// Addresses of peers that are contacted at the start, separated by commas.
    pub seeds: Option<String>,
    /// Number of worker threads; the number of CPUs if missing.
    pub workers: Option<String>,
    /// Format of the log: `human` or `json`.
    pub log_format: Option<String>,
    /// Lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: Option<String>,
    /// Address of a statsd server that receives the metrics.
    pub statsd: Option<String>,
    /// One or two keys that authenticate peers, separated by a comma. The first one signs messages;
    /// both verify them, so that keys can be rotated.
    pub peer_keys: Option<String>,
    /// Longest time that a graceful shutdown waits for requests in progress, in milliseconds.
    pub shutdown_ms: Option<String>,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for people.
    Human,
    /// One JSON object per line, for log processors.
    Json,
}

/// Key that authenticates peers. Its debug output hides it.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKey(pub Vec<u8>);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on, for callers and peers.
    pub listen: SocketAddr,
    /// Address at which peers reach this daemon, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Name of this host, as in the host list.
    pub host: HostName,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of peers that are contacted at the start, before the platform is read.
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads.
    pub workers: usize,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Lowest level that is logged.
    pub log_level: tracing::Level,
    /// Address of a statsd server that receives the metrics, or `None` to send none.
    pub statsd: Option<SocketAddr>,
    /// One or two keys that authenticate peers. The first one signs messages; both verify them, so
    /// that keys can be rotated.
    pub peer_keys: Vec<PeerKey>,
    /// Longest time that a graceful shutdown waits for requests in progress.
    pub shutdown: Duration,
}

impl Settings {
    /// Returns the IP address that outgoing connections are bound to: the address of `listen`, or
    /// `None` if that is unspecified (such as 0.0.0.0).
    pub fn local_ip(&self) -> Option<IpAddr> {
        Some(self.listen.ip()).filter(|ip| !ip.is_unspecified())
    }
}

impl RawSettings {
    /// Fills in missing settings from environment variables, whose values `env` returns by name.
    pub fn or_environment(self, env: impl Fn(&str) -> Option<String>) -> Self {
        let fill =
            |flag: Option<String>, name: &str| flag.or_else(|| env(&format!("{ENV_PREFIX}{name}")));
        Self {
            listen: fill(self.listen, "LISTEN"),
            advertise: fill(self.advertise, "ADVERTISE"),
            host: fill(self.host, "HOST"),
            zone: fill(self.zone, "ZONE"),
            platform: fill(self.platform, "PLATFORM"),
            seeds: fill(self.seeds, "SEEDS"),
            workers: fill(self.workers, "WORKERS"),
            log_format: fill(self.log_format, "LOG_FORMAT"),
            log_level: fill(self.log_level, "LOG_LEVEL"),
            statsd: fill(self.statsd, "STATSD"),
            peer_keys: fill(self.peer_keys, "PEER_KEYS"),
            shutdown_ms: fill(self.shutdown_ms, "SHUTDOWN_MS"),
        }
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self> {
        let default_workers = std::thread::available_parallelism().map_or(1, |n| n.get());
        Ok(Self {
            listen: parse_required("listen", raw.listen, "an address such as 127.0.0.1:8100")?,
            advertise: parse_optional(
                "advertise",
                raw.advertise,
                "an address such as 10.0.0.1:8100",
            )?,
            host: parse_required("host", raw.host, "a name of a-z, 0-9, '-', '_' and '.'")?,
            zone: parse_required("zone", raw.zone, "a name of a-z, 0-9, '-', '_' and '.'")?,
            platform: parse_required(
                "platform",
                raw.platform,
                "an address such as 127.0.0.1:8000",
            )?,
            seeds: parse_seeds(raw.seeds)?,
            workers: parse_ranged("workers", raw.workers, default_workers, 1, MAX_WORKERS)?,
            log_format: parse_log_format(raw.log_format)?,
            log_level: parse_optional(
                "log-level",
                raw.log_level,
                "error, warn, info, debug or trace",
            )?
            .unwrap_or(tracing::Level::INFO),
            statsd: parse_optional("statsd", raw.statsd, "an address such as 127.0.0.1:8125")?,
            peer_keys: parse_peer_keys(raw.peer_keys)?,
            shutdown: Duration::from_millis(parse_ranged(
                "shutdown-ms",
                raw.shutdown_ms,
                30_000,
                0,
                600_000,
            )? as u64),
        })
    }
}

fn parse_value<T: FromStr>(name: &'static str, value: String, allowed: &str) -> Result<T> {
    let parsed = value.parse();
    parsed.map_err(|_| SettingError { name, value, allowed: allowed.to_owned() })
}

fn parse_required<T: FromStr>(
    name: &'static str,
    value: Option<String>,
    allowed: &str,
) -> Result<T> {
    parse_value(name, value.unwrap_or_default(), allowed)
}

fn parse_optional<T: FromStr>(
    name: &'static str,
    value: Option<String>,
    allowed: &str,
) -> Result<Option<T>> {
    value.map(|value| parse_value(name, value, allowed)).transpose()
}

fn parse_ranged(
    name: &'static str,
    value: Option<String>,
    default: usize,
    min: usize,
    max: usize,
) -> Result<usize> {
    let allowed = format!("a whole number from {min} to {max}");
    let Some(value) = value else { return Ok(default) };
    let number = parse_value(name, value.clone(), &allowed)?;
    if (min..=max).contains(&number) {
        Ok(number)
    } else {
        Err(SettingError { name, value, allowed })
    }
}

fn parse_seeds(value: Option<String>) -> Result<Vec<SocketAddr>> {
    let Some(value) = value.filter(|value| !value.is_empty()) else { return Ok(Vec::new()) };
    let allowed = "addresses such as 127.0.0.1:8100, separated by commas";
    value.split(',').map(|addr| parse_value("seeds", addr.trim().to_owned(), allowed)).collect()
}

fn parse_log_format(value: Option<String>) -> Result<LogFormat> {
    match value.as_deref() {
        None | Some("human") => Ok(LogFormat::Human),
        Some("json") => Ok(LogFormat::Json),
        Some(other) => Err(SettingError {
            name: "log-format",
            value: other.to_owned(),
            allowed: "human or json".to_owned(),
        }),
    }
}

fn parse_peer_keys(value: Option<String>) -> Result<Vec<PeerKey>> {
    let allowed = format!("1 or 2 keys of at least {MIN_KEY_BYTES} bytes, separated by a comma");
    let error = |shown: &str| SettingError {
        name: "peer-keys",
        value: shown.to_owned(),
        allowed: allowed.clone(),
    };
    let Some(value) = value else { return Err(error("")) };
    let keys: Vec<_> = value.split(',').map(|key| PeerKey(key.trim().into())).collect();
    let is_long_enough = |key: &PeerKey| key.0.len() >= MIN_KEY_BYTES;
    if keys.len() > 2 || !keys.iter().all(is_long_enough) {
        return Err(error("(hidden)"));
    }
    Ok(keys)
}
