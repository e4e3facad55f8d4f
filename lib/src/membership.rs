//! Membership table of the daemons, from the published host list and direct exchanges.
//!
//! The host list determines which hosts are members and where they listen; exchanges show which
//! incarnation of each process is running and whether it is leaving. Invariant: the incarnation and
//! phase of a peer come only from messages that the peer itself sent to this host, so that outdated
//! information of a third host never replaces them.

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

/// Time without an exchange after which a peer counts as timed out.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// State of one peer.
#[derive(Clone, Debug)]
pub struct Member {
    /// Availability zone of the peer, from the host list.
    pub zone: Zone,
    /// Address on which the peer's daemon listens, from the host list.
    pub addr: SocketAddr,
    /// Incarnation of the process at the last exchange; absent before the first one.
    pub incarnation: Option<Incarnation>,
    /// Phase that the peer reported last; absent before the first exchange and after a reset.
    pub phase: Option<Phase>,
    /// Revision of the host list that the peer had applied at the last exchange; 0 if unknown.
    pub hosts_revision: Revision,
    /// Time of the last exchange; absent before the first one and after a reset.
    pub last_contact_at: Option<Instant>,
    listed_leaving: bool,
}

/// One peer in a state dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// Availability zone of the peer.
    pub zone: Zone,
    /// Phase that the peer reported last; absent if it has not been in contact.
    pub phase: Option<Phase>,
    /// Time since the last exchange, in milliseconds; absent if there was none.
    pub heard_ms_ago: Option<u64>,
}

/// Change of a peer's state found in an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerChange {
    /// The incarnation is the same, and the peer has not started to leave; or it is no member.
    Unchanged,
    /// The peer's process has another incarnation than at the last exchange.
    NewIncarnation,
    /// The peer has started to leave since the last exchange.
    StartedLeaving,
}

/// Membership table of one process.
#[derive(Debug)]
pub struct Membership {
    own: HostName,
    zone: Zone,
    members: BTreeMap<HostName, Member>,
}

impl Membership {
    /// Creates an empty table for the host `own` in `zone`.
    pub fn new(own: HostName, zone: Zone) -> Self {
        Self { own, zone, members: BTreeMap::new() }
    }

    /// Applies a host list, which determines the members and their addresses. Keeps the contact
    /// state of members whose address is unchanged.
    pub fn apply_host_list(&mut self, hosts: &HostList) {
        let mut members = BTreeMap::new();
        for host in hosts.daemons.iter().filter(|host| host.name != self.own) {
            let previous = self.members.remove(&host.name);
            members.insert(host.name.clone(), member_from_list(previous, host));
        }
        self.members = members;
    }

    /// Records an exchange with a peer at `now` and returns what it changed. Hosts that are not in
    /// the host list are ignored.
    pub fn record_contact(
        &mut self,
        record: &PeerRecord,
        hosts_revision: Revision,
        now: Instant,
    ) -> PeerChange {
        let Some(member) = self.members.get_mut(&record.host) else { return PeerChange::Unchanged };
        let is_new_incarnation = member.incarnation != Some(record.incarnation);
        let was_leaving = member.phase == Some(Phase::Leaving);
        member.incarnation = Some(record.incarnation);
        member.phase = Some(record.phase);
        member.hosts_revision = hosts_revision;
        member.last_contact_at = Some(now);
        if is_new_incarnation {
            PeerChange::NewIncarnation
        } else if record.phase == Phase::Leaving && !was_leaving {
            PeerChange::StartedLeaving
        } else {
            PeerChange::Unchanged
        }
    }

    /// Resets the contact state of all peers, after a pause of this process. The members stay.
    pub fn reset_contacts(&mut self) {
        for member in self.members.values_mut() {
            member.last_contact_at = None;
            member.phase = None;
        }
    }

    /// Returns the address of a peer, or nothing if it is not in the host list.
    pub fn addr(&self, host: &HostName) -> Option<SocketAddr> {
        self.members.get(host).map(|member| member.addr)
    }

    /// Returns a random peer of this zone, or of another zone if `in_zone` is false. Returns
    /// nothing if there is no such peer.
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

    /// Returns the number of peers of this zone with an exchange within `limit` before `now`.
    pub fn zone_peers_in_contact(&self, limit: Duration, now: Instant) -> usize {
        let in_contact = |member: &&Member| {
            member.last_contact_at.is_some_and(|at| now.saturating_duration_since(at) <= limit)
        };
        self.members.values().filter(|m| m.zone == self.zone).filter(in_contact).count()
    }

    /// Returns the hosts of this zone, this one included, that may act for others, ordered by name:
    /// those that are not leaving and have not timed out. A peer that was never in contact counts.
    pub fn zone_candidates(&self, now: Instant) -> Vec<&HostName> {
        let can_act = |member: &&Member| {
            let timed_out = member
                .last_contact_at
                .is_some_and(|at| now.saturating_duration_since(at) > PEER_TIMEOUT);
            let leaving = member.listed_leaving || member.phase == Some(Phase::Leaving);
            !timed_out && !leaving
        };
        let in_zone = self.members.iter().filter(|(_, member)| member.zone == self.zone);
        let mut hosts: Vec<_> = in_zone.filter(|(_, m)| can_act(m)).map(|(host, _)| host).collect();
        hosts.push(&self.own);
        hosts.sort();
        hosts
    }

    /// Describes all peers for the state dump.
    pub fn dump(&self, now: Instant) -> BTreeMap<HostName, MemberDump> {
        let describe = |member: &Member| MemberDump {
            zone: member.zone.clone(),
            phase: member.phase,
            heard_ms_ago: member
                .last_contact_at
                .map(|at| now.saturating_duration_since(at).as_millis() as u64),
        };
        self.members.iter().map(|(host, member)| (host.clone(), describe(member))).collect()
    }
}

/// Creates the member for a listed host, with the contact state of its `previous` one if the
/// address is unchanged.
fn member_from_list(previous: Option<Member>, host: &DaemonHost) -> Member {
    let previous = previous.filter(|member| member.addr == host.addr);
    Member {
        zone: host.zone.clone(),
        addr: host.addr,
        listed_leaving: host.state == HostState::Leaving,
        incarnation: previous.as_ref().and_then(|m| m.incarnation),
        phase: previous.as_ref().and_then(|m| m.phase),
        hosts_revision: previous.as_ref().map_or(Revision(0), |m| m.hosts_revision),
        last_contact_at: previous.and_then(|m| m.last_contact_at),
    }
}
