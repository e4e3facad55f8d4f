//! Follows the platform's publications and puts what they say in force.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;

use crate::connection_share::HostCounts;
use crate::events::Event;
use crate::first_answer::first_answer;
use crate::fleet::DISCOVERY_TIME;
use crate::fleet::Fleet;
use crate::fleet_budget::FleetBudget;
use crate::fleet_link::FleetLink;
use crate::ids::Revision;
use crate::log_event;
use crate::opaque_view::ViewCell;
use crate::outage::Outage;
use crate::outage::Turn;
use crate::publications::Page;
use crate::publications::Publications;
use crate::publications::Result;
use crate::publications::Watched;
use crate::published::ChangeSet;
use crate::subscription::EXPIRY_CHECK;
use crate::subscription::HostCounter;
use crate::subscription::Source;
use crate::subscription::Subscription;

/// How long one watch waits. A watch whose answer was lost is noticed after that, which must leave
/// time to put a change in force within the platform's bounds.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Pause between two watches, in which changes gather; each watch is a priced call.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a host reads for itself after one that reads for others failed it.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Shortest and longest pause after a call that failed.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 100..300;

/// What is known of the platform, shared by all that read or use it.
pub struct Knowledge {
    /// What was published.
    pub subscription: Mutex<Subscription>,
    /// Whether the platform can be read.
    pub outage: Mutex<Outage>,
    /// The other hosts.
    pub fleet: Mutex<Fleet>,
    /// The region of each zone.
    pub regions: std::collections::BTreeMap<String, String>,
    /// The fleet's budget for extra calls.
    pub budget: Arc<Mutex<FleetBudget>>,
    /// The view in force.
    pub views: Arc<ViewCell>,
    /// Told whenever changes came.
    pub news: Notify,
}

struct FleetCounter<'a> {
    fleet: &'a Fleet,
    assumed: usize,
    is_new: bool,
    regions: &'a std::collections::BTreeMap<String, String>,
}

impl HostCounter for FleetCounter<'_> {
    fn count(&self, zone: &str) -> HostCounts {
        let region = self.regions.get(zone);
        let is_near =
            |other: &str| other == zone || region.is_some() && self.regions.get(other) == region;
        // Hosts that were not heard yet are assumed to be spread evenly over the zones.
        let unheard = self.assumed - self.fleet.count(|_| true);
        let near_zones = self.regions.keys().filter(|other| is_near(other)).count();
        let near_unheard = unheard * near_zones / self.regions.len().max(1);
        let near = self.fleet.count(is_near) + near_unheard;
        let far = self.fleet.count(|other| !is_near(other)) + unheard - near_unheard;
        let is_near = is_near(&self.fleet.own().zone);
        HostCounts { near, far, is_near, is_new: self.is_new }
    }
}

impl Knowledge {
    /// Takes in changes and puts the view that they make in force.
    pub fn take(&self, set: ChangeSet, source: Source, now: Instant) {
        let bridged_until = self.outage.lock().unwrap().bridged_until(now);
        let changed = self.subscription.lock().unwrap().take(set, source, bridged_until, now);
        self.news.notify_waiters();
        if changed {
            self.renew_view(now);
        }
    }

    /// Waits until something is known beyond a revision, or until the time is over.
    pub async fn position_after(&self, after: Revision, limit: Duration) {
        let wait = async {
            loop {
                let news = self.news.notified();
                if self.position() > after {
                    return;
                }
                news.await;
            }
        };
        // Without news in time, the asker learns that there are none.
        let _ = tokio::time::timeout(limit, wait).await;
    }

    /// Puts the view of what is known now in force.
    pub fn renew_view(&self, now: Instant) {
        let fleet = self.fleet.lock().unwrap();
        let assumed = fleet.assumed_count(now);
        let is_new = fleet.is_new(now);
        let counter = FleetCounter { fleet: &fleet, assumed, is_new, regions: &self.regions };
        self.budget.lock().unwrap().set_hosts(assumed);
        let view = self.subscription.lock().unwrap().make_view(&counter, now);
        self.views.set(view);
    }

    /// Returns the revision up to which everything is known.
    pub fn position(&self) -> Revision {
        self.subscription.lock().unwrap().position()
    }

    /// Whether a configuration and the leafs are known.
    pub fn is_whole(&self) -> bool {
        self.views.get().catalogue.is_some()
    }

    /// Drops leafs that lapsed, for as long as the process runs.
    pub async fn expire_lapsed(self: Arc<Self>) {
        let started = Instant::now();
        let mut is_discovering = true;
        loop {
            tokio::time::sleep(EXPIRY_CHECK).await;
            let now = Instant::now();
            // The end of the discovery changes the shares of connections.
            let was_discovering = is_discovering;
            is_discovering = now.saturating_duration_since(started) <= DISCOVERY_TIME;
            if self.subscription.lock().unwrap().expire(now) || was_discovering && !is_discovering {
                self.renew_view(now);
            }
        }
    }
}

/// The process's reader of the platform.
pub struct Subscriber {
    knowledge: Arc<Knowledge>,
    publications: Box<dyn Publications>,
    link: Arc<FleetLink>,
    avoid_readers_until: Instant,
    /// Ends the present wait, after a pause of the process.
    pub wake: Arc<Notify>,
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
        knowledge: Arc<Knowledge>,
        publications: Box<dyn Publications>,
        link: Arc<FleetLink>,
    ) -> Self {
        let avoid_readers_until = Instant::now();
        Self { knowledge, publications, link, avoid_readers_until, wake: Arc::default() }
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
                () = self.wake.notified() => continue,
            };
            self.note(&result, asked_at);
            match result {
                Ok(Progress::Listed) => is_listed = true,
                Ok(Progress::Quiet) => {}
                Ok(Progress::Changed) => tokio::time::sleep(WATCH_PAUSE).await,
                Ok(Progress::HistoryLost) => {
                    log_event!(warn, Event::HistoryLost, position = self.knowledge.position().0);
                    is_listed = false;
                }
                Err(_) => {
                    let pause = rand::rng().random_range(RETRY_PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    /// Learns from a host of the zone that reads the platform, if there is one that is to be relied
    /// on. Returns whether it did.
    async fn follow(&mut self) -> bool {
        let now = Instant::now();
        let readers = self.knowledge.fleet.lock().unwrap().readers(now);
        let Some(&reader) = readers.choose(&mut rand::rng()) else { return false };
        if now < self.avoid_readers_until {
            return false;
        }
        let followed = tokio::select! {
            followed = self.link.follow(reader) => followed,
            () = self.wake.notified() => Ok(false),
        };
        let is_fresh = matches!(followed, Ok(true));
        if is_fresh {
            self.heard();
        } else {
            self.avoid_readers_until = now + AVOID_TIME;
            let cause = followed.err().map(|e| crate::daemon::with_sources(&e));
            let cause = cause.unwrap_or_else(|| "the platform does not answer it".to_owned());
            log_event!(warn, Event::ReaderLost, reader = %reader, cause);
        }
        is_fresh
    }

    fn note(&self, result: &Result<Progress>, asked_at: Instant) {
        let now = Instant::now();
        let position = self.knowledge.position().0;
        let mut outage = self.knowledge.outage.lock().unwrap();
        match result {
            Ok(_) => {
                if let Turn::Regained(away) = outage.heard(now) {
                    let away_ms = away.as_millis() as u64;
                    log_event!(info, Event::PlatformHeard, away_ms, position);
                }
            }
            Err(e) => {
                if outage.failed(asked_at) == Turn::Lost {
                    let cause = crate::daemon::with_sources(e);
                    log_event!(warn, Event::PlatformSilent, position, cause);
                }
            }
        }
    }

    /// Reads everything. Changes made meanwhile come with the watch from the first page's revision.
    async fn list(&self) -> Result<Progress> {
        let Page { mut changes, position, .. } =
            first_answer(|| self.publications.configuration()).await?;
        let mut after = None;
        loop {
            let page = first_answer(|| self.publications.list(after.clone())).await?;
            changes.extend(page.changes);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        self.heard();
        let set = ChangeSet { position, whole: true, changes };
        self.knowledge.take(set, Source::Platform, Instant::now());
        Ok(Progress::Listed)
    }

    async fn watch(&self) -> Result<Progress> {
        let after = self.knowledge.position();
        // After a failure, an answer tells more than a change: it comes at once.
        let is_failing = self.knowledge.outage.lock().unwrap().is_failing();
        let watched = if is_failing {
            first_answer(|| self.publications.watch(after, Duration::ZERO)).await?
        } else {
            self.publications.watch(after, WATCH_TIME).await?
        };
        match watched {
            Watched::HistoryLost => Ok(Progress::HistoryLost),
            Watched::Changes { changes, position } => {
                self.heard();
                let is_quiet = changes.is_empty();
                let set = ChangeSet { position, whole: false, changes };
                self.knowledge.take(set, Source::Platform, Instant::now());
                Ok(if is_quiet { Progress::Quiet } else { Progress::Changed })
            }
        }
    }

    /// Notes the platform's return before what it says is taken in: removals after a return may be
    /// lapses.
    fn heard(&self) {
        let now = Instant::now();
        let turn = self.knowledge.outage.lock().unwrap().heard(now);
        if let Turn::Regained(away) = turn {
            let away_ms = away.as_millis() as u64;
            log_event!(info, Event::PlatformHeard, away_ms, position = self.knowledge.position().0);
        }
    }
}
