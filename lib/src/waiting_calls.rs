//! Order in which calls that wait for a slot of a leaf get one: by class, then by the caller's
//! standing, then by deadline.
//!
//! Load: a leaf has too few slots for the calls of all callers. Urgent calls go first, except, where
//! the platform asks for it, for the turns of ordinary ones that [`crate::class_turns`] decides.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::caller_shares::Standing;
use crate::catalogue::Class;
use crate::class_turns::ClassTurns;

/// What decides a call's place before its deadline does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Class of the entry.
    pub class: Class,
    /// Standing of the caller when its request arrived.
    pub standing: Standing,
}

impl From<Class> for Rank {
    fn from(class: Class) -> Self {
        Self { class, standing: Standing::Within }
    }
}

impl Rank {
    /// Returns the index of the rank's calls: 0 goes first.
    fn index(self) -> usize {
        let class = match self.class {
            Class::Urgent => 0,
            Class::Ordinary => 2,
        };
        class + usize::from(self.standing == Standing::Above)
    }
}

#[derive(Debug)]
struct Waiter<T> {
    deadline: Instant,
    number: u64,
    token: T,
}

impl<T> Eq for Waiter<T> {}

impl<T> Ord for Waiter<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.deadline, self.number).cmp(&(other.deadline, other.number))
    }
}

impl<T> PartialEq for Waiter<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> PartialOrd for Waiter<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A call that gets a slot.
#[derive(Debug)]
pub(crate) struct Next<T> {
    pub(crate) class: Class,
    pub(crate) deadline: Instant,
    pub(crate) token: T,
}

/// Waiting calls of one leaf, each with its token.
#[derive(Debug)]
pub(crate) struct WaitingCalls<T> {
    /// Waiting calls by [`Rank::index`].
    by_rank: [BinaryHeap<Reverse<Waiter<T>>>; 4],
    next_number: u64,
    /// Decides the turns of ordinary calls; without it, urgent ones always go first.
    turns: Option<ClassTurns>,
}

impl<T> Default for WaitingCalls<T> {
    fn default() -> Self {
        let by_rank = std::array::from_fn(|_| BinaryHeap::new());
        Self { by_rank, next_number: 0, turns: None }
    }
}

impl<T> WaitingCalls<T> {
    /// Sets whether ordinary calls have turns.
    pub(crate) fn set_ordinary_turns(&mut self, has_ordinary_turns: bool) {
        self.turns = has_ordinary_turns.then(ClassTurns::default);
    }

    /// Records that a call asks for a slot.
    pub(crate) fn record_asked(&mut self, class: Class, now: Instant) {
        if let Some(turns) = &mut self.turns {
            turns.record_asked(class, now);
        }
    }

    /// Records that a call got a slot.
    pub(crate) fn record_served(&mut self, class: Class) {
        if let Some(turns) = &mut self.turns {
            turns.record_served(class);
        }
    }

    pub(crate) fn push(&mut self, rank: Rank, deadline: Instant, token: T) {
        self.next_number += 1;
        let waiter = Waiter { deadline, number: self.next_number, token };
        self.by_rank[rank.index()].push(Reverse(waiter));
    }

    /// Takes the call that gets the next slot.
    pub(crate) fn pop(&mut self) -> Option<Next<T>> {
        let ordinary_waits = self.by_rank[2..].iter().any(|waiters| !waiters.is_empty());
        let has_turn = self.turns.is_some_and(|turns| turns.is_ordinary_turn());
        let first = if ordinary_waits && has_turn { 2 } else { 0 };
        let index = (first..self.by_rank.len()).find(|&i| !self.by_rank[i].is_empty())?;
        let Reverse(Waiter { deadline, token, .. }) = self.by_rank[index].pop()?;
        let class = if index < 2 { Class::Urgent } else { Class::Ordinary };
        Some(Next { class, deadline, token })
    }

    /// Returns the number of calls that go before a new one of this rank.
    pub(crate) fn ahead_of(&self, rank: Rank) -> usize {
        self.ahead(rank, self.by_rank[rank.index()].len())
    }

    /// Returns the number of calls that go before one of this rank that waits with this deadline.
    pub(crate) fn ahead_of_waiting(&self, rank: Rank, deadline: Instant) -> usize {
        let earlier = |Reverse(waiter): &&Reverse<Waiter<T>>| waiter.deadline < deadline;
        self.ahead(rank, self.by_rank[rank.index()].iter().filter(earlier).count())
    }

    /// Returns the number of calls that go before one of this rank with `same_rank` calls of its
    /// rank ahead of it.
    fn ahead(&self, rank: Rank, same_rank: usize) -> usize {
        let first_of_class = Rank::from(rank.class).index();
        let of_class = &self.by_rank[first_of_class..rank.index()];
        let same_class = of_class.iter().map(BinaryHeap::len).sum::<usize>() + same_rank;
        let more_urgent: usize = self.by_rank[..first_of_class].iter().map(BinaryHeap::len).sum();
        let before_turn =
            self.turns.map(|turns| turns.urgent_per_ordinary() * (same_class + 1) as f64);
        same_class + before_turn.map_or(more_urgent, |calls| more_urgent.min(calls.ceil() as usize))
    }

    /// Returns whether calls of this class wait.
    pub(crate) fn has_any_of(&self, class: Class) -> bool {
        let first = Rank::from(class).index();
        self.by_rank[first..first + 2].iter().any(|waiters| !waiters.is_empty())
    }

    pub(crate) fn len(&self) -> usize {
        self.by_rank.iter().map(BinaryHeap::len).sum()
    }

    pub(crate) fn clear(&mut self) {
        self.by_rank.iter_mut().for_each(BinaryHeap::clear);
    }
}
