//! Reads the platform's changes, directly or through another host, and applies them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use crate::change_log::ChangeSet;
use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::first_answer::first_answer;
use crate::fleet_link::FleetLink;
use crate::ids::Position;
use crate::log_event;
use crate::outage::Transition;
use crate::platform_store::Keys;
use crate::platform_store::PlatformStore;
use crate::platform_store::Result;
use crate::platform_store::WatchResult;
use crate::read_schedule::ReadSchedule;
use crate::subscription::ChangeSource;

/// Pause after a watch that returned changes. Further changes accumulate meanwhile, which saves
/// calls, as the platform charges for each watch.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a reader (a host that reads the platform for others) is not polled again after it
/// failed. Meanwhile this host polls another reader or reads the platform itself.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Pause after a failed call, doubled with each further failure in a row, as the platform charges
/// for refused calls too.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of times that [`RETRY_PAUSE`] is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Task that keeps the cluster state of a process up to date with the platform.
pub struct Subscriber {
    cluster_state: Arc<ClusterState>,
    platform_store: Box<dyn PlatformStore>,
    link: Arc<FleetLink>,
    /// Readers that failed recently, and until when they are not polled.
    avoided: HashMap<SocketAddr, Instant>,
    schedule: ReadSchedule,
    /// Number of calls to the platform that failed in a row.
    failures: u32,
    /// Ends the current call to the platform or a reader when notified, after a pause of the
    /// process.
    pub interrupt: Arc<Notify>,
}

/// Result of a list or a watch that succeeded.
enum Progress {
    /// All keys were listed.
    Listed,
    /// A watch returned changes.
    Changed,
    /// A watch ended without changes.
    Unchanged,
    /// The platform no longer keeps the changes since the current position.
    HistoryLost,
    /// The platform is in another era than the known one, or its era changed during a list.
    EraChanged,
}

impl Subscriber {
    /// Creates a subscriber that reads `platform_store`, or other hosts through `link`.
    pub fn new(
        cluster_state: Arc<ClusterState>,
        platform_store: Box<dyn PlatformStore>,
        link: Arc<FleetLink>,
    ) -> Self {
        let avoided = HashMap::new();
        Self {
            cluster_state,
            platform_store,
            link,
            avoided,
            schedule: ReadSchedule::default(),
            failures: 0,
            interrupt: Arc::default(),
        }
    }

    /// Sets the waits for changes.
    pub fn with_schedule(mut self, schedule: ReadSchedule) -> Self {
        self.schedule = schedule;
        self
    }

    /// Reads and applies changes for as long as the process runs.
    pub async fn run(mut self) {
        let mut is_listed = false;
        loop {
            is_listed &= !self.lacks_evacuations();
            if is_listed && self.poll_any_reader().await {
                continue;
            }
            let requested_at = Instant::now();
            let step = async { if is_listed { self.watch().await } else { self.list().await } };
            let result = tokio::select! {
                result = step => result,
                () = self.interrupt.notified() => continue,
            };
            self.record_result(&result, requested_at);
            match result {
                Ok(Progress::Listed) => is_listed = true,
                Ok(Progress::Unchanged) => {}
                Ok(Progress::Changed) => tokio::time::sleep(WATCH_PAUSE).await,
                Ok(Progress::HistoryLost) => {
                    log_event!(
                        warn,
                        Event::HistoryLost,
                        position = self.cluster_state.position().revision.0
                    );
                    is_listed = false;
                }
                Ok(Progress::EraChanged) => is_listed = false,
                Err(e) => {
                    // Lists come in pages, so that changes which are too many for one answer of a
                    // watch can still be read.
                    is_listed &= !e.is_unusable_answer();
                    let pause = RETRY_PAUSE.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
                    self.failures += 1;
                    let pause = pause.mul_f64(rand::rng().random_range(0.7..1.3));
                    tokio::time::sleep(pause).await;
                    continue;
                }
            }
            self.failures = 0;
        }
    }

    /// Returns whether everything must be listed again, as changes came from a host that does not
    /// know evacuations.
    fn lacks_evacuations(&self) -> bool {
        self.cluster_state.subscription.lock().unwrap().lacks_evacuations()
    }

    /// Polls a host of the zone that reads the platform for others, if there is one that has not
    /// failed recently and time is left to follow it. Returns whether it answered and is
    /// fresh.
    async fn poll_any_reader(&mut self) -> bool {
        let age = self.cluster_state.confirmation_age();
        let Some(times) = self.schedule.poll_times(age) else { return false };
        let now = Instant::now();
        let readers = self.cluster_state.fleet.lock().unwrap().readers(now);
        self.avoided.retain(|_, until| now < *until);
        let usable = readers.iter().filter(|reader| !self.avoided.contains_key(reader));
        let Some(&reader) = usable.choose(&mut rand::rng()) else { return false };
        let polled = tokio::select! {
            polled = self.link.poll_reader(reader, times) => polled,
            () = self.interrupt.notified() => Ok(false),
        };
        let is_fresh = matches!(polled, Ok(true));
        if is_fresh {
            self.record_answer();
        } else {
            self.avoided.insert(reader, now + AVOID_TIME);
            let cause = polled.err().map(|e| with_sources(&e));
            let cause =
                cause.unwrap_or_else(|| "reader is not up to date with the platform".to_owned());
            log_event!(warn, Event::ReaderLost, reader = %reader, cause);
        }
        is_fresh
    }

    fn record_result(&self, result: &Result<Progress>, requested_at: Instant) {
        let Err(e) = result else { return self.record_answer() };
        if self.cluster_state.outage.lock().unwrap().record_failure(requested_at)
            == Transition::BecameUnreachable
        {
            let position = self.cluster_state.position().revision.0;
            log_event!(warn, Event::PlatformUnreachable, position, cause = with_sources(e));
        }
    }

    /// Reads what the operator has published and all leafs. Changes made meanwhile are returned by
    /// the next watch, which starts from the revision at which the first page was read.
    async fn list(&self) -> Result<Progress> {
        let requested_at = self.cluster_state.clock.now();
        let mut changes = Vec::new();
        let mut start: Option<Position> = None;
        for keys in [Keys::Operator, Keys::Leafs] {
            let mut after = None;
            loop {
                let page = first_answer(|| self.platform_store.list(keys, after.clone())).await?;
                let start = *start.get_or_insert(page.position);
                if page.position.era != start.era {
                    self.record_answer();
                    return Ok(Progress::EraChanged);
                }
                changes.extend(page.changes);
                after = page.next;
                if after.is_none() {
                    break;
                }
            }
        }
        let position = start.unwrap_or_default();
        self.record_answer();
        self.cluster_state.record_confirmation(requested_at);
        let set = ChangeSet { position: position.revision, whole: true, changes };
        let now = Instant::now();
        self.cluster_state.apply_changes(position.era, set, ChangeSource::Platform, now);
        Ok(Progress::Listed)
    }

    async fn watch(&self) -> Result<Progress> {
        let after = self.cluster_state.position();
        // After a failure, a watch with no waiting time is answered as soon as the platform is
        // reachable again.
        let is_failing = self.cluster_state.outage.lock().unwrap().is_failing();
        let wait = self.schedule.watch_wait(self.cluster_state.confirmation_age());
        let wait = if is_failing { Duration::ZERO } else { wait };
        let requested_at = self.cluster_state.clock.now();
        let watched = if wait.is_zero() {
            first_answer(|| self.platform_store.watch(after.revision, Duration::ZERO)).await?
        } else {
            self.platform_store.watch(after.revision, wait).await?
        };
        match watched {
            WatchResult::HistoryLost => Ok(Progress::HistoryLost),
            WatchResult::Changes { changes, position } => {
                self.record_answer();
                if position.era != after.era {
                    return Ok(Progress::EraChanged);
                }
                let is_unchanged = changes.is_empty();
                // A watch without changes is answered at the end of its wait, another one at once.
                let answered_at = match is_unchanged || wait.is_zero() {
                    true => requested_at + wait,
                    false => self.cluster_state.clock.now(),
                };
                self.cluster_state.record_confirmation(answered_at);
                let set = ChangeSet { position: position.revision, whole: false, changes };
                let now = Instant::now();
                self.cluster_state.apply_changes(position.era, set, ChangeSource::Platform, now);
                Ok(if is_unchanged { Progress::Unchanged } else { Progress::Changed })
            }
        }
    }

    /// Records that the platform answered. Must be called before its changes are applied, as
    /// removals after an outage may be of entries that expired during it.
    fn record_answer(&self) {
        let now = Instant::now();
        let transition = self.cluster_state.outage.lock().unwrap().record_answer(now);
        if let Transition::BecameReachable(duration) = transition {
            let away_ms = duration.as_millis() as u64;
            log_event!(
                info,
                Event::PlatformReachable,
                away_ms,
                position = self.cluster_state.position().revision.0
            );
        }
    }
}
