//! Stand-in for a leaf: registers itself, runs requests, and can crash and start again.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::http::Reader;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a leaf writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Number of requests that a leaf runs at once, and that it queues beside them (`salon-portal`).
const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Time after a start for which a leaf is slow, and how much longer work takes then.
const COLD: Duration = Duration::from_secs(3);
const COLD_FACTOR: f64 = 1.6;

/// A request that a leaf has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Name of the leaf's service.
    pub service: String,
    /// Id of the leaf.
    pub leaf: String,
    /// When it reached the leaf, since the start of the run.
    pub at: Duration,
}

/// All that leafs have run. Clones refer to the same list.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A leaf. Clones are the same leaf.
#[derive(Clone)]
pub struct Leaf {
    inner: Arc<Inner>,
}

struct Inner {
    id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    work: Duration,
    store: Store,
    record: Record,
    runs: Runs,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    sequence: AtomicU64,
    born_ms: AtomicU64,
    started: Mutex<Instant>,
    /// What the entry in the store says, but for its sequence.
    published: Mutex<String>,
    /// Numbers of requests that run and that wait for a slot.
    load: Mutex<(usize, usize)>,
    slot_freed: Condvar,
    open: Mutex<Vec<TcpStream>>,
}

/// Settings of a leaf.
pub struct LeafSettings<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub addr: SocketAddr,
    /// Time for which a request runs.
    pub work: Duration,
}

impl Leaf {
    /// Starts a leaf and registers it.
    pub fn start(
        settings: LeafSettings<'_>,
        store: &Store,
        runs: &Runs,
        record: &Record,
    ) -> std::io::Result<Self> {
        let leaf = Self {
            inner: Arc::new(Inner {
                id: settings.id.to_owned(),
                service: settings.service.to_owned(),
                zone: settings.zone.to_owned(),
                addr: settings.addr,
                work: settings.work,
                store: store.clone(),
                record: record.clone(),
                runs: runs.clone(),
                is_up: AtomicBool::new(false),
                is_draining: AtomicBool::new(false),
                sequence: AtomicU64::new(0),
                born_ms: AtomicU64::new(0),
                started: Mutex::new(Instant::now()),
                published: Mutex::default(),
                load: Mutex::default(),
                slot_freed: Condvar::new(),
                open: Mutex::default(),
            }),
        };
        leaf.come_up(0)?;
        let beating = leaf.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            beating.beat();
        });
        Ok(leaf)
    }

    /// Crashes, or exits: the listener and all connections are closed.
    pub fn crash(&self) {
        self.inner.is_up.store(false, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.inner.addr);
        for stream in self.inner.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts, or starts again after a crash under the same id. The time of day on its machine
    /// differs from the true one by `clock_ms`.
    pub fn come_up(&self, clock_ms: i64) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.inner.addr)?;
        self.inner.is_up.store(true, Ordering::SeqCst);
        self.inner.sequence.store(0, Ordering::SeqCst);
        *self.inner.started.lock().unwrap() = Instant::now();
        self.inner.published.lock().unwrap().clear();
        let true_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        self.inner.born_ms.store(true_ms.saturating_add_signed(clock_ms), Ordering::SeqCst);
        let leaf = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if !leaf.inner.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    leaf.inner.open.lock().unwrap().push(copy);
                }
                let leaf = leaf.clone();
                std::thread::spawn(move || drop(leaf.serve(stream)));
            }
        });
        self.beat();
        Ok(())
    }

    /// Removes the entry of a leaf that has been silent.
    pub fn expire(&self) {
        self.inner.store.remove(&format!("servers/{}", self.inner.id));
    }

    /// Reports that it is draining, and returns when the store has accepted that.
    pub fn drain(&self) {
        self.inner.is_draining.store(true, Ordering::SeqCst);
        self.beat();
    }

    /// Writes the entry. It changes only when more than `sequence` changes.
    fn beat(&self) {
        let Inner { id, service, zone, addr, store, is_up, sequence, born_ms, published, .. } =
            &*self.inner;
        if !is_up.load(Ordering::SeqCst) {
            return;
        }
        let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let born = born_ms.load(Ordering::SeqCst);
        let state = if self.is_draining() { "draining" } else { "ready" };
        let cold_left_ms = self.cold_left().as_millis();
        let content = format!(
            "\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"max_concurrency\":{SLOTS},\"state\":\"{state}\",\"cold_left_ms\":{cold_left_ms},\"born\":{born}"
        );
        let mut published = published.lock().unwrap();
        if *published != content {
            store.put(&format!("servers/{id}"), &format!("{{{content},\"sequence\":{sequence}}}"));
            *published = content;
        }
    }

    fn is_draining(&self) -> bool {
        self.inner.is_draining.load(Ordering::SeqCst)
    }

    fn cold_left(&self) -> Duration {
        COLD.saturating_sub(self.inner.started.lock().unwrap().elapsed())
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(request) = reader.message()? {
            if !self.inner.is_up.load(Ordering::SeqCst) {
                return Ok(());
            }
            let (head, body) = self.answer(&request);
            let is_leaving = self.is_draining();
            let close = if is_leaving { "Connection: close\r\n" } else { "" };
            let length = body.len();
            let text = format!("HTTP/1.1 {head}{close}Content-Length: {length}\r\n\r\n{body}");
            stream.write_all(text.as_bytes())?;
            if is_leaving {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Waits for a slot. Returns false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut load = self.inner.load.lock().unwrap();
        if load.0 >= SLOTS {
            if load.1 >= QUEUE {
                return false;
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                load = self.inner.slot_freed.wait(load).unwrap();
            }
            load.1 -= 1;
        }
        load.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.inner.load.lock().unwrap().0 -= 1;
        self.inner.slot_freed.notify_one();
    }

    /// Returns status and headers of an answer, and its body.
    fn answer(&self, request: &Message) -> (String, String) {
        let Inner { id: leaf, record, .. } = &*self.inner;
        let id = request.header("x-request-id").to_owned();
        let target = request.header("x-target-instance");
        if !target.is_empty() && target != leaf {
            let head = format!(
                "421 Misdirected Request\r\nX-Request-Id: {id}\r\nX-Instance-Id: {leaf}\r\n"
            );
            return (head, String::new());
        }
        let arrived = (Instant::now(), record.now());
        if !self.take_slot() {
            return (refusal(&id), String::new());
        }
        let answer = self.answer_in_slot(request, &id, arrived);
        self.free_slot();
        answer
    }

    fn answer_in_slot(
        &self,
        request: &Message,
        id: &str,
        (arrived, at): (Instant, Duration),
    ) -> (String, String) {
        let Inner { id: leaf, service, work, runs, record, .. } = &*self.inner;
        if request.request_line().1 == "/health" {
            let status = if self.is_draining() { "503 Draining" } else { "200 OK" };
            return (format!("{status}\r\nX-Instance-Id: {leaf}\r\n"), String::new());
        }
        let deadline = request.header("x-request-deadline").parse().map(Duration::from_millis);
        let left = deadline.unwrap_or(Duration::MAX).saturating_sub(arrived.elapsed());
        if left.is_zero() {
            return (refusal(id), String::new());
        }
        let run = Run { id: id.to_owned(), service: service.clone(), leaf: leaf.clone(), at };
        runs.lock().unwrap().push(run);
        record.line(&format!("leaf {leaf} of {service} runs {id}"));
        let is_cold = !self.cold_left().is_zero();
        let work = if is_cold { work.mul_f64(COLD_FACTOR) } else { *work };
        std::thread::sleep(work.min(left));
        let status = if work > left { "504 Deadline" } else { "200 OK" };
        let head = format!("{status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: {leaf}.{id}\r\n");
        (head, format!("{leaf} has run {id}"))
    }
}

/// Returns status and headers of the answer to a request that has not run.
fn refusal(id: &str) -> String {
    format!("503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: {id}\r\n")
}
