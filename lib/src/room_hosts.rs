//! Hosts of the zone that have room for requests, as they last reported, and the choice of one.
//!
//! Answers herds: many small hosts know the same few large ones, and each learns only from time to
//! time what the others have sent there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Serialize;

use crate::host_room::HostCapacity;
use crate::host_room::RoomReport;
use crate::room_choice::HostLoad;
use crate::room_choice::OtherHost;
use crate::room_choice::Work;
use crate::room_choice::expected_time_there;
use crate::room_choice::is_faster;
use crate::room_choice::should_pass_on;

/// Largest number of hosts that are remembered.
pub const MAX_HOSTS: usize = 4;
/// Shortest time for which a report is used. Longer if hosts are asked less often.
const MIN_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Time without a report after which a host is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);
/// Time for which a host that did not answer or did not take a request is not used.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time for which a host of a build that does not know the question is not asked.
const UNSUPPORTED_TIME: Duration = Duration::from_secs(30);
/// Time without a sign of life in which a request may be in progress at a host that is used.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Number of hosts, chosen at random, of which the one with the shortest expected time is used.
const CHOICES: usize = 2;

/// State of one host.
#[derive(Clone, Debug)]
struct Host {
    report: RoomReport,
    reported_at: Instant,
    rtt: Duration,
    /// Time of the last reply of any kind.
    heard_at: Instant,
    /// Shards of requests in progress there: as reported, and changed by own requests since.
    open_calls: u32,
    /// Shards of own requests in progress there.
    own_open_calls: u32,
    own_requests: u32,
    /// When the oldest request went there that was sent after the last reply.
    waiting_since: Option<Instant>,
    avoided_until: Option<Instant>,
}

/// A known host, for the state dump.
#[derive(Debug, Serialize)]
pub struct RoomHostState {
    addr: String,
    millicores: u32,
    open_calls: u32,
    own_requests: u32,
    delay_us: u64,
    rtt_us: u64,
    age_ms: u64,
    is_usable: bool,
}

/// Table of hosts with room.
#[derive(Debug)]
pub struct RoomHosts {
    hosts: BTreeMap<SocketAddr, Host>,
    /// Hosts that are not asked, and until when.
    unasked: BTreeMap<SocketAddr, Instant>,
    report_lifetime: Duration,
}

impl Default for RoomHosts {
    fn default() -> Self {
        Self {
            hosts: BTreeMap::new(),
            unasked: BTreeMap::new(),
            report_lifetime: MIN_REPORT_LIFETIME,
        }
    }
}

impl Host {
    fn is_usable(&self, report_lifetime: Duration, now: Instant) -> bool {
        let is_stuck = |since| now.saturating_duration_since(since) > SILENCE_LIMIT;
        self.report.takes_requests
            && now.saturating_duration_since(self.reported_at) < report_lifetime
            && self.avoided_until.is_none_or(|until| now >= until)
            && !self.waiting_since.is_some_and(is_stuck)
    }

    fn other_host(&self) -> Option<OtherHost> {
        let capacity = self.report.capacity?;
        let open_calls = self.open_calls.max(self.own_open_calls);
        let load = HostLoad { capacity, open_calls, delay: self.report.delay };
        Some(OtherHost { load, rtt: self.rtt })
    }
}

impl RoomHosts {
    /// Sets the interval at which each known host is asked.
    pub fn set_ask_interval(&mut self, interval: Duration) {
        self.report_lifetime = MIN_REPORT_LIFETIME.max(interval * 3);
    }

    /// Records a host's report, which came after a round trip of `rtt`. Keeps it only if the host is
    /// faster than this one, and among the fastest. Returns whether the host was not known before.
    pub fn record_report(
        &mut self,
        addr: SocketAddr,
        report: RoomReport,
        own: &HostLoad,
        rtt: Duration,
        now: Instant,
    ) -> bool {
        self.unasked.remove(&addr);
        let faster = report.capacity.filter(|capacity| is_faster(capacity, &own.capacity));
        let Some(HostCapacity { millicores, .. }) = faster else {
            self.hosts.remove(&addr);
            return false;
        };
        if !self.make_place(addr, millicores, now) {
            return false;
        }
        let known = self.hosts.get(&addr);
        let (own_open_calls, own_requests) =
            known.map_or((0, 0), |host| (host.own_open_calls, host.own_requests));
        let is_new = known.is_none();
        let host = Host {
            open_calls: report.open_calls,
            report,
            reported_at: now,
            rtt,
            heard_at: now,
            own_open_calls,
            own_requests,
            waiting_since: None,
            avoided_until: known.and_then(|host| host.avoided_until),
        };
        self.hosts.insert(addr, host);
        is_new
    }

    /// Makes room in the table for a host of this speed. Returns whether there is some: a host that
    /// is known already has a place, another one may replace one that is slower or not usable.
    fn make_place(&mut self, addr: SocketAddr, millicores: u32, now: Instant) -> bool {
        if self.hosts.len() < MAX_HOSTS || self.hosts.contains_key(&addr) {
            return true;
        }
        let lifetime = self.report_lifetime;
        let rank = |host: &Host| {
            let speed = host.report.capacity.map_or(0, |capacity| capacity.millicores);
            if host.is_usable(lifetime, now) { speed } else { 0 }
        };
        let idle = self.hosts.iter().filter(|(_, host)| host.own_requests == 0);
        let last = idle.min_by_key(|(_, host)| rank(host));
        let replaced = last.filter(|(_, host)| rank(host) < millicores).map(|(addr, _)| *addr);
        replaced.is_some_and(|replaced| self.hosts.remove(&replaced).is_some())
    }

    /// Returns whether no more hosts are sought.
    pub fn is_full(&self) -> bool {
        self.hosts.len() >= MAX_HOSTS
    }

    /// Records that a host did not answer, did not take a request or lost one. Returns whether it
    /// was usable until now.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Instant) -> bool {
        let lifetime = self.report_lifetime;
        let Some(host) = self.hosts.get_mut(&addr) else {
            self.unasked.insert(addr, now + AVOID_TIME);
            return false;
        };
        let was_usable = host.is_usable(lifetime, now);
        host.avoided_until = Some(now + AVOID_TIME);
        host.report.takes_requests = false;
        was_usable
    }

    /// Records that a host had no room for a request. It is not used until it reports again.
    pub fn record_refusal(&mut self, addr: SocketAddr) {
        if let Some(host) = self.hosts.get_mut(&addr) {
            host.report.takes_requests = false;
        }
    }

    /// Records that a host's build does not know the question.
    pub fn record_unsupported(&mut self, addr: SocketAddr, now: Instant) {
        self.hosts.remove(&addr);
        self.unasked.insert(addr, now + UNSUPPORTED_TIME);
    }

    /// Returns whether a host should not be asked at present.
    pub fn is_unasked(&self, addr: SocketAddr, now: Instant) -> bool {
        self.unasked.get(&addr).is_some_and(|until| now < *until)
            || self.hosts.get(&addr).is_some_and(|host| host.avoided_until.is_some_and(|u| now < u))
    }

    /// Chooses the host that a request is passed on to, or nothing if it should run here. Counts the
    /// request as in progress there until [`RoomHosts::record_end`].
    pub fn choose(
        &mut self,
        work: Work,
        own: &HostLoad,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<(SocketAddr, OtherHost)> {
        let lifetime = self.report_lifetime;
        let usable = self.hosts.iter().filter(|(_, host)| host.is_usable(lifetime, now));
        let usable = usable.filter_map(|(addr, host)| Some((*addr, host.other_host()?)));
        let choices = usable.choose_multiple(rng, CHOICES);
        let expected = |(_, other): &(SocketAddr, OtherHost)| expected_time_there(work, own, other);
        let (addr, other) = choices.into_iter().min_by_key(expected)?;
        if !should_pass_on(work, own, &other) {
            return None;
        }
        let host = self.hosts.get_mut(&addr)?;
        host.open_calls = host.open_calls.saturating_add(work.calls);
        host.own_open_calls += work.calls;
        host.own_requests += 1;
        host.waiting_since.get_or_insert(now);
        Some((addr, other))
    }

    /// Records that a request at a host has ended, with a reply or without.
    pub fn record_end(&mut self, addr: SocketAddr, work: Work, has_replied: bool, now: Instant) {
        let Some(host) = self.hosts.get_mut(&addr) else { return };
        host.open_calls = host.open_calls.saturating_sub(work.calls);
        host.own_open_calls = host.own_open_calls.saturating_sub(work.calls);
        host.own_requests = host.own_requests.saturating_sub(1);
        if has_replied {
            host.heard_at = now;
        }
        if has_replied || host.own_requests == 0 {
            host.waiting_since = (host.own_requests > 0).then_some(now);
        }
    }

    /// Returns the addresses of the known hosts.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.hosts.keys().copied().collect()
    }

    /// Returns the addresses of the hosts that answered lately, to be told to others.
    pub fn fast_hosts(&self, now: Instant) -> Vec<SocketAddr> {
        let lifetime = self.report_lifetime;
        let usable = self.hosts.iter().filter(|(_, host)| host.is_usable(lifetime, now));
        usable.map(|(addr, _)| *addr).collect()
    }

    /// Drops what is out of date.
    pub fn expire(&mut self, now: Instant) {
        self.unasked.retain(|_, until| now < *until);
        self.hosts.retain(|_, host| {
            host.own_requests > 0 || now.saturating_duration_since(host.heard_at) < FORGET_TIME
        });
    }

    /// Returns the known hosts for the state dump, ordered by address.
    pub fn states(&self, now: Instant) -> Vec<RoomHostState> {
        let state = |(addr, host): (&SocketAddr, &Host)| RoomHostState {
            addr: addr.to_string(),
            millicores: host.report.capacity.map_or(0, |capacity| capacity.millicores),
            open_calls: host.open_calls,
            own_requests: host.own_requests,
            delay_us: host.report.delay.as_micros() as u64,
            rtt_us: host.rtt.as_micros() as u64,
            age_ms: now.saturating_duration_since(host.reported_at).as_millis() as u64,
            is_usable: host.is_usable(self.report_lifetime, now),
        };
        self.hosts.iter().map(state).collect()
    }
}
