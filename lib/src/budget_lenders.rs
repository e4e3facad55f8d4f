//! Whom a host asks for loans of extra calls, and how often.
//!
//! Load: many hosts run short of extra calls for many groups at once. A question names all groups
//! that no open question names. Hosts of the own zone are asked; one of another zone only for calls
//! without which an answer is useless, and only when the own zone has none left.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::budget_loans::Loan;
use crate::budget_loans::Need;
use crate::extra_calls::ExtraCallKind;
use crate::ids::GroupKey;
use crate::sliding_count::SlidingCount;

/// Largest number of questions a second within the zone.
const MAX_NEAR_QUESTIONS: u32 = 20;
/// Largest number of questions a second to other zones.
const MAX_FAR_QUESTIONS: u32 = 1;
/// Time for which a host that lent less than it was asked for is not asked again for the group.
const EMPTY_TIME: Duration = Duration::from_secs(1);
/// Time for which a host that did not answer is not asked again.
const LOST_TIME: Duration = Duration::from_secs(3);
/// Time for which a host of a build that does not lend is not asked again.
const OLD_BUILD_TIME: Duration = Duration::from_secs(60);

/// Hosts that may be asked for loans.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Control addresses of the other hosts of this zone.
    pub near: Vec<SocketAddr>,
    /// Control addresses of the hosts of other zones.
    pub far: Vec<SocketAddr>,
}

/// A question for loans, to be sent to one host.
#[derive(Clone, Debug)]
pub struct Question {
    /// Control address of the host to ask.
    pub peer: SocketAddr,
    /// The calls asked for; no group is part of another open question.
    pub wanted: Vec<Need>,
}

/// Why a question was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuestionLoss {
    /// The host could not be reached, or its reply did not come in time or was unreadable.
    NoReply,
    /// The host runs a build that does not lend.
    OldBuild,
}

/// What this host knows about the hosts that it asked.
#[derive(Debug)]
pub struct Lenders {
    avoided: HashMap<SocketAddr, Instant>,
    /// The most important kind of call for which a host had not enough of a group, and until when
    /// this counts.
    empty: HashMap<(SocketAddr, GroupKey), (ExtraCallKind, Instant)>,
    open_groups: HashSet<GroupKey>,
    near_questions: SlidingCount,
    far_questions: SlidingCount,
}

impl Default for Lenders {
    fn default() -> Self {
        let count = SlidingCount::new(Duration::from_secs(1), Duration::from_millis(50));
        Self {
            avoided: HashMap::new(),
            empty: HashMap::new(),
            open_groups: HashSet::new(),
            near_questions: count.clone(),
            far_questions: count,
        }
    }
}

impl Lenders {
    /// Returns the next question for these needs, or nothing if no host is to be asked now. Among
    /// the hosts that may have the most of what is needed, one is chosen at random.
    pub fn next_question(
        &mut self,
        needs: &[Need],
        peers: &Peers,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<Question> {
        self.drop_expired(now);
        let is_unasked = |need: &Need| !self.open_groups.contains(&need.group);
        let needs: Vec<_> = needs.iter().copied().filter(is_unasked).collect();
        let decisive = |need: &Need| need.kind > ExtraCallKind::OptionalHedge;
        let decisive: Vec<_> = needs.iter().copied().filter(decisive).collect();
        let has_near_questions = self.near_questions.total(now) < MAX_NEAR_QUESTIONS;
        let has_far_questions = self.far_questions.total(now) < MAX_FAR_QUESTIONS;
        let near = self.choose(&needs, &peers.near, rng);
        let is_near = near.is_some();
        let question = match near {
            Some(question) if has_near_questions => question,
            None if has_far_questions => self.choose(&decisive, &peers.far, rng)?,
            _ => return None,
        };
        let count = if is_near { &mut self.near_questions } else { &mut self.far_questions };
        count.add(1, now);
        self.open_groups.extend(question.wanted.iter().map(|need| need.group));
        Some(question)
    }

    fn choose(&self, needs: &[Need], peers: &[SocketAddr], rng: &mut impl Rng) -> Option<Question> {
        let asked = peers.iter().filter(|peer| !self.avoided.contains_key(peer));
        let hopeful = asked.map(|&peer| {
            let wanted = needs.iter().filter(|need| !self.is_empty(peer, need)).count();
            (peer, wanted)
        });
        let hopeful: Vec<_> = hopeful.filter(|(_, wanted)| *wanted > 0).collect();
        let most = hopeful.iter().map(|(_, wanted)| *wanted).max()?;
        let best: Vec<_> = hopeful.iter().filter(|(_, wanted)| *wanted == most).collect();
        let &&(peer, _) = best.choose(rng)?;
        let wanted = needs.iter().copied().filter(|need| !self.is_empty(peer, need)).collect();
        Some(Question { peer, wanted })
    }

    fn is_empty(&self, peer: SocketAddr, need: &Need) -> bool {
        self.empty.get(&(peer, need.group)).is_some_and(|(kind, _)| need.kind <= *kind)
    }

    /// Records the reply to a question. A group of which the host lent less than it was asked for
    /// counts as used up there.
    pub fn record_reply(&mut self, question: &Question, lent: &[Loan], now: Instant) {
        self.close(question);
        for need in &question.wanted {
            let calls = |loan: &Loan| (loan.group, loan.kind) == (need.group, need.kind);
            let lent: u32 = lent.iter().filter(|loan| calls(loan)).map(|loan| loan.calls).sum();
            if lent < need.waiting + need.ahead {
                let empty = (need.kind, now + EMPTY_TIME);
                let known = self.empty.entry((question.peer, need.group)).or_insert(empty);
                known.0 = known.0.max(need.kind);
            }
        }
    }

    /// Records that a question was not answered. Returns whether the host was not avoided before.
    pub fn record_loss(&mut self, question: &Question, loss: QuestionLoss, now: Instant) -> bool {
        self.close(question);
        let time = match loss {
            QuestionLoss::NoReply => LOST_TIME,
            QuestionLoss::OldBuild => OLD_BUILD_TIME,
        };
        self.avoided.insert(question.peer, now + time).is_none()
    }

    fn close(&mut self, question: &Question) {
        for need in &question.wanted {
            self.open_groups.remove(&need.group);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.avoided.retain(|_, until| now < *until);
        self.empty.retain(|_, (_, until)| now < *until);
    }
}
