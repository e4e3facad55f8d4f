//! Stand-in leaf: answers search calls after a simulated service time, within a number of slots and
//! connections, and simulates stragglers, shedding, draining, missing versions and crashes.

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

/// Hits in each successful answer, all of one shard.
const HITS_PER_SHARD: usize = 3;
/// Connections that may wait in the listen queue of the socket.
const BACKLOG: u32 = 1_024;

/// Behaviour of a leaf. It can change while the leaf runs; a call keeps the behaviour that it
/// arrived under.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Mean service time of a call that is neither slowed down nor a straggler.
    pub service: Duration,
    /// Probability (0 to 1) that a call is a straggler.
    pub straggler_share: f64,
    /// Factor by which the service time of a straggler is longer.
    pub straggler_factor: f64,
    /// Factor on the service time of every call.
    pub slow_factor: f64,
    /// Time between the accept of a connection and the first read from it.
    pub connect_delay: Duration,
    /// Number of calls that may wait for a slot; further calls are shed.
    pub queue_limit: u32,
    /// Number of calls after each start that are slowed down by `cold_factor`.
    pub cold_calls: u32,
    /// Factor on the service time of a call after a cold start.
    pub cold_factor: f64,
    /// Refuses every call with status `draining`, and is listed as leaving.
    pub draining: bool,
    /// Says in all answers that the leaf is leaving, but goes on serving calls.
    pub says_leaving: bool,
    /// Sheds every call, and names this time for which the leaf wants none.
    pub retry_after_ms: Option<u64>,
    /// Is listed as leaving in the next host list, but goes on serving calls.
    pub listed_leaving: bool,
    /// Runs each call, then breaks the connection instead of answering.
    pub drops_answers: bool,
    /// Puts the number of the next shard into each answer, so that the answer does not match its
    /// call.
    pub wrong_identity: bool,
    /// Time that the leaf stays unreachable after a crash.
    pub restart_time: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service: Duration::from_millis(2),
            straggler_share: 0.0,
            straggler_factor: 100.0,
            slow_factor: 1.0,
            connect_delay: Duration::ZERO,
            queue_limit: 64,
            cold_calls: 0,
            cold_factor: 5.0,
            draining: false,
            says_leaving: false,
            retry_after_ms: None,
            listed_leaving: false,
            drops_answers: false,
            wrong_identity: false,
            restart_time: Duration::from_secs(1),
        }
    }
}

/// Replicas that a leaf holds. Calls for others get status `version_unavailable`.
#[derive(Clone, Debug, Default)]
pub struct Replicas(HashSet<Replica>);

/// Identity of a replica: one shard of one version of an index.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Replica {
    /// Index that the shard is part of.
    pub index: IndexName,
    /// Version of the index.
    pub version: IndexVersion,
    /// Number of the shard.
    pub shard: ShardNo,
}

impl Replicas {
    /// Adds a replica; does nothing if the leaf holds it already.
    pub fn add(&mut self, replica: Replica) {
        self.0.insert(replica);
    }

    /// Removes the replicas of a version, of every index.
    pub fn remove_version(&mut self, version: IndexVersion) {
        self.0.retain(|replica| replica.version != version);
    }

    fn contains_call(&self, req: &OwnedLeafRequest) -> bool {
        self.0.contains(&Replica {
            index: req.index.clone(),
            version: req.call.version,
            shard: req.call.shard,
        })
    }
}

/// Time at which the leaf started to leave, and arrival time of the last call since then.
#[derive(Clone, Copy, Debug, Default)]
struct Leaving {
    began: Option<Instant>,
    last_call: Option<Instant>,
}

struct Shared {
    leaving: Mutex<Leaving>,
    host: LeafHost,
    behaviour: Mutex<Behaviour>,
    replicas: Mutex<Replicas>,
    rng: Mutex<StdRng>,
    slots: Semaphore,
    waiting: AtomicU32,
    connections: AtomicU32,
    calls_since_start: AtomicU32,
    /// Cancellation signals of the calls that are running.
    cancels: Mutex<HashMap<CallId, Arc<Notify>>>,
    record: Arc<WorkRecord>,
    /// Incremented on each crash and stop; connections of an earlier generation are closed.
    generation: watch::Sender<u64>,
    /// Whether the leaf stays down until it is started again.
    stopped: watch::Sender<bool>,
}

/// Handle to a running stand-in leaf, which stops with the runtime that it was started in.
#[derive(Clone)]
pub struct StandInLeaf {
    shared: Arc<Shared>,
}

impl StandInLeaf {
    /// Listens on `host.addr`, where port 0 picks a free one, and serves in the current runtime.
    /// `seed` initialises the generator of the random service times.
    pub async fn start(
        mut host: LeafHost,
        behaviour: Behaviour,
        replicas: Replicas,
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
            replicas: Mutex::new(replicas),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            waiting: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            calls_since_start: AtomicU32::new(0),
            cancels: Mutex::default(),
            record,
            generation: watch::channel(0).0,
            stopped: watch::channel(false).0,
        });
        tokio::spawn(serve_across_restarts(shared.clone(), listener));
        Ok(Self { shared })
    }

    /// Returns the leaf's entry for the next host list.
    pub fn host(&self) -> LeafHost {
        let behaviour = self.shared.behaviour.lock().unwrap().clone();
        let leaving = behaviour.draining || behaviour.listed_leaving;
        let state = if leaving { HostState::Leaving } else { HostState::Live };
        LeafHost { state, ..self.shared.host.clone() }
    }

    /// Changes the behaviour for calls that arrive from now on.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap());
    }

    /// Changes the replicas that the leaf holds.
    pub fn change_replicas(&self, change: impl FnOnce(&mut Replicas)) {
        change(&mut self.shared.replicas.lock().unwrap());
    }

    /// Breaks all connections and stops listening for the restart time.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts leaving: the next host list lists the leaf as leaving, and if `refuses_calls` is set,
    /// the leaf answers new calls with status `draining`.
    pub fn start_leaving(&self, refuses_calls: bool) {
        self.change_behaviour(|behaviour| {
            behaviour.draining = refuses_calls;
            behaviour.listed_leaving = true;
        });
        self.shared.leaving.lock().unwrap().began = Some(Instant::now());
    }

    /// Returns the time from the start of leaving to the arrival of the last call since then, or
    /// `None` if the leaf is not leaving or no call arrived.
    pub fn last_new_call_after_leaving(&self) -> Option<Duration> {
        let leaving = self.shared.leaving.lock().unwrap();
        Some(leaving.last_call? - leaving.began?)
    }

    /// Stops the leaf, which breaks all connections, or lets it start again.
    pub fn set_stopped(&self, stopped: bool) {
        self.shared.stopped.send_replace(stopped);
        if stopped {
            self.shared.generation.send_modify(|generation| *generation += 1);
        }
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Listens and serves; after each crash listens again on the same address when the restart time is
/// over and the leaf is not stopped.
async fn serve_across_restarts(shared: Arc<Shared>, first_listener: TcpListener) {
    let mut listener = Some(first_listener);
    loop {
        match listener.take().map_or_else(|| bind(shared.host.addr), Ok) {
            Ok(bound) => accept_until_crash(&shared, bound).await,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
        let restart_time = shared.behaviour.lock().unwrap().restart_time;
        tokio::time::sleep(restart_time).await;
        let mut stopped = shared.stopped.subscribe();
        if stopped.wait_for(|&stopped| !stopped).await.is_err() {
            return;
        }
        shared.calls_since_start.store(0, Ordering::Relaxed);
    }
}

async fn accept_until_crash(shared: &Arc<Shared>, listener: TcpListener) {
    let mut generation = shared.generation.subscribe();
    generation.mark_unchanged();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(shared.clone(), stream));
                }
            }
            _ = generation.changed() => return,
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut generation = shared.generation.subscribe();
    generation.mark_unchanged();
    if shared.connections.fetch_add(1, Ordering::Relaxed) >= shared.host.connections {
        shared.record.update(|totals| totals.refused_connections += 1);
    } else {
        let connect_delay = shared.behaviour.lock().unwrap().connect_delay;
        tokio::time::sleep(connect_delay).await;
        // If the option cannot be set, calls are only slower.
        let _ = stream.set_nodelay(true);
        let handler = {
            let shared = shared.clone();
            Arc::new(move |req| handle(shared.clone(), req))
        };
        tokio::select! {
            () = serve_connection(stream, handler) => {}
            _ = generation.changed() => {}
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
        // Reports `ok` in any state of the leaf, to expose a daemon that relies on the health
        // endpoint: it would call leafs that fail.
        "/health" => Some(StandInReply::ok("{\"status\":\"ok\"}")),
        _ => Some(StandInReply::empty(404)),
    }
}

impl Shared {
    fn crash(&self) {
        self.record.update(|totals| totals.crashes += 1);
        self.generation.send_modify(|generation| *generation += 1);
    }

    fn record_call_if_leaving(&self, now: Instant) {
        let mut leaving = self.leaving.lock().unwrap();
        if leaving.began.is_some() {
            leaving.last_call = Some(now);
            self.record.update(|totals| totals.calls_while_leaving += 1);
        }
    }

    async fn search(&self, req: OwnedLeafRequest) -> Option<LeafAnswer> {
        let arrived = Instant::now();
        let behaviour = self.behaviour.lock().unwrap().clone();
        self.record_call_if_leaving(arrived);
        if behaviour.draining {
            self.record.update(|totals| totals.calls_while_draining += 1);
            return Some(self.answer(&req, LeafStatus::Draining, 0));
        }
        if !self.replicas.lock().unwrap().contains_call(&req) {
            return Some(self.answer(&req, LeafStatus::VersionUnavailable, 0));
        }
        let is_full = self.waiting.load(Ordering::Relaxed) >= behaviour.queue_limit
            && self.slots.available_permits() == 0;
        if is_full || behaviour.retry_after_ms.is_some() {
            self.record.update(|totals| totals.sheds += 1);
            return Some(self.answer(&req, LeafStatus::Shed, 0));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let _slot = slot.ok()?;
        if arrived.elapsed() >= Duration::from_millis(req.remaining_ms) {
            return Some(self.answer(&req, LeafStatus::Expired, 0));
        }
        self.execute(req, behaviour).await
    }

    /// Runs a call in its slot. If the request has a `run` parameter, the run is counted under that
    /// value; if it has a `crash` parameter, the leaf crashes. Returns `None` if the connection is
    /// to be closed without an answer.
    async fn execute(&self, req: OwnedLeafRequest, behaviour: Behaviour) -> Option<LeafAnswer> {
        if let Some(run) = req.params.get("run").and_then(|run| run.as_str()) {
            let key = RunKey { run: run.to_owned(), shard: req.call.shard.0 };
            self.record.update(|totals| *totals.runs.entry(key).or_default() += 1);
        }
        if req.params.get("crash").is_some() {
            self.crash();
            return None;
        }
        self.record
            .update(|totals| *totals.calls_started.entry(req.kind.clone()).or_default() += 1);
        let cancel = Arc::new(Notify::new());
        self.cancels.lock().unwrap().insert(req.call, cancel.clone());
        let guard = RunGuard { shared: self, req: &req, started: Instant::now() };
        let cancelled = tokio::select! {
            () = tokio::time::sleep(self.service_time(&behaviour)) => false,
            () = cancel.notified() => true,
        };
        let effort_us = guard.effort_us();
        drop(guard);
        if behaviour.drops_answers {
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
        let (jitter, straggler) = {
            let mut rng = self.rng.lock().unwrap();
            (rng.random_range(0.7..1.3), rng.random_bool(behaviour.straggler_share))
        };
        let calls = self.calls_since_start.fetch_add(1, Ordering::Relaxed);
        let mut time = behaviour.service.mul_f64(jitter * behaviour.slow_factor);
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
        let behaviour = self.behaviour.lock().unwrap();
        let is_shed = status == LeafStatus::Shed;
        LeafAnswer {
            call: req.call,
            status,
            effort_us,
            queued: self.waiting.load(Ordering::Relaxed),
            limit_per_s: None,
            leaving: behaviour.says_leaving,
            retry_after_ms: behaviour.retry_after_ms.filter(|_| is_shed),
            hits: (0..count).map(hit).collect(),
        }
    }
}

/// Measures the effort of one run, from its start to the drop of the guard, and adds it to the
/// totals. A run that ends because its connection is closed, as by a crash of the leaf, is counted
/// too.
struct RunGuard<'a> {
    shared: &'a Shared,
    req: &'a OwnedLeafRequest,
    started: Instant,
}

impl RunGuard<'_> {
    fn effort_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let effort_us = self.effort_us();
        self.shared.cancels.lock().unwrap().remove(&self.req.call);
        self.shared.record.update(|totals| {
            *totals.effort_us.entry(self.req.kind.clone()).or_default() += effort_us;
            *totals.calls_finished.entry(self.req.kind.clone()).or_default() += 1;
        });
    }
}
