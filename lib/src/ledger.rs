//! Effort charged to the entries that caused it.
//!
//! Invariant: each leaf call is charged once, when it ends, to the entry and owner under which it
//! was made; reported and estimated effort are kept apart. Sums saturate instead of wrapping.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryName;
use crate::ids::Owner;
use crate::plan::Purpose;

/// How the effort of a call is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effort {
    /// The leaf reported it, in microseconds.
    Reported(u64),
    /// The leaf could not report it; microseconds that passed while it may have worked.
    Estimated(u64),
    /// It is proved that the call did not run.
    None,
}

/// What one leaf call cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Why the call was made.
    pub purpose: Purpose,
    /// Its effort.
    pub effort: Effort,
}

/// Sums for one entry under one owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// First calls.
    pub first_calls: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Calls with reported effort.
    pub reported_calls: u64,
    /// Effort that leafs reported, in microseconds.
    pub reported_us: u64,
    /// Effort estimated for calls whose leaf could not report, in microseconds.
    pub estimated_us: u64,
    /// Calls with estimated effort.
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

    /// Adds another host's sums.
    pub fn merge(&mut self, other: &Self) {
        self.first_calls = self.first_calls.saturating_add(other.first_calls);
        self.hedges = self.hedges.saturating_add(other.hedges);
        self.retries = self.retries.saturating_add(other.retries);
        self.reported_calls = self.reported_calls.saturating_add(other.reported_calls);
        self.reported_us = self.reported_us.saturating_add(other.reported_us);
        self.estimated_us = self.estimated_us.saturating_add(other.estimated_us);
        self.estimated_calls = self.estimated_calls.saturating_add(other.estimated_calls);
    }

    /// Returns the mean reported effort per call, in microseconds.
    fn mean_reported_us(&self) -> Option<u64> {
        self.reported_us.checked_div(self.reported_calls)
    }
}

/// One line of the charges: an entry, its owner at the time of the calls, and the sums.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChargeLine {
    /// The owner charged.
    pub owner: Owner,
    /// The entry that caused the effort.
    pub entry: EntryName,
    /// The sums.
    #[serde(flatten)]
    pub account: Account,
}

/// The charges of one process run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<(Owner, EntryName), Account>,
}

impl Ledger {
    /// Charges one ended call. An estimate is capped by the entry's mean, if one is known.
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

    /// Adds another host's line.
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
