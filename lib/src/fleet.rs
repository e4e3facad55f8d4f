//! The fleet's hosts, as they learn of each other from a few seeds.
//!
//! Hosts exchange cards, each with the time since its host was heard. No list of hosts is published;
//! a host that nobody heard for a while is gone. Invariants: a card of an earlier run of a process
//! never replaces that of a later one that was heard since; ages only grow on their way.

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

use crate::connection_share::HostPhase;
use crate::ids::Incarnation;

/// Time without news after which a host is gone.
const SILENCE: Duration = Duration::from_secs(20);
/// Hosts of a zone that read the platform for the others.
const READERS_PER_ZONE: usize = 2;
/// Hosts of a zone from which on some read for the others and one gathers what all see.
const MIN_FOLLOWED_ZONE: usize = 6;
/// Time without news after which a host is not relied on as a reader.
const READER_SILENCE: Duration = Duration::from_secs(12);
/// Time after a start in which most hosts may not have been heard.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Time after a start after which a host knows whether there are many hosts: some exchanges with
/// seeds, or hosts that know them.
const STARTING_TIME: Duration = Duration::from_millis(1_500);
/// Time after their discovery over which the hosts of a large fleet that started at once spread the
/// opening of their connections, some hundred each: longer than leafs take to notice that former ones
/// are gone.
const SETTLING_SPREAD: Duration = Duration::from_secs(4);
/// Other hosts from which on a fleet is large in this regard.
const LARGE_FLEET: usize = 24;
/// Hosts that there may be before they were heard.
const UNHEARD_HOSTS: usize = 96;
/// Cards that one message carries, beside the sender's own.
const MAX_CARDS: usize = 192;
/// Cards of the own zone among them.
const MAX_ZONE_CARDS: usize = 128;
/// Share of exchanges that go to another zone.
const OTHER_ZONE_SHARE: f64 = 0.2;
/// Share of exchanges that go to a seed, so that parts of the fleet that lost each other meet again.
const SEED_SHARE: f64 = 0.1;

/// What a host says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// Its name.
    pub name: String,
    /// Where it talks to other hosts.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the platform does not answer it.
    pub blind: bool,
}

/// A card and how old it is.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedRecord {
    /// The card.
    pub card: HostRecord,
    /// Time since its host said this.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Who gathers what the hosts of a zone see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AggregatorHost {
    /// Nobody: the zone is small enough that each host sees for itself.
    Absent,
    /// This host.
    Own,
    /// The host at this address.
    Other(SocketAddr),
}

#[derive(Clone, Debug)]
struct Member {
    card: HostRecord,
    heard_at: Instant,
}

/// The hosts known to this one.
#[derive(Debug)]
pub struct Fleet {
    own: HostRecord,
    seeds: BTreeSet<SocketAddr>,
    members: BTreeMap<String, Member>,
    started_at: Instant,
    settled_at: Instant,
}

/// What a message taught.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Learned {
    /// Hosts, or new runs of them, heard of for the first time.
    pub joined: Vec<String>,
    /// Hosts that began to leave.
    pub leaving: Vec<String>,
}

impl Fleet {
    /// Starts with seeds, which may be stale or down.
    pub fn new(own: HostRecord, seeds: impl IntoIterator<Item = SocketAddr>, now: Instant) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.addr).collect();
        let part = (own.incarnation.0 % 1_000) as f64 / 1_000.0;
        let settled_at = now + DISCOVERY_TIME + SETTLING_SPREAD.mul_f64(part);
        Self { own, seeds, members: BTreeMap::new(), started_at: now, settled_at }
    }

    /// Changes the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own.addr).collect();
    }

    /// Says from now on that this host is leaving.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Says from now on whether the platform answers this host.
    pub fn set_platform_unreachable(&mut self, blind: bool) {
        self.own.blind = blind;
    }

    /// Returns this host's card.
    pub fn own(&self) -> &HostRecord {
        &self.own
    }

    /// Takes in cards.
    pub fn heard(&mut self, cards: Vec<AgedRecord>, now: Instant) -> Learned {
        let mut learned = Learned::default();
        for AgedRecord { card, age } in cards {
            let Some(heard_at) = now.checked_sub(age) else { continue };
            if card.name == self.own.name || age > SILENCE {
                continue;
            }
            self.take(Member { card, heard_at }, &mut learned);
        }
        learned
    }

    fn take(&mut self, member: Member, learned: &mut Learned) {
        let name = member.card.name.clone();
        let known = self.members.get(&name);
        if known.is_some_and(|known| known.heard_at >= member.heard_at) {
            return;
        }
        let same_run = known.filter(|k| k.card.incarnation == member.card.incarnation);
        if same_run.is_none() {
            learned.joined.push(name.clone());
        } else if member.card.leaving && same_run.is_some_and(|known| !known.card.leaving) {
            learned.leaving.push(name.clone());
        }
        self.members.insert(name, member);
    }

    /// Forgets hosts that nobody heard for a while. Returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let is_silent = |member: &Member| now.saturating_duration_since(member.heard_at) > SILENCE;
        let silent = self.members.iter().filter(|(_, member)| is_silent(member));
        let silent = silent.map(|(name, _)| name.clone()).collect();
        self.members.retain(|_, member| !is_silent(member));
        silent
    }

    /// Returns the cards to send: this host's own, those of its zone, on which the zone's
    /// readers depend, and others; those heard last go first, so that news spread by doubling.
    pub fn cards(&self, now: Instant) -> Vec<AgedRecord> {
        let own = AgedRecord { card: self.own.clone(), age: Duration::ZERO };
        let aged = |member: &Member| AgedRecord {
            card: member.card.clone(),
            age: now.saturating_duration_since(member.heard_at),
        };
        let is_near = |member: &&Member| member.card.zone == self.own.zone;
        let (mut near, mut others): (Vec<_>, Vec<_>) = self.members.values().partition(is_near);
        near.sort_unstable_by_key(|member| Reverse(member.heard_at));
        others.extend(near.split_off(near.len().min(MAX_ZONE_CARDS)));
        others.sort_unstable_by_key(|member| Reverse(member.heard_at));
        others.truncate(MAX_CARDS - near.len());
        std::iter::once(own).chain(near.into_iter().chain(others).map(aged)).collect()
    }

    /// Picks whom to exchange cards with next: mostly a host of the own zone.
    pub fn next_peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let seed = |rng: &mut _| self.seeds.iter().copied().choose(rng);
        let asks_seed = self.members.is_empty() || rng.random_bool(SEED_SHARE);
        if asks_seed && let Some(seed) = seed(rng) {
            return Some(seed);
        }
        let in_own_zone = !rng.random_bool(OTHER_ZONE_SHARE);
        let fits = |member: &&Member| (member.card.zone == self.own.zone) == in_own_zone;
        let fitting = self.members.values().filter(fits).choose(rng);
        let any = || self.members.values().choose(rng);
        fitting.or_else(any).map(|member| member.card.addr)
    }

    /// Returns the number of hosts that there may be: in the first seconds after a start, when most
    /// hosts were not heard yet, many.
    pub fn assumed_count(&self, now: Instant) -> usize {
        let known = self.count(|_| true);
        if self.is_new(now) { known.max(UNHEARD_HOSTS) } else { known }
    }

    /// Whether this host has started a short while ago.
    pub fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) < DISCOVERY_TIME
    }

    /// Returns how long this host has been there, as far as its connections to leafs go.
    pub fn phase(&self, now: Instant) -> HostPhase {
        let is_spread = self.members.len() >= LARGE_FLEET && now < self.settled_at;
        if now.saturating_duration_since(self.started_at) < STARTING_TIME {
            HostPhase::Starting
        } else if self.is_new(now) || is_spread {
            HostPhase::Settling
        } else {
            HostPhase::Settled
        }
    }

    /// Whether this host should not yet open connections ahead of need to leafs that have fewer than
    /// there are hosts.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.phase(now) != HostPhase::Settled
    }

    /// Returns the number of hosts, this one included, in the zones for which `fits` holds.
    pub fn count(&self, fits: impl Fn(&str) -> bool) -> usize {
        let others = self.members.values().filter(|member| fits(&member.card.zone)).count();
        others + usize::from(fits(&self.own.zone))
    }

    /// Returns the hosts of the own zone that read the platform for the others, if this host is not
    /// one of them. In a zone of few hosts each reads for itself. Hosts that see different members
    /// for a while read more than needed, never less.
    pub fn readers(&self, now: Instant) -> Vec<SocketAddr> {
        let mut cards = self.zone_in_order(|card| !card.blind, now);
        cards.truncate(READERS_PER_ZONE);
        if cards.iter().any(|card| card.name == self.own.name) {
            return Vec::new();
        }
        cards.into_iter().map(|card| card.addr).collect()
    }

    /// Returns who gathers what the hosts of the own zone see: the first by hashing that is not
    /// `avoided`. Hosts that see different members for a while gather in parts.
    pub fn aggregator_host(
        &self,
        avoided: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> AggregatorHost {
        let cards = self.zone_in_order(|_| true, now);
        let is_own = |card: &HostRecord| card.name == self.own.name;
        match cards.into_iter().find(|card| is_own(card) || !avoided(card.addr)) {
            Some(card) if is_own(card) => AggregatorHost::Own,
            Some(card) => AggregatorHost::Other(card.addr),
            None => AggregatorHost::Absent,
        }
    }

    /// Returns the hosts of the own zone that may act for others, this one included, in an order by
    /// hashing; nothing in a zone of few hosts, where each acts for itself.
    fn zone_in_order(&self, fits: impl Fn(&HostRecord) -> bool, now: Instant) -> Vec<&HostRecord> {
        let is_fit = |member: &&Member| {
            let age = now.saturating_duration_since(member.heard_at);
            let card = &member.card;
            card.zone == self.own.zone && !card.leaving && fits(card) && age < READER_SILENCE
        };
        let others = self.members.values().filter(is_fit).map(|member| &member.card);
        let mut cards: Vec<_> = others.chain([&self.own]).collect();
        if cards.len() < MIN_FOLLOWED_ZONE {
            return Vec::new();
        }
        cards.sort_by_key(|card| xxh3_64(card.name.as_bytes()));
        cards
    }

    /// Returns all cards, for the state dump.
    pub fn members(&self) -> impl Iterator<Item = &HostRecord> {
        self.members.values().map(|member| &member.card)
    }
}
