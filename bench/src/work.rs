//! What leafs did, as they measured it themselves: the truth that reports are compared with.

use std::collections::HashMap;
use std::sync::Mutex;

/// Sums over all leafs that share this record.
#[derive(Clone, Debug, Default)]
pub struct WorkTotals {
    /// Effort by kind of request, in microseconds.
    pub effort_us: HashMap<String, u64>,
    /// Calls that began to run, by kind of request.
    pub calls_started: HashMap<String, u64>,
    /// Calls that ran to their end, by kind of request.
    pub calls_finished: HashMap<String, u64>,
    /// Runs by run key and shard, for requests that must not be doubled.
    pub runs: HashMap<RunKey, u32>,
    /// Times that a leaf crashed.
    pub crashes: u64,
    /// Connections refused over the limit.
    pub refused_connections: u64,
    /// Calls shed.
    pub sheds: u64,
    /// Calls that a leaf refused because it said that it is leaving.
    pub calls_while_draining: u64,
    /// Calls that came to a leaf after its first sign of leaving.
    pub calls_while_leaving: u64,
}

/// Identifies work that must run at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RunKey {
    /// The request's `run` parameter.
    pub run: String,
    /// The shard.
    pub shard: u16,
}

/// A record that many leafs write to.
#[derive(Debug, Default)]
pub struct WorkRecord {
    sums: Mutex<WorkTotals>,
}

impl WorkRecord {
    /// Changes the sums.
    pub fn note(&self, change: impl FnOnce(&mut WorkTotals)) {
        change(&mut self.sums.lock().unwrap());
    }

    /// Reads the sums.
    pub fn totals(&self) -> WorkTotals {
        self.sums.lock().unwrap().clone()
    }

    /// Returns the number of run keys that ran more than once.
    pub fn duplicate_runs(&self) -> usize {
        self.sums.lock().unwrap().runs.values().filter(|&&n| n > 1).count()
    }
}
