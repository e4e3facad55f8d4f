//! A stand-in for a leaf of the platform. It writes the bytes of its responses itself instead of
//! using an HTTP library, so that it can also write malformed ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_bench::bed::free_addr;
use jasmineusher_bench::proxy::Network;
use jasmineusher_bench::proxy::reset_on_close;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::Store;

/// How a leaf responds to a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs the request and responds with two records and a signature.
    #[default]
    Normal,
    /// Runs the request and responds after this many milliseconds.
    Slow(u64),
    /// Responds with status 503 and the header that guarantees that the request was not run.
    Shed,
    /// Refuses the first request on each connection. Sends a copy of that refusal when the next
    /// request arrives on the connection, then runs that request and responds to it.
    LateRefusal {
        /// Whether the refusal bears the id of the request.
        names_request: bool,
    },
    /// Responds like [`Behaviour::Shed`] after this many milliseconds.
    SlowShed(u64),
    /// Responds with status 503 without that header.
    Unavailable,
    /// Runs the request and resets the connection.
    ResetAfterRun,
    /// Runs the request and responds with status 500.
    Failure,
    /// Runs the request, responds, and sends the response to another request directly after it.
    ExtraResponse,
    /// Runs the request and closes the connection 5 bytes before the end of the response.
    Truncated,
    /// Runs the request and sends only this many bytes of its response.
    Cut {
        /// Number of bytes that are sent.
        bytes: usize,
        framing: Framing,
        ending: Ending,
    },
    /// Runs the request and responds with a body of this many bytes.
    Large(usize),
}

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    /// With the connection.
    Close,
}

/// What a leaf does after a response that it has cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Closes the connection.
    Close,
    /// Closes its direction of the connection and goes on reading.
    CloseOneWay,
    /// Keeps the connection open and sends nothing more.
    Stall,
}

/// Returns the response to the request `id` with a signature and a body of one record, and the
/// length of its head.
pub fn framed_response(signature: &str, id: &str, framing: Framing) -> (String, usize) {
    let record = format!("{:0<16}", "zz");
    let (framing, body) = match framing {
        Framing::Length => ("content-length: 16\r\n", record),
        Framing::Chunked => {
            ("transfer-encoding: chunked\r\n", format!("10\r\n{record}\r\n0\r\n\r\n"))
        }
        Framing::Close => ("connection: close\r\n", record),
    };
    // The line on the body comes first, so that a cut head may have it.
    let head = format!(
        "HTTP/1.1 200 OK\r\n{framing}x-response-seal: {signature}\r\nx-request-id: {id}\r\n\r\n"
    );
    let length = head.len();
    (head + &body, length)
}

/// How a leaf is down after a request has crashed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Downtime {
    /// Its connections are reset, and new ones are refused.
    Refusing,
    /// Its connections stay open, and nothing is answered on them or on new ones.
    Silent,
}

/// Part of a path that marks a request which crashes each leaf that starts to run it.
pub const CRASHING_PATH: &str = "/crash";
/// Time after a crash until the leaf runs again, as a new incarnation.
const RESTART_TIME: Duration = Duration::from_millis(2_300);

/// Where a leaf runs.
#[derive(Clone, Copy)]
pub struct Site<'a> {
    /// Availability zone that the leaf publishes.
    pub zone: &'a str,
    /// Network in which a fault-injecting proxy is in front of the leaf; without it there is none.
    pub network: Option<&'a Network>,
    /// How the leaf is down after a crash.
    pub downtime: Downtime,
}

/// A running stand-in leaf. It ends when its runtime does.
pub struct Leaf {
    /// Instance name, which calls must carry.
    pub instance: String,
    /// Name of the group of leafs that hold the same shard.
    pub group: String,
    /// Availability zone in its entry.
    pub zone: String,
    /// Address that daemons connect to: that of the fault-injecting proxy in front of the leaf.
    pub addr: SocketAddr,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<HashMap<String, usize>>,
    /// Value of the header by which the leaf names its rate limit, if it names one.
    limit: Mutex<Option<String>>,
    /// Whether the leaf says in all its responses that it is leaving.
    is_leaving: AtomicBool,
    /// Values of the header by which the leaf names how long it wants no requests; it accompanies
    /// responses with status 503.
    retry_after: Mutex<Vec<String>>,
    arrivals: Mutex<Vec<Instant>>,
    abandoned: AtomicUsize,
    /// Time of each crash. Its length is the number of the leaf's incarnation.
    crashes: watch::Sender<Vec<Instant>>,
}

struct Head {
    path: String,
    id: String,
    target: String,
    deadline_ms: Option<u64>,
    length: usize,
}

impl Leaf {
    /// Starts a leaf on a free port, with a fault-injecting proxy in front of it if `site` has a
    /// network, and publishes its entry. The leaf crashes when it runs a request whose path contains
    /// [`CRASHING_PATH`], and publishes a new entry when it runs again.
    pub async fn start(
        instance: &str,
        group: &str,
        site: Site<'_>,
        store: Arc<Store>,
    ) -> Arc<Self> {
        let Site { zone, network, downtime } = site;
        let listen_addr = free_addr();
        let listener = TcpListener::bind(listen_addr).await.expect("the port is free");
        let addr = match network {
            Some(network) => {
                network.start_proxy(free_addr(), listen_addr).await.expect("the proxy starts")
            }
            None => listen_addr,
        };
        let leaf = Arc::new(Self {
            instance: instance.to_owned(),
            group: group.to_owned(),
            zone: zone.to_owned(),
            addr,
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            limit: Mutex::default(),
            is_leaving: AtomicBool::default(),
            retry_after: Mutex::default(),
            arrivals: Mutex::default(),
            abandoned: AtomicUsize::new(0),
            crashes: watch::Sender::default(),
        });
        store.put_leaf(&leaf, "ready", 1);
        tokio::spawn(leaf.clone().run_incarnations(listener, store, downtime));
        leaf
    }

    async fn run_incarnations(
        self: Arc<Self>,
        mut listener: TcpListener,
        store: Arc<Store>,
        downtime: Downtime,
    ) {
        let mut crashes = self.crashes.subscribe();
        let listen_addr = listener.local_addr().expect("it is bound");
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::spawn(self.clone().serve_until_crash(stream, downtime));
                    continue;
                }
                _ = crashes.changed() => {}
            }
            if downtime == Downtime::Refusing {
                drop(listener);
                tokio::time::sleep(RESTART_TIME).await;
                listener = TcpListener::bind(listen_addr).await.expect("the port is still free");
            } else {
                tokio::time::sleep(RESTART_TIME).await;
            }
            store.put_leaf(&self, "ready", 1);
        }
    }

    async fn serve_until_crash(self: Arc<Self>, mut stream: TcpStream, downtime: Downtime) {
        let mut crashes = self.crashes.subscribe();
        tokio::select! {
            () = self.clone().serve(&mut stream) => return,
            _ = crashes.changed() => {}
        }
        if downtime == Downtime::Silent {
            tokio::time::sleep(RESTART_TIME).await;
        }
        reset_on_close(&stream);
    }

    /// Makes the leaf crash, whatever it is running.
    pub fn crash(&self) {
        self.crashes.send_modify(|crashes| crashes.push(Instant::now()));
    }

    /// Returns the time of each crash of this leaf.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.borrow().clone()
    }

    /// Returns the start of the leaf's present incarnation, as published in its entry.
    pub fn born_ms(&self) -> u64 {
        1_784_903_585_067 + self.crashes.borrow().len() as u64
    }

    /// Sets how the leaf responds from the next request on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Returns how often this leaf started to run the request with this id.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or_default()
    }

    /// Returns how many requests arrived, including those that were refused.
    pub fn arrivals(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    /// Returns the time of each arrival of a request, including those that were refused.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Sets the rate limit that the leaf names from its next response on; `None` for none.
    pub fn set_limit(&self, limit: Option<&str>) {
        *self.limit.lock().unwrap() = limit.map(str::to_owned);
    }

    /// Sets whether the leaf says from its next response on that it is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Sets for how long the leaf wants no requests, as its next responses with status 503 name it;
    /// one header for each value.
    pub fn set_retry_after(&self, values: &[&str]) {
        *self.retry_after.lock().unwrap() = values.iter().map(|v| (*v).to_owned()).collect();
    }

    /// Returns how many slow requests the daemon abandoned by closing their connection.
    pub fn abandoned(&self) -> usize {
        self.abandoned.load(Ordering::Relaxed)
    }

    async fn serve(self: Arc<Self>, stream: &mut TcpStream) {
        let mut buf = Vec::new();
        let mut refusal = None;
        while let Some(head) = read_request(stream, &mut buf).await {
            self.arrivals.lock().unwrap().push(Instant::now());
            if head.target != self.instance {
                let text = "HTTP/1.1 421 Misdirected Request\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            assert!(
                head.deadline_ms.is_some_and(|ms| ms <= 2_000),
                "the call carries no remaining time of at most 2 s"
            );
            let behaviour = *self.behaviour.lock().unwrap();
            if let Behaviour::LateRefusal { names_request } = behaviour {
                let is_first = refusal.is_none();
                let id = names_request.then_some(head.id.as_str());
                let text = refusal.get_or_insert_with(|| refusal_of(id));
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                if is_first {
                    continue;
                }
            }
            let is_run = !matches!(
                behaviour,
                Behaviour::Shed | Behaviour::SlowShed(_) | Behaviour::Unavailable
            );
            if is_run {
                *self.runs.lock().unwrap().entry(head.id.clone()).or_default() += 1;
            }
            if head.path.contains(CRASHING_PATH) {
                self.crash();
                // The connection is closed, or falls silent, where the crash is observed.
                return std::future::pending().await;
            }
            if let Behaviour::Slow(ms) | Behaviour::SlowShed(ms) = behaviour {
                let mut byte = [0];
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(ms)) => {}
                    _ = stream.peek(&mut byte) => {
                        self.abandoned.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                }
            }
            if self.respond(stream, &head, behaviour).await.is_none() {
                return;
            }
        }
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        behaviour: Behaviour,
    ) -> Option<()> {
        let Head { id, .. } = head;
        let signature = format!("{}.{id}", self.instance);
        let record = format!("{:0<16}{:0<16}", self.instance, format!("z{}", self.instance));
        let limit = self.limit.lock().unwrap().clone();
        let limit = limit.map_or_else(String::new, |limit| format!("server-limit: {limit}\r\n"));
        let leaving = self.is_leaving.load(Ordering::Relaxed);
        let leaving = if leaving { "server-leaving: 1\r\n" } else { "" };
        let retry_after = self.retry_after.lock().unwrap().clone();
        let retry_after: String =
            retry_after.iter().map(|value| format!("retry-after: {value}\r\n")).collect();
        let answer = |status: &str, id: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-seal: {signature}\r\n\
                 {limit}{leaving}content-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let text = match behaviour {
            Behaviour::ResetAfterRun => {
                reset_on_close(stream);
                return None;
            }
            Behaviour::Shed | Behaviour::SlowShed(_) => format!(
                "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\nx-request-id: {id}\r\n\
                 {leaving}{retry_after}content-length: 0\r\n\r\n"
            ),
            Behaviour::Unavailable => format!(
                "HTTP/1.1 503 Busy\r\nx-request-id: {id}\r\nx-response-seal: {signature}\r\n\
                 {leaving}{retry_after}content-length: 0\r\n\r\n"
            ),
            Behaviour::Failure => answer("500 Failed", id, "failed"),
            Behaviour::ExtraResponse => {
                answer("200 OK", id, &record) + &answer("200 OK", "another", "of another")
            }
            Behaviour::Truncated => {
                let response = answer("200 OK", id, &record);
                stream.write_all(&response.as_bytes()[..response.len() - 5]).await.ok()?;
                return None;
            }
            Behaviour::Cut { bytes, framing, ending } => {
                let (text, _) = framed_response(&signature, id, framing);
                stream.write_all(&text.as_bytes()[..bytes.min(text.len())]).await.ok()?;
                match ending {
                    Ending::Close => {}
                    Ending::CloseOneWay => {
                        stream.shutdown().await.ok()?;
                        // Ends when the daemon closes its direction.
                        while stream.read(&mut [0; 1_024]).await.is_ok_and(|bytes| bytes > 0) {}
                    }
                    Ending::Stall => std::future::pending().await,
                }
                return None;
            }
            Behaviour::Large(bytes) => answer("200 OK", id, &"x".repeat(bytes)),
            Behaviour::Normal | Behaviour::Slow(_) | Behaviour::LateRefusal { .. } => {
                answer("200 OK", id, &record)
            }
        };
        stream.write_all(text.as_bytes()).await.ok()
    }
}

/// Returns a refusal of the request with this id, or one that does not say which request it is of.
fn refusal_of(id: Option<&str>) -> String {
    let id = id.map_or_else(String::new, |id| format!("x-request-id: {id}\r\n"));
    format!("HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n{id}content-length: 0\r\n\r\n")
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Head> {
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.map(str::to_owned)
    };
    let head = Head {
        path: text.split(' ').nth(1).unwrap_or_default().to_owned(),
        id: field("x-request-id").unwrap_or_default(),
        target: field("x-target-instance").unwrap_or_default(),
        deadline_ms: field("x-request-deadline").and_then(|text| text.parse().ok()),
        length: field("content-length").and_then(|text| text.parse().ok()).unwrap_or_default(),
    };
    buf.drain(..end);
    while buf.len() < head.length {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    buf.drain(..head.length);
    Some(head)
}
