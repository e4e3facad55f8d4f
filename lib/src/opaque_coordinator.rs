//! Coordinator of opaque requests, whose bodies are not parsed: finds the catalogue entry, pins the
//! replicas, and runs the query's state machine.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use hyper::StatusCode;
use tokio::sync::mpsc;

use crate::answer::OutcomeKind;
use crate::answer::Reason;
use crate::call_context::CallContext;
use crate::call_context::max_idle;
use crate::caller_shares::CountedCaller;
use crate::catalogue::Entry;
use crate::driver::Driver;
use crate::driver::Step;
use crate::events::Event;
use crate::fingerprint::Fingerprint;
use crate::hedge_timing::WorkTimes;
use crate::ids::Attempt;
use crate::ids::EntryName;
use crate::latency_target::latest_send_time;
use crate::layout::IndexSnapshot;
use crate::leaf_codec::LeafCodec;
use crate::log_event;
use crate::metrics::Metrics;
use crate::opaque::LeafResponse;
use crate::opaque::LocalAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque::OpaqueRequest;
use crate::opaque_answer::answer_status;
use crate::opaque_answer::build_answer;
use crate::opaque_answer::shutdown_refusal;
use crate::opaque_answer::unanswered_response;
use crate::opaque_answer::unreachable_refusal;
use crate::opaque_answer::with_jitter;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_catalogue::Target;
use crate::opaque_view::OpaqueView;
use crate::opaque_view::ViewCell;
use crate::placement::Homes;
use crate::plan::QueryPlan;
use crate::plan::Suspicion;
use crate::quarantine::Decision;
use crate::query::Query;
use crate::query_outcome::Outcome;
use crate::request_forwarder::RequestForwarder;
use crate::retry_after;
use crate::room_choice::Work;
use crate::room_forwarding::RoomForwarder;
use crate::room_forwarding::RoomOutcome;
use crate::shared_budget::QueryBudget;
use crate::shared_budget::SharedFleetBudget;
use crate::shutdown::ExpectedWork;
use crate::tier::Tier;
use crate::weighted_round_robin::WeightedRoundRobin;

/// Creates the codecs of requests.
pub trait CodecFactory: Send + Sync {
    /// Returns the codec that encodes the calls of `req` and decodes their replies.
    fn create(&self, req: Arc<OpaqueRequest>) -> Arc<dyn LeafCodec<LeafResponse>>;
}

/// Coordinates opaque requests on the state that this process shares between them.
pub struct OpaqueCoordinator {
    pub(crate) tier: Arc<Tier>,
    views: Arc<ViewCell>,
    codecs: Box<dyn CodecFactory>,
    budget: Arc<SharedFleetBudget>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) pickers: Mutex<HashMap<EntryName, EntryPicker>>,
    /// Passes requests on to other hosts; if it is not set, none is passed on.
    pub(crate) forwarder: OnceLock<Box<dyn RequestForwarder>>,
    /// Passes requests on to faster hosts of the zone; if it is not set, none is passed on.
    pub(crate) room_forwarder: OnceLock<Box<dyn RoomForwarder>>,
    /// Until when requests with these homes are not passed on while this host reaches leafs, as
    /// another host could not serve one either.
    pub(crate) no_forwarding_until: Mutex<BTreeMap<Homes, Instant>>,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// A caller. The request may be passed on to another host.
    Caller,
    /// Another host, which allows this number of calls to each shard.
    Host { attempts: u32 },
}

/// State of the traffic split of one entry. It is created again when the entry's target changes.
pub(crate) struct EntryPicker {
    pub(crate) target: Target,
    pub(crate) picker: WeightedRoundRobin,
}

/// A request that was not served because no leaf could be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unreached {
    /// Number of calls to one shard, at most, that may have reached a leaf.
    pub spent_attempts: u32,
    /// Whether it is certain that the request has not run.
    pub not_run: bool,
}

/// An admitted request.
pub(crate) struct Run {
    pub(crate) source: Source,
    /// The caller, unless another host has passed the request on.
    pub(crate) caller: Option<CountedCaller>,
    pub(crate) req: Arc<OpaqueRequest>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) view: Arc<OpaqueView>,
    pub(crate) admitted: Admitted,
    pub(crate) arrived_at: Instant,
}

/// A query that has ended on this host.
pub(crate) struct Ended {
    pub(crate) outcome: Outcome<LeafResponse>,
    /// Largest number of calls to one shard that may have reached a leaf.
    pub(crate) arrived_calls: usize,
}

impl Ended {
    fn is_served(&self) -> bool {
        matches!(self.outcome.kind, OutcomeKind::Complete | OutcomeKind::Partial)
    }
}

/// A request that may be sent to leafs.
pub(crate) struct Admitted {
    pub(crate) entry: Arc<OpaqueEntry>,
    /// The leafs of each shard that may be called.
    pub(crate) snapshot: Arc<IndexSnapshot>,
    pub(crate) deadline: Instant,
    /// Whether the request is suspected of crashing leafs and runs as a probe first.
    pub(crate) suspicion: Suspicion,
}

impl OpaqueCoordinator {
    /// Creates a coordinator. `views` holds the configuration and leafs in force, `codecs` creates
    /// the codec of each request, and `budget` limits this host's part of the fleet's extra calls.
    pub fn new(
        tier: Arc<Tier>,
        views: Arc<ViewCell>,
        codecs: Box<dyn CodecFactory>,
        budget: Arc<SharedFleetBudget>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            tier,
            views,
            codecs,
            budget,
            metrics,
            pickers: Mutex::default(),
            forwarder: OnceLock::new(),
            room_forwarder: OnceLock::new(),
            no_forwarding_until: Mutex::default(),
        }
    }

    /// Sets what passes requests on to other hosts. Has no effect if it is set already.
    pub fn set_forwarder(&self, forwarder: Box<dyn RequestForwarder>) {
        let _ = self.forwarder.set(forwarder);
    }

    /// Sets what passes requests on to faster hosts of the zone. Has no effect if it is set already.
    pub fn set_room_forwarder(&self, forwarder: Box<dyn RoomForwarder>) {
        let _ = self.room_forwarder.set(forwarder);
    }

    /// Answers one request of the caller at `addr`, which arrived at `arrived_at`. Waits a short
    /// time for the first configuration if there is none yet. Dropping the returned future cancels
    /// the calls in progress.
    pub async fn answer(
        &self,
        addr: Option<IpAddr>,
        req: OpaqueRequest,
        arrived_at: Instant,
    ) -> OpaqueAnswer {
        match self.answer_from(Source::Caller, addr, req, arrived_at).await {
            Ok(answer) => answer,
            Err(Unreached { not_run: true, .. }) => OpaqueAnswer::Local(unreachable_refusal()),
            Err(Unreached { .. }) => unanswered_response(),
        }
    }

    /// Answers a request that another host has passed on; it arrived there at `arrived_at`. Calls
    /// at most `attempts` leafs of each shard.
    pub async fn answer_forwarded(
        &self,
        req: OpaqueRequest,
        attempts: u32,
        arrived_at: Instant,
    ) -> Result<OpaqueAnswer, Unreached> {
        self.answer_from(Source::Host { attempts }, None, req, arrived_at).await
    }

    async fn answer_from(
        &self,
        source: Source,
        addr: Option<IpAddr>,
        req: OpaqueRequest,
        arrived_at: Instant,
    ) -> Result<OpaqueAnswer, Unreached> {
        self.tier.counters.queries.increment();
        let max_wait = retry_after::first_configuration_wait(
            self.views.uptime(arrived_at),
            req.caller_timeout,
        );
        let view = self.views.wait_for_catalogue(max_wait).await;
        let req = Arc::new(req);
        let fingerprint = req.fingerprint();
        let admitted = match self.admit(&req, fingerprint, &view, arrived_at) {
            Ok(admitted) => admitted,
            Err(local) => {
                self.tier.counters.count_outcome(OutcomeKind::NotRun);
                log_event!(
                    info,
                    Event::RequestRefused,
                    request = req.id.to_str().unwrap_or_default(),
                    status = local.status.as_u16(),
                    cause = &*local.message,
                    version = view.catalogue.as_ref().map_or(0, |c| c.version.0)
                );
                return Ok(OpaqueAnswer::Local(local));
            }
        };
        let entry = admitted.entry.entry.clone();
        let caller = addr.map(|addr| self.count_caller(addr, &entry, arrived_at));
        let run = Run { source, caller, req, fingerprint, view, admitted, arrived_at };
        self.answer_run(&run).await
    }

    /// Runs a request on this host, or passes it on if a faster host of the zone has room or this
    /// host does not reach the leafs.
    async fn answer_run(&self, run: &Run) -> Result<OpaqueAnswer, Unreached> {
        let is_callers = run.source == Source::Caller;
        let mut unreached = Unreached { spent_attempts: 0, not_run: true };
        if !self.tier.is_cut_off() {
            match self.place(run).await {
                RoomOutcome::Answered(answer) => return Ok(answer),
                RoomOutcome::RunHere { spent_attempts, not_run } => {
                    unreached = Unreached { spent_attempts, not_run };
                }
                RoomOutcome::AnswerLost => return Err(self.lose_answer(run)),
            }
            let ended = self.run_here(run, unreached.spent_attempts).await;
            if !ended.is_served() {
                self.wait_until_cut_is_decided().await;
            }
            let was_run_before = !unreached.not_run && ended.outcome.kind == OutcomeKind::NotRun;
            if !was_run_before && !self.is_unreached(&ended, run) {
                return Ok(self.finish_answer(run, ended.outcome));
            }
            unreached.spent_attempts = ended.arrived_calls as u32;
            unreached.not_run &= ended.outcome.kind == OutcomeKind::NotRun;
        }
        if run.admitted.suspicion == Suspicion::Suspected {
            self.tier.quarantine.lock().unwrap().release_probe(run.fingerprint);
        }
        if !is_callers {
            return Err(unreached);
        }
        let result = self.forward(run, unreached).await;
        if let Err(unreached) = &result {
            self.record_unreached(run, unreached);
        }
        result
    }

    /// Admits the request, or returns the local answer if there is no configuration or entry, or no
    /// leaf may serve the request, or if the request is blocked or its probe runs.
    fn admit(
        &self,
        req: &OpaqueRequest,
        fingerprint: Fingerprint,
        view: &OpaqueView,
        now: Instant,
    ) -> Result<Admitted, LocalAnswer> {
        let Some(catalogue) = &view.catalogue else {
            let wait = with_jitter(retry_after::unconfigured_retry(self.views.uptime(now)));
            return Err(LocalAnswer::refused(wait, "No configuration is known yet"));
        };
        let path = req.path.split('?').next().unwrap_or_default();
        let Some(entry) = catalogue.find(&req.host, path) else {
            let message = format!("No entry for host \"{}\" and path \"{path}\"", req.host);
            return Err(LocalAnswer::new(StatusCode::NOT_FOUND, message));
        };
        let snapshot = Arc::new(self.pin(entry, view)?);
        let timeout = req.caller_timeout;
        let deadline =
            now + timeout.map_or(entry.entry.deadline, |timeout| timeout.min(entry.entry.deadline));
        if self.tier.shutdown.is_started() && !self.may_begin(&entry.entry, deadline, now) {
            return Err(shutdown_refusal());
        }
        let decision = self.tier.quarantine.lock().unwrap().decide(fingerprint, now);
        let suspicion = match decision {
            Decision::Run => Suspicion::Clear,
            Decision::Probe => {
                self.tier.counters.probes.increment();
                self.tier.suspects_changed.notify_one();
                Suspicion::Suspected
            }
            Decision::Refuse(wait) => {
                self.tier.counters.refused_suspects.increment();
                let message = "The request is suspected of having crashed several leafs";
                return Err(LocalAnswer::refused(with_jitter(wait), message));
            }
        };
        Ok(Admitted { entry: entry.clone(), snapshot, deadline, suspicion })
    }

    /// Returns whether a request may begin although the process shuts down.
    fn may_begin(&self, entry: &Entry, deadline: Instant, now: Instant) -> bool {
        let latency = self.tier.latency_tracker(&entry.index, now);
        let slow_time = latency.lock().unwrap().slow_threshold();
        let work = ExpectedWork { deadline, is_idempotent: entry.idempotent, slow_time };
        self.tier.shutdown.admits(&work, now)
    }

    /// Runs a request on leafs that this host calls. Ends it early if this host is found to be cut
    /// off and the request may run again.
    /// `spent_attempts` calls to each shard were made already.
    async fn run_here(&self, run: &Run, spent_attempts: u32) -> Ended {
        let Admitted { entry: opaque_entry, snapshot, deadline, suspicion } = &run.admitted;
        let entry = entry_for(opaque_entry, run.source, spent_attempts);
        let _open_calls = self.tier.open_calls.begin(Work::of_entry(opaque_entry).calls);
        let plan = QueryPlan {
            id: self.tier.next_query_id(),
            entry: entry.clone(),
            snapshot: snapshot.clone(),
            hits: opaque_entry.top,
            deadline: *deadline,
            target_at: entry.goal.map(|goal| latest_send_time(goal, run.arrived_at)),
            first_attempt: Attempt(0),
            suspicion: *suspicion,
            any_answer_clears: true,
        };
        let mut driver = self.new_driver(run, &entry, plan);
        // This future never completes: a caller that disconnects drops the future of `answer`.
        let mut disconnected = std::pin::pin!(std::future::pending::<()>());
        let mut cut_off = self.tier.cut_off.subscribe();
        driver.start();
        loop {
            // The sender is part of the tier, so that the wait cannot fail.
            tokio::select! {
                step = driver.step(disconnected.as_mut()) => if step != Step::Open { break },
                _ = cut_off.wait_for(|cut_off| *cut_off), if entry.idempotent => {
                    driver.end_early();
                    break;
                }
            }
        }
        let arrived_calls = driver.most_arrived_calls() + spent_attempts as usize;
        let outcome = driver.query.take_outcome();
        if *suspicion == Suspicion::Suspected && outcome.kind == OutcomeKind::NotRun {
            self.tier.quarantine.lock().unwrap().release_probe(run.fingerprint);
        }
        Ended { outcome, arrived_calls }
    }

    fn new_driver(&self, run: &Run, entry: &Arc<Entry>, plan: QueryPlan) -> Driver<LeafResponse> {
        let Run { req, fingerprint, view, .. } = run;
        let (tx, rx) = mpsc::unbounded_channel();
        let latency = self.tier.latency_tracker(&entry.index, Instant::now());
        let work_times = {
            let latency = latency.lock().unwrap();
            WorkTimes::measured(&latency, latency.slow_threshold())
        };
        let cx = Arc::new(CallContext {
            tier: self.tier.clone(),
            codec: self.codecs.create(req.clone()),
            class: entry.class,
            standing: run.caller.map(|caller| caller.standing).unwrap_or_default(),
            relayed: None,
            request: Some(req.id.to_str().unwrap_or_default().into()),
            crash_detector_fingerprint: Some(*fingerprint),
            answered: AtomicBool::new(false),
            max_idle: max_idle(entry.idempotent),
            is_idempotent: entry.idempotent,
            charge: None,
            latency,
            deadline: plan.deadline,
            events: tx,
        });
        let budget = Box::new(QueryBudget::new(self.budget.clone()));
        Driver::new(Query::new(plan), view.leafs.clone(), work_times, budget, cx, rx)
    }

    /// Builds the answer, counts it and logs it.
    fn finish_answer(&self, run: &Run, mut outcome: Outcome<LeafResponse>) -> OpaqueAnswer {
        if outcome.kind == OutcomeKind::NotRun && self.tier.shutdown.is_started() {
            outcome.reason = Reason::NotReady;
        }
        let Run { req, view, arrived_at, .. } = run;
        let opaque_entry = &*run.admitted.entry;
        let elapsed = arrived_at.elapsed();
        let (kind, reason) = (outcome.kind, outcome.reason);
        let (shards, merged, calls) = (outcome.shards, outcome.parts.len(), outcome.calls);
        if let Some(caller) = run.caller {
            self.finish_caller(caller, &opaque_entry.entry, kind);
        }
        if let Some(obstacle) = outcome.obstacle {
            self.record_infeasible(run, obstacle, &outcome);
        }
        let answer = build_answer(opaque_entry, outcome);
        self.tier.counters.count_outcome(kind);
        let status = answer_status(&answer);
        self.metrics.record_answer(opaque_entry.entry.name.as_str(), kind, elapsed);
        log_event!(
            info,
            Event::RequestAnswered,
            request = req.id.to_str().unwrap_or_default(),
            entry = opaque_entry.entry.name.as_str(),
            version = view.catalogue.as_ref().map_or(0, |c| c.version.0),
            position = view.position.revision.0,
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

/// Returns the entry with the number of calls to one shard that the request's source allows, less
/// those that were spent already.
fn entry_for(opaque_entry: &OpaqueEntry, source: Source, spent_attempts: u32) -> Arc<Entry> {
    let entry = &opaque_entry.entry;
    let allowed = match source {
        Source::Caller => entry.attempts,
        Source::Host { attempts } => entry.attempts.min(attempts as usize),
    };
    let attempts = allowed.saturating_sub(spent_attempts as usize).max(1);
    if attempts == entry.attempts {
        return entry.clone();
    }
    Arc::new(Entry { attempts, ..Entry::clone(entry) })
}
