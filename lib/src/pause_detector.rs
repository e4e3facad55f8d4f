//! Notices that the process was paused, or its host suspended.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Gap between two looks after which the process counts as paused.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Compares the steady clock, which stands still during a suspension, with one that does not.
#[derive(Debug)]
pub struct PauseWatch {
    steady: Instant,
    boot: Duration,
}

impl Default for PauseWatch {
    fn default() -> Self {
        Self::new()
    }
}

impl PauseWatch {
    /// Starts to look.
    pub fn new() -> Self {
        Self { steady: Instant::now(), boot: boot_time() }
    }

    /// Returns how long the process was paused since the last look, if it was.
    pub fn look(&mut self) -> Option<Duration> {
        let (steady, boot) = (Instant::now(), boot_time());
        let by_steady = steady.saturating_duration_since(self.steady);
        let by_boot = boot.saturating_sub(self.boot);
        *self = Self { steady, boot };
        Some(by_steady.max(by_boot)).filter(|&gap| gap >= MIN_PAUSE)
    }
}

/// Returns the time since the host started, suspensions included.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
