//! Settings of a daemon: raw texts from flags and environment variables, and the checked form.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::ids::HostName;
use crate::ids::Zone;

/// Prefix of the environment variables; the rest is the flag's name in upper case with `_`.
pub const ENV_PREFIX: &str = "JASMINEUSHER_";
/// The fewest bytes of a peer key.
pub const MIN_KEY_BYTES: usize = 16;
/// The most worker threads.
pub const MAX_WORKERS: usize = 256;

/// A setting whose value is not allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("Setting \"{name}\" is \"{value}\"; allowed is {allowed}")]
pub struct SettingError {
    /// The setting's name, as in its flag.
    pub name: &'static str,
    /// The value given; keys are not shown.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, SettingError>;

/// Settings as texts. A flag goes before its environment variable.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// Address to listen on.
    pub listen: Option<String>,
    /// Address at which peers reach this daemon, if it is not the one listened on.
    pub advertise: Option<String>,
    /// Name of this host, as in the host list.
    pub host: Option<String>,
    /// Availability zone of this host.
    pub zone: Option<String>,
    /// Address of the platform.
    pub platform: Option<String>,
    /// Addresses of peers to ask at the start, separated by commas.
    pub seeds: Option<String>,
    /// Number of worker threads.
    pub workers: Option<String>,
    /// `human` or `json`.
    pub log_format: Option<String>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: Option<String>,
    /// Address of a statsd server.
    pub statsd: Option<String>,
    /// Keys that authenticate peers, separated by commas; the first one signs.
    pub peer_keys: Option<String>,
    /// Longest time for a graceful shutdown, in milliseconds.
    pub shutdown_ms: Option<String>,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

/// A key that authenticates peers. Its debug form does not show it.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKey(pub Vec<u8>);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address at which peers reach this daemon, if it is not the one listened on.
    pub advertise: Option<SocketAddr>,
    /// Name of this host.
    pub host: HostName,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of peers to ask at the start, before the platform.
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads.
    pub workers: usize,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Level of the log.
    pub log_level: tracing::Level,
    /// Address of a statsd server.
    pub statsd: Option<SocketAddr>,
    /// Keys that authenticate peers, one or two; the first one signs.
    pub peer_keys: Vec<PeerKey>,
    /// Longest time for a graceful shutdown.
    pub shutdown: Duration,
}

impl Settings {
    /// Returns the address that outgoing connections come from, if the listening one names a host.
    pub fn local_ip(&self) -> Option<IpAddr> {
        Some(self.listen.ip()).filter(|ip| !ip.is_unspecified())
    }
}

impl RawSettings {
    /// Fills in what flags left out from environment variables.
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
            listen: required("listen", raw.listen, "an address such as 127.0.0.1:8100")?,
            advertise: optional("advertise", raw.advertise, "an address such as 10.0.0.1:8100")?,
            host: required("host", raw.host, "a name of a-z, 0-9, '-', '_' and '.'")?,
            zone: required("zone", raw.zone, "a name of a-z, 0-9, '-', '_' and '.'")?,
            platform: required("platform", raw.platform, "an address such as 127.0.0.1:8000")?,
            seeds: seeds(raw.seeds)?,
            workers: ranged("workers", raw.workers, default_workers, 1, MAX_WORKERS)?,
            log_format: log_format(raw.log_format)?,
            log_level: optional("log-level", raw.log_level, "error, warn, info, debug or trace")?
                .unwrap_or(tracing::Level::INFO),
            statsd: optional("statsd", raw.statsd, "an address such as 127.0.0.1:8125")?,
            peer_keys: peer_keys(raw.peer_keys)?,
            shutdown: Duration::from_millis(ranged(
                "shutdown-ms",
                raw.shutdown_ms,
                30_000,
                0,
                600_000,
            )? as u64),
        })
    }
}

fn parse<T: FromStr>(name: &'static str, value: String, allowed: &str) -> Result<T> {
    let parsed = value.parse();
    parsed.map_err(|_| SettingError { name, value, allowed: allowed.to_owned() })
}

fn required<T: FromStr>(name: &'static str, value: Option<String>, allowed: &str) -> Result<T> {
    parse(name, value.unwrap_or_default(), allowed)
}

fn optional<T: FromStr>(
    name: &'static str,
    value: Option<String>,
    allowed: &str,
) -> Result<Option<T>> {
    value.map(|value| parse(name, value, allowed)).transpose()
}

fn ranged(
    name: &'static str,
    value: Option<String>,
    default: usize,
    min: usize,
    max: usize,
) -> Result<usize> {
    let allowed = format!("a whole number from {min} to {max}");
    let Some(value) = value else { return Ok(default) };
    let number = parse(name, value.clone(), &allowed)?;
    if (min..=max).contains(&number) {
        Ok(number)
    } else {
        Err(SettingError { name, value, allowed })
    }
}

fn seeds(value: Option<String>) -> Result<Vec<SocketAddr>> {
    let Some(value) = value.filter(|value| !value.is_empty()) else { return Ok(Vec::new()) };
    let allowed = "addresses such as 127.0.0.1:8100, separated by commas";
    value.split(',').map(|addr| parse("seeds", addr.trim().to_owned(), allowed)).collect()
}

fn log_format(value: Option<String>) -> Result<LogFormat> {
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

fn peer_keys(value: Option<String>) -> Result<Vec<PeerKey>> {
    let allowed = format!("1 or 2 keys of at least {MIN_KEY_BYTES} bytes, separated by a comma");
    let error = |shown: &str| SettingError {
        name: "peer-keys",
        value: shown.to_owned(),
        allowed: allowed.clone(),
    };
    let Some(value) = value else { return Err(error("")) };
    let keys: Vec<_> = value.split(',').map(|key| PeerKey(key.trim().into())).collect();
    let fits = |key: &PeerKey| key.0.len() >= MIN_KEY_BYTES;
    if keys.len() > 2 || !keys.iter().all(fits) {
        return Err(error("(hidden)"));
    }
    Ok(keys)
}
