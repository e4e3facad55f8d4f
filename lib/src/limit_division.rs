//! Division of the rate limits that leafs name among the hosts that call them, by their demand.
//!
//! Each host with calls for a limited leaf reports how many it wants, again and again, to the host
//! that divides the leaf's limit, and gets its part for a short time. Hosts that want less than an
//! equal part get what they want, and the others share the rest evenly (max-min fairness).
//! Invariant: the parts of the hosts that report to one dividing host sum to no more than the limit.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::LeafHash;
use crate::rate_limit::HostRank;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::RequestRate;
use crate::rate_limit::kept_limit;
use crate::rate_limit::max_sharing_hosts;

/// Time for which a part is given. It spans two reports, so that one may be lost.
pub const PART_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time after a host's last report for which an equal part is left to it, which it uses if it
/// reaches no dividing host.
const SILENT_HOST_TIME: Duration = Duration::from_secs(10);
/// Time after the first report on a leaf in which no host gets more than an equal part, since other
/// hosts may not have reported yet.
const COLLECTION_TIME: Duration = Duration::from_millis(1_200);

/// Demand of the sharing hosts, in multiples of a limit, from which on no further host is needed to
/// use the limit up.
const ENOUGH_DEMAND: f64 = 1.5;
/// Factor by which the demand of a host that shares a limit counts for more than that of another.
const SHARING_PREFERENCE: f64 = 2.0;

/// Demand of one host for one leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// What the host knows about the limit.
    pub observation: LimitObservation,
    /// Requests a second that the host would send if it could.
    pub wanted_per_s: f64,
}

/// A host's part of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// What the dividing host knows about the limit.
    pub observation: LimitObservation,
    /// Requests a second that the host may send; absent if the limit has ended.
    pub rate: Option<RequestRate>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    wanted_per_s: f64,
    reported_at: Instant,
    is_sharing: bool,
}

#[derive(Clone, Debug)]
struct DividedLimit {
    limit: Option<RequestRate>,
    replied_at: Instant,
    first_report_at: Instant,
    reports: BTreeMap<String, Report>,
}

/// The limits that this host divides.
#[derive(Debug, Default)]
pub struct LimitDivider {
    leafs: HashMap<LeafHash, DividedLimit>,
}

impl LimitDivider {
    /// Records the demand of `host` for a leaf and returns the host's part. `hosts` is the number of
    /// hosts of the fleet. Returns nothing if the observation's age is out of range.
    pub fn divide(
        &mut self,
        leaf: LeafHash,
        host: &str,
        demand: Demand,
        hosts: usize,
        now: Instant,
    ) -> Option<Part> {
        let replied_at = now.checked_sub(demand.observation.age)?;
        let divided = self.leafs.entry(leaf).or_insert_with(|| DividedLimit {
            limit: demand.observation.limit,
            replied_at,
            first_report_at: now,
            reports: BTreeMap::new(),
        });
        if replied_at > divided.replied_at {
            (divided.limit, divided.replied_at) = (demand.observation.limit, replied_at);
        }
        let is_number = demand.wanted_per_s.is_finite();
        let wanted_per_s = if is_number { demand.wanted_per_s.max(0.0) } else { 0.0 };
        let is_sharing = divided.reports.get(host).is_some_and(|report| report.is_sharing);
        let report = Report { wanted_per_s, reported_at: now, is_sharing };
        divided.reports.insert(host.to_owned(), report);
        Some(divided.part_of(host, hosts, now))
    }

    /// Drops hosts that no longer report, and leafs without any.
    pub fn drop_silent_hosts(&mut self, now: Instant) {
        self.leafs.retain(|_, divided| {
            divided.reports.retain(|_, report| {
                now.saturating_duration_since(report.reported_at) < SILENT_HOST_TIME
            });
            !divided.reports.is_empty()
        });
    }
}

impl DividedLimit {
    fn part_of(&mut self, host: &str, hosts: usize, now: Instant) -> Part {
        let age = now.saturating_duration_since(self.replied_at);
        let observation = LimitObservation { limit: self.limit, age };
        let limit = self.limit;
        let per_second = limit.map(|limit| {
            let equal = HostRank { place: 0, hosts }.equal_part(limit);
            let part = self.fair_part(host, limit, equal, now);
            let is_collecting =
                now.saturating_duration_since(self.first_report_at) < COLLECTION_TIME;
            if is_collecting { part.min(equal) } else { part }
        });
        let rate = per_second.and_then(|per_second| RequestRate::try_from(per_second).ok());
        Part { observation, rate }
    }

    /// Returns the max-min fair part of `host`, in requests a second. What no host wants is split
    /// evenly.
    fn fair_part(&mut self, host: &str, limit: RequestRate, equal: f64, now: Instant) -> f64 {
        let sharing = self.sharing_hosts(limit, equal, now);
        let is_sharing = sharing.iter().any(|(name, _)| name == host);
        let mut left = kept_limit(limit);
        let count = sharing.len();
        let mut own_part = 0.0;
        // From the smallest want to the greatest: each takes at most an even part of what is left.
        for (index, (name, wanted)) in sharing.into_iter().rev().enumerate() {
            let part = wanted.min(left / (count - index) as f64);
            left -= part;
            if name == host {
                own_part = part;
            }
        }
        if let Some(report) = self.reports.get_mut(host) {
            report.is_sharing = is_sharing;
        }
        if is_sharing { own_part + left / count as f64 } else { 0.0 }
    }

    /// Returns the hosts that share the limit and what they want, the greatest want first. If the
    /// limit is too small for all hosts, those that want the most share it, as few as use it up.
    fn sharing_hosts(&self, limit: RequestRate, equal: f64, now: Instant) -> Vec<(String, f64)> {
        let mut wants: Vec<_> = self.reports.iter().collect();
        let max_hosts = max_sharing_hosts(limit);
        if wants.len() > max_hosts {
            wants.sort_by(|(_, a), (_, b)| b.preference().total_cmp(&a.preference()));
            let enough = kept_limit(limit) * ENOUGH_DEMAND;
            let mut wanted_before = 0.0;
            wants.truncate(max_hosts);
            wants.retain(|(_, report)| {
                let is_needed = wanted_before < enough;
                wanted_before += report.wanted_per_s;
                is_needed
            });
        }
        let want = |(name, report): (&String, &Report)| {
            let is_silent = now.saturating_duration_since(report.reported_at) > PART_LIFETIME;
            let wanted = report.wanted_per_s;
            (name.clone(), if is_silent { wanted.min(equal) } else { wanted })
        };
        let mut sharing: Vec<_> = wants.into_iter().map(want).collect();
        sharing.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        sharing
    }
}

impl Report {
    /// Returns the demand by which hosts are chosen if a limit is too small for all of them. Those
    /// that share it go first, as tokens that accrued at a host are lost when it loses its part.
    fn preference(&self) -> f64 {
        self.wanted_per_s * if self.is_sharing { SHARING_PREFERENCE } else { 1.0 }
    }
}
