//! Answers callers: admits a query, pins a version, drives the query machine and its leaf calls.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::answer::MAX_HITS;
use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::call_context::ANY_IDLE_TIME;
use crate::call_context::CallContext;
use crate::call_context::ChargeTo;
use crate::catalogue::Entry;
use crate::documents::View;
use crate::driver::Driver;
use crate::driver::Pace;
use crate::driver::Step;
use crate::events::Event;
use crate::extra_calls::EntryBudget;
use crate::ids::Attempt;
use crate::ids::IndexVersion;
use crate::ids::QueryId;
use crate::layout::IndexSnapshot;
use crate::leaf::LeafTable;
use crate::leaf_protocol::Hit;
use crate::plan::QueryPlan;
use crate::plan::Suspicion;
use crate::quarantine::Decision;
use crate::quarantine::Fingerprint;
use crate::query::Query;
use crate::search_codec::CallSpec;
use crate::search_codec::SearchCodec;
use crate::tier::EntryState;
use crate::tier::Tier;

/// Waits that a refusal names when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Work expected of a call before any was seen.
const UNKNOWN_WORK: Duration = Duration::from_millis(5);
/// Times that a query may start again on another version.
const MAX_RESTARTS: u32 = 3;

/// Tells other hosts of suspected requests before the caller can send one again.
pub trait StrikeBroadcaster: Send + Sync {
    /// Tells the news; returns when they are told or the time for it is over.
    fn broadcast(&self) -> crate::backend::BoxFuture<'_, ()>;
}

/// Answers queries on the shared tables.
#[derive(Clone)]
pub struct Coordinator {
    tier: Arc<Tier>,
    strikes: Option<Arc<dyn StrikeBroadcaster>>,
}

impl Coordinator {
    /// Makes a front on shared tables that keeps suspicions to itself.
    pub fn new(tier: Arc<Tier>) -> Self {
        Self { tier, strikes: None }
    }

    /// Tells suspicions to other hosts.
    pub fn with_strike_broadcaster(mut self, teller: Arc<dyn StrikeBroadcaster>) -> Self {
        self.strikes = Some(teller);
        self
    }

    /// Answers one request. When `gone` completes, the caller is gone and the leafs are told so.
    pub async fn answer(
        &self,
        req: &QueryRequest,
        arrived: Instant,
        gone: impl Future<Output = ()>,
    ) -> QueryAnswer {
        self.tier.counters.queries.increment();
        let answer = match self.admit(req, arrived) {
            Ok(admitted) => admitted.run(self, gone).await,
            Err(refusal) => QueryAnswer::from(refusal),
        };
        self.tier.counters.count_outcome(answer.outcome);
        answer
    }

    fn admit(&self, req: &QueryRequest, arrived: Instant) -> Result<Admitted, Refusal> {
        let view = self.tier.view();
        if req.hits > MAX_HITS {
            let message = format!("Field \"hits\" is {}, allowed are 0 to {MAX_HITS}", req.hits);
            return Err(Refusal::new(Reason::BadRequest, message, None));
        }
        let Some(entry) = view.catalogue.entry(&req.entry).cloned() else {
            let message = format!("Entry \"{}\" does not exist in the catalogue", req.entry);
            return Err(Refusal::new(Reason::UnknownEntry, message, None));
        };
        let deadline = arrived + req.deadline.map_or(entry.deadline, |d| d.min(entry.deadline));
        let fingerprint = Fingerprint::of(&entry.name, req.params.get());
        let suspicion = self.judge(&entry, fingerprint, deadline)?;
        let entry_state = self.tier.entry_state(&entry, arrived);
        let place = Place::take(&entry, entry_state, arrived)?;
        let req = req.clone();
        Ok(Admitted { view, entry, place, arrived, deadline, fingerprint, suspicion, req })
    }

    fn judge(
        &self,
        entry: &Entry,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> Result<Suspicion, Refusal> {
        let now = Instant::now();
        let verdict = self.tier.quarantine.lock().unwrap().decide(fingerprint, deadline, now);
        match verdict {
            Decision::Run => Ok(Suspicion::Clear),
            Decision::Probe => Ok(Suspicion::Suspected),
            Decision::Refuse(wait) => {
                let message =
                    format!("Entry \"{}\": the request is suspected of crashing leafs", entry.name);
                Err(Refusal::new(Reason::Quarantined, message, Some(wait)))
            }
        }
    }

    async fn note_suspicion(&self, fingerprint: Fingerprint, suspicion: Suspicion) {
        let now = Instant::now();
        let is_news = {
            let mut quarantine = self.tier.quarantine.lock().unwrap();
            match suspicion {
                Suspicion::Clear => {
                    quarantine.clear(fingerprint);
                    false
                }
                Suspicion::Suspected => quarantine.suspect(fingerprint, now),
                Suspicion::Blocked => quarantine.block(fingerprint, now),
            }
        };
        if !is_news {
            return;
        }
        let event = match suspicion {
            Suspicion::Blocked => Event::RequestBlocked,
            _ => Event::RequestSuspected,
        };
        event.warn(&format!("request {:016x}", fingerprint.0));
        if let Some(strikes) = &self.strikes {
            strikes.broadcast().await;
        }
    }
}

/// A place within an entry's limits, given back when dropped.
struct Place {
    state: Arc<EntryState>,
}

impl Place {
    fn take(entry: &Entry, state: Arc<EntryState>, now: Instant) -> Result<Self, Refusal> {
        let begun = state.limits.lock().unwrap().admit(now);
        match begun {
            Ok(()) => Ok(Self { state }),
            Err(over) => {
                let message = format!(
                    "Entry \"{}\" of owner \"{}\": this host's share of the {} is used up",
                    entry.name,
                    entry.owner,
                    limit_name(over.reason),
                );
                Err(Refusal::new(over.reason, message, Some(over.retry_after)))
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.state.limits.lock().unwrap().release();
    }
}

fn limit_name(reason: Reason) -> &'static str {
    match reason {
        Reason::RateLimit => "limit \"queries_per_second\"",
        Reason::ConcurrencyLimit => "limit \"concurrent\"",
        _ => "limit \"effort_ms_per_second\"",
    }
}

/// A query within its entry's limits.
struct Admitted {
    view: Arc<View>,
    entry: Arc<Entry>,
    place: Place,
    arrived: Instant,
    deadline: Instant,
    fingerprint: Fingerprint,
    suspicion: Suspicion,
    req: QueryRequest,
}

impl Admitted {
    async fn run(self, coordinator: &Coordinator, gone: impl Future<Output = ()>) -> QueryAnswer {
        let mut gone = pin!(gone);
        let tier = &coordinator.tier;
        let id = tier.next_query_id();
        let mut first_attempt = Attempt(0);
        let mut suspicion = self.suspicion;
        let mut lost_versions = Vec::new();
        loop {
            let view = if lost_versions.is_empty() { self.view.clone() } else { tier.view() };
            let Some(snapshot) = self.pin_version(&view, &lost_versions) else {
                return self.no_index(id);
            };
            let version = snapshot.version;
            let plan = QueryPlan {
                id,
                entry: self.entry.clone(),
                snapshot,
                hits: self.req.hits,
                deadline: self.deadline,
                goal_at: self.entry.goal.map(|goal| self.arrived + goal),
                first_attempt,
                suspicion,
            };
            let mut driver = self.driver(coordinator, view, Query::new(plan));
            self.drive(coordinator, &mut driver, gone.as_mut()).await;
            let may_restart = lost_versions.len() < MAX_RESTARTS as usize;
            if may_restart && driver.query.wants_restart(Instant::now()) {
                tier.counters.restarts.increment();
                first_attempt = driver.query.next_attempt();
                suspicion = driver.query.suspicion();
                lost_versions.push(version);
                if self.pin_version(&tier.view(), &lost_versions).is_some() {
                    continue;
                }
            }
            tier.counters.strays.add(u64::from(driver.query.strays()));
            return driver.query.take_answer(DEFAULT_RETRY_AFTER);
        }
    }

    /// Pins the newest version every shard of which has a usable replica, or else the newest.
    fn pin_version(&self, view: &View, lost: &[IndexVersion]) -> Option<Arc<IndexSnapshot>> {
        let versions = view.layout.versions(&self.entry.index);
        let mut candidates = versions.iter().filter(|v| !lost.contains(&v.version));
        let newest = candidates.next()?;
        // With one candidate there is nothing to weigh, and no leaf needs to be looked at twice.
        let Some(next) = candidates.next() else { return Some(newest.clone()) };
        let now = Instant::now();
        let mut in_turn = [newest, next].into_iter().chain(candidates);
        in_turn.find(|v| is_whole(v, &view.leafs, now)).or(Some(newest)).cloned()
    }

    fn driver(
        &self,
        coordinator: &Coordinator,
        view: Arc<View>,
        query: Query<Vec<Hit>>,
    ) -> Driver<Vec<Hit>> {
        let (tx, rx) = mpsc::unbounded_channel();
        let latency = coordinator.tier.latency_tracker(&self.entry.index, Instant::now());
        let slow_quantile = 1.0 - self.entry.limits.extra_load.max(0.001) / 2.0;
        let pace = {
            let mut latency = latency.lock().unwrap();
            Pace {
                typical_work: latency.typical().unwrap_or(UNKNOWN_WORK),
                slow_work: latency.quantile(slow_quantile),
            }
        };
        let spec = CallSpec::from(&*self.entry);
        let search = Arc::new(SearchCodec { spec, params: self.req.params.clone() });
        let cx = Arc::new(CallContext {
            tier: coordinator.tier.clone(),
            codec: search.clone(),
            class: self.entry.class,
            relayed: Some(search),
            request: None,
            crash_watch_fingerprint: None,
            max_idle: ANY_IDLE_TIME,
            charge: Some(ChargeTo {
                entry: self.entry.clone(),
                entry_state: self.place.state.clone(),
            }),
            latency,
            deadline: self.deadline,
            events: tx,
        });
        let budget = EntryBudget {
            entry_state: self.place.state.clone(),
            share: self.entry.limits.extra_load,
        };
        Driver::new(query, view.leafs.clone(), pace, Box::new(budget), cx, rx)
    }

    async fn drive<F: Future<Output = ()>>(
        &self,
        coordinator: &Coordinator,
        driver: &mut Driver<Vec<Hit>>,
        mut gone: Pin<&mut F>,
    ) {
        let mut noted = driver.query.suspicion();
        driver.start();
        while driver.step(gone.as_mut()).await == Step::Open {
            noted = self.note_suspicion(coordinator, driver.query.suspicion(), noted).await;
        }
        self.note_suspicion(coordinator, driver.query.suspicion(), noted).await;
    }

    async fn note_suspicion(
        &self,
        coordinator: &Coordinator,
        suspicion: Suspicion,
        noted: Suspicion,
    ) -> Suspicion {
        if suspicion != noted {
            coordinator.note_suspicion(self.fingerprint, suspicion).await;
        }
        suspicion
    }

    fn no_index(&self, id: QueryId) -> QueryAnswer {
        let message = format!(
            "Entry \"{}\": index \"{}\" has no version that can be queried",
            self.entry.name, self.entry.index
        );
        let refusal = Refusal::new(Reason::NoIndex, message, Some(DEFAULT_RETRY_AFTER));
        let refused = QueryAnswer::from(refusal);
        QueryAnswer { query: Some(id), entry: Some(self.entry.name.clone()), ..refused }
    }
}

fn is_whole(snapshot: &IndexSnapshot, leafs: &LeafTable, now: Instant) -> bool {
    snapshot
        .shards()
        .all(|shard| snapshot.replicas(shard).iter().any(|&key| leafs.is_usable(key, now)))
}
