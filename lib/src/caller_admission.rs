//! Keeps account of what each caller uses, and tells which of its requests wait behind others.

use std::net::IpAddr;
use std::time::Instant;

use crate::answer::OutcomeKind;
use crate::caller_shares::CountedCaller;
use crate::caller_shares::Standing;
use crate::catalogue::Entry;
use crate::events::Event;
use crate::log_event;
use crate::opaque_coordinator::OpaqueCoordinator;

impl OpaqueCoordinator {
    /// Adds a request of the caller at `addr` to its use.
    pub(crate) fn count_caller(&self, addr: IpAddr, entry: &Entry, now: Instant) -> CountedCaller {
        let mut shares = self.tier.caller_shares.lock().unwrap();
        let key = shares.key(addr, &entry.owner);
        let standing = shares.of(entry.class).add_request(key, now);
        if standing == Standing::Above {
            self.tier.counters.requests_above_part.increment();
            let callers = shares.tracked();
            let entry = entry.name.as_str();
            log_event!(info, Event::CallerAbovePart, caller = %addr, entry, callers);
        }
        CountedCaller { key, standing }
    }

    /// Takes a request that was not served back from its caller's use.
    pub(crate) fn finish_caller(&self, caller: CountedCaller, entry: &Entry, kind: OutcomeKind) {
        if kind == OutcomeKind::NotRun {
            let mut shares = self.tier.caller_shares.lock().unwrap();
            shares.of(entry.class).remove_request(caller.key, Instant::now());
        }
    }
}
