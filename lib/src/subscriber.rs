//! Follows the platform's publications and puts what they say in force.

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
use crate::log_event;
use crate::outage::Turn;
use crate::platform_store::Page;
use crate::platform_store::PlatformStore;
use crate::platform_store::Result;
use crate::platform_store::WatchResult;
use crate::subscription::Source;

/// How long one watch waits. A watch whose answer was lost is noticed after that, which must leave
/// time to put a change in force within the platform's bounds.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Pause between two watches, in which changes gather; each watch is a priced call.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a host reads for itself after one that reads for others failed it.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Pause after a call that failed, doubled with each further one; refused calls are priced too.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// The process's reader of the platform.
pub struct Subscriber {
    cluster_state: Arc<ClusterState>,
    platform_store: Box<dyn PlatformStore>,
    link: Arc<FleetLink>,
    avoided: HashMap<SocketAddr, Instant>,
    failures: u32,
    /// Ends the present wait, after a pause of the process.
    pub interrupt: Arc<Notify>,
}

enum Progress {
    Listed,
    Changed,
    Quiet,
    HistoryLost,
}

impl Subscriber {
    /// Makes a reader.
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
            failures: 0,
            interrupt: Arc::default(),
        }
    }

    /// Follows the platform for as long as the process runs.
    pub async fn run(mut self) {
        let mut is_listed = false;
        loop {
            if is_listed && self.follow().await {
                continue;
            }
            let asked_at = Instant::now();
            let step = async { if is_listed { self.watch().await } else { self.list().await } };
            let result = tokio::select! {
                result = step => result,
                () = self.interrupt.notified() => continue,
            };
            self.note(&result, asked_at);
            match result {
                Ok(Progress::Listed) => is_listed = true,
                Ok(Progress::Quiet) => {}
                Ok(Progress::Changed) => tokio::time::sleep(WATCH_PAUSE).await,
                Ok(Progress::HistoryLost) => {
                    log_event!(
                        warn,
                        Event::HistoryLost,
                        position = self.cluster_state.position().0
                    );
                    is_listed = false;
                }
                Err(_) => {
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

    /// Learns from a host of the zone that reads the platform, if there is one that is to be relied
    /// on. Returns whether it did.
    async fn follow(&mut self) -> bool {
        let now = Instant::now();
        let readers = self.cluster_state.fleet.lock().unwrap().readers(now);
        self.avoided.retain(|_, until| now < *until);
        let sound = readers.iter().filter(|reader| !self.avoided.contains_key(reader));
        let Some(&reader) = sound.choose(&mut rand::rng()) else { return false };
        let followed = tokio::select! {
            followed = self.link.follow(reader) => followed,
            () = self.interrupt.notified() => Ok(false),
        };
        let is_fresh = matches!(followed, Ok(true));
        if is_fresh {
            self.heard();
        } else {
            self.avoided.insert(reader, now + AVOID_TIME);
            let cause = followed.err().map(|e| with_sources(&e));
            let cause = cause.unwrap_or_else(|| "the platform does not answer it".to_owned());
            log_event!(warn, Event::ReaderLost, reader = %reader, cause);
        }
        is_fresh
    }

    fn note(&self, result: &Result<Progress>, asked_at: Instant) {
        let Err(e) = result else { return self.heard() };
        if self.cluster_state.outage.lock().unwrap().failed(asked_at) == Turn::Lost {
            let position = self.cluster_state.position().0;
            log_event!(warn, Event::PlatformUnreachable, position, cause = with_sources(e));
        }
    }

    /// Reads everything. Changes made meanwhile come with the watch from the first page's revision.
    async fn list(&self) -> Result<Progress> {
        let Page { mut changes, position, .. } =
            first_answer(|| self.platform_store.configuration()).await?;
        let mut after = None;
        loop {
            let page = first_answer(|| self.platform_store.list(after.clone())).await?;
            changes.extend(page.changes);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        self.heard();
        let set = ChangeSet { position, whole: true, changes };
        self.cluster_state.take(set, Source::Platform, Instant::now());
        Ok(Progress::Listed)
    }

    async fn watch(&self) -> Result<Progress> {
        let after = self.cluster_state.position();
        // After a failure, an answer tells more than a change: it comes at once.
        let is_failing = self.cluster_state.outage.lock().unwrap().is_failing();
        let watched = if is_failing {
            first_answer(|| self.platform_store.watch(after, Duration::ZERO)).await?
        } else {
            self.platform_store.watch(after, WATCH_TIME).await?
        };
        match watched {
            WatchResult::HistoryLost => Ok(Progress::HistoryLost),
            WatchResult::Changes { changes, position } => {
                self.heard();
                let is_quiet = changes.is_empty();
                let set = ChangeSet { position, whole: false, changes };
                self.cluster_state.take(set, Source::Platform, Instant::now());
                Ok(if is_quiet { Progress::Quiet } else { Progress::Changed })
            }
        }
    }

    /// Notes the platform's return before what it says is taken in: removals after a return may be
    /// lapses.
    fn heard(&self) {
        let now = Instant::now();
        let turn = self.cluster_state.outage.lock().unwrap().heard(now);
        if let Turn::Regained(away) = turn {
            let away_ms = away.as_millis() as u64;
            log_event!(
                info,
                Event::PlatformReachable,
                away_ms,
                position = self.cluster_state.position().0
            );
        }
    }
}
