//! The end of a process that shuts down, and which work it still begins before that.
//!
//! Load: callers go on sending requests on open connections until the process is gone. Work that
//! cannot end before the process does would run at a leaf and be lost, so that it is refused as not
//! run while another host can still serve it.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// Factor by which work may take longer than a call that counts as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Time for merging and sending an answer.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time that idempotent work is expected to take if none was measured lately. Other work is then
/// expected to take all the time until its deadline.
const UNMEASURED_TIME: Duration = Duration::from_millis(300);

/// What is expected of the work on a request, or of a call that is part of it.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedWork {
    /// Time at which the work ends in any case.
    pub deadline: Instant,
    /// Whether the work may run more than once.
    pub is_idempotent: bool,
    /// Processing time above which such work counts as slow; absent if too little was measured.
    pub slow_time: Option<Duration>,
}

impl ExpectedWork {
    /// Returns the latest time at which the work may begin to end before a process that ends at
    /// `ends_at`. Returns nothing if it may not begin at all.
    pub fn begins_until(&self, ends_at: Instant) -> Option<Instant> {
        if self.deadline <= ends_at {
            return Some(self.deadline);
        }
        let time = match self.slow_time {
            Some(slow_time) => slow_time.mul_f64(SLOW_FACTOR) + ANSWER_TIME,
            None if self.is_idempotent => UNMEASURED_TIME,
            None => return None,
        };
        ends_at.checked_sub(time)
    }
}

/// The end of this process, which is not known before its shutdown starts.
#[derive(Debug, Default)]
pub struct Shutdown {
    ends_at: watch::Sender<Option<Instant>>,
}

impl Shutdown {
    /// Starts the shutdown of a process whose requests in progress end at `ends_at`.
    pub fn start(&self, ends_at: Instant) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Returns whether the shutdown has started.
    pub fn is_started(&self) -> bool {
        self.ends_at.borrow().is_some()
    }

    /// Returns whether `work` may begin at `now`.
    pub fn admits(&self, work: &ExpectedWork, now: Instant) -> bool {
        let Some(ends_at) = *self.ends_at.borrow() else { return true };
        work.begins_until(ends_at).is_some_and(|until| now <= until)
    }

    /// Completes when the requests in progress end.
    pub async fn ended(&self) {
        let ends_at = self.known_end().await;
        tokio::time::sleep_until(ends_at.into()).await;
    }

    /// Completes when work may no longer begin. What is expected of it is asked for when the shutdown
    /// starts.
    pub async fn last_begin(&self, work: impl FnOnce() -> ExpectedWork) {
        let ends_at = self.known_end().await;
        if let Some(until) = work().begins_until(ends_at) {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    async fn known_end(&self) -> Instant {
        let mut ends_at = self.ends_at.subscribe();
        // The sender is part of this value, so that the wait cannot fail.
        let known = ends_at.wait_for(Option::is_some).await.ok().and_then(|ends_at| *ends_at);
        match known {
            Some(ends_at) => ends_at,
            None => std::future::pending().await,
        }
    }
}
