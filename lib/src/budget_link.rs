//! Borrows extra calls from other hosts, and lends them to others.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::budget_lenders::Lenders;
use crate::budget_lenders::Question;
use crate::budget_lenders::QuestionLoss;
use crate::budget_loans::LOAN_LIFETIME;
use crate::budget_loans::Loan;
use crate::budget_loans::Need;
use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::extra_calls::ExtraCallKind;
use crate::fleet_budget::GroupUse;
use crate::fleet_link::FleetLink;
use crate::fleet_link::FleetLinkError;
use crate::fleet_link::encode;
use crate::ids::GroupHash;
use crate::ids::GroupKey;
use crate::log_event;
use crate::tier::Tier;

/// HTTP path to which a host posts a question for loans of extra calls.
pub const BUDGET_PATH: &str = "/fleet/budget";

/// Time for which needs are collected before a question is sent.
const COLLECTION_TIME: Duration = Duration::from_millis(2);
/// Pause between two questions of this host, and between two checks for needs while it is short.
const QUESTION_PAUSE: Duration = Duration::from_millis(20);
/// Timeout of one question.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the use of the budget is logged if calls were denied.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Calls to one group that the sender wants to borrow.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SentNeed {
    group: GroupHash,
    /// Place of the kind among all kinds, from the least to the most important one.
    kind: u8,
    waiting: u32,
    ahead: u32,
}

/// Calls to one group that the sender lends.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SentLoan {
    group: GroupHash,
    /// Place of the kind, as in [`SentNeed`].
    kind: u8,
    calls: u32,
}

#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
struct QuestionMessage {
    /// Time from the sending of the question in which the loans may be used.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    lifetime: Duration,
    wanted: Vec<SentNeed>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct LoansReply {
    lent: Vec<SentLoan>,
}

/// Names of the groups in the view, by key, and their keys by the hash of the name.
struct GroupNames {
    names: HashMap<GroupKey, Arc<str>>,
    keys: HashMap<GroupHash, GroupKey>,
}

impl GroupNames {
    fn sent_needs(&self, needs: &[Need]) -> Vec<SentNeed> {
        let sent = needs.iter().filter_map(|&Need { group, kind, waiting, ahead }| {
            let group = GroupHash::of(self.names.get(&group)?);
            Some(SentNeed { group, kind: kind as u8, waiting, ahead })
        });
        sent.collect()
    }

    /// Returns the needs for groups in the view. Leaves out kinds that this build does not know.
    fn received_needs(&self, needs: &[SentNeed]) -> Vec<Need> {
        let received = needs.iter().filter_map(|&SentNeed { group, kind, waiting, ahead }| {
            let kind = *ExtraCallKind::ALL.get(usize::from(kind))?;
            Some(Need { group: *self.keys.get(&group)?, kind, waiting, ahead })
        });
        received.collect()
    }

    fn sent_loans(&self, loans: &[Loan]) -> Vec<SentLoan> {
        let sent = loans.iter().filter_map(|&Loan { group, kind, calls }| {
            let group = GroupHash::of(self.names.get(&group)?);
            Some(SentLoan { group, kind: kind as u8, calls })
        });
        sent.collect()
    }

    /// Returns the loans for groups in the view. Leaves out kinds that this build does not know.
    fn received_loans(&self, loans: &[SentLoan]) -> Vec<Loan> {
        let received = loans.iter().filter_map(|&SentLoan { group, kind, calls }| {
            let kind = *ExtraCallKind::ALL.get(usize::from(kind))?;
            Some(Loan { group: *self.keys.get(&group)?, kind, calls })
        });
        received.collect()
    }
}

/// Client and server side of this host's loans.
pub struct BudgetLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    lenders: Mutex<Lenders>,
}

impl BudgetLink {
    /// Creates a link that sends its messages through `link`.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        Self { cluster_state, tier, link, lenders: Mutex::default() }
    }

    /// Borrows calls whenever this host is short of them, for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.cluster_state.budget.shortage.notified().await;
            tokio::time::sleep(COLLECTION_TIME).await;
            while let Some(question) = self.next_question() {
                tokio::spawn(self.clone().ask(question));
                tokio::time::sleep(QUESTION_PAUSE).await;
            }
        }
    }

    /// Logs the use of the budget by all groups with denied calls, for as long as the process runs.
    pub async fn run_reports(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            self.log_use();
        }
    }

    fn log_use(&self) {
        let mut short = self.usage();
        short.retain(|used| used.denied > 0);
        let Some(shortest) = short.iter().max_by_key(|used| used.denied) else { return };
        let names = self.group_names().names;
        let sum = |field: fn(&GroupUse) -> u32| short.iter().map(field).sum::<u32>();
        log_event!(
            info,
            Event::ExtraCallsShort,
            groups = short.len(),
            requests = sum(|used| used.requests),
            allowed = sum(|used| used.allowed),
            used = sum(|used| used.used),
            lent = sum(|used| used.lent),
            borrowed = sum(|used| used.borrowed),
            denied = sum(|used| used.denied),
            shortest = names.get(&shortest.group).map_or("", |name| name),
            shortest_denied = shortest.denied
        );
    }

    /// Returns the use of the budget by all groups over the sliding window.
    pub fn usage(&self) -> Vec<GroupUse> {
        self.cluster_state.budget.with(|budget, now| budget.usage(now))
    }

    fn next_question(&self) -> Option<Question> {
        let needs = self.cluster_state.budget.with(|budget, now| budget.needs(now));
        if needs.is_empty() {
            return None;
        }
        let now = Instant::now();
        let peers = self.cluster_state.fleet.lock().unwrap().lending_peers(now);
        self.lenders.lock().unwrap().next_question(&needs, &peers, &mut rand::rng(), now)
    }

    /// Asks another host for loans and adds what it lends.
    async fn ask(self: Arc<Self>, question: Question) {
        // The loans end this long after the question, so that they end here before they end there.
        let asked_at = self.cluster_state.budget.now();
        let names = self.group_names();
        let wanted = names.sent_needs(&question.wanted);
        let message = QuestionMessage { lifetime: LOAN_LIFETIME, wanted };
        let reply = self.link.call(question.peer, BUDGET_PATH, &message, CALL_TIMEOUT).await;
        match reply {
            Ok(LoansReply { lent }) => {
                let lent = names.received_loans(&lent);
                self.cluster_state.budget.with(|budget, _| budget.borrow(&lent, asked_at));
                let calls: u32 = lent.iter().map(|loan| loan.calls).sum();
                self.tier.counters.extra_calls_borrowed.add(u64::from(calls));
                self.lenders.lock().unwrap().record_reply(&question, &lent, Instant::now());
            }
            Err(e) => self.record_loss(&question, &e),
        }
        // The reply may leave needs for which the next host is to be asked.
        self.cluster_state.budget.shortage.notify_one();
    }

    fn record_loss(&self, question: &Question, error: &FleetLinkError) {
        let loss = match error {
            FleetLinkError::Refused { status: 404, .. } => QuestionLoss::OldBuild,
            _ => QuestionLoss::NoReply,
        };
        let is_new = self.lenders.lock().unwrap().record_loss(question, loss, Instant::now());
        if is_new {
            let cause = with_sources(error);
            log_event!(info, Event::LenderLost, lender = %question.peer, loss = ?loss, cause);
        }
    }

    fn group_names(&self) -> GroupNames {
        let view = self.cluster_state.views.get();
        let details = view.leafs.iter().map(|leaf| &leaf.host.detail);
        let names: HashMap<_, _> =
            details.map(|detail| (detail.group, detail.group_name.clone())).collect();
        let keys = names.iter().map(|(key, name)| (GroupHash::of(name), *key)).collect();
        GroupNames { names, keys }
    }

    /// Lends calls to another host and returns the encoded reply. Lends nothing if the loans would
    /// last longer than this host counts them. Fails if the message does not decode.
    pub fn answer_question(&self, body: &[u8]) -> Result<Bytes, rmp_serde::decode::Error> {
        let QuestionMessage { lifetime, wanted } = rmp_serde::from_slice(body)?;
        let names = self.group_names();
        let wanted =
            if lifetime <= LOAN_LIFETIME { names.received_needs(&wanted) } else { Vec::new() };
        let lent = self.cluster_state.budget.with(|budget, now| budget.lend(&wanted, now));
        let calls: u32 = lent.iter().map(|loan| loan.calls).sum();
        self.tier.counters.extra_calls_lent.add(u64::from(calls));
        Ok(encode(&LoansReply { lent: names.sent_loans(&lent) }))
    }
}
