//! Test bed on a stand-in of the users' platform: its store, its leafs, and real daemon processes.

pub mod caller;
pub mod gate;
pub mod leaf;
pub mod store;

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;

use jasmineusher_bench::bed::free_addr;
use jasmineusher_bench::proxy::Fault;
use jasmineusher_bench::proxy::Network;
use serde_json::Value;
use serde_json::json;
use testutils::eventually;

pub use caller::Answer;
pub use caller::Caller;
pub use caller::failures;
pub use gate::Gate;
pub use gate::GateState;
pub use leaf::Behaviour;
pub use leaf::CRASHING_PATH;
pub use leaf::Downtime;
pub use leaf::Ending;
pub use leaf::Framing;
pub use leaf::Leaf;
pub use leaf::Site;
pub use store::Store;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");
/// Environment variable with the path of a daemon of another build.
pub const OTHER_BUILD: &str = "JASMINEUSHER_OTHER_BUILD";

/// The build of the daemon that a process runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Build {
    /// The build under test.
    #[default]
    Own,
    /// The build that [`OTHER_BUILD`] names.
    Other,
}

impl Build {
    fn path(self) -> PathBuf {
        match self {
            Self::Own => DAEMON.into(),
            Self::Other => std::env::var_os(OTHER_BUILD).expect("another build is named").into(),
        }
    }
}
/// Value of the `host` header of all requests in these tests.
pub const HOST: &str = "salon.example";

/// Zones of the settings, each in a region of its own. Daemons and leafs are in the first one, unless
/// a test bed spreads them.
pub const ZONES: [&str; 3] = ["muc-a", "nue-a", "aug-a"];
const FIRST_ZONE: &str = ZONES[0];

/// What differs between the settings of daemons.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Zone of the daemon.
    pub zone: &'static str,
    /// Extra calls that all daemons may make in each window, beyond the share of requests.
    pub retry_slack: usize,
    /// Text of the table of limits.
    pub limits: String,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        Self { zone: FIRST_ZONE, retry_slack: 5_800, limits: String::new() }
    }
}

/// One daemon process, killed when dropped.
pub struct Daemon {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for readiness polls.
    pub ready: SocketAddr,
    /// Listen address for the other daemons and for state dumps.
    pub control: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// The stand-ins and daemons of one test.
pub struct EdgeBed {
    /// The fault-injecting proxies in front of the leafs and the store.
    pub network: Network,
    pub store: Arc<Store>,
    /// The store of the daemons that reach the leafs through gates, if there are any.
    pub gated_store: Option<Arc<Store>>,
    pub leafs: Vec<Arc<Leaf>>,
    pub daemons: Vec<Daemon>,
}

impl Daemon {
    fn start(
        differing: &DaemonSettings,
        number: usize,
        store: SocketAddr,
        seeds: &[SocketAddr],
        control: SocketAddr,
    ) -> Self {
        let DaemonSettings { zone, retry_slack, limits } = differing;
        let (callers, ready) = (free_addr(), free_addr());
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"front-{number}\"\nzone = \"{zone}\"\nseeds = [{}]\n\
             [zones]\nmuc-a = \"oberbayern\"\nnue-a = \"franken\"\naug-a = \"schwaben\"\n\
             [listen_addrs]\nfront = \"{callers}\"\nready_addr = \"{ready}\"\ncontrol = \"{control}\"\n\
             [bounds]\nretry_ratio = 0.2\nretry_slack = {retry_slack}\nretry_window_s = 10\ngrace_s = 4\n\
             cold_overage = 1.5\ncold_slack = 5\n\
             [limits]\n{limits}\n\
             [platform]\naddress = \"{store}\"\n",
            seeds.join(", ")
        );
        let name = format!("jasmineusher-edge-{}-{}.toml", std::process::id(), callers.port());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = Self::spawn(&settings, Build::Own);
        Self { callers, ready, control, settings, child }
    }

    fn spawn(settings: &PathBuf, build: Build) -> Child {
        let mut command = Command::new(build.path());
        let log = File::options().append(true).create(true).open(log_path(settings));
        let log = log.expect("the log can be written");
        command.arg("--edge").env("JASMINEUSHER_BOOT", settings).stdout(log);
        command.spawn().expect("the daemon starts")
    }

    /// Kills the process and starts a new one with the same settings.
    pub fn restart(&mut self) {
        self.restart_as(Build::Own);
    }

    /// Kills the process and starts one of `build` with the same settings.
    pub fn restart_as(&mut self, build: Build) {
        // The process may have ended already; only the start of the next one must succeed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = Self::spawn(&self.settings, build);
    }

    /// Returns the log that the daemon has written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(log_path(&self.settings)).expect("the log can be read")
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let (option, pid) = (format!("-{name}"), self.child.id().to_string());
        let sent = Command::new("kill").args([option, pid]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the state of the process can be read").is_some()
    }

    /// Returns whether the daemon answers a readiness poll with status 200.
    pub async fn is_ready(&self) -> bool {
        let connected = Caller::connect(self.ready).await;
        match connected {
            Some(mut caller) => {
                caller.get("/ready", "ready").await.is_some_and(|a| a.status == 200)
            }
            None => false,
        }
    }

    /// Reads the state dump. Returns `None` if the daemon does not answer.
    pub async fn state(&self) -> Option<Value> {
        let answer = Caller::connect(self.control).await?.get("/state", "state").await?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(log_path(&self.settings));
    }
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

impl EdgeBed {
    /// Starts `shards` groups of `replicas` leafs each and `daemons` daemon processes, and waits
    /// until all daemons are ready. Fault-injecting proxies are in front of the leafs.
    pub async fn start(shards: usize, replicas: usize, daemons: usize) -> Self {
        let network = Network::default();
        let store = Store::start(&network).await;
        let leafs = start_leafs(shards, replicas, Some(&network), &store, Downtime::Refusing).await;
        let daemons = vec![DaemonSettings::default(); daemons];
        Self::start_daemons(network, store, leafs, shards, &daemons).await
    }

    /// Starts a test bed like [`EdgeBed::start`] whose daemons together may make `retry_slack`
    /// extra calls in each window, beyond the share of requests.
    pub async fn start_with_retry_slack(
        shards: usize,
        replicas: usize,
        daemons: usize,
        retry_slack: usize,
    ) -> Self {
        let network = Network::default();
        let store = Store::start(&network).await;
        let leafs = start_leafs(shards, replicas, Some(&network), &store, Downtime::Refusing).await;
        let daemons = vec![DaemonSettings { retry_slack, ..Default::default() }; daemons];
        Self::start_daemons(network, store, leafs, shards, &daemons).await
    }

    /// Starts a test bed like [`EdgeBed::start`] with one daemon for each of these shares of a core,
    /// and waits until each daemon has discovered all others.
    pub async fn start_with_cores(shards: usize, replicas: usize, cores: &[f64]) -> Self {
        let mut bed = Self::start(shards, replicas, 0).await;
        let controls: Vec<_> = cores.iter().map(|_| free_addr()).collect();
        for (number, (cores, control)) in cores.iter().zip(&controls).enumerate() {
            let limits =
                format!("cpu_share = {cores}\ncpu_cores = 1\nmemory_mb = 200\nlink_mbps = 1000.0");
            let settings = DaemonSettings { limits, ..Default::default() };
            let store = bed.store.addr;
            let daemon = Daemon::start(&settings, number, store, &controls, *control);
            bed.daemons.push(daemon);
        }
        bed.wait_until_ready().await;
        let others = cores.len() - 1;
        for daemon in &bed.daemons {
            eventually("a daemon knows the others", async || {
                let hosts = daemon.state().await?["hosts"].as_array()?.len();
                (hosts == others).then_some(())
            })
            .await;
        }
        bed
    }

    /// Starts a test bed like [`EdgeBed::start`] without proxies in front of the leafs, so that
    /// these can refuse connections after a crash.
    pub async fn start_without_leaf_proxies(
        shards: usize,
        replicas: usize,
        daemons: usize,
        downtime: Downtime,
    ) -> Self {
        let network = Network::default();
        let store = Store::start(&network).await;
        let leafs = start_leafs(shards, replicas, None, &store, downtime).await;
        let daemons = vec![DaemonSettings::default(); daemons];
        Self::start_daemons(network, store, leafs, shards, &daemons).await
    }

    /// Starts a test bed like [`EdgeBed::start_without_leaf_proxies`] with a replica of each shard and
    /// some daemons in each zone of [`ZONES`].
    pub async fn start_in_zones(shards: usize, daemons_per_zone: usize) -> Self {
        let network = Network::default();
        let store = Store::start(&network).await;
        let mut leafs = Vec::new();
        for (shard, zone) in (0..shards).flat_map(|s| ZONES.map(|zone| (s, zone))) {
            let (instance, group) = (format!("i-{shard}-{zone}"), format!("shard{shard}"));
            let site = Site { zone, network: None, downtime: Downtime::Refusing };
            leafs.push(Leaf::start(&instance, &group, site, store.clone()).await);
        }
        let in_zone = |&zone| vec![DaemonSettings { zone, ..Default::default() }; daemons_per_zone];
        let daemons: Vec<_> = ZONES.iter().flat_map(in_zone).collect();
        Self::start_daemons(network, store, leafs, shards, &daemons).await
    }

    /// Starts a test bed like [`EdgeBed::start`], in which the first `gated` daemons reach the leafs
    /// through gates, which it returns.
    pub async fn start_with_gates(
        shards: usize,
        replicas: usize,
        daemons: usize,
        gated: usize,
    ) -> (Self, Vec<Arc<Gate>>) {
        let mut bed = Self::start(shards, replicas, daemons - gated).await;
        let gates = bed.add_gated_daemons(shards, gated).await;
        (bed, gates)
    }

    /// Starts daemons in the first zone that reach the leafs through gates, and puts them before the
    /// others. Returns the gates.
    pub async fn add_gated_daemons(&mut self, shards: usize, gated: usize) -> Vec<Arc<Gate>> {
        let store = Store::start(&self.network).await;
        store.put("op/config", &configuration(1, shards));
        let mut gates = Vec::new();
        for leaf in &self.leafs {
            let gate = Gate::start(leaf.addr).await;
            store.put_leaf_at(leaf, gate.addr, "ready", 1);
            gates.push(gate);
        }
        let seeds: Vec<_> = self.daemons.iter().map(|daemon| daemon.control).collect();
        let first_number = self.daemons.len() + gated;
        let settings = DaemonSettings::default();
        let start = |n| Daemon::start(&settings, first_number + n, store.addr, &seeds, free_addr());
        let others = std::mem::take(&mut self.daemons);
        self.daemons = (0..gated).map(start).chain(others).collect();
        self.wait_until_ready().await;
        self.gated_store = Some(store);
        gates
    }

    async fn wait_until_ready(&self) {
        for daemon in &self.daemons {
            eventually("a daemon is ready", async || daemon.is_ready().await.then_some(())).await;
        }
    }

    async fn start_daemons(
        network: Network,
        store: Arc<Store>,
        leafs: Vec<Arc<Leaf>>,
        shards: usize,
        daemons: &[DaemonSettings],
    ) -> Self {
        store.put("op/config", &configuration(1, shards));
        let controls: Vec<_> = daemons.iter().map(|_| free_addr()).collect();
        let seeds = &controls[..daemons.len().min(2)];
        let start = |(n, &control): (usize, &SocketAddr)| {
            Daemon::start(&daemons[n], n, store.addr, seeds, control)
        };
        let daemons: Vec<_> = controls.iter().enumerate().map(start).collect();
        let bed = Self { network, store, gated_store: None, leafs, daemons };
        bed.wait_until_ready().await;
        bed
    }

    /// Ends all faults of the leafs, the store and the network.
    pub fn heal(&self) {
        for leaf in &self.leafs {
            leaf.set_behaviour(Behaviour::Normal);
            leaf.set_limit(None);
            leaf.set_leaving(false);
            leaf.set_retry_after(&[]);
        }
        self.store.set_fault(store::StoreFault::None);
        self.network.clear_faults();
    }

    /// Sets the network fault between all daemons and the proxy at `to`, which is that of a leaf or
    /// of the store.
    pub fn set_network_fault(&self, to: SocketAddr, fault: Fault) {
        self.network.set_fault(Ipv4Addr::LOCALHOST.into(), to, fault);
    }

    /// Returns how often leafs started to run the request with this id.
    pub fn runs(&self, id: &str) -> usize {
        runs(&self.leafs, id)
    }
}

async fn start_leafs(
    shards: usize,
    replicas: usize,
    network: Option<&Network>,
    store: &Arc<Store>,
    downtime: Downtime,
) -> Vec<Arc<Leaf>> {
    let mut leafs = Vec::new();
    for (shard, replica) in (0..shards).flat_map(|s| (0..replicas).map(move |r| (s, r))) {
        let (instance, group) = (format!("i-{shard}-{replica}"), format!("shard{shard}"));
        let site = Site { zone: FIRST_ZONE, network, downtime };
        leafs.push(Leaf::start(&instance, &group, site, store.clone()).await);
    }
    leafs
}

/// Returns how often these leafs started to run the request with this id.
pub fn runs(leafs: &[Arc<Leaf>], id: &str) -> usize {
    leafs.iter().map(|leaf| leaf.runs(id)).sum()
}

/// Returns a configuration with three routes: `all` goes to one leaf of every shard, `one` is a
/// safe request to a leaf of the first shard, and `send` an unsafe request to a leaf of the first
/// shard.
pub fn configuration(version: u64, shards: usize) -> Value {
    let names: Vec<_> = (0..shards).map(|shard| format!("shard{shard}")).collect();
    let services: Vec<_> = names.iter().map(|n| json!({"name": n, "max_conns": 26})).collect();
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 2000, "latency_goal_ms": 1000, "priority": 1, "max_attempts": 2})
    };
    let mut all = route("all", "safe");
    all["gather"] = json!(names);
    all["top_k"] = json!(3);
    all["min_coverage"] = json!(0.6);
    let mut one = route("one", "safe");
    one["service"] = json!("shard0");
    let mut send = route("send", "unsafe");
    send["service"] = json!("shard0");
    json!({"version": version, "routes": [all, one, send], "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096,
            "header_timeout_ms": 1000, "idle_timeout_ms": 5000}})
}
