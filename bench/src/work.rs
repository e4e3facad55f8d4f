//! Totals of the work that the stand-in leafs did, as they measured it themselves. Tests and
//! experiments compare the daemons' charges and outcomes with these.

use std::collections::HashMap;
use std::sync::Mutex;

/// Totals since the start, over all leafs that share one [`WorkRecord`].
#[derive(Clone, Debug, Default)]
pub struct WorkTotals {
    /// Time that calls ran in a slot, by kind of request, in microseconds.
    pub effort_us: HashMap<String, u64>,
    /// Number of calls that started to run, by kind of request.
    pub calls_started: HashMap<String, u64>,
    /// Number of calls that ended after they had started to run, cancelled and crashed ones
    /// included, by kind of request.
    pub calls_finished: HashMap<String, u64>,
    /// Number of runs by run key and shard, for requests that must run at most once.
    pub runs: HashMap<RunKey, u32>,
    /// Number of times that a leaf crashed.
    pub crashes: u64,
    /// Number of connections refused over a leaf's connection limit.
    pub refused_connections: u64,
    /// Number of calls shed because a leaf's queue was full.
    pub sheds: u64,
    /// Number of calls that a leaf refused with status `draining`.
    pub calls_while_draining: u64,
    /// Number of calls that arrived at a leaf after its first sign of leaving.
    pub calls_while_leaving: u64,
}

/// Identity of a piece of work that must run at most once: one request on one shard.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RunKey {
    /// Value of the request's `run` parameter.
    pub run: String,
    /// Number of the shard.
    pub shard: u16,
}

/// Totals that many leafs write to.
#[derive(Debug, Default)]
pub struct WorkRecord {
    totals: Mutex<WorkTotals>,
}

impl WorkRecord {
    /// Changes the totals.
    pub fn update(&self, change: impl FnOnce(&mut WorkTotals)) {
        change(&mut self.totals.lock().unwrap());
    }

    /// Returns a copy of the totals.
    pub fn totals(&self) -> WorkTotals {
        self.totals.lock().unwrap().clone()
    }

    /// Returns the number of pairs of run key and shard that ran more than once.
    pub fn duplicate_runs(&self) -> usize {
        self.totals.lock().unwrap().runs.values().filter(|&&n| n > 1).count()
    }
}
