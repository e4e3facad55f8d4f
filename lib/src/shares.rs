//! This host's shares of the entries' limits, and loans of shares between hosts of a zone.
//!
//! A limit is split evenly over zones, and a zone's part over its listed hosts; hosts of a zone
//! lend to each other under leases. Invariant: the shares in use sum to no more than the limit,
//! over all hosts that agree on the host list or are within the delays that follow a change of it.
//! A lease ends at the lender after it has ended at the borrower: the borrower counts from before
//! its request, the lender from after the request and with a margin.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::catalogue::Limits;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::lifecycle::MAX_HEARTBEAT_GAP;
use crate::limits::HostShare;
use crate::peer_protocol::Loan;

/// Duration of a lease, as the borrower counts it.
pub const LEASE: Duration = Duration::from_secs(2);
/// Time by which a lender counts a lease longer than its borrower. Covers a borrower whose process
/// was paused and detects the pause late.
pub const LEASE_MARGIN: Duration = Duration::from_secs(3);
/// Time after which a host that has lost contact with both the platform and at least half of the
/// hosts of its zone is fenced, so that it stops using its own share.
pub const FENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a change of the host list before a larger share applies. Hosts that have not
/// received the list are fenced by then, and their leases have ended.
const GROWTH_DELAY: Duration = Duration::from_secs(13);
/// Fraction of its own share that a host never lends.
const RESERVED_PART: f64 = 0.05;
/// Multiple of its own use that a lender reserves for itself.
const USE_HEADROOM: f64 = 1.1;

const _: () = assert!(LEASE_MARGIN.as_millis() > MAX_HEARTBEAT_GAP.as_millis());
const _: () =
    assert!(GROWTH_DELAY.as_millis() >= FENCE_TIMEOUT.as_millis() + LEASE_MARGIN.as_millis());

/// Smallest loan, as a fraction of the lender's own share.
const MIN_LOAN_PART: f64 = 0.01;

/// A request for a loan, with the state of the lender that decides on it.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest<'a> {
    /// The entry whose limits the loan is part of.
    pub entry: &'a EntryName,
    /// The host that requests the loan.
    pub borrower: &'a HostName,
    /// Fraction of the entry's limits that is requested; includes what an earlier loan to the same
    /// borrower gives.
    pub wanted: f64,
    /// Fraction of the entry's limits that the lender uses itself.
    pub used: f64,
    /// Whether the lender has lost contact and does not use its own share.
    pub fenced: bool,
}

/// Position of this host in the host list: the rank of its zone among the zones, and its rank among
/// the zone's hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct HostPosition {
    /// Rank of the zone, from 0.
    pub zone_rank: u32,
    /// Number of zones.
    pub zones: u32,
    /// Rank of the host in its zone, from 0.
    pub host_rank: u32,
    /// Number of hosts in the zone.
    pub hosts: u32,
}

impl HostPosition {
    /// Returns the fraction of a limit, 0 to 1, that an even split gives to this position.
    pub fn fraction(&self) -> f64 {
        1.0 / (f64::from(self.zones) * f64::from(self.hosts))
    }

    /// Returns this position's part of a whole number. The parts of all positions sum to the
    /// number.
    pub fn whole_part(&self, total: u32) -> u32 {
        let part =
            |total: u32, rank: u32, count: u32| total / count + u32::from(rank < total % count);
        part(part(total, self.zone_rank, self.zones), self.host_rank, self.hosts)
    }
}

/// Inputs that every share depends on, as of the last [`ShareTable::tick`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ShareInputs {
    position: Option<HostPosition>,
    has_contact: bool,
    settled: bool,
    catalogue: Revision,
}

/// Set of entries whose share may have changed.
#[derive(Clone, Debug)]
pub enum ChangedShares {
    /// Every entry.
    All,
    /// Only the entries listed.
    Some(HashSet<EntryName>),
}

impl ChangedShares {
    /// Returns whether an entry's share may have changed.
    pub fn includes(&self, entry: &EntryName) -> bool {
        match self {
            Self::All => true,
            Self::Some(entries) => entries.contains(entry),
        }
    }
}

/// A position whose share is not smaller than the present one, and the time from which it applies.
#[derive(Clone, Copy, Debug)]
struct Growth {
    position: HostPosition,
    at: Instant,
}

#[derive(Clone, Debug)]
struct LentLoan {
    entry: EntryName,
    borrower: HostName,
    fraction: f64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct BorrowedLoan {
    entry: EntryName,
    fraction: f64,
    /// Time at which this host sent the request for the loan; its lease counts from then.
    requested_at: Instant,
    until: Instant,
    lender: HostName,
    lender_incarnation: Incarnation,
}

/// This process's position and its loans, from which its shares are computed.
#[derive(Debug)]
pub struct ShareTable {
    /// Inputs of the shares at the last [`ShareTable::tick`]; absent before it and after a refresh.
    applied: Option<ShareInputs>,
    /// Entries that had a loan, lent or borrowed, at the last [`ShareTable::tick`].
    with_loans: HashSet<EntryName>,
    position: Option<HostPosition>,
    growth: Option<Growth>,
    /// End of the startup hold, before which this host's own share does not apply.
    held_until: Instant,
    lent_loans: Vec<LentLoan>,
    borrowed_loans: Vec<BorrowedLoan>,
}

impl ShareTable {
    /// Creates a table without a position. Until the leases that an earlier incarnation of this
    /// host granted have ended, its own share does not apply; [`ShareTable::end_startup_hold`] ends
    /// this earlier.
    pub fn new(now: Instant) -> Self {
        Self {
            applied: None,
            with_loans: HashSet::new(),
            position: None,
            growth: None,
            held_until: now + LEASE + LEASE_MARGIN,
            lent_loans: Vec::new(),
            borrowed_loans: Vec::new(),
        }
    }

    /// Ends the startup hold, as the hosts of the zone have reported that none of them holds a loan
    /// of an earlier incarnation of this host.
    pub fn end_startup_hold(&mut self, now: Instant) {
        self.held_until = now;
    }

    /// Returns whether this host has a position and the startup hold is over, so that its own share
    /// applies unless it is fenced.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.position.is_some() && now >= self.held_until
    }

    /// Sets the position that a host list gives, or `None` where the list lacks this host. It
    /// applies at once if there was no position, or if its share is smaller or there is none; a
    /// different position with a share that is not smaller applies after a delay.
    pub fn set_position(&mut self, position: Option<HostPosition>, now: Instant) {
        let Some(present) = self.position else {
            self.position = position;
            return;
        };
        let Some(position) = position else {
            self.position = None;
            self.growth = None;
            return;
        };
        if position == present {
            self.growth = None;
        } else if position.fraction() < present.fraction() {
            self.position = Some(position);
            self.growth = None;
        } else if self.growth.is_none_or(|growth| growth.position != position) {
            self.growth = Some(Growth { position, at: now + GROWTH_DELAY });
        }
    }

    /// Applies a position whose delay has passed, and drops ended leases. `has_contact` is false
    /// while this host is fenced; no share grows meanwhile. A host is in contact if it reaches the
    /// platform, or more than half of the hosts of its zone, itself included. Returns the entries
    /// whose share may have changed since the last call.
    pub fn tick(&mut self, has_contact: bool, catalogue: Revision, now: Instant) -> ChangedShares {
        if let Some(growth) = self.growth.filter(|growth| growth.at <= now && has_contact) {
            self.position = Some(growth.position);
            self.growth = None;
        }
        self.lent_loans.retain(|loan| loan.until > now);
        self.borrowed_loans.retain(|loan| loan.until > now);
        let settled = now >= self.held_until;
        let present = ShareInputs { position: self.position, has_contact, settled, catalogue };
        let entries = self.lent_loans.iter().map(|loan| &loan.entry);
        let entries = entries.chain(self.borrowed_loans.iter().map(|loan| &loan.entry));
        let with_loans: HashSet<_> = entries.cloned().collect();
        let previous = std::mem::replace(&mut self.with_loans, with_loans);
        if self.applied.replace(present) != Some(present) {
            return ChangedShares::All;
        }
        ChangedShares::Some(self.with_loans.union(&previous).cloned().collect())
    }

    /// Makes the next [`ShareTable::tick`] return every entry, so that an entry that was first used
    /// while shares changed gets its present share too.
    pub fn refresh(&mut self) {
        self.applied = None;
    }

    /// Returns this host's share of an entry's limits at `now`, loans included. `fenced` is whether
    /// this host has lost contact; it then uses borrowed shares only.
    pub fn share(
        &self,
        entry: &EntryName,
        limits: &Limits,
        fenced: bool,
        now: Instant,
    ) -> HostShare {
        let own = if fenced || now < self.held_until { None } else { self.position };
        let lent = self.lent_out(entry, now);
        let borrowed = self.borrowed(entry, now);
        let fraction = (own.map_or(0.0, |position| position.fraction()) - lent).max(0.0) + borrowed;
        let concurrent = f64::from(limits.concurrent);
        let own_concurrent =
            own.map_or(0.0, |position| f64::from(position.whole_part(limits.concurrent)));
        let remaining_concurrent = (own_concurrent - (lent * concurrent).ceil()).max(0.0);
        HostShare {
            concurrent: remaining_concurrent + (borrowed * concurrent).floor(),
            ..HostShare::of(limits, fraction)
        }
    }

    /// Returns the fraction of an entry's limits that borrowers may hold at `now`. A borrower
    /// counts with the larger of an old and a renewed loan, as the reply with the renewed one may
    /// have been lost.
    fn lent_out(&self, entry: &EntryName, now: Instant) -> f64 {
        let mut largest: HashMap<&HostName, f64> = HashMap::new();
        for loan in self.lent_loans.iter().filter(|loan| loan.entry == *entry && loan.until > now) {
            let held = largest.entry(&loan.borrower).or_default();
            *held = held.max(loan.fraction);
        }
        largest.values().sum()
    }

    fn lent_to(&self, entry: &EntryName, borrower: &HostName, now: Instant) -> f64 {
        let to_borrower = |loan: &&LentLoan| loan.entry == *entry && loan.borrower == *borrower;
        let live = self.lent_loans.iter().filter(to_borrower).filter(|loan| loan.until > now);
        live.map(|loan| loan.fraction).fold(0.0, f64::max)
    }

    /// Returns the fraction of an entry's limits that is borrowed from one host at `now`.
    pub fn borrowed_from(&self, entry: &EntryName, lender: &HostName, now: Instant) -> f64 {
        let live =
            self.borrowed_loans.iter().filter(|loan| loan.entry == *entry && loan.until > now);
        live.filter(|loan| loan.lender == *lender).map(|loan| loan.fraction).sum()
    }

    fn borrowed(&self, entry: &EntryName, now: Instant) -> f64 {
        let live =
            self.borrowed_loans.iter().filter(|loan| loan.entry == *entry && loan.until > now);
        live.map(|loan| loan.fraction).sum()
    }

    /// Lends what this host's own use and other loans leave free, and renews or resizes an earlier
    /// loan to the same borrower. Returns `None` if this host is fenced, its own share does not
    /// apply yet, or the loan would be below the smallest size.
    pub fn lend(&mut self, request: &LoanRequest<'_>, now: Instant) -> Option<Loan> {
        if request.fenced || now < self.held_until {
            return None;
        }
        let LoanRequest { entry, borrower, wanted, used, .. } = *request;
        let own = self.position?.fraction();
        let lent_to_others = self.lent_out(entry, now) - self.lent_to(entry, borrower, now);
        let reserved = (own * RESERVED_PART).max(used * USE_HEADROOM);
        let free = own - reserved - lent_to_others;
        let fraction = free.min(wanted);
        if fraction.is_nan() || fraction < own * MIN_LOAN_PART {
            return None;
        }
        let until = now + LEASE + LEASE_MARGIN;
        let same_loan = |loan: &LentLoan| loan.entry == *entry && loan.borrower == *borrower;
        self.lent_loans.retain(|loan| !same_loan(loan) || loan.fraction > fraction);
        let (entry, borrower) = (entry.clone(), borrower.clone());
        self.lent_loans.push(LentLoan { entry: entry.clone(), borrower, fraction, until });
        Some(Loan { entry, fraction, lease_ms: LEASE.as_millis() as u64 })
    }

    /// Adds a loan received in reply to a request sent at `requested_at`. It replaces an earlier
    /// loan of the same lender, unless that one was requested later. Ignores a loan whose fraction
    /// is outside 0 to 1.
    pub fn borrow(
        &mut self,
        loan: Loan,
        lender: &HostName,
        lender_incarnation: Incarnation,
        requested_at: Instant,
    ) {
        let lease = Duration::from_millis(loan.lease_ms).min(LEASE);
        let is_valid_fraction = (0.0..=1.0).contains(&loan.fraction);
        let same_loan = |other: &BorrowedLoan| other.entry == loan.entry && other.lender == *lender;
        let is_newer = |other: &BorrowedLoan| same_loan(other) && other.requested_at > requested_at;
        if !is_valid_fraction || self.borrowed_loans.iter().any(is_newer) {
            return;
        }
        self.borrowed_loans.retain(|other| !same_loan(other));
        self.borrowed_loans.push(BorrowedLoan {
            entry: loan.entry,
            fraction: loan.fraction,
            requested_at,
            until: requested_at + lease,
            lender: lender.clone(),
            lender_incarnation,
        });
    }

    /// Returns whether this host still holds a loan of an incarnation of `lender` other than
    /// `present`.
    pub fn holds_loan_of(&self, lender: &HostName, present: Incarnation, now: Instant) -> bool {
        self.borrowed_loans.iter().any(|loan| {
            loan.lender == *lender && loan.lender_incarnation != present && loan.until > now
        })
    }

    /// Returns whether this host held a loan for an entry at the last [`ShareTable::tick`] or
    /// received one since.
    pub fn is_borrowing(&self, entry: &EntryName) -> bool {
        self.borrowed_loans.iter().any(|loan| loan.entry == *entry)
    }

    /// Returns the balance of loans per entry, as fractions of its limits, for the state dump:
    /// borrowed is positive, lent is negative.
    pub fn balances(&self, now: Instant) -> HashMap<EntryName, f64> {
        let mut balances: HashMap<EntryName, f64> = HashMap::new();
        for loan in self.lent_loans.iter().filter(|loan| loan.until > now) {
            *balances.entry(loan.entry.clone()).or_default() -= loan.fraction;
        }
        for loan in self.borrowed_loans.iter().filter(|loan| loan.until > now) {
            *balances.entry(loan.entry.clone()).or_default() += loan.fraction;
        }
        balances
    }
}
