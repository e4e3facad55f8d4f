//! Helpers shared by the integration tests: real daemon processes over stand-ins.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_bench::fleet::Fleet;
use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::name;
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
use serde_json::Value;

/// Longest wait for anything that must happen in the end. Not a bound on speed.
pub const EVENTUALLY: Duration = Duration::from_secs(60);
/// Key of all test peers.
pub const TEST_KEY: &str = "a-key-for-tests-only";
/// Time allowed for one query of a test.
const QUERY_LIMIT: Duration = Duration::from_secs(60);

/// A catalogue with one entry of each behaviour, over the index `careline`.
pub const CATALOGUE: &str = r#"
[[entry]]
name = "lookup"
kind = "lookup"
owner = "lidwerk"
index = "careline"
class = "urgent"
idempotent = true
deadline_ms = 5000
minimum_coverage = 0.1
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.1 }

[[entry]]
name = "restarting"
kind = "restarting"
owner = "lidwerk"
index = "careline"
class = "urgent"
idempotent = true
deadline_ms = 5000
minimum_coverage = 1.0
on_version_loss = "restart"
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.1 }

[[entry]]
name = "table"
kind = "table"
owner = "tabela-viva"
index = "careline"
class = "ordinary"
idempotent = true
deadline_ms = 5000
minimum_coverage = 1.0
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.0 }

[[entry]]
name = "scarce"
kind = "scarce"
owner = "tabela-viva"
index = "careline"
class = "ordinary"
idempotent = true
deadline_ms = 5000
minimum_coverage = 1.0
limits = { queries_per_second = 0.01, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.0 }

[[entry]]
name = "send"
kind = "send"
owner = "lidwerk"
index = "careline"
class = "ordinary"
idempotent = false
deadline_ms = 3000
minimum_coverage = 1.0
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.0 }
"#;

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
    /// Starts a daemon on an address.
    pub fn start(
        exe: &Path,
        host: &str,
        zone: &str,
        addr: SocketAddr,
        platform: SocketAddr,
    ) -> Self {
        let child = Command::new(exe)
            .args(["--listen", &addr.to_string(), "--host", host, "--zone", zone])
            .args(["--platform", &platform.to_string(), "--workers", "2"])
            .args(["--peer-keys", TEST_KEY, "--log-level", "warn"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self { host: host.to_owned(), zone: zone.to_owned(), addr, child }
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

    /// Returns the entry of this daemon in the host list.
    pub fn listed(&self) -> DaemonHost {
        DaemonHost {
            name: name(&self.host),
            addr: self.addr,
            zone: name(&self.zone),
            state: HostState::Live,
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address on loopback that was free a moment ago.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("a bound socket has an address")
}

/// Waits until `check` returns something.
pub async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let give_up = Instant::now() + EVENTUALLY;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < give_up, "never happened: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Stand-ins and daemons of one test.
pub struct TestBed {
    /// The stand-ins.
    pub fleet: Fleet,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// A client.
    pub client: HttpClient,
}

impl TestBed {
    /// Starts stand-ins and `count` daemons, spread over the fleet's zones, and waits until all are
    /// ready under [`CATALOGUE`].
    pub async fn start(exe: &str, shape: FleetShape, count: usize) -> Self {
        let fleet = Fleet::start(shape, free_addr()).await.expect("stand-ins start");
        let mut daemons = Vec::new();
        for number in 0..count {
            let zone = &fleet.shape.zones[number % fleet.shape.zones.len()];
            let host = format!("host-{number}");
            let platform = fleet.platform.addr;
            let daemon =
                DaemonProcess::start(exe.as_ref(), &host, zone.as_str(), free_addr(), platform);
            fleet.list_daemon(daemon.listed());
            daemons.push(daemon);
        }
        fleet.publish_hosts();
        fleet.publish_catalogue(CATALOGUE);
        let bed = Self { fleet, daemons, client: HttpClient::default() };
        for number in 0..count {
            bed.wait_ready(number).await;
        }
        bed
    }

    /// Waits until a daemon takes queries.
    pub async fn wait_ready(&self, number: usize) {
        let addr = self.daemons[number].addr;
        eventually("daemon is ready", async || {
            let reply = self.get(addr, READY_PATH).await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await;
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

/// Checks that an answer is truthful: each hit is of the pinned version and of a covered shard, and
/// coverage splits the shards in two.
pub fn assert_truthful(answer: &QueryAnswer) {
    let coverage = &answer.coverage;
    assert_eq!(coverage.contributed.len() + coverage.missing.len(), coverage.shards);
    for hit in &answer.hits {
        let version = answer.version.expect("an answer with hits names its version");
        let from_covered = coverage
            .contributed
            .iter()
            .any(|shard| hit.id.starts_with(&format!("v{version}-s{shard}-")));
        assert!(from_covered, "hit {} is not of version {version} and a covered shard", hit.id);
    }
}
