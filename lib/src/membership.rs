//! The daemons of the fleet as this process has heard them.
//!
//! The host list says who should be there; exchanges say which run of each process answers, and
//! whether it is leaving. Invariant: news of an earlier run never replaces that of a later one that
//! was heard directly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Serialize;

use crate::hosts::DaemonHost;
use crate::hosts::HostList;
use crate::hosts::HostState;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::ids::Zone;
use crate::lifecycle::Phase;
use crate::peer_protocol::PeerRecord;

/// Time without an exchange after which a peer counts as silent.
pub const SILENCE: Duration = Duration::from_secs(5);

/// What was heard of one peer.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its zone.
    pub zone: Zone,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The run that was heard last.
    pub incarnation: Option<Incarnation>,
    /// What it said last.
    pub phase: Option<Phase>,
    /// The host list that it had in force.
    pub hosts_revision: Revision,
    /// When it was heard last.
    pub heard_at: Option<Instant>,
    listed_leaving: bool,
}

/// One member in a state dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// Its zone.
    pub zone: Zone,
    /// What it said last.
    pub phase: Option<Phase>,
    /// Time since it was heard, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// What an exchange taught about the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hearing {
    /// Nothing new.
    Known,
    /// A run of the process that was not heard before.
    NewRun,
    /// The process has begun to leave.
    BeganToLeave,
}

/// The peers of one process.
#[derive(Debug)]
pub struct Membership {
    own: HostName,
    zone: Zone,
    members: BTreeMap<HostName, Member>,
}

impl Membership {
    /// Starts with no peers.
    pub fn new(own: HostName, zone: Zone) -> Self {
        Self { own, zone, members: BTreeMap::new() }
    }

    /// Takes a host list: it decides who is a member and where.
    pub fn apply_host_list(&mut self, hosts: &HostList) {
        let mut members = BTreeMap::new();
        for host in hosts.daemons.iter().filter(|host| host.name != self.own) {
            let known = self.members.remove(&host.name);
            members.insert(host.name.clone(), merge(known, host));
        }
        self.members = members;
    }

    /// Takes what a peer said of itself. Hosts that are not listed are no members.
    pub fn heard(&mut self, card: &PeerRecord, hosts_revision: Revision, now: Instant) -> Hearing {
        let Some(member) = self.members.get_mut(&card.host) else { return Hearing::Known };
        let new_run = member.incarnation != Some(card.incarnation);
        let left_before = member.phase == Some(Phase::Leaving);
        member.incarnation = Some(card.incarnation);
        member.phase = Some(card.phase);
        member.hosts_revision = hosts_revision;
        member.heard_at = Some(now);
        if new_run {
            Hearing::NewRun
        } else if card.phase == Phase::Leaving && !left_before {
            Hearing::BeganToLeave
        } else {
            Hearing::Known
        }
    }

    /// Forgets what was heard, after a pause of this process. The host list stays.
    pub fn reset_contacts(&mut self) {
        for member in self.members.values_mut() {
            member.heard_at = None;
            member.phase = None;
        }
    }

    /// Returns where a host listens.
    pub fn addr(&self, host: &HostName) -> Option<SocketAddr> {
        self.members.get(host).map(|member| member.addr)
    }

    /// Returns a random peer of this zone, or now and then one of another zone.
    pub fn random_peer(&self, rng: &mut impl Rng, in_zone: bool) -> Option<(HostName, SocketAddr)> {
        let fits = |member: &&Member| (member.zone == self.zone) == in_zone;
        let candidates = self.members.iter().filter(|(_, member)| fits(member));
        candidates.choose(rng).map(|(host, member)| (host.clone(), member.addr))
    }

    /// Returns all peers of this zone.
    pub fn zone_peers(&self) -> Vec<(HostName, SocketAddr)> {
        let in_zone = self.members.iter().filter(|(_, member)| member.zone == self.zone);
        in_zone.map(|(host, member)| (host.clone(), member.addr)).collect()
    }

    /// Returns up to `count` random peers of any zone.
    pub fn sample(&self, rng: &mut impl Rng, count: usize) -> Vec<(HostName, SocketAddr)> {
        let chosen = self.members.iter().choose_multiple(rng, count);
        chosen.into_iter().map(|(host, member)| (host.clone(), member.addr)).collect()
    }

    /// Returns the zone peers heard within `limit`.
    pub fn zone_heard(&self, limit: Duration, now: Instant) -> usize {
        let heard = |member: &&Member| {
            member.heard_at.is_some_and(|at| now.saturating_duration_since(at) <= limit)
        };
        self.members.values().filter(|m| m.zone == self.zone).filter(heard).count()
    }

    /// Returns the hosts of this zone, this one included, that take duties.
    pub fn zone_candidates(&self, now: Instant) -> Vec<&HostName> {
        let fit = |member: &&Member| {
            let silent =
                member.heard_at.is_some_and(|at| now.saturating_duration_since(at) > SILENCE);
            let leaving = member.listed_leaving || member.phase == Some(Phase::Leaving);
            !silent && !leaving
        };
        let in_zone = self.members.iter().filter(|(_, member)| member.zone == self.zone);
        let mut hosts: Vec<_> = in_zone.filter(|(_, m)| fit(m)).map(|(host, _)| host).collect();
        hosts.push(&self.own);
        hosts.sort();
        hosts
    }

    /// Describes all members.
    pub fn dump(&self, now: Instant) -> BTreeMap<HostName, MemberDump> {
        let describe = |member: &Member| MemberDump {
            zone: member.zone.clone(),
            phase: member.phase,
            heard_ms_ago: member
                .heard_at
                .map(|at| now.saturating_duration_since(at).as_millis() as u64),
        };
        self.members.iter().map(|(host, member)| (host.clone(), describe(member))).collect()
    }
}

fn merge(known: Option<Member>, host: &DaemonHost) -> Member {
    let known = known.filter(|member| member.addr == host.addr);
    Member {
        zone: host.zone.clone(),
        addr: host.addr,
        listed_leaving: host.state == HostState::Leaving,
        incarnation: known.as_ref().and_then(|m| m.incarnation),
        phase: known.as_ref().and_then(|m| m.phase),
        hosts_revision: known.as_ref().map_or(Revision(0), |m| m.hosts_revision),
        heard_at: known.and_then(|m| m.heard_at),
    }
}
