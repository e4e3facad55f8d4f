//! Counters of one process, for the state dump and for metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

use crate::answer::OutcomeKind;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters that only grow.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        /// The values of all counters at one time.
        #[derive(Clone, Copy, Debug, Default, Serialize)]
        pub struct CounterValues {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Reads all counters.
            pub fn values(&self) -> CounterValues {
                CounterValues { $($name: self.$name.get(),)* }
            }
        }

        impl CounterValues {
            /// Returns names and values in the order of declaration.
            pub fn named_values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Queries that asked for an answer.
    queries,
    /// Queries answered from all shards.
    complete,
    /// Queries answered from some shards.
    partial,
    /// Queries proved not to have run.
    not_run,
    /// Queries that may have run but have no answer.
    unknown,
    /// Queries whose caller went away.
    callers_gone,
    /// Queries started again on another version.
    restarts,
    /// First leaf calls.
    first_calls,
    /// Hedges.
    hedges,
    /// Retries.
    retries,
    /// Hedges that the budget of extra calls did not allow.
    hedges_denied,
    /// Retries that the budget of extra calls did not allow.
    retries_denied,
    /// Leaf calls cancelled after they were written.
    cancels,
    /// Leaf calls withdrawn before they were written.
    withdrawn,
    /// Leaf answers dropped because they matched no open call.
    strays,
    /// Leaf calls that a leaf shed.
    sheds,
    /// Leaf calls whose connection broke.
    broken,
    /// Connections opened to leafs.
    connects,
    /// Connections to leafs that could not be opened.
    connect_failures,
    /// Leafs ejected.
    ejections,
    /// Platform reads and watches begun.
    platform_reads,
    /// Platform reads that failed.
    platform_failures,
    /// Published documents refused as not newer.
    stale_documents,
    /// Published documents refused as invalid.
    invalid_documents,
    /// Peer exchanges begun.
    peer_exchanges,
    /// Peer exchanges that failed.
    peer_failures,
    /// Bytes sent to and received from peers.
    peer_bytes,
    /// Peer messages whose authentication failed.
    peer_forgeries,
    /// Tickets issued.
    tickets_issued,
    /// Tickets run.
    tickets_run,
    /// Outcomes of tickets repeated.
    tickets_repeated,
}

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Reads the value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counters {
    /// Counts what became of a query.
    pub fn count_outcome(&self, kind: OutcomeKind) {
        match kind {
            OutcomeKind::Complete => self.complete.increment(),
            OutcomeKind::Partial => self.partial.increment(),
            OutcomeKind::NotRun => self.not_run.increment(),
            OutcomeKind::Unknown => self.unknown.increment(),
        }
    }
}
