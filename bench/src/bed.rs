//! Test bed: real daemon processes that use stand-ins for the platform and the leafs, with
//! fault-injecting proxies on the links between daemons and from daemons to the platform.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
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

/// Time within which a connection to a port shows that a process listens there.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Key that all daemons and stand-in peers of a bed sign peer messages with.
pub const BED_KEY: &str = "a-key-for-tests-only";
/// Longest time of a graceful shutdown, the default of `jasmineusherd`.
pub const DEFAULT_SHUTDOWN: Duration = Duration::from_secs(30);
/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a daemon that is not ready fails the test.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// First port of the range that listeners of tests use. The range ends below the ports that the
/// operating system gives to outgoing connections.
const FIRST_TEST_PORT: u16 = 10_000;
/// Number of ports in the range that listeners of tests use.
const TEST_PORT_COUNT: u32 = 22_000;

/// Command-line settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address that the process listens on.
    pub listen: SocketAddr,
    /// Address that the daemon advertises to others, which may be a proxy in front of `listen`.
    pub addr: SocketAddr,
    /// Address of the platform, which may be a proxy.
    pub platform: SocketAddr,
    /// Addresses of the peers that the daemon contacts at its start; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Longest time that a graceful shutdown waits for requests in progress.
    pub shutdown: Duration,
}

/// Running daemon process, which is killed when this is dropped.
pub struct DaemonProcess {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address that the daemon advertises to others, which may be a proxy.
    pub addr: SocketAddr,
    child: Child,
}

impl DaemonProcess {
    /// Starts the program `exe` with 2 worker threads. It logs warnings and errors to the standard
    /// error of this process. Returns before the daemon listens; panics if it cannot be started.
    pub fn start(exe: &Path, config: &DaemonConfig) -> Self {
        let DaemonConfig { host, zone, listen, addr, platform, seeds, shutdown } = config.clone();
        let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
        let child = Command::new(exe)
            .args(["--listen", &listen.to_string(), "--advertise", &addr.to_string()])
            .args(["--host", &host, "--zone", &zone, "--seeds", &seeds.join(",")])
            .args(["--platform", &platform.to_string(), "--workers", "2"])
            .args(["--peer-keys", BED_KEY, "--log-level", "warn"])
            .args(["--shutdown-ms", &shutdown.as_millis().to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon's program can be started");
        Self { host, zone, addr, child }
    }

    /// Sends a signal, named without `SIG`, such as `TERM`. Panics if it cannot be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(
            status.expect("kill runs").success(),
            "signal {name} was not sent to {}",
            self.host
        );
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // The process may have ended already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends and returns its exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("the daemon was started").code()
    }

    /// Returns the process id, for signals and for `/proc`.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the entry that lists this daemon as live in the host list.
    pub fn host_entry(&self) -> DaemonHost {
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

/// Returns a free address on `127.0.0.1`, selected as [`free_addr_on`] does.
pub fn free_addr() -> SocketAddr {
    free_addr_on(Ipv4Addr::LOCALHOST)
}

/// Returns an address on a loopback IP, with a port below those of outgoing connections. Each call
/// in this process returns another port until the range is used up, and other test processes start
/// at other ports, 97 apart for consecutive process ids. Ports on which a process listens are passed
/// over.
///
/// The address is not bound to check that it is free, since a child process that is forked at that
/// moment would inherit the socket and keep the port in use a little longer.
pub fn free_addr_on(ip: Ipv4Addr) -> SocketAddr {
    loop {
        let addr = next_addr(ip);
        if TcpStream::connect_timeout(&addr, PORT_CHECK_TIMEOUT).is_err() {
            return addr;
        }
    }
}

fn next_addr(ip: Ipv4Addr) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97);
    let n = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from((ip, FIRST_TEST_PORT + (n % TEST_PORT_COUNT) as u16))
}

/// Returns the loopback IP of a bed's daemon. Each daemon has its own, which is the source address
/// of its connections, so that proxies can apply faults to one daemon.
pub fn daemon_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, number as u8 + 1)
}

/// Stand-ins and daemon processes of one experiment or test.
pub struct Bed {
    /// Stand-ins for the platform and the leafs.
    pub fleet: Fleet,
    /// Daemon processes in the order of their numbers, which start at 0.
    pub daemons: Vec<DaemonProcess>,
    /// HTTP client for calls to the daemons.
    pub client: HttpClient,
    /// Faults of the links between daemons, and from daemons to the platform.
    pub network: Network,
    /// Address of the proxy in front of the platform.
    pub platform: SocketAddr,
    /// Settings of the daemons in the order of their numbers; a restarted daemon keeps its own.
    pub daemon_configs: Vec<DaemonConfig>,
    exe: PathBuf,
}

impl Bed {
    /// Starts stand-ins and `count` daemons of the program `exe`, spread round-robin over the
    /// fleet's zones, and waits until all are ready. Each daemon has those before it as seeds.
    /// Panics if a part cannot be started.
    pub async fn start(exe: &Path, shape: FleetShape, catalogue: &str, count: usize) -> Self {
        let fleet = Fleet::start(shape, free_addr()).await.expect("the stand-ins start");
        let network = Network::default();
        let platform =
            network.start_proxy(free_addr(), fleet.platform.addr).await.expect("the proxy starts");
        let mut daemon_configs = Vec::new();
        let mut daemons = Vec::new();
        for number in 0..count {
            let zone = &fleet.shape.zones[number % fleet.shape.zones.len()];
            let listen = free_addr_on(daemon_ip(number));
            let addr = network.start_proxy(free_addr_on(daemon_ip(number)), listen).await;
            let config = DaemonConfig {
                host: format!("host-{number}"),
                zone: zone.to_string(),
                listen,
                addr: addr.expect("the proxy starts"),
                platform,
                seeds: daemon_configs.iter().map(|config: &DaemonConfig| config.addr).collect(),
                shutdown: DEFAULT_SHUTDOWN,
            };
            let daemon = DaemonProcess::start(exe, &config);
            fleet.list_daemon(daemon.host_entry());
            daemons.push(daemon);
            daemon_configs.push(config);
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

    /// Waits until a daemon reports that it is ready for queries. Panics if that takes longer than
    /// 30 seconds.
    pub async fn wait_ready(&self, number: usize) {
        let addr = self.daemons[number].addr;
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let reply = self.get(addr, READY_PATH).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                return;
            }
            assert!(Instant::now() < deadline, "daemon {number} at {addr} is not ready in time");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Kills a daemon and starts it again with the same settings. Does not wait until it is ready.
    pub fn restart(&mut self, number: usize) {
        self.daemons[number].kill();
        self.daemons[number] = DaemonProcess::start(&self.exe, &self.daemon_configs[number]);
    }

    /// Sets the fault of the link from one daemon to another.
    pub fn fault_between(&self, from: usize, to: usize, fault: Fault) {
        self.network.set_fault(daemon_ip(from).into(), self.daemon_configs[to].addr, fault);
    }

    /// Cuts the links between the daemons of `group` and all others, in both directions, and from
    /// the group to the platform if `cut_platform` is set.
    pub fn isolate(&self, group: &[usize], cut_platform: bool) {
        for &inside in group {
            for outside in (0..self.daemon_configs.len()).filter(|number| !group.contains(number)) {
                self.fault_between(inside, outside, Fault::Cut);
                self.fault_between(outside, inside, Fault::Cut);
            }
            if cut_platform {
                self.network.set_fault(daemon_ip(inside).into(), self.platform, Fault::Cut);
            }
        }
    }

    /// Requests a ticket from a daemon. Returns `None` if none arrives within 2 seconds.
    pub async fn ticket(&self, number: usize) -> Option<String> {
        let addr = self.daemons[number].addr;
        let call = HttpCall::post(addr, TICKET_PATH, Bytes::new(), Duration::from_secs(2));
        let reply = self.client.call(call).await.ok().filter(|reply| reply.status == 200)?;
        let answer: TicketAnswer = serde_json::from_slice(&reply.body).ok()?;
        Some(answer.ticket)
    }

    /// Sends a GET request with a timeout of 5 seconds.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<HttpReply, HttpClientError> {
        self.client.call(HttpCall::get(addr, path, Duration::from_secs(5))).await
    }

    /// Returns the state dump of a daemon. Panics if it cannot be read or parsed.
    pub async fn state(&self, number: usize) -> Value {
        let reply =
            self.get(self.daemons[number].addr, STATE_PATH).await.expect("the state can be read");
        serde_json::from_slice(&reply.body).expect("the state is JSON")
    }

    /// Sends a query to a daemon and returns the HTTP status and the answer, or an error if the
    /// call fails. Panics if the body is not an answer.
    pub async fn try_query(
        &self,
        number: usize,
        body: Value,
    ) -> Result<(u16, QueryAnswer), HttpClientError> {
        let addr = self.daemons[number].addr;
        let call = HttpCall::post(addr, QUERY_PATH, body.to_string().into(), QUERY_TIMEOUT);
        let reply = self.client.call(call).await?;
        let answer = serde_json::from_slice(&reply.body).expect("the body is a query answer");
        Ok((reply.status, answer))
    }

    /// Sends a query as [`Self::try_query`] does, and panics if the call fails.
    pub async fn query(&self, number: usize, body: Value) -> (u16, QueryAnswer) {
        self.try_query(number, body).await.expect("the daemon answers")
    }
}
