//! Detects that the process was paused or its host was suspended.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Smallest gap between two checks that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Detects pauses by the time between two checks. Reads two clocks, since the monotonic clock does
/// not advance while the host is suspended and the boot-time clock does.
#[derive(Debug)]
pub struct PauseDetector {
    monotonic: Instant,
    since_boot: Duration,
}

impl Default for PauseDetector {
    fn default() -> Self {
        Self::new()
    }
}

impl PauseDetector {
    /// Creates a detector whose first check measures the time since now.
    pub fn new() -> Self {
        Self { monotonic: Instant::now(), since_boot: boot_time() }
    }

    /// Returns the time since the last check if it is at least `MIN_PAUSE`. Checks must be more
    /// frequent than that.
    pub fn detect_pause(&mut self) -> Option<Duration> {
        let (monotonic, since_boot) = (Instant::now(), boot_time());
        let monotonic_gap = monotonic.saturating_duration_since(self.monotonic);
        let boot_gap = since_boot.saturating_sub(self.since_boot);
        *self = Self { monotonic, since_boot };
        Some(monotonic_gap.max(boot_gap)).filter(|&gap| gap >= MIN_PAUSE)
    }
}

/// A clock that advances while the host is suspended, unlike the monotonic clock, so that what ends
/// at a time given to another host ends here too.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionClock {
    started_at: Instant,
    started_since_boot: Duration,
}

impl Default for SuspensionClock {
    fn default() -> Self {
        Self::new()
    }
}

impl SuspensionClock {
    /// Creates a clock that agrees with the monotonic clock now.
    pub fn new() -> Self {
        Self { started_at: Instant::now(), started_since_boot: boot_time() }
    }

    /// Returns the present time. It is later than the monotonic clock's by the time that the host
    /// was suspended since the clock was created.
    pub fn now(&self) -> Instant {
        self.started_at + boot_time().saturating_sub(self.started_since_boot)
    }
}

/// Returns the time since the host booted, including the time that it was suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
