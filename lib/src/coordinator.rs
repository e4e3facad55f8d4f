//! Coordinator of callers' queries: admits a query, pins an index version, runs the query's state
//! machine and its leaf calls, and restarts it on another version if the pinned one is lost.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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
use crate::caller_shares::Standing;
use crate::catalogue::Entry;
use crate::documents::View;
use crate::driver::Driver;
use crate::driver::Step;
use crate::extra_calls::EntryBudget;
use crate::fingerprint::Fingerprint;
use crate::hedge_timing::WorkTimes;
use crate::ids::Attempt;
use crate::ids::IndexVersion;
use crate::ids::QueryId;
use crate::layout::IndexSnapshot;
use crate::leaf_protocol::Hit;
use crate::leaf_table::LeafTable;
use crate::plan::QueryPlan;
use crate::plan::Suspicion;
use crate::quarantine::Crash;
use crate::quarantine::Decision;
use crate::query::BrokenCall;
use crate::query::Query;
use crate::search_codec::CallSpec;
use crate::search_codec::SearchCodec;
use crate::tier::EntryState;
use crate::tier::LossCause;
use crate::tier::Tier;

/// Retry-after time of a refusal when there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Number of times that a query may restart on another version.
const MAX_RESTARTS: u32 = 3;

/// Reports suspected requests to other hosts before the caller is answered and can resend one.
pub trait StrikeBroadcaster: Send + Sync {
    /// Sends all new strikes to other hosts. Completes when they have replied or after a time
    /// limit.
    fn broadcast(&self) -> crate::backend::BoxFuture<'_, ()>;
}

/// Coordinates queries on the state that this process shares between them. Cheap to clone.
#[derive(Clone)]
pub struct Coordinator {
    tier: Arc<Tier>,
    strike_broadcaster: Option<Arc<dyn StrikeBroadcaster>>,
}

impl Coordinator {
    /// Creates a coordinator that does not report suspected requests to other hosts.
    pub fn new(tier: Arc<Tier>) -> Self {
        Self { tier, strike_broadcaster: None }
    }

    /// Makes the coordinator report suspected requests to other hosts through `broadcaster`.
    pub fn with_strike_broadcaster(mut self, broadcaster: Arc<dyn StrikeBroadcaster>) -> Self {
        self.strike_broadcaster = Some(broadcaster);
        self
    }

    /// Answers one request, which arrived at `arrived_at`. When `disconnected` completes, the
    /// caller has closed its connection, and the calls in progress are cancelled.
    pub async fn answer(
        &self,
        req: &QueryRequest,
        arrived_at: Instant,
        disconnected: impl Future<Output = ()>,
    ) -> QueryAnswer {
        self.tier.counters.queries.increment();
        let answer = match self.admit(req, arrived_at) {
            Ok(admitted) => admitted.answer_query(self, disconnected).await,
            Err(refusal) => QueryAnswer::from(refusal),
        };
        self.tier.counters.count_outcome(answer.outcome);
        answer
    }

    /// Checks the request, the quarantine and the entry's limits, in this order.
    fn admit(&self, req: &QueryRequest, arrived_at: Instant) -> Result<Admitted, Refusal> {
        let view = self.tier.view();
        if req.hits > MAX_HITS {
            let message = format!("Field \"hits\" is {}, allowed are 0 to {MAX_HITS}", req.hits);
            return Err(Refusal::new(Reason::BadRequest, message, None));
        }
        let Some(entry) = view.catalogue.entry(&req.entry).cloned() else {
            let message = format!("Entry \"{}\" does not exist in the catalogue", req.entry);
            return Err(Refusal::new(Reason::UnknownEntry, message, None));
        };
        let deadline = arrived_at + req.deadline.map_or(entry.deadline, |d| d.min(entry.deadline));
        let fingerprint = Fingerprint::of(&entry.name, req.params.get());
        let suspicion = self.check_quarantine(&entry, fingerprint)?;
        let entry_state = self.tier.entry_state(&entry, arrived_at);
        let permit = LimitPermit::acquire(&entry, entry_state, arrived_at)?;
        let req = req.clone();
        Ok(Admitted { view, entry, permit, arrived_at, deadline, fingerprint, suspicion, req })
    }

    /// Returns whether the request is suspected, or refuses it if it is blocked or another probe of
    /// it runs.
    fn check_quarantine(
        &self,
        entry: &Entry,
        fingerprint: Fingerprint,
    ) -> Result<Suspicion, Refusal> {
        let now = Instant::now();
        let decision = self.tier.quarantine.lock().unwrap().decide(fingerprint, now);
        match decision {
            Decision::Run => Ok(Suspicion::Clear),
            Decision::Probe => Ok(Suspicion::Suspected),
            Decision::Refuse(wait) => {
                let message =
                    format!("Entry \"{}\": the request is suspected of crashing leafs", entry.name);
                Err(Refusal::new(Reason::Quarantined, message, Some(wait)))
            }
        }
    }

    /// Records the broken calls of a query in the quarantine. Reports the request to other hosts if
    /// it is newly suspected or blocked.
    async fn record_broken_calls(
        &self,
        fingerprint: Fingerprint,
        broken: Vec<BrokenCall>,
        leafs: &LeafTable,
    ) {
        let mut is_transition = false;
        for BrokenCall { leaf, was_probe } in broken {
            let Some(leaf) = leafs.get(leaf) else { continue };
            let crash = Crash { fingerprint, leaf: leaf.hash, was_probe };
            is_transition |= self.tier.record_crash(crash, LossCause::Broken, Instant::now());
        }
        if is_transition && let Some(strike_broadcaster) = &self.strike_broadcaster {
            strike_broadcaster.broadcast().await;
        }
    }
}

/// A permit within an entry's limits of rate, concurrency and effort. Dropping it releases its
/// concurrency.
struct LimitPermit {
    state: Arc<EntryState>,
}

impl LimitPermit {
    fn acquire(entry: &Entry, state: Arc<EntryState>, now: Instant) -> Result<Self, Refusal> {
        let result = state.limits.lock().unwrap().admit(now);
        match result {
            Ok(()) => Ok(Self { state }),
            Err(exceeded) => {
                let message = format!(
                    "Entry \"{}\" of owner \"{}\": this host's share of the {} is used up",
                    entry.name,
                    entry.owner,
                    limit_name(exceeded.reason),
                );
                Err(Refusal::new(exceeded.reason, message, Some(exceeded.retry_after)))
            }
        }
    }
}

impl Drop for LimitPermit {
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

/// A query that was admitted within its entry's limits.
struct Admitted {
    view: Arc<View>,
    entry: Arc<Entry>,
    permit: LimitPermit,
    arrived_at: Instant,
    deadline: Instant,
    fingerprint: Fingerprint,
    suspicion: Suspicion,
    req: QueryRequest,
}

impl Admitted {
    /// Runs the query, with restarts on other versions, and returns the answer.
    async fn answer_query(
        self,
        coordinator: &Coordinator,
        disconnected: impl Future<Output = ()>,
    ) -> QueryAnswer {
        let mut disconnected = pin!(disconnected);
        let tier = &coordinator.tier;
        let id = tier.next_query_id();
        let mut first_attempt = Attempt(0);
        let mut suspicion = self.suspicion;
        let mut lost_versions = Vec::new();
        loop {
            let view = if lost_versions.is_empty() { self.view.clone() } else { tier.view() };
            let Some(snapshot) = self.pin_version(&view, &lost_versions) else {
                return self.no_index_answer(id);
            };
            let version = snapshot.version;
            let plan = QueryPlan {
                id,
                entry: self.entry.clone(),
                snapshot,
                hits: self.req.hits,
                deadline: self.deadline,
                target_at: self.entry.goal.map(|goal| self.arrived_at + goal),
                first_attempt,
                suspicion,
                any_answer_clears: false,
            };
            let leafs = view.leafs.clone();
            let mut driver = self.driver(coordinator, view, Query::new(plan));
            self.drive(coordinator, &mut driver, &leafs, disconnected.as_mut()).await;
            let may_restart = lost_versions.len() < MAX_RESTARTS as usize;
            if may_restart && driver.query.should_restart(Instant::now()) {
                tier.counters.restarts.increment();
                first_attempt = driver.query.next_attempt();
                suspicion = driver.query.suspicion();
                lost_versions.push(version);
                if self.pin_version(&tier.view(), &lost_versions).is_some() {
                    continue;
                }
            }
            tier.counters.strays.add(u64::from(driver.query.unmatched_replies()));
            return driver.query.take_answer(DEFAULT_RETRY_AFTER);
        }
    }

    /// Returns the newest version of which every shard has a usable replica, or else the newest
    /// one. Versions in `lost` are skipped. Returns nothing if no version is left.
    fn pin_version(&self, view: &View, lost: &[IndexVersion]) -> Option<Arc<IndexSnapshot>> {
        let versions = view.layout.versions(&self.entry.index);
        let mut candidates = versions.iter().filter(|v| !lost.contains(&v.version));
        let newest = candidates.next()?;
        // A single candidate is chosen in any case; this saves the check of its leafs.
        let Some(next) = candidates.next() else { return Some(newest.clone()) };
        let now = Instant::now();
        let mut newest_first = [newest, next].into_iter().chain(candidates);
        newest_first.find(|v| has_usable_replicas(v, &view.leafs, now)).or(Some(newest)).cloned()
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
        let work_times = {
            let mut latency = latency.lock().unwrap();
            let slow_work = latency.quantile(slow_quantile);
            WorkTimes::measured(&latency, slow_work)
        };
        let spec = CallSpec::from(&*self.entry);
        let search = Arc::new(SearchCodec { spec, params: self.req.params.clone() });
        let cx = Arc::new(CallContext {
            tier: coordinator.tier.clone(),
            codec: search.clone(),
            class: self.entry.class,
            standing: Standing::Within,
            relayed: Some(search),
            request: None,
            crash_detector_fingerprint: None,
            answered: AtomicBool::new(false),
            max_idle: ANY_IDLE_TIME,
            is_idempotent: self.entry.idempotent,
            charge: Some(ChargeTo {
                entry: self.entry.clone(),
                entry_state: self.permit.state.clone(),
            }),
            latency,
            deadline: self.deadline,
            events: tx,
        });
        let budget = EntryBudget {
            entry_state: self.permit.state.clone(),
            share: self.entry.limits.extra_load,
        };
        Driver::new(query, view.leafs.clone(), work_times, Box::new(budget), cx, rx)
    }

    /// Runs the query on its pinned version to its end, and records each broken call and the end of
    /// a suspicion before the next step.
    async fn drive<F: Future<Output = ()>>(
        &self,
        coordinator: &Coordinator,
        driver: &mut Driver<Vec<Hit>>,
        leafs: &LeafTable,
        mut disconnected: Pin<&mut F>,
    ) {
        let mut step = Step::Open;
        let mut was_suspected = driver.query.suspicion() != Suspicion::Clear;
        driver.start();
        while step == Step::Open {
            step = driver.step(disconnected.as_mut()).await;
            let broken = driver.query.take_broken_calls();
            coordinator.record_broken_calls(self.fingerprint, broken, leafs).await;
            let is_suspected = driver.query.suspicion() != Suspicion::Clear;
            if was_suspected && !is_suspected {
                coordinator.tier.record_answered_request(self.fingerprint, Instant::now());
            }
            was_suspected = is_suspected;
        }
    }

    fn no_index_answer(&self, id: QueryId) -> QueryAnswer {
        let message = format!(
            "Entry \"{}\": index \"{}\" has no version that can be queried",
            self.entry.name, self.entry.index
        );
        let refusal = Refusal::new(Reason::NoIndex, message, Some(DEFAULT_RETRY_AFTER));
        let refused = QueryAnswer::from(refusal);
        QueryAnswer { query: Some(id), entry: Some(self.entry.name.clone()), ..refused }
    }
}

fn has_usable_replicas(snapshot: &IndexSnapshot, leafs: &LeafTable, now: Instant) -> bool {
    snapshot
        .shards()
        .all(|shard| snapshot.replicas(shard).iter().any(|&key| leafs.is_usable(key, now)))
}
