//! Gossip membership: the hosts of the fleet, discovered from a few seeds.
//!
//! Hosts exchange records, each with the time since its host issued it. No list of hosts is
//! published; a host that issues no records for a while times out. Invariants: a record of an
//! earlier incarnation of a process never replaces a more recent one of a later incarnation; the
//! age of a record only grows while it is passed on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::budget_lenders::Peers;
use crate::connection_share::HostPhase;
use crate::ids::Incarnation;
use crate::ids::LeafHash;
use crate::rate_limit::HostRank;

/// Age of a host's latest record after which the host is removed from the membership table.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time from the start of this process until it has certainly heard of all hosts that it reaches,
/// even if many started together and some exchanges were lost.
const HEARING_TIME: Duration = Duration::from_secs(10);
/// Time after a host was first heard of in which others may be that this host has not heard of yet.
const NEWS_TIME: Duration = Duration::from_secs(4);
/// Time for which a host that timed out is remembered as one that may still call leafs.
const MEMORY_TIME: Duration = Duration::from_secs(600);
/// Number of hosts of a zone that read the platform on behalf of the others.
const READERS_PER_ZONE: usize = 2;
/// Smallest number of hosts in a zone at which some of them read the platform for the others and
/// one aggregates the call reports of all.
const MIN_DELEGATING_HOSTS: usize = 6;
/// Age of a host's latest record after which the host is not chosen to act for others.
const DELEGATE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after the start of this process in which most hosts may not be discovered yet.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Time from the start of this process until it can distinguish a large fleet from a small one. It
/// suffices for some exchanges with seeds, or with hosts that have exchanged with seeds.
const STARTING_TIME: Duration = Duration::from_millis(1_500);
/// Time after discovery over which the hosts of a large fleet that started together spread the
/// opening of their connections, some hundred per host. It is longer than leafs take to notice that
/// the connections of the previous incarnations are gone.
const SETTLING_SPREAD: Duration = Duration::from_secs(4);
/// Smallest number of other hosts at which the opening of connections is spread.
const LARGE_FLEET_HOSTS: usize = 24;
/// Smallest number of hosts that a process assumes during discovery.
const ASSUMED_HOSTS: usize = 96;
/// Maximum number of records in one message, not counting the sender's own.
const MAX_RECORDS: usize = 192;
/// Number of those records that are reserved for hosts of the sender's zone.
const MAX_ZONE_RECORDS: usize = 128;
/// Fraction of exchanges that go to another zone.
const OTHER_ZONE_SHARE: f64 = 0.2;
/// Fraction of exchanges that go to a seed, so that a partitioned fleet merges again.
const SEED_SHARE: f64 = 0.1;

/// The membership record that a host issues about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Control address on which the host accepts exchanges with other hosts.
    pub addr: SocketAddr,
    /// Availability zone of the host.
    pub zone: String,
    /// Incarnation of the process; a restart gets a new one.
    pub incarnation: Incarnation,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// Whether the host cannot read the platform.
    pub blind: bool,
}

/// A host record with its age, as it is sent to other hosts.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedRecord {
    /// The record as its host issued it.
    pub card: HostRecord,
    /// Time since the host issued the record, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// The host that aggregates the call reports of a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AggregatorHost {
    /// There is none: the zone is so small that each host relies on its own calls.
    Absent,
    /// This host.
    Own,
    /// The host at this address.
    Other(SocketAddr),
}

#[derive(Clone, Debug)]
struct Member {
    record: HostRecord,
    issued_at: Instant,
}

/// The membership table of this host.
#[derive(Debug)]
pub struct Fleet {
    own: HostRecord,
    seeds: BTreeSet<SocketAddr>,
    members: BTreeMap<String, Member>,
    /// Address of each host heard of, and when, also of those that have timed out.
    remembered: BTreeMap<String, (SocketAddr, Instant)>,
    /// When this host last heard of one that it did not remember.
    last_news_at: Instant,
    started_at: Instant,
    settled_at: Instant,
}

/// Membership changes caused by one message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetChanges {
    /// Names of hosts that are new, or whose process has a new incarnation.
    pub joined: Vec<String>,
    /// Names of hosts that have started to leave.
    pub leaving: Vec<String>,
}

impl Fleet {
    /// Creates a table that contains no other host. Seeds may be stale or down.
    pub fn new(own: HostRecord, seeds: impl IntoIterator<Item = SocketAddr>, now: Instant) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.addr).collect();
        let part = (own.incarnation.0 % 1_000) as f64 / 1_000.0;
        let settled_at = now + DISCOVERY_TIME + SETTLING_SPREAD.mul_f64(part);
        let (members, remembered) = (BTreeMap::new(), BTreeMap::new());
        let last_news_at = now;
        Self { own, seeds, members, remembered, last_news_at, started_at: now, settled_at }
    }

    /// Replaces the seeds; this host's own address is left out.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own.addr).collect();
    }

    /// Marks this host as leaving in the records that it issues from now on.
    pub fn mark_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Sets whether the records that this host issues from now on report that it cannot read the
    /// platform.
    pub fn set_platform_unreachable(&mut self, unreachable: bool) {
        self.own.blind = unreachable;
    }

    /// Returns the record that this host issues about itself.
    pub fn own(&self) -> &HostRecord {
        &self.own
    }

    /// Merges the records of a message received at `now` and returns what they changed. Ignores
    /// records of this host and those older than the membership timeout.
    pub fn merge_records(&mut self, records: Vec<AgedRecord>, now: Instant) -> FleetChanges {
        let mut changes = FleetChanges::default();
        for AgedRecord { card: record, age } in records {
            let Some(issued_at) = now.checked_sub(age) else { continue };
            if record.name == self.own.name || age > MEMBER_TIMEOUT {
                continue;
            }
            self.merge_record(Member { record, issued_at }, &mut changes, now);
        }
        changes
    }

    fn merge_record(&mut self, member: Member, changes: &mut FleetChanges, now: Instant) {
        let name = member.record.name.clone();
        let listed = self.members.get(&name);
        if listed.is_some_and(|listed| listed.issued_at >= member.issued_at) {
            return;
        }
        let same_incarnation = listed.filter(|k| k.record.incarnation == member.record.incarnation);
        if same_incarnation.is_none() {
            changes.joined.push(name.clone());
        } else if member.record.leaving
            && same_incarnation.is_some_and(|listed| !listed.record.leaving)
        {
            changes.leaving.push(name.clone());
        }
        let contact = (member.record.addr, member.issued_at);
        if self.remembered.insert(name.clone(), contact).is_none() {
            self.last_news_at = now;
        }
        self.members.insert(name, member);
    }

    /// Removes hosts whose records have timed out. Returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let is_timed_out =
            |member: &Member| now.saturating_duration_since(member.issued_at) > MEMBER_TIMEOUT;
        let timed_out = self.members.iter().filter(|(_, member)| is_timed_out(member));
        let timed_out = timed_out.map(|(name, _)| name.clone()).collect();
        self.members.retain(|_, member| !is_timed_out(member));
        self.remembered.retain(|_, (_, at)| now.saturating_duration_since(*at) <= MEMORY_TIME);
        timed_out
    }

    /// Returns the records to send: this host's own, those of its zone, on which the choice of the
    /// zone's readers depends, and others. Within the zone's and the other records, the newest go
    /// first, so that the number of hosts that have received a change about doubles with each round
    /// of exchanges.
    pub fn records_to_send(&self, now: Instant) -> Vec<AgedRecord> {
        let own = AgedRecord { card: self.own.clone(), age: Duration::ZERO };
        let aged = |member: &Member| AgedRecord {
            card: member.record.clone(),
            age: now.saturating_duration_since(member.issued_at),
        };
        let is_near = |member: &&Member| member.record.zone == self.own.zone;
        let (mut near, mut others): (Vec<_>, Vec<_>) = self.members.values().partition(is_near);
        near.sort_unstable_by_key(|member| Reverse(member.issued_at));
        others.extend(near.split_off(near.len().min(MAX_ZONE_RECORDS)));
        others.sort_unstable_by_key(|member| Reverse(member.issued_at));
        others.truncate(MAX_RECORDS - near.len());
        std::iter::once(own).chain(near.into_iter().chain(others).map(aged)).collect()
    }

    /// Picks the address for the next exchange at random: mostly a host of this host's zone,
    /// sometimes one of another zone or a seed. Returns nothing if there is neither another host
    /// nor a seed.
    pub fn next_peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let seed = |rng: &mut _| self.seeds.iter().copied().choose(rng);
        let picks_seed = self.members.is_empty() || rng.random_bool(SEED_SHARE);
        if picks_seed && let Some(seed) = seed(rng) {
            return Some(seed);
        }
        let in_own_zone = !rng.random_bool(OTHER_ZONE_SHARE);
        let fits = |member: &&Member| (member.record.zone == self.own.zone) == in_own_zone;
        let fitting = self.members.values().filter(fits).choose(rng);
        let any = || self.members.values().choose(rng);
        fitting.or_else(any).map(|member| member.record.addr)
    }

    /// Returns the addresses of up to `count` other hosts, chosen at random from all zones.
    pub fn sample(&self, rng: &mut impl Rng, count: usize) -> Vec<SocketAddr> {
        let addrs = self.members.values().map(|member| member.record.addr);
        addrs.choose_multiple(rng, count)
    }

    /// Returns the address of another host of this host's zone that is not leaving, chosen at
    /// random.
    pub fn sample_zone(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let fits = |record: &&HostRecord| record.zone == self.own.zone && !record.leaving;
        self.members().filter(fits).choose(rng).map(|record| record.addr)
    }

    /// Returns whether `addr` is that of another host of this host's zone that is not leaving.
    pub fn is_in_zone(&self, addr: SocketAddr) -> bool {
        let is_it = |record: &HostRecord| {
            record.addr == addr && record.zone == self.own.zone && !record.leaving
        };
        self.members().any(is_it)
    }

    /// Returns the assumed number of hosts, this one included. It is deliberately high during
    /// discovery, when the table lacks most hosts; afterwards it is the number of hosts in the
    /// table.
    pub fn assumed_count(&self, now: Instant) -> usize {
        let listed = self.count(|_| true);
        if self.is_discovering(now) { listed.max(ASSUMED_HOSTS) } else { listed }
    }

    /// Returns whether this process started so recently that most other hosts may not be discovered
    /// yet.
    pub fn is_discovering(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) < DISCOVERY_TIME
    }

    /// Returns the phase of this process after its start, which limits the connections that it
    /// opens to leafs.
    pub fn phase(&self, now: Instant) -> HostPhase {
        let is_spread = self.members.len() >= LARGE_FLEET_HOSTS && now < self.settled_at;
        if now.saturating_duration_since(self.started_at) < STARTING_TIME {
            HostPhase::Starting
        } else if self.is_discovering(now) || is_spread {
            HostPhase::Settling
        } else {
            HostPhase::Settled
        }
    }

    /// Returns whether this host must not prewarm connections yet to leafs that accept fewer
    /// connections than there are hosts.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.phase(now) != HostPhase::Settled
    }

    /// Returns the number of hosts in the table, this one included, in the zones for which `fits`
    /// holds.
    pub fn count(&self, fits: impl Fn(&str) -> bool) -> usize {
        let others = self.members.values().filter(|member| fits(&member.record.zone)).count();
        others + usize::from(fits(&self.own.zone))
    }

    /// Returns the addresses of the hosts of this zone that read the platform for the others. The
    /// result is empty if this host is one of them, or if the zone has so few hosts that each reads
    /// for itself. While membership tables differ, more hosts than necessary read, never fewer.
    pub fn readers(&self, now: Instant) -> Vec<SocketAddr> {
        let mut records = self.zone_delegates(|record| !record.blind, now);
        records.truncate(READERS_PER_ZONE);
        if records.iter().any(|record| record.name == self.own.name) {
            return Vec::new();
        }
        records.into_iter().map(|record| record.addr).collect()
    }

    /// Returns the host that aggregates the call reports of this zone: the first in hash order that
    /// is not `avoided`. While membership tables differ, several hosts aggregate a part each.
    pub fn aggregator_host(
        &self,
        avoided: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> AggregatorHost {
        let records = self.zone_delegates(|_| true, now);
        let is_own = |record: &HostRecord| record.name == self.own.name;
        match records.into_iter().find(|record| is_own(record) || !avoided(record.addr)) {
            Some(record) if is_own(record) => AggregatorHost::Own,
            Some(record) => AggregatorHost::Other(record.addr),
            None => AggregatorHost::Absent,
        }
    }

    /// Returns the hosts of this zone that may act for others, this one included, ordered by the
    /// hash of their names. The result is empty in a zone of few hosts, where each acts for itself.
    fn zone_delegates(&self, fits: impl Fn(&HostRecord) -> bool, now: Instant) -> Vec<&HostRecord> {
        let is_fit = |member: &&Member| {
            let age = now.saturating_duration_since(member.issued_at);
            let record = &member.record;
            record.zone == self.own.zone
                && !record.leaving
                && fits(record)
                && age < DELEGATE_TIMEOUT
        };
        let others = self.members.values().filter(is_fit).map(|member| &member.record);
        let mut records: Vec<_> = others.chain([&self.own]).collect();
        if records.len() < MIN_DELEGATING_HOSTS {
            return Vec::new();
        }
        records.sort_by_key(|record| xxh3_64(record.name.as_bytes()));
        records
    }

    /// Returns this host's rank among all hosts for a leaf, by rendezvous hashing.
    pub fn rank_for_leaf(&self, leaf: LeafHash, now: Instant) -> HostRank {
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), leaf.0);
        let own_score = score(&self.own.name);
        let place = self.members.keys().filter(|name| score(name) > own_score).count();
        HostRank { place, hosts: self.assumed_count(now) }
    }

    /// Returns this host's rank for a leaf among all hosts that it has heard of, by rendezvous
    /// hashing. Returns nothing while the rank may be too high, as this host has just started, has
    /// just heard of a new one, or has heard of no other one. A fleet of which a seed is unknown is
    /// assumed to be large.
    pub fn lasting_rank(&self, leaf: LeafHash, now: Instant) -> Option<HostRank> {
        let is_alone = self.remembered.is_empty() && !self.seeds.is_empty();
        let is_new = now.saturating_duration_since(self.started_at) < HEARING_TIME
            || now.saturating_duration_since(self.last_news_at) < NEWS_TIME;
        if is_new || is_alone {
            return None;
        }
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), leaf.0);
        let own_score = score(&self.own.name);
        let place = self.remembered.keys().filter(|name| score(name) > own_score).count();
        let is_known = |seed: &SocketAddr| self.remembered.values().any(|(addr, _)| addr == seed);
        let heard_of = self.remembered.len() + 1;
        let is_complete = self.seeds.iter().all(is_known);
        let hosts = if is_complete { heard_of } else { heard_of.max(ASSUMED_HOSTS) };
        Some(HostRank { place, hosts })
    }

    /// Returns the address of the host that divides the limits of the leafs in `bucket`: the first
    /// in hash order that is not `avoided`. Returns nothing if it is this host. While membership
    /// tables differ, several hosts divide a limit, each for the hosts that choose it.
    pub fn dividing_host(
        &self,
        bucket: u64,
        avoided: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> Option<SocketAddr> {
        let is_fit = |member: &&Member| {
            let age = now.saturating_duration_since(member.issued_at);
            !member.record.leaving && age < DELEGATE_TIMEOUT && !avoided(member.record.addr)
        };
        let others = self.members.values().filter(is_fit).map(|member| &member.record);
        let own = Some(&self.own).filter(|own| !own.leaving);
        let score = |record: &&HostRecord| xxh3_64_with_seed(record.name.as_bytes(), bucket);
        let first = others.chain(own).max_by_key(score)?;
        (first.name != self.own.name).then_some(first.addr)
    }

    /// Returns the hosts that may be asked for loans of extra calls, by whether they are in this
    /// host's zone.
    pub fn lending_peers(&self, now: Instant) -> Peers {
        let is_fit = |member: &&Member| {
            let age = now.saturating_duration_since(member.issued_at);
            !member.record.leaving && age < DELEGATE_TIMEOUT
        };
        let fit = self.members.values().filter(is_fit).map(|member| &member.record);
        let (near, far): (Vec<_>, Vec<_>) = fit.partition(|record| record.zone == self.own.zone);
        let addrs = |records: Vec<&HostRecord>| records.into_iter().map(|r| r.addr).collect();
        Peers { near: addrs(near), far: addrs(far) }
    }

    /// Iterates over the records of all other hosts, ordered by name, for the state dump.
    pub fn members(&self) -> impl Iterator<Item = &HostRecord> {
        self.members.values().map(|member| &member.record)
    }
}
