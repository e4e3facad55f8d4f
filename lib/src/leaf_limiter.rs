//! Keeps this host's calls to one leaf within its part of the rate limit that the leaf names.
//!
//! The limit holds for all hosts together. A host's part is the one that a dividing host has given
//! it, for a short time, or else an equal part, which hosts compute from their own membership
//! tables. Calls take tokens, which accrue at the rate of the part. Invariant: over any time, calls
//! take at most the tokens that accrued in it plus one burst.

use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Class;
use crate::plan::Purpose;
use crate::rate_limit::HostRank;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::NamedLimit;
use crate::rate_limit::RequestRate;

/// Relative difference from the last reported limit from which on a change is reported again.
const REPORTED_CHANGE: f64 = 0.1;
/// Time over which tokens accrue while no call takes any; at least one token accrues.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Part of the tokens beyond one that ordinary calls and hedges leave to urgent first calls.
const RESERVED_PART: f64 = 0.5;
/// Age of the last reply that named the limit from which on a host without a part sends a call to
/// find out whether the limit still holds.
const PROBE_AGE: Duration = Duration::from_secs(10);
/// Time for which this host's rank among the hosts that call the leaf is used.
const RANK_LIFETIME: Duration = Duration::from_secs(1);
/// Time constant of the exponential decay of the demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(2);
/// Time after a reply that names no limit in which other hosts are told that the limit has ended.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(4);

/// A change of the limit that is worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// The leaf names a limit for the first time, or one that differs much from the last reported.
    Named(RequestRate),
    /// The leaf no longer names a limit.
    Ended,
    /// The leaf names a limit that cannot be read; the one known before stays in force.
    Unreadable(String),
}

/// Numbers of calls that this host has sent to a leaf.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentCalls {
    /// All calls.
    pub all: u64,
    /// Hedges and retries among them.
    pub repeated: u64,
}

/// What a reply, or another host, said last about the limit.
#[derive(Clone, Copy, Debug)]
struct Observation {
    limit: Option<RequestRate>,
    replied_at: Instant,
}

/// The part that a dividing host has given to this host.
#[derive(Clone, Copy, Debug)]
struct LeasedPart {
    rate: RequestRate,
    until: Instant,
}

/// The limit of one leaf, this host's part of it, and this host's calls to the leaf.
#[derive(Clone, Debug, Default)]
pub struct LeafLimiter {
    last: Option<Observation>,
    rank: HostRank,
    ranked_at: Option<Instant>,
    leased: Option<LeasedPart>,
    tokens: f64,
    refilled_at: Option<Instant>,
    probed_at: Option<Instant>,
    /// Calls that were sent or wanted lately, with exponential decay.
    demand: f64,
    demand_at: Option<Instant>,
    reported: Option<RequestRate>,
    reported_unreadable: bool,
    sent: SentCalls,
}

impl LeafLimiter {
    /// Records what a reply of the leaf that arrived at `now` says about the limit. Returns the
    /// change to report, if there is one.
    pub fn record_named(&mut self, named: &NamedLimit, now: Instant) -> Option<LimitChange> {
        if let NamedLimit::Unreadable(text) = named {
            let was_reported = std::mem::replace(&mut self.reported_unreadable, true);
            return (!was_reported).then(|| LimitChange::Unreadable(text.clone()));
        }
        self.reported_unreadable = false;
        self.observe(Observation { limit: named.rate(), replied_at: now }, now)
    }

    /// Records what another host knows about the limit. It is ignored if a later reply is known.
    pub fn merge_observation(
        &mut self,
        observation: LimitObservation,
        now: Instant,
    ) -> Option<LimitChange> {
        let replied_at = now.checked_sub(observation.age)?;
        if self.last.is_some_and(|last| last.replied_at >= replied_at) {
            return None;
        }
        self.observe(Observation { limit: observation.limit, replied_at }, now)
    }

    fn observe(&mut self, observation: Observation, now: Instant) -> Option<LimitChange> {
        let was_limited = self.limit().is_some();
        if observation.limit.is_none() && self.last.is_none() {
            return None;
        }
        if was_limited {
            self.refill(now);
        } else {
            self.tokens = 0.0;
            self.refilled_at = Some(now);
            self.leased = None;
        }
        self.last = Some(observation);
        match observation.limit {
            Some(rate) => self.is_news(rate).then(|| {
                self.reported = Some(rate);
                LimitChange::Named(rate)
            }),
            None => self.reported.take().map(|_| LimitChange::Ended),
        }
    }

    fn is_news(&self, rate: RequestRate) -> bool {
        self.reported.is_none_or(|reported| {
            let (old, new) = (reported.per_second(), rate.per_second());
            (new - old).abs() > old * REPORTED_CHANGE
        })
    }

    /// Returns the limit in force, if the leaf names one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.last?.limit
    }

    /// Returns what other hosts should know about the limit: the one in force, or that it has ended
    /// recently.
    pub fn observation(&self, now: Instant) -> Option<LimitObservation> {
        let Observation { limit, replied_at } = self.last?;
        let age = now.saturating_duration_since(replied_at);
        (limit.is_some() || age < ENDED_REPORT_TIME).then_some(LimitObservation { limit, age })
    }

    /// Returns whether the leaf names a limit and this host's rank must be computed again.
    pub fn is_rank_due(&self, now: Instant) -> bool {
        let is_current =
            self.ranked_at.is_some_and(|at| now.saturating_duration_since(at) < RANK_LIFETIME);
        self.limit().is_some() && !is_current
    }

    /// Sets this host's rank among the hosts that may call the leaf, which decides its equal part.
    pub fn set_rank(&mut self, rank: HostRank, now: Instant) {
        self.refill(now);
        self.rank = rank;
        self.ranked_at = Some(now);
    }

    /// Sets the part that a dividing host has given to this host until `until`.
    pub fn set_part(&mut self, rate: RequestRate, until: Instant, now: Instant) {
        self.refill(now);
        self.leased = Some(LeasedPart { rate, until });
    }

    /// Returns this host's part of the limit in force, in requests a second.
    pub fn part_per_second(&self, now: Instant) -> Option<f64> {
        let limit = self.limit()?;
        let leased = self.leased.filter(|leased| now < leased.until);
        Some(leased.map_or_else(|| self.rank.equal_part(limit), |leased| leased.rate.per_second()))
    }

    /// Returns the requests a second that this host would send to the leaf if it could.
    pub fn wanted_per_second(&self, now: Instant) -> f64 {
        let demand_at = self.demand_at.unwrap_or(now);
        self.demand * decay(demand_at, now) / DEMAND_DECAY_TIME.as_secs_f64()
    }

    /// Returns whether one more call may be sent now, beside `assigned` calls that are about to be.
    pub fn admits(&self, class: Class, purpose: Purpose, assigned: u32, now: Instant) -> bool {
        let Some(part) = self.part_per_second(now) else { return true };
        if part <= 0.0 {
            return purpose == Purpose::First && assigned == 0 && self.is_probe_due(now);
        }
        self.tokens_at(part, now) >= needed(part, class, purpose) + f64::from(assigned)
    }

    /// Returns the time until a first call of this class is expected to be admitted; nothing if
    /// the limit does not hold calls back.
    pub fn wait(&self, class: Class, now: Instant) -> Option<Duration> {
        if self.admits(class, Purpose::First, 0, now) {
            return None;
        }
        let part = self.part_per_second(now)?;
        if part <= 0.0 {
            return Some(PROBE_AGE);
        }
        let missing = needed(part, class, Purpose::First) - self.tokens_at(part, now);
        Some(Duration::from_secs_f64(missing.max(0.0) / part).min(PROBE_AGE))
    }

    /// Counts a call that would have been sent to the leaf but was not admitted.
    pub fn record_turned_away(&mut self, now: Instant) {
        self.add_demand(now);
    }

    /// Takes the token of a call that is about to be sent. Returns whether one was taken, as while
    /// the leaf names a limit.
    pub fn take(&mut self, now: Instant) -> bool {
        self.add_demand(now);
        let Some(part) = self.part_per_second(now) else { return false };
        self.refill(now);
        if part <= 0.0 {
            self.probed_at = Some(now);
        }
        self.tokens -= 1.0;
        true
    }

    /// Puts back the token of a call of which no byte was written.
    pub fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Counts a call that is written to the leaf.
    pub fn record_sent(&mut self, purpose: Purpose) {
        self.sent.all += 1;
        self.sent.repeated += u64::from(purpose != Purpose::First);
    }

    /// Returns the numbers of calls sent so far.
    pub fn sent(&self) -> SentCalls {
        self.sent
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        let known_at = self.last.map(|last| last.replied_at).max(self.probed_at);
        known_at.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_AGE)
    }

    fn tokens_at(&self, part: f64, now: Instant) -> f64 {
        let Some(refilled_at) = self.refilled_at else { return 0.0 };
        let accrued = part * now.saturating_duration_since(refilled_at).as_secs_f64();
        (self.tokens + accrued).min(burst(part))
    }

    fn refill(&mut self, now: Instant) {
        if let Some(part) = self.part_per_second(now) {
            self.tokens = self.tokens_at(part, now);
            self.refilled_at = Some(now);
        }
    }

    fn add_demand(&mut self, now: Instant) {
        let demand_at = self.demand_at.replace(now).unwrap_or(now);
        self.demand = self.demand * decay(demand_at, now) + 1.0;
    }
}

/// Returns the largest number of tokens that accrue.
fn burst(part: f64) -> f64 {
    if part <= 0.0 { 0.0 } else { (part * BURST_TIME.as_secs_f64()).max(1.0) }
}

/// Returns the number of tokens that must be there for a call to be sent.
fn needed(part: f64, class: Class, purpose: Purpose) -> f64 {
    let goes_first = class == Class::Urgent && purpose != Purpose::Hedge;
    if goes_first { 1.0 } else { 1.0 + (burst(part) - 1.0) * RESERVED_PART }
}

fn decay(from: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(from);
    (-elapsed.as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64()).exp()
}
