//! Stand-in for a leaf as PROTOCOL.md tells it: a number of slots, a short queue, one request at a
//! time on a connection, echoed ids, and a seal on what it has run.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Part of the path of a request that may crash leafs.
pub const CRASHING_PATH: &str = "/crash";
/// Time after a crash until the leaf is back.
const DOWNTIME: Duration = Duration::from_secs(3);

/// What a leaf does wrong while its fault lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Sends a second copy of some of its refusals, late: at the point where the response to the
    /// next request of the connection is expected. At most this part of its answers.
    LateCopies {
        per_thousand: u64,
    },
    /// Runs the request, and fails this part of them with status 503 and a seal, without
    /// X-Not-Executed.
    FailsWith503 {
        per_thousand: u64,
    },
    /// Crashes when it begins to run a request whose path contains [`CRASHING_PATH`].
    Crashes,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub leaf: String,
    pub service: String,
}

/// All runs of all leafs, in the order of time.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    answers: u64,
    faulty_answers: u64,
    wrong: u64,
    is_down: bool,
    connections: Vec<TcpStream>,
    crashes: Vec<Instant>,
}

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    slots: u32,
    queue: u32,
    work: Duration,
    born_ms: u64,
    state: Mutex<State>,
    freed: Condvar,
    fault: Mutex<Fault>,
    runs: Runs,
    store: Arc<Store>,
    record: Arc<Record>,
}

/// What a leaf is like.
pub struct Kind {
    pub slots: u32,
    pub queue: u32,
    pub work_ms: u64,
}

impl Leaf {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        kind: Kind,
        runs: Runs,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let leaf = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().expect("it is bound"),
            slots: kind.slots,
            queue: kind.queue,
            work: Duration::from_millis(kind.work_ms),
            born_ms: 1_796_000_000_000,
            state: Mutex::default(),
            freed: Condvar::new(),
            fault: Mutex::new(Fault::None),
            runs,
            store,
            record,
        });
        leaf.publish("ready", 1);
        let acceptor = leaf.clone();
        std::thread::spawn(move || acceptor.accept(listener));
        leaf
    }

    /// Accepts connections; after a crash none for a while, and then as a new start of the leaf.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.state.lock().unwrap().is_down {
                drop((accepted, listener));
                std::thread::sleep(DOWNTIME);
                listener = loop {
                    match TcpListener::bind(self.addr) {
                        Ok(listener) => break listener,
                        Err(_) => std::thread::sleep(Duration::from_millis(50)),
                    }
                };
                self.state.lock().unwrap().is_down = false;
                self.publish("ready", 1);
                continue;
            }
            let Ok((stream, _)) = accepted else { continue };
            if let Ok(stream) = stream.try_clone() {
                self.state.lock().unwrap().connections.push(stream);
            }
            let leaf = self.clone();
            std::thread::spawn(move || leaf.serve(stream));
        }
    }

    fn crash(&self, id: &str) {
        {
            let mut state = self.state.lock().unwrap();
            if state.is_down {
                return;
            }
            state.is_down = true;
            state.crashes.push(Instant::now());
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        self.record.line(format!("leaf {} of {}: crashes by {id}", self.id, self.service));
        // Ends the wait for a connection.
        let _ = TcpStream::connect(self.addr);
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes.clone()
    }

    /// Writes the entry that the leaf keeps in the store.
    fn publish(&self, state: &str, sequence: u64) {
        self.store.put(&format!("servers/{}", self.id), &self.entry(state, sequence));
    }

    fn entry(&self, state: &str, sequence: u64) -> String {
        let Self { service, addr, zone, slots, .. } = self;
        let born_ms = self.born_ms + self.crashes().len() as u64;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"max_concurrency\":{slots},\"state\":\"{state}\",\
             \"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{born_ms}}}"
        )
    }

    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
        let mut state = self.state.lock().unwrap();
        (state.faulty_answers, state.wrong) = (0, 0);
        self.record.line(format!("leaf {}: {fault:?}", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        // A copy that is still to be sent.
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read(&mut stream, &mut buf) {
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            if let Some(copy) = late_copy.take() {
                self.record.line(format!("leaf {}: late copy, before the answer to {id}", self.id));
                if stream.write_all(&copy).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request, &id);
            if self.copies_late(&answer) {
                late_copy = Some(answer.clone());
            }
            if answer.is_empty() || stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, id: &str) -> Vec<u8> {
        let arrived = Instant::now();
        if request.target() == "/health" {
            return http::response("200 OK", &[("X-Instance-Id", &self.id)], b"");
        }
        let refuse = |status: &str| {
            self.record.line(format!("leaf {}: {id} refused, {status}", self.id));
            http::response(status, &[("X-Not-Executed", "1"), ("X-Request-Id", id)], b"")
        };
        if id.is_empty() {
            return refuse("400 Bad Request");
        }
        if request.header("x-target-instance").is_some_and(|target| target != self.id) {
            return refuse("421 Misdirected Request");
        }
        let deadline = request.header("x-request-deadline").and_then(|text| text.parse().ok());
        let deadline = arrived + Duration::from_millis(deadline.unwrap_or(60_000));
        {
            let mut state = self.state.lock().unwrap();
            if state.running >= self.slots {
                if state.waiting >= self.queue {
                    drop(state);
                    return refuse("503 Service Unavailable");
                }
                state.waiting += 1;
                while state.running >= self.slots && Instant::now() < deadline {
                    let left = deadline.saturating_duration_since(Instant::now());
                    state = self.freed.wait_timeout(state, left).unwrap().0;
                }
                state.waiting -= 1;
                if state.running >= self.slots {
                    drop(state);
                    return refuse("503 Service Unavailable");
                }
            }
            state.running += 1;
        }
        let path = request.target();
        self.record.line(format!("leaf {} of {}: runs {id} {path}", self.id, self.service));
        let (leaf, service) = (self.id.clone(), self.service.clone());
        let run = Run { id: id.to_owned(), leaf, service };
        self.runs.lock().unwrap().push(run);
        if *self.fault.lock().unwrap() == Fault::Crashes && request.target().contains(CRASHING_PATH)
        {
            self.crash(id);
            self.state.lock().unwrap().running -= 1;
            return Vec::new();
        }
        std::thread::sleep(self.work.min(deadline.saturating_duration_since(Instant::now())));
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_one();
        let seal = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id), ("X-Response-Seal", seal.as_str())];
        let status = if self.fails() {
            "503 Service Unavailable"
        } else if Instant::now() >= deadline {
            "504 Gateway Timeout"
        } else {
            "200 OK"
        };
        self.record.line(format!("leaf {}: answers {id} with {status}", self.id));
        http::response(status, &headers, format!("answer of {} to {id}", self.id).as_bytes())
    }

    /// Returns whether this answer is sent a second time, late.
    fn copies_late(&self, answer: &[u8]) -> bool {
        let Fault::LateCopies { per_thousand } = *self.fault.lock().unwrap() else { return false };
        let is_refusal = answer.starts_with(b"HTTP/1.1 503");
        self.strikes(per_thousand, is_refusal)
    }

    /// Returns whether the request that has run fails.
    fn fails(&self) -> bool {
        let Fault::FailsWith503 { per_thousand } = *self.fault.lock().unwrap() else {
            return false;
        };
        self.strikes(per_thousand, true)
    }

    /// Counts an answer, and returns whether the fault strikes it. It strikes no more than the
    /// given part of the answers since it began.
    fn strikes(&self, per_thousand: u64, fits: bool) -> bool {
        let mut state = self.state.lock().unwrap();
        state.answers += 1;
        state.faulty_answers += 1;
        let strikes = fits && (state.wrong + 1) * 1_000 <= state.faulty_answers * per_thousand;
        state.wrong += u64::from(strikes);
        strikes
    }
}
