//! Accounting of effort, the processor time of leaf calls, by the entry and owner that caused it.
//!
//! Invariant: each leaf call is charged once, when it ends, to the entry and owner under which it
//! was made; reported and estimated effort are summed separately. Sums saturate instead of
//! wrapping.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryName;
use crate::ids::Owner;
use crate::plan::Purpose;

/// Effort of a leaf call, by the source of the figure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effort {
    /// Effort of a call with a usable reply, in microseconds: the processor time that the leaf
    /// reported, or the elapsed time of a call that may have run and whose reply states none.
    Reported(u64),
    /// Estimate for a call without a usable reply: the microseconds during which the leaf may have
    /// worked on it.
    Estimated(u64),
    /// No effort, as the call was proved not to have run.
    None,
}

/// Cost of one ended leaf call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Whether the call was a first call, a hedge or a retry.
    pub purpose: Purpose,
    /// Effort of the call, reported or estimated.
    pub effort: Effort,
}

/// Sums of charges for one entry under one owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Number of first calls.
    pub first_calls: u64,
    /// Number of hedges.
    pub hedges: u64,
    /// Number of retries.
    pub retries: u64,
    /// Number of calls with reported effort.
    pub reported_calls: u64,
    /// Sum of the effort that leafs reported, in microseconds.
    pub reported_us: u64,
    /// Sum of the effort estimated for calls without a usable reply, in microseconds.
    pub estimated_us: u64,
    /// Number of calls with estimated effort.
    pub estimated_calls: u64,
}

impl Account {
    fn add(&mut self, charge: Charge) {
        let count = match charge.purpose {
            Purpose::First => &mut self.first_calls,
            Purpose::Hedge => &mut self.hedges,
            Purpose::Retry => &mut self.retries,
        };
        *count = count.saturating_add(1);
        match charge.effort {
            Effort::Reported(us) => {
                self.reported_us = self.reported_us.saturating_add(us);
                self.reported_calls = self.reported_calls.saturating_add(1);
            }
            Effort::Estimated(us) => {
                self.estimated_us = self.estimated_us.saturating_add(us);
                self.estimated_calls = self.estimated_calls.saturating_add(1);
            }
            Effort::None => {}
        }
    }

    /// Adds the sums of another account, such as another host's.
    pub fn merge(&mut self, other: &Self) {
        self.first_calls = self.first_calls.saturating_add(other.first_calls);
        self.hedges = self.hedges.saturating_add(other.hedges);
        self.retries = self.retries.saturating_add(other.retries);
        self.reported_calls = self.reported_calls.saturating_add(other.reported_calls);
        self.reported_us = self.reported_us.saturating_add(other.reported_us);
        self.estimated_us = self.estimated_us.saturating_add(other.estimated_us);
        self.estimated_calls = self.estimated_calls.saturating_add(other.estimated_calls);
    }

    /// Returns the mean reported effort per call, in microseconds, or `None` if no call has a
    /// reported effort.
    fn mean_reported_us(&self) -> Option<u64> {
        self.reported_us.checked_div(self.reported_calls)
    }
}

/// One line of the ledger: an entry, its owner at the time of the calls, and the sums.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChargeLine {
    /// The owner that is charged.
    pub owner: Owner,
    /// The entry under which the calls were made.
    pub entry: EntryName,
    /// Sums of the calls' charges.
    #[serde(flatten)]
    pub account: Account,
}

/// Charges by owner and entry, of one process since its start or merged from several hosts.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<(Owner, EntryName), Account>,
}

impl Ledger {
    /// Charges one ended call. An estimate is capped at the mean reported effort of the account's
    /// calls, if any was reported.
    pub fn charge(&mut self, owner: &Owner, entry: &EntryName, charge: Charge) {
        let account = self.accounts.entry((owner.clone(), entry.clone())).or_default();
        let charge = match (charge.effort, account.mean_reported_us()) {
            (Effort::Estimated(us), Some(mean)) => {
                Charge { effort: Effort::Estimated(us.min(mean)), ..charge }
            }
            _ => charge,
        };
        account.add(charge);
    }

    /// Adds a line of another host's ledger.
    pub fn merge(&mut self, line: ChargeLine) {
        self.accounts.entry((line.owner, line.entry)).or_default().merge(&line.account);
    }

    /// Returns all lines, ordered by owner and entry.
    pub fn lines(&self) -> Vec<ChargeLine> {
        let line = |((owner, entry), account): (&(Owner, EntryName), &Account)| ChargeLine {
            owner: owner.clone(),
            entry: entry.clone(),
            account: account.clone(),
        };
        self.accounts.iter().map(line).collect()
    }
}
