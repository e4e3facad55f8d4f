//! Answers callers: admits a query, pins a version, drives the query machine and its leaf calls.

use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::answer::MAX_HITS;
use crate::answer::OutcomeKind;
use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::call::Call;
use crate::call_context::CallContext;
use crate::call_context::CallControl;
use crate::call_context::CallEvent;
use crate::call_context::CallSpec;
use crate::call_context::Cancelled;
use crate::call_context::ChargeTo;
use crate::catalogue::Entry;
use crate::events::Event;
use crate::ids::Attempt;
use crate::ids::IndexVersion;
use crate::ids::LeafKey;
use crate::ids::QueryId;
use crate::layout::IndexSnapshot;
use crate::leaf::Choosing;
use crate::leaf::LeafTable;
use crate::plan::Actions;
use crate::plan::Choice;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::QueryPlan;
use crate::plan::Suspicion;
use crate::publication::View;
use crate::quarantine::Fingerprint;
use crate::quarantine::Verdict;
use crate::query::Query;
use crate::tier::EntryState;
use crate::tier::RETRY_RESERVE_CALLS;
use crate::tier::Tier;

/// Waits that a refusal names when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Times that a query may start again on another version.
const MAX_RESTARTS: u32 = 3;

/// Tells other hosts of suspected requests before the caller can send one again.
pub trait StrikeTeller: Send + Sync {
    /// Tells the news; returns when they are told or the time for it is over.
    fn tell(&self) -> crate::backend::BoxFuture<'_, ()>;
}

/// Answers queries on the shared tables.
#[derive(Clone)]
pub struct Front {
    tier: Arc<Tier>,
    strikes: Option<Arc<dyn StrikeTeller>>,
}

impl Front {
    /// Makes a front on shared tables that keeps suspicions to itself.
    pub fn new(tier: Arc<Tier>) -> Self {
        Self { tier, strikes: None }
    }

    /// Tells suspicions to other hosts.
    pub fn with_strike_teller(mut self, teller: Arc<dyn StrikeTeller>) -> Self {
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
        self.count(&answer);
        answer
    }

    fn count(&self, answer: &QueryAnswer) {
        let counters = &self.tier.counters;
        match answer.outcome {
            OutcomeKind::Complete => counters.complete.increment(),
            OutcomeKind::Partial => counters.partial.increment(),
            OutcomeKind::NotRun => counters.not_run.increment(),
            OutcomeKind::Unknown => counters.unknown.increment(),
        }
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
        Ok(Admitted { view, entry, place, deadline, fingerprint, suspicion, req: req.clone() })
    }

    fn judge(
        &self,
        entry: &Entry,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> Result<Suspicion, Refusal> {
        let now = Instant::now();
        let verdict = self.tier.quarantine.lock().unwrap().verdict(fingerprint, deadline, now);
        match verdict {
            Verdict::Run => Ok(Suspicion::Clear),
            Verdict::Trial => Ok(Suspicion::Suspected),
            Verdict::Refuse(wait) => {
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
                Suspicion::Suspected => quarantine.strike(fingerprint, now),
                Suspicion::Condemned => quarantine.condemn(fingerprint, now),
            }
        };
        if !is_news {
            return;
        }
        let event = match suspicion {
            Suspicion::Condemned => Event::RequestCondemned,
            _ => Event::RequestSuspected,
        };
        event.warn(&format!("request {:016x}", fingerprint.0));
        if let Some(strikes) = &self.strikes {
            strikes.tell().await;
        }
    }
}

/// A place within an entry's limits, given back when dropped.
struct Place {
    state: Arc<EntryState>,
}

impl Place {
    fn take(entry: &Entry, state: Arc<EntryState>, now: Instant) -> Result<Self, Refusal> {
        let begun = state.limits.lock().unwrap().begin(now);
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
        self.state.limits.lock().unwrap().end();
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
    deadline: Instant,
    fingerprint: Fingerprint,
    suspicion: Suspicion,
    req: QueryRequest,
}

impl Admitted {
    async fn run(self, front: &Front, gone: impl Future<Output = ()>) -> QueryAnswer {
        let mut gone = pin!(gone);
        let tier = &front.tier;
        let id = tier.next_query_id();
        let mut first_attempt = Attempt(0);
        let mut suspicion = self.suspicion;
        let mut lost_versions = Vec::new();
        loop {
            let Some(snapshot) = self.pin_version(front, &lost_versions) else {
                return self.no_index(id);
            };
            let version = snapshot.version;
            let plan = QueryPlan {
                id,
                entry: self.entry.clone(),
                snapshot,
                hits: self.req.hits,
                deadline: self.deadline,
                first_attempt,
                suspicion,
            };
            let mut driver = Driver::new(front, &self, Query::new(plan));
            driver.drive(gone.as_mut()).await;
            let may_restart = lost_versions.len() < MAX_RESTARTS as usize;
            if may_restart && driver.query.wants_restart(Instant::now()) {
                tier.counters.restarts.increment();
                first_attempt = driver.query.next_attempt();
                suspicion = driver.query.suspicion();
                lost_versions.push(version);
                if self.pin_version(front, &lost_versions).is_some() {
                    continue;
                }
            }
            tier.counters.strays.add(u64::from(driver.query.strays()));
            return driver.query.take_answer(DEFAULT_RETRY_AFTER);
        }
    }

    /// Pins the newest version every shard of which has a usable replica, or else the newest.
    fn pin_version(&self, front: &Front, lost: &[IndexVersion]) -> Option<Arc<IndexSnapshot>> {
        let now = Instant::now();
        let view = if lost.is_empty() { self.view.clone() } else { front.tier.view() };
        let versions = view.layout.versions(&self.entry.index);
        let mut candidates = versions.iter().filter(|v| !lost.contains(&v.version));
        let first = candidates.clone().next();
        candidates.find(|v| is_whole(v, &view.leafs, now)).or(first).cloned()
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

/// Carries out the actions of one query machine.
struct Driver<'a> {
    front: &'a Front,
    query: Query,
    policy: TierPolicy,
    cx: Arc<CallContext>,
    events: mpsc::UnboundedReceiver<CallEvent>,
    fingerprint: Fingerprint,
    noted: Suspicion,
}

impl<'a> Driver<'a> {
    fn new(front: &'a Front, admitted: &Admitted, query: Query) -> Self {
        let now = Instant::now();
        let (tx, rx) = mpsc::unbounded_channel();
        let latency = front.tier.latency(&admitted.entry.index, now);
        let hedge_quantile = 1.0 - admitted.entry.limits.extra_load.max(0.001) / 2.0;
        let policy = TierPolicy {
            tier: front.tier.clone(),
            view: admitted.view.clone(),
            entry: admitted.entry.clone(),
            entry_state: admitted.place.state.clone(),
            hedge_delay: latency.lock().unwrap().quantile(hedge_quantile),
            picked: HashMap::new(),
            controls: Vec::new(),
            first_attempt: query.next_attempt(),
        };
        let cx = Arc::new(CallContext {
            tier: front.tier.clone(),
            spec: CallSpec::from(&*admitted.entry),
            charge: Some(ChargeTo {
                entry: admitted.entry.clone(),
                entry_state: admitted.place.state.clone(),
            }),
            latency,
            params: admitted.req.params.clone(),
            deadline: admitted.deadline,
            events: tx,
        });
        let noted = query.suspicion();
        Self { front, query, policy, cx, events: rx, fingerprint: admitted.fingerprint, noted }
    }

    async fn drive(&mut self, mut gone: std::pin::Pin<&mut impl Future<Output = ()>>) {
        let mut actions = Actions::default();
        self.query.start(Instant::now(), &mut self.policy, &mut actions);
        self.count_first_calls(&actions);
        self.policy.picked.clear();
        self.carry_out(&mut actions);
        while !self.query.is_over() {
            let wake_at = self.query.wake_at();
            tokio::select! {
                biased;
                Some(event) = self.events.recv() => {
                    self.take(event, &mut actions);
                    while let Ok(event) = self.events.try_recv() {
                        self.take(event, &mut actions);
                    }
                }
                () = tokio::time::sleep_until(wake_at.into()) => {
                    self.query.tick(Instant::now(), &mut self.policy, &mut actions);
                }
                () = &mut gone => {
                    self.front.tier.counters.callers_gone.increment();
                    return self.cancel_all();
                }
            }
            self.carry_out(&mut actions);
            self.note_suspicion().await;
        }
    }

    fn take(&mut self, event: CallEvent, actions: &mut Actions) {
        let now = Instant::now();
        match event {
            CallEvent::Answered(call, answer) => {
                self.query.answered(call.attempt, answer, now, &mut self.policy, actions);
            }
            CallEvent::Lost(call, loss) => {
                self.query.lost(call.attempt, loss, now, &mut self.policy, actions);
            }
        }
    }

    async fn note_suspicion(&mut self) {
        let suspicion = self.query.suspicion();
        if suspicion != self.noted {
            self.noted = suspicion;
            self.front.note_suspicion(self.fingerprint, suspicion).await;
        }
    }

    fn count_first_calls(&self, actions: &Actions) {
        let share = self.policy.entry.limits.extra_load;
        let mut extra_load = self.policy.entry_state.extra_load.lock().unwrap();
        extra_load.earn(actions.sends.len(), share);
    }

    fn carry_out(&mut self, actions: &mut Actions) {
        for send in actions.sends.drain(..) {
            let control = Arc::new(CallControl::default());
            self.policy.controls.push(control.clone());
            let counters = &self.cx.tier.counters;
            match send.purpose {
                Purpose::First => counters.first_calls.increment(),
                Purpose::Hedge => counters.hedges.increment(),
                Purpose::Retry => counters.retries.increment(),
            }
            let Some(leaf) = self.policy.view.leafs.get(send.leaf).cloned() else {
                // Choices come from the same view, so that the leaf is listed there.
                unreachable!("chosen leaf {:?} is not in its view", send.leaf);
            };
            leaf.count_call();
            tokio::spawn(Call { cx: self.cx.clone(), leaf, send, control }.run());
        }
        for attempt in actions.cancels.drain(..) {
            self.cancel(attempt);
        }
    }

    fn cancel(&mut self, attempt: Attempt) {
        let cancelled = self.policy.control(attempt).map_or(Cancelled::Withdrawn, |c| c.cancel());
        if cancelled == Cancelled::Withdrawn {
            self.query.withdrawn(attempt);
        }
    }

    fn cancel_all(&mut self) {
        for index in 0..self.policy.controls.len() as u32 {
            self.cancel(Attempt(self.policy.first_attempt.0 + index));
        }
    }
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        if !self.query.is_over() {
            self.cancel_all();
        }
    }
}

/// Decides by the shared tables.
struct TierPolicy {
    tier: Arc<Tier>,
    view: Arc<View>,
    entry: Arc<Entry>,
    entry_state: Arc<EntryState>,
    hedge_delay: Option<Duration>,
    /// Calls that this query's first fan-out gave to each leaf, which the leafs' gates do not
    /// count yet while the choices are made.
    picked: HashMap<LeafKey, u32>,
    controls: Vec<Arc<CallControl>>,
    first_attempt: Attempt,
}

impl TierPolicy {
    fn control(&self, attempt: Attempt) -> Option<&Arc<CallControl>> {
        let index = attempt.0.checked_sub(self.first_attempt.0)?;
        self.controls.get(index as usize)
    }
}

impl Policy for TierPolicy {
    fn choose(
        &mut self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        purpose: Purpose,
        now: Instant,
    ) -> Option<Choice> {
        let picked = &self.picked;
        let choosing = Choosing { replicas, tried, purpose, picked, now };
        let zone = &self.tier.identity.zone;
        let choice = self.view.leafs.choose(zone, self.entry.class, choosing)?;
        if purpose == Purpose::First {
            *self.picked.entry(choice.leaf).or_default() += 1;
        }
        Some(choice)
    }

    fn take_hedge(&mut self, _now: Instant) -> bool {
        let mut extra_load = self.entry_state.extra_load.lock().unwrap();
        extra_load.saved() >= 1.0 + RETRY_RESERVE_CALLS && extra_load.take()
    }

    fn take_retry(&mut self, failed: LeafKey, may_have_run: bool, _now: Instant) -> bool {
        let leaf_allows =
            self.view.leafs.get(failed).is_none_or(|leaf| leaf.state().retries.take());
        leaf_allows && (!may_have_run || self.entry_state.extra_load.lock().unwrap().take())
    }

    fn hedge_delay(&self) -> Option<Duration> {
        self.hedge_delay
    }

    fn written_at(&self, attempt: Attempt) -> Option<Instant> {
        self.control(attempt)?.written_at()
    }

    fn withdraw(&mut self, attempt: Attempt) -> bool {
        self.control(attempt).is_none_or(|control| control.withdraw())
    }
}
