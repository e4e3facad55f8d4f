//! Asks hosts of the zone how much room they have, and tells others how much this one has.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet_link::FleetLink;
use crate::fleet_link::FleetLinkError;
use crate::host_room::DelayMeter;
use crate::host_room::HostCapacity;
use crate::host_room::RoomReport;
use crate::log_event;
use crate::room_choice::HostLoad;
use crate::room_choice::Work;
use crate::room_choice::expected_time;
use crate::room_choice::longest_time_there;
use crate::room_choice::way;
use crate::room_hosts::RoomHostState;
use crate::room_hosts::RoomHosts;
use crate::tier::Tier;

/// HTTP path that tells how much room a host has.
pub const ROOM_PATH: &str = "/fleet/room";

/// Shortest interval at which each known host is asked, before jitter. It is also the interval at
/// which the delay of timers is measured.
const TICK: Duration = Duration::from_millis(250);
/// Share of the interval at which known hosts are asked for each host of the zone, so that the
/// questions that a fast host of a large zone gets are bounded.
const TICK_PER_HOST: Duration = Duration::from_millis(12);
/// Interval at which a host is asked that was chosen at random from the zone.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the start in which one is asked at each tick.
const FAST_SEARCH_TIME: Duration = Duration::from_secs(8);
/// Timeout of a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay of a timer from which on the process counts as paused.
const PAUSE_TIME: Duration = Duration::from_secs(1);
/// Largest number of hosts that another host names which are asked at once.
const MAX_NAMED: usize = 2;

/// Question how much room a host has.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct RoomRequest {}

/// A host that a request is passed on to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomChoice {
    /// Address of the host.
    pub host: SocketAddr,
    /// Time of the way there and back.
    pub way: Duration,
    /// Longest time there with which the request is passed on.
    pub limit: Duration,
}

/// Room of this host for the state dump.
#[derive(Debug, Serialize)]
pub struct RoomState {
    capacity: Option<HostCapacity>,
    open_calls: u32,
    delay_us: u64,
    hosts: Vec<RoomHostState>,
}

/// Client and server side of this host's questions for room.
pub struct RoomLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    capacity: Option<HostCapacity>,
    delay: Mutex<DelayMeter>,
    hosts: Mutex<RoomHosts>,
}

impl RoomLink {
    /// Creates a link that sends its questions through `link`. A host without a known capacity asks
    /// nobody and passes nothing on.
    pub fn new(
        cluster_state: Arc<ClusterState>,
        tier: Arc<Tier>,
        link: Arc<FleetLink>,
        capacity: Option<HostCapacity>,
    ) -> Self {
        Self {
            cluster_state,
            tier,
            link,
            capacity,
            delay: Mutex::default(),
            hosts: Mutex::default(),
        }
    }

    /// Asks hosts for room for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        if self.capacity.is_none() {
            return;
        }
        let started = Instant::now();
        let (mut asked_at, mut searched_at) = (started, started);
        loop {
            let tick = TICK.mul_f64(rand::rng().random_range(0.9..1.1));
            let slept_at = Instant::now();
            tokio::time::sleep(tick).await;
            let now = Instant::now();
            self.record_delay(tick, now.saturating_duration_since(slept_at));
            let is_due =
                |since: Instant, interval| now.saturating_duration_since(since) >= interval;
            if is_due(asked_at, self.ask_interval()) {
                asked_at = now;
                self.ask_known(now);
            }
            if !is_due(started, FAST_SEARCH_TIME) || is_due(searched_at, SEARCH_INTERVAL) {
                searched_at = now;
                self.ask_any(now);
            }
        }
    }

    fn record_delay(&self, planned: Duration, measured: Duration) {
        let mut delay = self.delay.lock().unwrap();
        if measured > planned + PAUSE_TIME {
            delay.reset()
        } else {
            delay.record(planned, measured)
        }
    }

    /// Returns the interval at which known hosts are asked, and lets reports live as long as that
    /// needs.
    fn ask_interval(&self) -> Duration {
        let zone = self.tier.identity.zone.as_str();
        let hosts = self.cluster_state.fleet.lock().unwrap().count(|other| other == zone);
        let interval = TICK.max(TICK_PER_HOST * hosts as u32).mul_f64(0.9);
        self.hosts.lock().unwrap().set_ask_interval(interval);
        interval
    }

    fn ask_known(self: &Arc<Self>, now: Instant) {
        let addrs = {
            let mut hosts = self.hosts.lock().unwrap();
            hosts.expire(now);
            hosts.addrs()
        };
        addrs.into_iter().for_each(|addr| self.ask_unless_avoided(addr, now));
    }

    /// Asks one host of the zone, chosen at random.
    fn ask_any(self: &Arc<Self>, now: Instant) {
        let addr = self.cluster_state.fleet.lock().unwrap().sample_zone(&mut rand::rng());
        if let Some(addr) = addr {
            self.ask_unless_avoided(addr, now);
        }
    }

    fn ask_unless_avoided(self: &Arc<Self>, addr: SocketAddr, now: Instant) {
        if !self.hosts.lock().unwrap().is_unasked(addr, now) {
            tokio::spawn(self.clone().ask(addr));
        }
    }

    /// Asks a host, and then faster hosts that it names and that are not known yet.
    async fn ask(self: Arc<Self>, addr: SocketAddr) {
        for named in self.ask_one(addr).await {
            self.ask_one(named).await;
        }
    }

    /// Asks one host and records its answer. Returns hosts that it names and that may be asked.
    async fn ask_one(&self, addr: SocketAddr) -> Vec<SocketAddr> {
        let asked_at = Instant::now();
        let reply = self.link.call(addr, ROOM_PATH, &RoomRequest {}, ASK_TIMEOUT).await;
        let now = Instant::now();
        match reply {
            Ok(report) => {
                self.record_report(addr, report, now.saturating_duration_since(asked_at), now)
            }
            Err(FleetLinkError::Refused { .. }) => {
                self.hosts.lock().unwrap().record_unsupported(addr, now);
                Vec::new()
            }
            Err(e) => {
                self.record_failure(addr, &with_sources(&e), now);
                Vec::new()
            }
        }
    }

    fn record_report(
        &self,
        addr: SocketAddr,
        report: RoomReport,
        rtt: Duration,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let Some(own) = self.load() else { return Vec::new() };
        let named = report.fast_hosts.clone();
        let millicores = report.capacity.map_or(0, |capacity| capacity.millicores);
        let mut hosts = self.hosts.lock().unwrap();
        let is_new = hosts.record_report(addr, report, &own, rtt, now);
        let known = hosts.addrs();
        let may_ask = |host: &SocketAddr| {
            !hosts.is_full() && !known.contains(host) && !hosts.is_unasked(*host, now)
        };
        // Only hosts that the membership lists in this zone are asked.
        let fleet = self.cluster_state.fleet.lock().unwrap();
        let named = named.into_iter().filter(|host| may_ask(host) && fleet.is_in_zone(*host));
        let named = named.take(MAX_NAMED).collect();
        drop(fleet);
        drop(hosts);
        if is_new {
            log_event!(info, Event::FasterHostFound, host = %addr, millicores);
        }
        named
    }

    /// Records that a host did not answer or did not take a request.
    pub fn record_failure(&self, addr: SocketAddr, cause: &str, now: Instant) {
        if self.hosts.lock().unwrap().record_failure(addr, now) {
            log_event!(info, Event::FasterHostLost, host = %addr, cause);
        }
    }

    /// Returns the load of this host; nothing if its capacity is not known.
    pub fn load(&self) -> Option<HostLoad> {
        let delay = self.delay.lock().unwrap().delay();
        let open_calls = self.tier.open_calls.get();
        self.capacity.map(|capacity| HostLoad { capacity, open_calls, delay })
    }

    /// Chooses the host that a request is passed on to, or nothing if it should run here. The
    /// request counts as in progress there until [`RoomLink::record_end`].
    pub fn choose(&self, work: Work, now: Instant) -> Option<RoomChoice> {
        let own = self.load()?;
        let chosen = self.hosts.lock().unwrap().choose(work, &own, &mut rand::rng(), now);
        let (host, other) = chosen?;
        let limit = longest_time_there(work, &own, &other);
        Some(RoomChoice { host, way: way(&own, &other), limit })
    }

    /// Returns whether a request is expected to take at most `limit` on this host. It decides by what
    /// is in progress now, which the hosts that share this one do not know.
    pub fn has_room(&self, work: Work, limit: Duration) -> bool {
        self.load().is_some_and(|load| expected_time(work, &load) <= limit)
    }

    /// Records that a host had no room for a request.
    pub fn record_refusal(&self, host: SocketAddr) {
        self.hosts.lock().unwrap().record_refusal(host);
    }

    /// Records that a request at a host has ended, with a reply or without.
    pub fn record_end(&self, host: SocketAddr, work: Work, has_replied: bool, now: Instant) {
        self.hosts.lock().unwrap().record_end(host, work, has_replied, now);
    }

    /// Returns the report of this host. `takes_requests` tells whether it takes requests of other
    /// hosts.
    pub fn report(&self, takes_requests: bool, now: Instant) -> RoomReport {
        RoomReport {
            capacity: self.capacity,
            open_calls: self.tier.open_calls.get(),
            delay: self.delay.lock().unwrap().delay(),
            takes_requests,
            fast_hosts: self.hosts.lock().unwrap().fast_hosts(now),
        }
    }

    /// Returns this host's room for the state dump.
    pub fn state(&self, now: Instant) -> RoomState {
        RoomState {
            capacity: self.capacity,
            open_calls: self.tier.open_calls.get(),
            delay_us: self.delay.lock().unwrap().delay().as_micros() as u64,
            hosts: self.hosts.lock().unwrap().states(now),
        }
    }
}
