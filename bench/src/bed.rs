//! Real daemon processes over stand-ins, behind a fault-injecting proxy.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::hosts::DaemonHost;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::http_client::HttpClientError;
use jasmineusher_lib::http_client::HttpReply;
use jasmineusher_lib::server::QUERY_PATH;
use jasmineusher_lib::server::READY_PATH;
use jasmineusher_lib::server::STATE_PATH;
use jasmineusher_lib::server::TICKET_PATH;
use jasmineusher_lib::server::TicketAnswer;
use serde_json::Value;

use crate::fleet::Fleet;
use crate::fleet::FleetShape;
use crate::fleet::parse_name;
use crate::proxy::Fault;
use crate::proxy::Network;

/// Key of all peers of a bed.
pub const BED_KEY: &str = "a-key-for-tests-only";
/// Time allowed for one query.
const QUERY_LIMIT: Duration = Duration::from_secs(60);
/// Time allowed for a daemon to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// First port of the tests' listeners.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for the tests' listeners.
const PORTS: u32 = 22_000;

/// Where a daemon runs and what it is told.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// The host's name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Where the process listens.
    pub listen: SocketAddr,
    /// Where others reach it, which may be a proxy.
    pub addr: SocketAddr,
    /// Where it reaches the platform, which may be a proxy.
    pub platform: SocketAddr,
    /// Peers that it asks at the start.
    pub seeds: Vec<SocketAddr>,
}

/// One real daemon process, killed when dropped.
pub struct DaemonProcess {
    /// The host's name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub addr: SocketAddr,
    child: Child,
}

impl DaemonProcess {
    /// Starts a daemon that listens on `listen` and is listed at `addr`.
    pub fn start(exe: &Path, place: &DaemonConfig) -> Self {
        let DaemonConfig { host, zone, listen, addr, platform, seeds } = place.clone();
        let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
        let child = Command::new(exe)
            .args(["--listen", &listen.to_string(), "--advertise", &addr.to_string()])
            .args(["--host", &host, "--zone", &zone, "--seeds", &seeds.join(",")])
            .args(["--platform", &platform.to_string(), "--workers", "2"])
            .args(["--peer-keys", BED_KEY, "--log-level", "warn"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self { host, zone, addr, child }
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "signal {name} to {}", self.host);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("the daemon was started").code()
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the entry of this daemon in the host list.
    pub fn listed(&self) -> DaemonHost {
        DaemonHost {
            name: parse_name(&self.host),
            addr: self.addr,
            zone: parse_name(&self.zone),
            state: HostState::Live,
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address on `127.0.0.1` that no other test of this run gets.
pub fn free_addr() -> SocketAddr {
    free_addr_on(Ipv4Addr::LOCALHOST)
}

/// Returns an address on a loopback IP that no other test of this run gets, with a port below those
/// of outgoing connections. It is not tried out: a child that is being forked would hold the socket
/// for a moment longer.
pub fn free_addr_on(ip: Ipv4Addr) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97);
    let n = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from((ip, FIRST_PORT + (n % PORTS) as u16))
}

/// Returns the loopback IP of a test's daemon, by which proxies tell daemons apart.
pub fn daemon_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, number as u8 + 1)
}

/// Stand-ins and daemons of one experiment or test.
pub struct Bed {
    /// The stand-ins.
    pub fleet: Fleet,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// A client.
    pub client: HttpClient,
    /// The network between daemons, and between them and the platform.
    pub network: Network,
    /// Where daemons reach the platform.
    pub platform: SocketAddr,
    /// Where the daemons run.
    pub daemon_configs: Vec<DaemonConfig>,
    exe: PathBuf,
}

impl Bed {
    /// Starts stand-ins and `count` daemons, spread over the fleet's zones, and waits until all are
    /// ready.
    pub async fn start(exe: &Path, shape: FleetShape, catalogue: &str, count: usize) -> Self {
        let fleet = Fleet::start(shape, free_addr()).await.expect("stand-ins start");
        let network = Network::default();
        let platform =
            network.start_proxy(free_addr(), fleet.platform.addr).await.expect("proxy starts");
        let mut daemon_configs = Vec::new();
        let mut daemons = Vec::new();
        for number in 0..count {
            let zone = &fleet.shape.zones[number % fleet.shape.zones.len()];
            let listen = free_addr_on(daemon_ip(number));
            let addr = network.start_proxy(free_addr_on(daemon_ip(number)), listen).await;
            let place = DaemonConfig {
                host: format!("host-{number}"),
                zone: zone.to_string(),
                listen,
                addr: addr.expect("proxy starts"),
                platform,
                seeds: daemon_configs.iter().map(|place: &DaemonConfig| place.addr).collect(),
            };
            let daemon = DaemonProcess::start(exe, &place);
            fleet.list_daemon(daemon.listed());
            daemons.push(daemon);
            daemon_configs.push(place);
        }
        fleet.publish_hosts();
        fleet.publish_catalogue(catalogue);
        let client = HttpClient::default();
        let exe = exe.to_owned();
        let bed = Self { fleet, daemons, client, network, platform, daemon_configs, exe };
        for number in 0..count {
            bed.wait_ready(number).await;
        }
        bed
    }

    /// Waits until a daemon takes queries.
    pub async fn wait_ready(&self, number: usize) {
        let addr = self.daemons[number].addr;
        let give_up = Instant::now() + READY_LIMIT;
        loop {
            let reply = self.get(addr, READY_PATH).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                return;
            }
            assert!(Instant::now() < give_up, "daemon {number} never became ready");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Kills a daemon and starts another one in its place.
    pub fn restart(&mut self, number: usize) {
        self.daemons[number].kill();
        self.daemons[number] = DaemonProcess::start(&self.exe, &self.daemon_configs[number]);
    }

    /// Sets the fault on the ways from one daemon to another.
    pub fn fault_between(&self, from: usize, to: usize, fault: Fault) {
        self.network.set_fault(daemon_ip(from).into(), self.daemon_configs[to].addr, fault);
    }

    /// Cuts daemons off from all others, both ways, and from the platform if that is said.
    pub fn isolate(&self, group: &[usize], from_platform: bool) {
        for &inside in group {
            for outside in (0..self.daemon_configs.len()).filter(|number| !group.contains(number)) {
                self.fault_between(inside, outside, Fault::Cut);
                self.fault_between(outside, inside, Fault::Cut);
            }
            if from_platform {
                self.network.set_fault(daemon_ip(inside).into(), self.platform, Fault::Cut);
            }
        }
    }

    /// Gets a ticket from a daemon.
    pub async fn ticket(&self, number: usize) -> Option<String> {
        let addr = self.daemons[number].addr;
        let call = HttpCall::post(addr, TICKET_PATH, Bytes::new(), Duration::from_secs(2));
        let reply = self.client.call(call).await.ok().filter(|reply| reply.status == 200)?;
        let answer: TicketAnswer = serde_json::from_slice(&reply.body).ok()?;
        Some(answer.ticket)
    }

    /// Reads a path of a daemon.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<HttpReply, HttpClientError> {
        self.client.call(HttpCall::get(addr, path, Duration::from_secs(5))).await
    }

    /// Reads the state dump of a daemon.
    pub async fn state(&self, number: usize) -> Value {
        let reply = self.get(self.daemons[number].addr, STATE_PATH).await.expect("state is read");
        serde_json::from_slice(&reply.body).expect("the state is JSON")
    }

    /// Sends a query to a daemon and returns its status and answer.
    pub async fn try_query(
        &self,
        number: usize,
        body: Value,
    ) -> Result<(u16, QueryAnswer), HttpClientError> {
        let addr = self.daemons[number].addr;
        let call = HttpCall::post(addr, QUERY_PATH, body.to_string().into(), QUERY_LIMIT);
        let reply = self.client.call(call).await?;
        let answer = serde_json::from_slice(&reply.body).expect("each answer is typed");
        Ok((reply.status, answer))
    }

    /// Sends a query that the daemon must answer.
    pub async fn query(&self, number: usize, body: Value) -> (u16, QueryAnswer) {
        self.try_query(number, body).await.expect("the daemon answers")
    }
}
