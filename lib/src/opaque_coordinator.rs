//! Answers opaque requests: finds the entry, pins the version, drives the query machine.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use tokio::sync::mpsc;

use crate::answer::OutcomeKind;
use crate::answer::Reason;
use crate::call_context::CallContext;
use crate::call_context::max_idle;
use crate::catalogue::Entry;
use crate::driver::Driver;
use crate::driver::Pace;
use crate::driver::Step;
use crate::events::Event;
use crate::fleet_budget::FleetBudget;
use crate::fleet_budget::SharedFleetBudget;
use crate::ids::Attempt;
use crate::ids::EntryName;
use crate::ids::GroupKey;
use crate::latency_target::latest_send_time;
use crate::layout::IndexSnapshot;
use crate::leaf_codec::LeafCodec;
use crate::log_event;
use crate::metrics::Metrics;
use crate::opaque::LeafResponse;
use crate::opaque::LocalAnswer;
use crate::opaque::MergedAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque::OpaqueRequest;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_catalogue::Target;
use crate::opaque_view::OpaqueView;
use crate::opaque_view::ViewCell;
use crate::plan::QueryPlan;
use crate::plan::Suspicion;
use crate::quarantine::Fingerprint;
use crate::query::Query;
use crate::query_outcome::Outcome;
use crate::records;
use crate::retry_after;
use crate::retry_after::LOST_LEAFS_RETRY;
use crate::retry_after::OTHER_HOST_RETRY;
use crate::tier::Tier;
use crate::weighted_round_robin::WeightedRoundRobin;

/// Work expected of a call before any was seen.
const UNKNOWN_WORK: Duration = Duration::from_millis(8);

/// Makes the codec that writes one request's calls.
pub trait CodecMaker: Send + Sync {
    /// Makes it.
    fn make(&self, req: Arc<OpaqueRequest>) -> Arc<dyn LeafCodec<LeafResponse>>;
}

/// Answers requests on the shared tables.
pub struct OpaqueCoordinator {
    tier: Arc<Tier>,
    views: Arc<ViewCell>,
    codecs: Box<dyn CodecMaker>,
    budget: Arc<Mutex<FleetBudget>>,
    metrics: Arc<Metrics>,
    dealers: Mutex<HashMap<EntryName, EntryDealer>>,
}

struct EntryDealer {
    target: Target,
    dealer: WeightedRoundRobin,
}

impl OpaqueCoordinator {
    /// Makes a front on shared tables.
    pub fn new(
        tier: Arc<Tier>,
        views: Arc<ViewCell>,
        codecs: Box<dyn CodecMaker>,
        budget: Arc<Mutex<FleetBudget>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { tier, views, codecs, budget, metrics, dealers: Mutex::default() }
    }

    /// Answers one request. The leafs are told when the returned future is dropped.
    pub async fn answer(&self, req: OpaqueRequest, arrived: Instant) -> OpaqueAnswer {
        self.tier.counters.queries.increment();
        let limit =
            retry_after::first_configuration_wait(self.views.uptime(arrived), req.caller_timeout);
        let view = self.views.wait_for_catalogue(limit).await;
        let req = Arc::new(req);
        let fingerprint = req.fingerprint();
        match self.admit(&req, fingerprint, &view, arrived) {
            Ok(entry) => self.run(req, fingerprint, view, entry, arrived).await,
            Err(own) => {
                self.tier.counters.count_outcome(OutcomeKind::NotRun);
                log_event!(
                    info,
                    Event::RequestRefused,
                    request = req.id.to_str().unwrap_or_default(),
                    status = own.status.as_u16(),
                    cause = &*own.message,
                    version = view.catalogue.as_ref().map_or(0, |c| c.version.0)
                );
                OpaqueAnswer::Local(own)
            }
        }
    }

    fn admit(
        &self,
        req: &OpaqueRequest,
        fingerprint: Fingerprint,
        view: &OpaqueView,
        now: Instant,
    ) -> Result<Arc<OpaqueEntry>, LocalAnswer> {
        let Some(catalogue) = &view.catalogue else {
            let wait = spread(retry_after::unconfigured_retry(self.views.uptime(now)));
            return Err(LocalAnswer::refused(wait, "No configuration is known yet"));
        };
        let path = req.path.split('?').next().unwrap_or_default();
        let Some(entry) = catalogue.find(&req.host, path) else {
            let message = format!("No entry for host \"{}\" and path \"{path}\"", req.host);
            return Err(LocalAnswer::new(StatusCode::NOT_FOUND, message));
        };
        if self.tier.crashes.lock().unwrap().is_blocked(fingerprint, now) {
            let message = "The request has crashed several leafs";
            return Err(LocalAnswer::refused(spread(LOST_LEAFS_RETRY), message));
        }
        Ok(entry.clone())
    }

    async fn run(
        &self,
        req: Arc<OpaqueRequest>,
        fingerprint: Fingerprint,
        view: Arc<OpaqueView>,
        spec: Arc<OpaqueEntry>,
        arrived: Instant,
    ) -> OpaqueAnswer {
        let entry = &spec.entry;
        let deadline =
            arrived + req.caller_timeout.map_or(entry.deadline, |p| p.min(entry.deadline));
        let snapshot = self.pin(&spec, &view);
        let plan = QueryPlan {
            id: self.tier.next_query_id(),
            entry: entry.clone(),
            snapshot: Arc::new(snapshot),
            hits: spec.top,
            deadline,
            goal_at: entry.goal.map(|goal| latest_send_time(goal, arrived)),
            first_attempt: Attempt(0),
            suspicion: Suspicion::Clear,
        };
        let mut driver = self.driver(&req, fingerprint, &view, entry, plan);
        let mut gone = std::pin::pin!(std::future::pending::<()>());
        driver.start();
        while driver.step(gone.as_mut()).await == Step::Open {}
        let outcome = driver.query.take_outcome();
        self.tell(&req, &view, &spec, outcome, arrived)
    }

    /// Pins the leafs of the version in force.
    fn pin(&self, spec: &OpaqueEntry, view: &OpaqueView) -> IndexSnapshot {
        let picked;
        let groups: &[GroupKey] = match &spec.target {
            Target::All(groups) => groups,
            Target::One(_) => {
                picked = self.deal(spec);
                std::slice::from_ref(&picked)
            }
        };
        let version = view.catalogue.as_ref().map(|c| c.version).unwrap_or_default();
        let shards = groups.iter().map(|&group| view.group(group));
        IndexSnapshot::from_replicas(spec.entry.index.clone(), version, shards)
    }

    fn deal(&self, spec: &OpaqueEntry) -> GroupKey {
        let Target::One(weights) = &spec.target else { return GroupKey::default() };
        if let [only] = weights[..] {
            return only.group;
        }
        let mut dealers = self.dealers.lock().unwrap();
        let make = || EntryDealer {
            target: spec.target.clone(),
            dealer: WeightedRoundRobin::new(
                weights.iter().map(|w| w.weight).collect(),
                rand::random(),
            ),
        };
        let known = dealers.entry(spec.entry.name.clone()).or_insert_with(make);
        if known.target != spec.target {
            *known = make();
        }
        weights[known.dealer.pick()].group
    }

    fn driver(
        &self,
        req: &Arc<OpaqueRequest>,
        fingerprint: Fingerprint,
        view: &OpaqueView,
        entry: &Arc<Entry>,
        plan: QueryPlan,
    ) -> Driver<LeafResponse> {
        let (tx, rx) = mpsc::unbounded_channel();
        let latency = self.tier.latency_tracker(&entry.index, Instant::now());
        let pace = {
            let latency = latency.lock().unwrap();
            Pace {
                typical_work: latency.typical().unwrap_or(UNKNOWN_WORK),
                slow_work: latency.slow(),
            }
        };
        let cx = Arc::new(CallContext {
            tier: self.tier.clone(),
            codec: self.codecs.make(req.clone()),
            class: entry.class,
            relayed: None,
            request: Some(req.id.to_str().unwrap_or_default().into()),
            crash_watch_fingerprint: Some(fingerprint),
            max_idle: max_idle(entry.idempotent),
            charge: None,
            latency,
            deadline: plan.deadline,
            events: tx,
        });
        let budget = Box::new(SharedFleetBudget(self.budget.clone()));
        Driver::new(Query::new(plan), view.leafs.clone(), pace, budget, cx, rx)
    }

    fn tell(
        &self,
        req: &OpaqueRequest,
        view: &OpaqueView,
        spec: &OpaqueEntry,
        outcome: Outcome<LeafResponse>,
        arrived: Instant,
    ) -> OpaqueAnswer {
        let elapsed = arrived.elapsed();
        let (kind, reason) = (outcome.kind, outcome.reason);
        let (shards, merged, calls) = (outcome.shards, outcome.parts.len(), outcome.calls);
        let answer = answer_of(spec, outcome);
        self.tier.counters.count_outcome(kind);
        let status = status_of(&answer);
        self.metrics.record_answer(spec.entry.name.as_str(), kind, elapsed);
        log_event!(
            info,
            Event::RequestAnswered,
            request = req.id.to_str().unwrap_or_default(),
            entry = spec.entry.name.as_str(),
            version = view.catalogue.as_ref().map_or(0, |c| c.version.0),
            position = view.position.0,
            view_age_ms = view.made_at.elapsed().as_millis() as u64,
            outcome = ?kind,
            reason = ?reason,
            status = status.as_u16(),
            shards,
            merged,
            calls,
            elapsed_ms = elapsed.as_millis() as u64
        );
        answer
    }
}

fn status_of(answer: &OpaqueAnswer) -> StatusCode {
    match answer {
        OpaqueAnswer::PassedThrough(response) => response.status,
        OpaqueAnswer::Merged(_) => StatusCode::OK,
        OpaqueAnswer::Local(own) => own.status,
    }
}

fn answer_of(spec: &OpaqueEntry, outcome: Outcome<LeafResponse>) -> OpaqueAnswer {
    let is_merged = matches!(spec.target, Target::All(_));
    match outcome.kind {
        OutcomeKind::Complete | OutcomeKind::Partial if is_merged => merged(spec, outcome),
        OutcomeKind::Complete | OutcomeKind::Partial => {
            let part = outcome.parts.into_iter().next();
            part.map_or_else(unanswered, |(_, response)| OpaqueAnswer::PassedThrough(response))
        }
        OutcomeKind::NotRun => OpaqueAnswer::Local(refusal(&outcome)),
        OutcomeKind::Unknown => match outcome.failure {
            Some(failure) if !is_merged => OpaqueAnswer::PassedThrough(failure),
            _ if outcome.reason == Reason::DeadlineExceeded => {
                let message = "No answer came in time";
                OpaqueAnswer::Local(LocalAnswer::new(StatusCode::GATEWAY_TIMEOUT, message))
            }
            _ => unanswered(),
        },
    }
}

fn unanswered() -> OpaqueAnswer {
    let message = "Too few leafs answered; the request may have run";
    OpaqueAnswer::Local(LocalAnswer::new(StatusCode::BAD_GATEWAY, message))
}

fn merged(spec: &OpaqueEntry, outcome: Outcome<LeafResponse>) -> OpaqueAnswer {
    let bodies = outcome.parts.iter().map(|(_, response)| &response.body);
    let records = records::greatest(bodies, spec.top);
    let missing = outcome.shards - outcome.parts.len();
    let signatures = outcome.parts.into_iter().filter_map(|(_, r)| r.signature).collect();
    OpaqueAnswer::Merged(MergedAnswer { records, signatures, missing })
}

/// Says truly that a request has not run, and when it may run.
fn refusal(outcome: &Outcome<LeafResponse>) -> LocalAnswer {
    match outcome.reason {
        Reason::Overloaded => {
            let wait = outcome.excess_wait.unwrap_or(LOST_LEAFS_RETRY);
            LocalAnswer::refused(spread(wait), "The queues in front of the leafs are too long")
        }
        Reason::DeadlineExceeded => {
            LocalAnswer::refused(spread(OTHER_HOST_RETRY), "No leaf could be reached in time")
        }
        _ => LocalAnswer::refused(spread(LOST_LEAFS_RETRY), "Too few leafs can be reached"),
    }
}

fn spread(wait: Duration) -> Duration {
    retry_after::with_jitter(wait, &mut rand::rng())
}
