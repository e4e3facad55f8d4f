//! Event counters of one process, exported in the state dump and as metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

use crate::answer::OutcomeKind;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the process, which only grow.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        /// Values of all counters, as read by [`Counters::values`].
        #[derive(Clone, Copy, Debug, Default, Serialize)]
        pub struct CounterValues {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Reads all counters, one after the other: they may grow in between.
            pub fn values(&self) -> CounterValues {
                CounterValues { $($name: self.$name.get(),)* }
            }
        }

        impl CounterValues {
            /// Returns the names and values of all counters in order of declaration.
            pub fn named_values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Queries received.
    queries,
    /// Queries answered with the hits of all shards.
    complete,
    /// Queries answered with the hits of some shards.
    partial,
    /// Queries proved not to have run.
    not_run,
    /// Queries that may have run but were not answered.
    unknown,
    /// Queries refused because the leafs of too many shards were expected to answer too late.
    refused_busy_leafs,
    /// Queries refused because this host was expected to take too long to send their calls.
    refused_slow_host,
    /// Queries ended before their deadline because calls could not be sent in time.
    ended_unsent,
    /// Requests of callers that used more than their fair part; they wait behind others.
    requests_above_part,
    /// Requests refused because too many answers waited for callers that did not read them.
    refused_unread,
    /// Connections closed because their callers did not read and the memory was needed.
    slow_readers_closed,
    /// Queries whose caller closed its connection before the answer.
    callers_gone,
    /// Queries restarted on another index version.
    restarts,
    /// First leaf calls.
    first_calls,
    /// Hedges: calls made in parallel with a slow one.
    hedges,
    /// Retries: calls made after a failed one.
    retries,
    /// Hedges that a budget for extra calls did not allow.
    hedges_denied,
    /// Retries that a budget for extra calls did not allow.
    retries_denied,
    /// Extra calls borrowed from other hosts, whether or not they were made.
    extra_calls_borrowed,
    /// Extra calls lent to other hosts.
    extra_calls_lent,
    /// Leaf calls cancelled after they were sent.
    cancels,
    /// Leaf calls withdrawn before they were sent.
    withdrawn,
    /// Unmatched replies: leaf answers dropped because they match no open call.
    strays,
    /// Leaf calls that a leaf rejected because of its load.
    sheds,
    /// Leafs that said themselves that they are leaving.
    leaving_notices,
    /// Times that a leaf named until which it wants no calls.
    pauses,
    /// Replies in which a leaf stated its load.
    stated_loads,
    /// Replies in which a leaf stated a load that cannot be read.
    unreadable_loads,
    /// Leaf calls whose connection broke.
    broken,
    /// Connections opened to leafs.
    connects,
    /// Attempts to open a connection to a leaf that failed.
    connect_failures,
    /// Ejections of leafs as outliers.
    ejections,
    /// Leaf calls that were sent to another leaf because the best one was returning.
    held_back_by_pace,
    /// Leafs found lost while a request ran on them, counted for each such request.
    leaf_crashes,
    /// Checks whether a leaf is lost after a call to it that was not answered.
    leaf_checks,
    /// Requests answered through another host, as this one did not reach the leafs.
    forwarded,
    /// Requests that no other host took either.
    not_forwarded,
    /// Requests answered through a faster host of the zone.
    passed_on,
    /// Requests that a faster host of the zone did not take, and that ran on this host.
    not_passed_on,
    /// Requests answered for other hosts.
    taken,
    /// Times that this host was found to be cut off from the leafs.
    cuts,
    /// Requests that ran as a probe because they were suspected of crashing leafs.
    probes,
    /// Requests refused because they were suspected of crashing leafs.
    refused_suspects,
    /// Requests refused because no leaf may serve them in their home regions and outside evacuated
    /// zones.
    refused_places,
    /// Reads and watches of the platform started.
    platform_reads,
    /// Reads and watches of the platform that failed.
    platform_failures,
    /// Published documents rejected because their revision is not newer.
    stale_documents,
    /// Published documents rejected as invalid.
    invalid_documents,
    /// Exchanges with peers started.
    peer_exchanges,
    /// Exchanges with peers that failed.
    peer_failures,
    /// Bytes sent to and received from peers.
    peer_bytes,
    /// Peer messages whose signature did not verify.
    peer_forgeries,
    /// Tickets issued.
    tickets_issued,
    /// Requests run under a ticket.
    tickets_run,
    /// Resends of a ticketed request that were answered with the outcome of its one run.
    tickets_repeated,
}

/// A monotonic counter that threads may increment concurrently.
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
    /// Increments the counter for a query's outcome.
    pub fn count_outcome(&self, kind: OutcomeKind) {
        match kind {
            OutcomeKind::Complete => self.complete.increment(),
            OutcomeKind::Partial => self.partial.increment(),
            OutcomeKind::NotRun => self.not_run.increment(),
            OutcomeKind::Unknown => self.unknown.increment(),
        }
    }
}
