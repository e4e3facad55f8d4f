//! This host's shares of the entries' limits, and their loans between hosts of a zone.
//!
//! A limit is split evenly over zones, and a zone's part over its listed hosts; hosts of a zone lend
//! to each other under leases. Invariant: the shares in use, over all hosts that agree on the host
//! list or are within its hold times, sum to no more than the limit. A giver counts a lease longer
//! than its borrower: the borrower from before its request, the giver from after it plus a margin.

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

/// Length of a lease.
pub const LEASE: Duration = Duration::from_secs(2);
/// Time by which a giver counts a lease longer. Covers a borrower that notices a pause late.
pub const LEASE_MARGIN: Duration = Duration::from_secs(3);
/// Time without contact after which a host gives up its own share.
pub const FENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after a change of the host list before a share grows by it.
const GROW_AFTER: Duration = Duration::from_secs(13);
/// Part of its own share that a host never lends.
const KEPT: f64 = 0.05;
/// Factor on a host's own use that it keeps free when it lends.
const HEADROOM: f64 = 1.1;

const _: () = assert!(LEASE_MARGIN.as_millis() > MAX_HEARTBEAT_GAP.as_millis());
const _: () =
    assert!(GROW_AFTER.as_millis() >= FENCE_TIMEOUT.as_millis() + LEASE_MARGIN.as_millis());

/// Smallest loan, as a part of the giver's own share.
const SMALLEST_LOAN: f64 = 0.01;

/// What a host asks another one to lend.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest<'a> {
    /// The entry.
    pub entry: &'a EntryName,
    /// Who asks.
    pub borrower: &'a HostName,
    /// Fraction of the entry's limits asked for in all.
    pub wanted: f64,
    /// Fraction of the limits that the giver uses itself.
    pub used: f64,
    /// Whether the giver has lost contact.
    pub fenced: bool,
}

/// This host's place among the zones and among its zone's hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct HostPosition {
    /// Rank of the zone.
    pub zone_rank: u32,
    /// Number of zones.
    pub zones: u32,
    /// Rank of the host in its zone.
    pub host_rank: u32,
    /// Number of the zone's hosts.
    pub hosts: u32,
}

impl HostPosition {
    /// Returns this seat's even fraction of a limit.
    pub fn fraction(&self) -> f64 {
        1.0 / (f64::from(self.zones) * f64::from(self.hosts))
    }

    /// Returns this seat's part of a whole number. All seats' parts sum to the number.
    pub fn whole_part(&self, total: u32) -> u32 {
        let part =
            |total: u32, rank: u32, count: u32| total / count + u32::from(rank < total % count);
        part(part(total, self.zone_rank, self.zones), self.host_rank, self.hosts)
    }
}

/// What all shares depend on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Applied {
    seat: Option<HostPosition>,
    has_contact: bool,
    settled: bool,
    catalogue: Revision,
}

/// Entries whose share may have changed.
#[derive(Clone, Debug)]
pub enum ChangedShares {
    /// Every entry.
    All,
    /// These ones.
    Some(HashSet<EntryName>),
}

impl ChangedShares {
    /// Whether an entry's share may have changed.
    pub fn includes(&self, entry: &EntryName) -> bool {
        match self {
            Self::All => true,
            Self::Some(entries) => entries.contains(entry),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Growth {
    seat: HostPosition,
    at: Instant,
}

#[derive(Clone, Debug)]
struct LoanOut {
    entry: EntryName,
    borrower: HostName,
    fraction: f64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct LoanIn {
    entry: EntryName,
    fraction: f64,
    requested_at: Instant,
    until: Instant,
    giver: HostName,
    giver_incarnation: Incarnation,
}

/// The shares of one process.
#[derive(Debug)]
pub struct ShareTable {
    applied: Option<Applied>,
    with_loans: HashSet<EntryName>,
    seat: Option<HostPosition>,
    growth: Option<Growth>,
    held_until: Instant,
    out: Vec<LoanOut>,
    lent_in: Vec<LoanIn>,
}

impl ShareTable {
    /// Starts with no seat. The first one counts only after the leases of an earlier run have ended,
    /// unless the zone's hosts say that there are none.
    pub fn new(now: Instant) -> Self {
        Self {
            applied: None,
            with_loans: HashSet::new(),
            seat: None,
            growth: None,
            held_until: now + LEASE + LEASE_MARGIN,
            out: Vec::new(),
            lent_in: Vec::new(),
        }
    }

    /// Records that no host of the zone holds a loan of an earlier run of this one.
    pub fn end_startup_hold(&mut self, now: Instant) {
        self.held_until = now;
    }

    /// Whether the own share counts yet.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.seat.is_some() && now >= self.held_until
    }

    /// Takes the seat that a host list gives. A smaller share counts at once, a larger one later.
    pub fn set_position(&mut self, seat: Option<HostPosition>, now: Instant) {
        let Some(present) = self.seat else {
            self.seat = seat;
            return;
        };
        let Some(seat) = seat else {
            self.seat = None;
            self.growth = None;
            return;
        };
        if seat == present {
            self.growth = None;
        } else if seat.fraction() < present.fraction() {
            self.seat = Some(seat);
            self.growth = None;
        } else if self.growth.is_none_or(|growth| growth.seat != seat) {
            self.growth = Some(Growth { seat, at: now + GROW_AFTER });
        }
    }

    /// Lets a larger share count once its time has come, and drops ended leases. `has_contact` says
    /// whether this host hears the platform or most of its zone. Returns the entries whose share may
    /// have changed since the last call.
    pub fn tick(&mut self, has_contact: bool, catalogue: Revision, now: Instant) -> ChangedShares {
        if let Some(growth) = self.growth.filter(|growth| growth.at <= now && has_contact) {
            self.seat = Some(growth.seat);
            self.growth = None;
        }
        self.out.retain(|loan| loan.until > now);
        self.lent_in.retain(|loan| loan.until > now);
        let settled = now >= self.held_until;
        let present = Applied { seat: self.seat, has_contact, settled, catalogue };
        let entries = self.out.iter().map(|loan| &loan.entry);
        let entries = entries.chain(self.lent_in.iter().map(|loan| &loan.entry));
        let with_loans: HashSet<_> = entries.cloned().collect();
        let before = std::mem::replace(&mut self.with_loans, with_loans);
        if self.applied.replace(present) != Some(present) {
            return ChangedShares::All;
        }
        ChangedShares::Some(self.with_loans.union(&before).cloned().collect())
    }

    /// Makes the next [`ShareTable::tick`] return every entry, for entries that came into use while
    /// something changed.
    pub fn refresh(&mut self) {
        self.applied = None;
    }

    /// Returns this host's share of an entry's limits now.
    pub fn share(
        &self,
        entry: &EntryName,
        limits: &Limits,
        fenced: bool,
        now: Instant,
    ) -> HostShare {
        let own = if fenced || now < self.held_until { None } else { self.seat };
        let out = self.lent_out(entry, now);
        let borrowed = self.borrowed(entry, now);
        let fraction = (own.map_or(0.0, |seat| seat.fraction()) - out).max(0.0) + borrowed;
        let concurrent = f64::from(limits.concurrent);
        let own_whole = own.map_or(0.0, |seat| f64::from(seat.whole_part(limits.concurrent)));
        let whole = (own_whole - (out * concurrent).ceil()).max(0.0);
        HostShare {
            concurrent: whole + (borrowed * concurrent).floor(),
            ..HostShare::of(limits, fraction)
        }
    }

    /// Sums what borrowers may hold. One borrower holds the larger of an old and a renewed loan, as
    /// it may not have got the answer with the renewed one.
    fn lent_out(&self, entry: &EntryName, now: Instant) -> f64 {
        let mut largest: HashMap<&HostName, f64> = HashMap::new();
        for loan in self.out.iter().filter(|loan| loan.entry == *entry && loan.until > now) {
            let held = largest.entry(&loan.borrower).or_default();
            *held = held.max(loan.fraction);
        }
        largest.values().sum()
    }

    fn lent_to(&self, entry: &EntryName, borrower: &HostName, now: Instant) -> f64 {
        let to_it = |loan: &&LoanOut| loan.entry == *entry && loan.borrower == *borrower;
        let live = self.out.iter().filter(to_it).filter(|loan| loan.until > now);
        live.map(|loan| loan.fraction).fold(0.0, f64::max)
    }

    /// Returns the fraction of an entry's limits that is borrowed from a host now.
    pub fn borrowed_from(&self, entry: &EntryName, giver: &HostName, now: Instant) -> f64 {
        let live = self.lent_in.iter().filter(|loan| loan.entry == *entry && loan.until > now);
        live.filter(|loan| loan.giver == *giver).map(|loan| loan.fraction).sum()
    }

    fn borrowed(&self, entry: &EntryName, now: Instant) -> f64 {
        let live = self.lent_in.iter().filter(|loan| loan.entry == *entry && loan.until > now);
        live.map(|loan| loan.fraction).sum()
    }

    /// Lends what the own use leaves free, renewing and resizing an earlier loan to the same host.
    pub fn lend(&mut self, asked: &LoanRequest<'_>, now: Instant) -> Option<Loan> {
        if asked.fenced || now < self.held_until {
            return None;
        }
        let LoanRequest { entry, borrower, wanted, used, .. } = *asked;
        let own = self.seat?.fraction();
        let lent_to_others = self.lent_out(entry, now) - self.lent_to(entry, borrower, now);
        let kept = (own * KEPT).max(used * HEADROOM);
        let free = own - kept - lent_to_others;
        let fraction = free.min(wanted);
        if fraction.is_nan() || fraction < own * SMALLEST_LOAN {
            return None;
        }
        let until = now + LEASE + LEASE_MARGIN;
        let same = |loan: &LoanOut| loan.entry == *entry && loan.borrower == *borrower;
        self.out.retain(|loan| !same(loan) || loan.fraction > fraction);
        let (entry, borrower) = (entry.clone(), borrower.clone());
        self.out.push(LoanOut { entry: entry.clone(), borrower, fraction, until });
        Some(Loan { entry, fraction, lease_ms: LEASE.as_millis() as u64 })
    }

    /// Takes a loan that answers a request sent at `requested_at`. It replaces an earlier loan of
    /// the same host, unless that one was requested later.
    pub fn borrow(
        &mut self,
        loan: Loan,
        giver: &HostName,
        giver_incarnation: Incarnation,
        requested_at: Instant,
    ) {
        let lease = Duration::from_millis(loan.lease_ms).min(LEASE);
        let is_sound = (0.0..=1.0).contains(&loan.fraction);
        let same = |known: &LoanIn| known.entry == loan.entry && known.giver == *giver;
        let is_late = |known: &LoanIn| same(known) && known.requested_at > requested_at;
        if !is_sound || self.lent_in.iter().any(is_late) {
            return;
        }
        self.lent_in.retain(|known| !same(known));
        self.lent_in.push(LoanIn {
            entry: loan.entry,
            fraction: loan.fraction,
            requested_at,
            until: requested_at + lease,
            giver: giver.clone(),
            giver_incarnation,
        });
    }

    /// Whether a loan of an earlier run of `giver` is still held.
    pub fn holds_loan_of(&self, giver: &HostName, present: Incarnation, now: Instant) -> bool {
        self.lent_in.iter().any(|loan| {
            loan.giver == *giver && loan.giver_incarnation != present && loan.until > now
        })
    }

    /// Whether this host holds a loan for an entry.
    pub fn is_borrowing(&self, entry: &EntryName) -> bool {
        self.lent_in.iter().any(|loan| loan.entry == *entry)
    }

    /// Sums loans per entry, for the state dump: lent out is negative.
    pub fn balances(&self, now: Instant) -> HashMap<EntryName, f64> {
        let mut balances: HashMap<EntryName, f64> = HashMap::new();
        for loan in self.out.iter().filter(|loan| loan.until > now) {
            *balances.entry(loan.entry.clone()).or_default() -= loan.fraction;
        }
        for loan in self.lent_in.iter().filter(|loan| loan.until > now) {
            *balances.entry(loan.entry.clone()).or_default() += loan.fraction;
        }
        balances
    }
}
