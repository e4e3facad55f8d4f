//! Loans of extra calls between hosts: the calls that one host has borrowed for a group of leafs,
//! and its recent demand, which decides what it asks for and what it lends.
//!
//! A loan is a number of calls that the borrower may make within [`LOAN_LIFETIME`], counted from the
//! time at which it sent its question. The lender counts them as its own from the time of its reply
//! until the window after the loan's end is over. The calls of a lost reply are wasted, never made
//! twice.

use std::time::Duration;
use std::time::Instant;

use crate::extra_calls::ExtraCallKind;
use crate::ids::GroupKey;
use crate::sliding_count::SlidingCount;

/// Time in which a borrower may use a loan, from the sending of its question.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(2);
/// Time by which a lender counts a loan longer than the borrower may use it, for differences
/// between the rates of two hosts' clocks.
pub const LOAN_MARGIN: Duration = Duration::from_millis(100);
/// Largest number of calls that one host lends another for a group with one reply.
pub const MAX_LOAN_CALLS: u32 = 8;

/// Time over which a host counts its demand.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Part of the recent retries that a host is able to make ahead of its demand, if others lend.
const ASKED_AHEAD_PART: f64 = 0.5;

/// Extra calls to a group that a host wants to borrow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// Group of leafs that the calls go to.
    pub group: GroupKey,
    /// Kind of the calls.
    pub kind: ExtraCallKind,
    /// Number of calls that were denied and are tried again.
    pub waiting: u32,
    /// Number of calls that the host wants to be able to make ahead of its demand.
    pub ahead: u32,
}

/// Extra calls to a group that a host lends to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Group of leafs that the calls go to.
    pub group: GroupKey,
    /// The least important kind of call that may be made.
    pub kind: ExtraCallKind,
    /// Number of calls.
    pub calls: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeldLoan {
    kind: ExtraCallKind,
    calls: u32,
    until: Instant,
}

/// Calls to one group that this host has borrowed and not made yet.
#[derive(Clone, Debug, Default)]
pub struct BorrowedCalls {
    loans: Vec<HeldLoan>,
}

impl BorrowedCalls {
    /// Adds a loan received in reply to a question sent at `asked_at`.
    pub fn add(&mut self, kind: ExtraCallKind, calls: u32, asked_at: Instant) {
        self.loans.push(HeldLoan { kind, calls, until: asked_at + LOAN_LIFETIME });
    }

    /// Takes one call of the loan that ends first. Returns whether there was one.
    pub fn try_take(&mut self, kind: ExtraCallKind, now: Instant) -> bool {
        self.drop_ended(now);
        let fitting = self.loans.iter_mut().filter(|loan| loan.kind <= kind);
        let Some(loan) = fitting.min_by_key(|loan| loan.until) else { return false };
        loan.calls -= 1;
        true
    }

    /// Returns the number of borrowed calls that may be used for `kind`.
    pub fn available(&mut self, kind: ExtraCallKind, now: Instant) -> u32 {
        self.drop_ended(now);
        self.loans.iter().filter(|loan| loan.kind <= kind).map(|loan| loan.calls).sum()
    }

    fn drop_ended(&mut self, now: Instant) {
        self.loans.retain(|loan| loan.calls > 0 && now < loan.until);
    }
}

/// Demand of this host for extra calls to one group, by kind. A denied call counts once, for as long
/// as its query tries again.
#[derive(Clone, Debug)]
pub struct Demand {
    recent: [SlidingCount; ExtraCallKind::ALL.len()],
    waiting: [u32; ExtraCallKind::ALL.len()],
}

impl Default for Demand {
    fn default() -> Self {
        let count = SlidingCount::new(DEMAND_TIME, DEMAND_TIME / 10);
        Self { recent: ExtraCallKind::ALL.map(|_| count.clone()), waiting: Default::default() }
    }
}

impl Demand {
    /// Counts a call that a query wants to make.
    pub fn record(&mut self, kind: ExtraCallKind, now: Instant) {
        self.recent[kind as usize].add(1, now);
    }

    /// Counts a denied call that its query tries again.
    pub fn start_waiting(&mut self, kind: ExtraCallKind) {
        self.waiting[kind as usize] += 1;
    }

    /// Ends the wait of a denied call, which was allowed or is no longer of use.
    pub fn end_waiting(&mut self, kind: ExtraCallKind) {
        let waiting = &mut self.waiting[kind as usize];
        *waiting = waiting.saturating_sub(1);
    }

    /// Returns the recent number of calls that are at least as important as `kind`.
    pub fn recent(&mut self, kind: ExtraCallKind, now: Instant) -> u32 {
        self.recent[kind as usize..].iter_mut().map(|count| count.total(now)).sum()
    }

    /// Returns the number of denied calls that are at least as important as `kind` and tried again.
    pub fn waiting(&self, kind: ExtraCallKind) -> u32 {
        self.waiting[kind as usize..].iter().sum()
    }

    /// Returns the number of retries that this host should be able to make ahead of its demand: a
    /// part of those that it wanted recently, at least one. Hedges are tried again once their loan
    /// has arrived, but a denied retry is final.
    pub fn retries_ahead(&mut self, now: Instant) -> u32 {
        let recent = self.recent(ExtraCallKind::Retry, now);
        (f64::from(recent) * ASKED_AHEAD_PART).ceil() as u32
    }
}
