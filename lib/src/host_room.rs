//! How fast a host is, and how much work it has at present.
//!
//! Answers the load of a fleet of uneven hosts, in which requests of many shards arrive at hosts
//! that need several times as long for them as others of their zone.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;
use thiserror::Error;

/// Part of the last value that remains of a measured delay when a smaller one is measured.
const DELAY_DECAY: f64 = 0.6;
/// Lateness that timers have on an idle host, as they are rounded up to whole milliseconds.
const TIMER_GRANULARITY: Duration = Duration::from_millis(1);

/// Reason why the capacity in the settings cannot be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CapacityError {
    /// A quantity is not a finite number above 0.
    #[error("Capacity \"{field}\" is {value}; expected a number above 0")]
    NotPositive {
        /// Name of the quantity.
        field: &'static str,
        /// The value.
        value: f64,
    },
}

/// Result of checking a capacity.
pub type Result<T> = std::result::Result<T, CapacityError>;

/// Capacity of a host as its settings tell it, not yet checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RawCapacity {
    /// Processor time per second, in seconds of one core of ordinary speed.
    pub cores: f64,
    /// Bandwidth of the host's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory of the host, in megabytes.
    pub memory_mb: f64,
}

/// Capacity of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostCapacity {
    /// Processor time per second, in thousandths of one core of ordinary speed.
    pub millicores: u32,
    /// Bandwidth of the host's link, in kilobits per second.
    pub link_kbps: u32,
    /// Memory of the host, in megabytes.
    pub memory_mb: u32,
}

impl TryFrom<RawCapacity> for HostCapacity {
    type Error = CapacityError;

    fn try_from(raw: RawCapacity) -> Result<Self> {
        let checked = |field, value: f64, factor: f64| match (value * factor).round() {
            units if units.is_finite() && units >= 1.0 => Ok(units.min(f64::from(u32::MAX)) as u32),
            _ => Err(CapacityError::NotPositive { field, value }),
        };
        Ok(Self {
            millicores: checked("cores", raw.cores, 1e3)?,
            link_kbps: checked("link_mbps", raw.link_mbps, 1e3)?,
            memory_mb: checked("memory_mb", raw.memory_mb, 1.0)?,
        })
    }
}

/// What a host tells the others of its zone about its capacity and its work in progress.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoomReport {
    /// Capacity of the host; absent if its settings do not tell it.
    pub capacity: Option<HostCapacity>,
    /// Number of shards of all requests that are in progress on the host.
    pub open_calls: u32,
    /// Recent delay of the host's timers, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub delay: Duration,
    /// Whether the host takes requests of other hosts.
    pub takes_requests: bool,
    /// Fast hosts of the zone that the reporting host knows of. The receiver asks them itself.
    pub fast_hosts: Vec<SocketAddr>,
}

/// Delay with which timers of this process fire, which is the time that other work takes before
/// them. Rises at once and falls over some samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayMeter {
    delay: Duration,
}

impl DelayMeter {
    /// Records that a timer set for `planned` took `measured`.
    pub fn record(&mut self, planned: Duration, measured: Duration) {
        let late = measured.saturating_sub(planned + TIMER_GRANULARITY);
        self.delay = late.max(self.delay.mul_f64(DELAY_DECAY));
    }

    /// Forgets what was measured, after a pause of the process.
    pub fn reset(&mut self) {
        self.delay = Duration::ZERO;
    }

    /// Returns the recent delay.
    pub fn delay(&self) -> Duration {
        self.delay
    }
}

/// Number of shards of the requests in progress on this host.
#[derive(Debug, Default)]
pub struct OpenCalls(AtomicU32);

/// Counts the shards of one request until it is dropped.
#[derive(Debug)]
pub struct OpenCallsGuard<'a> {
    open: &'a OpenCalls,
    calls: u32,
}

impl OpenCalls {
    /// Counts a request that calls this number of shards as in progress until the returned guard is
    /// dropped.
    pub fn begin(&self, calls: u32) -> OpenCallsGuard<'_> {
        self.0.fetch_add(calls, Ordering::Relaxed);
        OpenCallsGuard { open: self, calls }
    }

    /// Returns the present number.
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for OpenCallsGuard<'_> {
    fn drop(&mut self) {
        self.open.0.fetch_sub(self.calls, Ordering::Relaxed);
    }
}
