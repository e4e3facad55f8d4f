//! Stand-in leaf: slots, a connection limit, stragglers, shedding, draining, versions, crashes.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::hosts::LeafHost;
use jasmineusher_lib::ids::IndexName;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::ShardNo;
use jasmineusher_lib::leaf_protocol::CANCEL_PATH;
use jasmineusher_lib::leaf_protocol::CallId;
use jasmineusher_lib::leaf_protocol::Hit;
use jasmineusher_lib::leaf_protocol::LeafAnswer;
use jasmineusher_lib::leaf_protocol::LeafStatus;
use jasmineusher_lib::leaf_protocol::OwnedLeafRequest;
use jasmineusher_lib::leaf_protocol::SEARCH_PATH;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::http_service::StandInReply;
use crate::http_service::StandInRequest;
use crate::http_service::serve_connection;
use crate::work::RunKey;
use crate::work::WorkRecord;

/// Hits of one shard.
const HITS_PER_SHARD: usize = 3;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// How a leaf behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Usual time of a call.
    pub service: Duration,
    /// Share of calls that are stragglers.
    pub straggler_share: f64,
    /// Factor on the time of a straggler.
    pub straggler_factor: f64,
    /// Factor on the time of every call.
    pub slow_factor: f64,
    /// Time that a new connection takes.
    pub connect: Duration,
    /// Calls that wait for a slot before the leaf sheds.
    pub queue: u32,
    /// Calls after a start that are slow.
    pub cold_calls: u32,
    /// Factor on the time of a cold call.
    pub cold_factor: f64,
    /// Takes nothing new, and says so.
    pub draining: bool,
    /// Is leaving in the host list's eyes.
    pub listed_leaving: bool,
    /// Runs calls but breaks the connection instead of answering.
    pub mute: bool,
    /// Answers with another call's identity.
    pub wrong_identity: bool,
    /// Time that the leaf stays down after a crash.
    pub restart: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service: Duration::from_millis(2),
            straggler_share: 0.0,
            straggler_factor: 100.0,
            slow_factor: 1.0,
            connect: Duration::ZERO,
            queue: 64,
            cold_calls: 0,
            cold_factor: 5.0,
            draining: false,
            listed_leaving: false,
            mute: false,
            wrong_identity: false,
            restart: Duration::from_secs(1),
        }
    }
}

/// Which shards of which versions a leaf holds.
#[derive(Clone, Debug, Default)]
pub struct Holdings(HashSet<Holding>);

/// One shard of one version.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Holding {
    /// The index.
    pub index: IndexName,
    /// The version.
    pub version: IndexVersion,
    /// The shard.
    pub shard: ShardNo,
}

impl Holdings {
    /// Adds a shard.
    pub fn add(&mut self, holding: Holding) {
        self.0.insert(holding);
    }

    /// Removes a version.
    pub fn remove_version(&mut self, version: IndexVersion) {
        self.0.retain(|holding| holding.version != version);
    }

    fn has(&self, req: &OwnedLeafRequest) -> bool {
        self.0.contains(&Holding {
            index: req.index.clone(),
            version: req.call.version,
            shard: req.call.shard,
        })
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Leaving {
    began: Option<Instant>,
    last_call: Option<Instant>,
}

struct Shared {
    leaving: Mutex<Leaving>,
    host: LeafHost,
    behaviour: Mutex<Behaviour>,
    holdings: Mutex<Holdings>,
    rng: Mutex<StdRng>,
    slots: Semaphore,
    waiting: AtomicU32,
    connections: AtomicU32,
    calls_since_start: AtomicU32,
    cancels: Mutex<HashMap<CallId, Arc<Notify>>>,
    record: Arc<WorkRecord>,
    /// Raised on each crash; connections of an earlier life end.
    life: watch::Sender<u64>,
    /// Whether the leaf is stopped for good.
    killed: watch::Sender<bool>,
}

/// A running stand-in leaf. It ends when its runtime does.
#[derive(Clone)]
pub struct StandInLeaf {
    shared: Arc<Shared>,
}

impl StandInLeaf {
    /// Binds a leaf on a free port of `127.0.0.1` and serves in the present runtime.
    pub async fn start(
        mut host: LeafHost,
        behaviour: Behaviour,
        holdings: Holdings,
        record: Arc<WorkRecord>,
        seed: u64,
    ) -> std::io::Result<Self> {
        let listener = bind(host.addr)?;
        host.addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            leaving: Mutex::default(),
            slots: Semaphore::new(host.slots as usize),
            host,
            behaviour: Mutex::new(behaviour),
            holdings: Mutex::new(holdings),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            waiting: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            calls_since_start: AtomicU32::new(0),
            cancels: Mutex::default(),
            record,
            life: watch::channel(0).0,
            killed: watch::channel(false).0,
        });
        tokio::spawn(live(shared.clone(), listener));
        Ok(Self { shared })
    }

    /// Returns the leaf as the host list should name it.
    pub fn host(&self) -> LeafHost {
        let behaviour = self.shared.behaviour.lock().unwrap().clone();
        let leaving = behaviour.draining || behaviour.listed_leaving;
        let state = if leaving { HostState::Leaving } else { HostState::Live };
        LeafHost { state, ..self.shared.host.clone() }
    }

    /// Changes the behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap());
    }

    /// Changes the holdings.
    pub fn hold(&self, change: impl FnOnce(&mut Holdings)) {
        change(&mut self.shared.holdings.lock().unwrap());
    }

    /// Breaks all connections and stays down for the restart time.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Begins to leave; `says_so` makes the leaf refuse new calls with that answer.
    pub fn begin_to_leave(&self, says_so: bool) {
        self.change_behaviour(|behaviour| {
            behaviour.draining = says_so;
            behaviour.listed_leaving = true;
        });
        self.shared.leaving.lock().unwrap().began = Some(Instant::now());
    }

    /// Returns the time from the first sign of leaving to the last new call.
    pub fn last_new_call_after_leaving(&self) -> Option<Duration> {
        let leaving = self.shared.leaving.lock().unwrap();
        Some(leaving.last_call? - leaving.began?)
    }

    /// Stops or revives the leaf.
    pub fn set_stopped(&self, killed: bool) {
        self.shared.killed.send_replace(killed);
        if killed {
            self.shared.life.send_modify(|life| *life += 1);
        }
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

async fn live(shared: Arc<Shared>, first: TcpListener) {
    let mut listener = Some(first);
    loop {
        match listener.take().map_or_else(|| bind(shared.host.addr), Ok) {
            Ok(bound) => accept_until_crash(&shared, bound).await,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
        let restart = shared.behaviour.lock().unwrap().restart;
        tokio::time::sleep(restart).await;
        let mut killed = shared.killed.subscribe();
        if killed.wait_for(|&killed| !killed).await.is_err() {
            return;
        }
        shared.calls_since_start.store(0, Ordering::Relaxed);
    }
}

async fn accept_until_crash(shared: &Arc<Shared>, listener: TcpListener) {
    let mut life = shared.life.subscribe();
    life.mark_unchanged();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(shared.clone(), stream));
                }
            }
            _ = life.changed() => return,
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut life = shared.life.subscribe();
    life.mark_unchanged();
    if shared.connections.fetch_add(1, Ordering::Relaxed) >= shared.host.connections {
        shared.record.note(|sums| sums.refused_connections += 1);
    } else {
        let connect = shared.behaviour.lock().unwrap().connect;
        tokio::time::sleep(connect).await;
        // A failure to set the option costs latency only.
        let _ = stream.set_nodelay(true);
        let handler = {
            let shared = shared.clone();
            Arc::new(move |req| handle(shared.clone(), req))
        };
        tokio::select! {
            () = serve_connection(stream, handler) => {}
            _ = life.changed() => {}
        }
    }
    shared.connections.fetch_sub(1, Ordering::Relaxed);
}

async fn handle(shared: Arc<Shared>, req: StandInRequest) -> Option<StandInReply> {
    match req.path.as_str() {
        SEARCH_PATH => {
            let Ok(call) = serde_json::from_slice(&req.body) else {
                return Some(StandInReply::empty(400));
            };
            let answer = shared.search(call).await?;
            Some(StandInReply::ok(serde_json::to_vec(&answer).ok()?))
        }
        CANCEL_PATH => {
            let call: CallId = serde_json::from_slice(&req.body).ok()?;
            if let Some(cancel) = shared.cancels.lock().unwrap().get(&call) {
                cancel.notify_one();
            }
            Some(StandInReply::ok("{}"))
        }
        // The health endpoint misleads on purpose: it always says that all is well.
        "/health" => Some(StandInReply::ok("{\"status\":\"ok\"}")),
        _ => Some(StandInReply::empty(404)),
    }
}

impl Shared {
    fn crash(&self) {
        self.record.note(|sums| sums.crashes += 1);
        self.life.send_modify(|life| *life += 1);
    }

    fn note_if_leaving(&self, now: Instant) {
        let mut leaving = self.leaving.lock().unwrap();
        if leaving.began.is_some() {
            leaving.last_call = Some(now);
            self.record.note(|sums| sums.calls_while_leaving += 1);
        }
    }

    async fn search(&self, req: OwnedLeafRequest) -> Option<LeafAnswer> {
        let arrived = Instant::now();
        let behaviour = self.behaviour.lock().unwrap().clone();
        self.note_if_leaving(arrived);
        if behaviour.draining {
            self.record.note(|sums| sums.calls_while_draining += 1);
            return Some(self.answer(&req, LeafStatus::Draining, 0));
        }
        if !self.holdings.lock().unwrap().has(&req) {
            return Some(self.answer(&req, LeafStatus::VersionUnavailable, 0));
        }
        if self.waiting.load(Ordering::Relaxed) >= behaviour.queue
            && self.slots.available_permits() == 0
        {
            self.record.note(|sums| sums.sheds += 1);
            return Some(self.answer(&req, LeafStatus::Shed, 0));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let _slot = slot.ok()?;
        if arrived.elapsed() >= Duration::from_millis(req.remaining_ms) {
            return Some(self.answer(&req, LeafStatus::Expired, 0));
        }
        self.run(req, behaviour).await
    }

    async fn run(&self, req: OwnedLeafRequest, behaviour: Behaviour) -> Option<LeafAnswer> {
        if let Some(run) = req.params.get("run").and_then(|run| run.as_str()) {
            let key = RunKey { run: run.to_owned(), shard: req.call.shard.0 };
            self.record.note(|sums| *sums.runs.entry(key).or_default() += 1);
        }
        if req.params.get("crash").is_some() {
            self.crash();
            return None;
        }
        self.record.note(|sums| *sums.calls_started.entry(req.kind.clone()).or_default() += 1);
        let cancel = Arc::new(Notify::new());
        self.cancels.lock().unwrap().insert(req.call, cancel.clone());
        let running = Running { shared: self, req: &req, started: Instant::now() };
        let cancelled = tokio::select! {
            () = tokio::time::sleep(self.service_time(&behaviour)) => false,
            () = cancel.notified() => true,
        };
        let effort_us = running.effort_us();
        drop(running);
        if behaviour.mute {
            return None;
        }
        let status = if cancelled { LeafStatus::Cancelled } else { LeafStatus::Ok };
        let mut answer = self.answer(&req, status, effort_us);
        if behaviour.wrong_identity {
            answer.call.shard.0 = answer.call.shard.0.wrapping_add(1);
        }
        Some(answer)
    }

    fn service_time(&self, behaviour: &Behaviour) -> Duration {
        let (spread, straggler) = {
            let mut rng = self.rng.lock().unwrap();
            (rng.random_range(0.7..1.3), rng.random_bool(behaviour.straggler_share))
        };
        let calls = self.calls_since_start.fetch_add(1, Ordering::Relaxed);
        let mut time = behaviour.service.mul_f64(spread * behaviour.slow_factor);
        if straggler {
            time = time.mul_f64(behaviour.straggler_factor);
        }
        if calls < behaviour.cold_calls {
            time = time.mul_f64(behaviour.cold_factor);
        }
        time
    }

    fn answer(&self, req: &OwnedLeafRequest, status: LeafStatus, effort_us: u64) -> LeafAnswer {
        let (shard, version) = (req.call.shard, req.call.version);
        let hit = |n: usize| Hit {
            score: f64::from((u32::from(shard.0) * 31 + n as u32 * 7) % 100),
            id: format!("v{version}-s{shard}-{n}"),
            fields: None,
        };
        let count = if status == LeafStatus::Ok { HITS_PER_SHARD } else { 0 };
        LeafAnswer {
            call: req.call,
            status,
            effort_us,
            queued: self.waiting.load(Ordering::Relaxed),
            hits: (0..count).map(hit).collect(),
        }
    }
}

/// Measures the effort of one run, also when the leaf crashes under it.
struct Running<'a> {
    shared: &'a Shared,
    req: &'a OwnedLeafRequest,
    started: Instant,
}

impl Running<'_> {
    fn effort_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let effort_us = self.effort_us();
        self.shared.cancels.lock().unwrap().remove(&self.req.call);
        self.shared.record.note(|sums| {
            *sums.effort_us.entry(self.req.kind.clone()).or_default() += effort_us;
            *sums.calls_finished.entry(self.req.kind.clone()).or_default() += 1;
        });
    }
}
