//! The state of a leaf that changes with every call.

use std::time::Instant;

use tokio::sync::oneshot;

use crate::admission_queue::AdmissionQueue;
use crate::budget::ExtraLoadBudget;
use crate::cold_limit::ColdLimiter;
use crate::hosts::HostState;
use crate::hosts::LeafDetail;
use crate::hosts::LeafHost;
use crate::leaf_estimates::LeafEstimates;
use crate::leaf_limiter::LeafLimiter;
use crate::leaf_load::LoadHint;
use crate::leaf_pace::LeafPace;
use crate::leaf_pace::ReturnCause;
use crate::relay::Route;

/// Notifies a call that waits for a slot. Dropping it refuses the call.
pub type SlotToken = oneshot::Sender<()>;

/// The state of a leaf that changes with every call, protected by one lock.
#[derive(Debug)]
pub struct LeafState {
    /// Calls that wait for a slot at the leaf, and its congestion window.
    pub admission_queue: AdmissionQueue<SlotToken>,
    /// Estimates of latency, failure probability and usability.
    pub estimates: LeafEstimates,
    /// The rate limit that the leaf names, and this host's calls to it.
    pub limiter: LeafLimiter,
    /// The load that the leaf stated last.
    pub load: LoadHint,
    /// The bound on calls to the leaf while it is cold, and this host's calls to it.
    pub cold: ColdLimiter,
    /// The part of its calls that the leaf gets after a start or a recovery.
    pub pace: LeafPace,
    /// Budget of the retries that this leaf's failures may cause.
    pub retries: ExtraLoadBudget,
    /// Whether calls go to the leaf directly or through relays.
    pub route: Route,
    /// Details that the platform currently publishes about the leaf.
    pub detail: LeafDetail,
}

impl LeafState {
    /// Creates the state of a leaf without observations.
    pub(crate) fn new(host: &LeafHost, route: Route, pace: LeafPace, now: Instant) -> Self {
        let mut state = Self {
            admission_queue: AdmissionQueue::new(max_window(host, &route)),
            estimates: LeafEstimates::default(),
            limiter: LeafLimiter::default(),
            load: LoadHint::default(),
            cold: ColdLimiter::default(),
            pace,
            retries: ExtraLoadBudget::for_leaf(),
            route,
            detail: LeafDetail::default(),
        };
        state.set_host(host, now);
        state
    }

    /// Applies what is published about the leaf.
    pub(crate) fn set_host(&mut self, host: &LeafHost, now: Instant) {
        let detail = &host.detail;
        self.admission_queue.set_ordinary_turns(detail.has_ordinary_turns);
        self.estimates.set_listed_leaving(host.state == HostState::Leaving);
        self.estimates.set_cold_until(detail.cold_until);
        self.estimates.set_paced(detail.is_paced);
        self.cold.set_bound(detail.cold_bound, detail.cold_until);
        let is_cold = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if is_cold(detail.cold_until) && !is_cold(self.detail.cold_until) {
            self.start_return(ReturnCause::Cold, now, now);
        }
        if self.detail.is_evacuated && !detail.is_evacuated {
            self.start_return(ReturnCause::Evacuated, now, now);
        }
        self.detail = detail.clone();
    }

    /// Lets the leaf return at a pace from `at` on, if its group has a cold phase.
    pub fn start_return(&mut self, cause: ReturnCause, at: Instant, now: Instant) {
        if self.estimates.is_paced() {
            self.pace.start_return(cause, at, now);
        }
    }

    /// Takes the steps of the pace that are due. Failures of a leaf that is back at its full share
    /// are forgotten, as its calls since then show more.
    pub fn advance_pace(&mut self, now: Instant) {
        self.pace.advance(now);
        if self.pace.take_recovery() {
            self.estimates.forget_losses();
        }
    }

    /// Records a lost call or a failed connection. Returns whether this ejected the leaf.
    pub fn record_loss(&mut self, now: Instant) -> bool {
        let is_ejected = self.estimates.record_loss(now);
        if is_ejected {
            self.return_after_ejection(now);
        }
        is_ejected
    }

    /// Records a refused connection. Returns whether consecutive losses have ejected the leaf.
    pub fn record_refused_connection(&mut self, now: Instant) -> bool {
        let is_ejected = self.estimates.record_refused_connection(now);
        self.cold.record_down(now);
        self.return_after_ejection(now);
        is_ejected
    }

    fn return_after_ejection(&mut self, now: Instant) {
        let until = self.estimates.ejected_until().unwrap_or(now);
        self.start_return(ReturnCause::Lost, until, now);
    }
}

/// Returns the upper bound of the congestion window: the number of calls that this host may have in
/// flight at a leaf. Through relays it is the leaf's slots, as the relays queue for them.
pub(crate) fn max_window(host: &LeafHost, route: &Route) -> u32 {
    match route {
        Route::Direct(connections) => host.slots.min(*connections),
        Route::Via(_) => host.slots,
    }
}
