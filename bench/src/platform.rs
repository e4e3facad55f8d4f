//! Stand-in platform: serves versioned documents that daemons read and watch, and simulates an
//! outage, stale reads and a read limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::documents::DocumentKind;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_service::StandInReply;
use crate::http_service::StandInRequest;
use crate::http_service::serve_connection;

/// State of the platform. It can change while the platform runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformState {
    /// Serves the newest documents.
    #[default]
    Up,
    /// Answers every call with status 503.
    Down,
    /// Serves the documents as they were when the state was set, even if the reader has a newer
    /// revision.
    Stale,
}

#[derive(Clone, Debug, Default)]
struct PublishedDocument {
    revision: u64,
    body: Bytes,
}

/// Documents by the name of their kind, and the counts of calls.
#[derive(Debug, Default)]
struct Store {
    current: HashMap<&'static str, PublishedDocument>,
    stale: HashMap<&'static str, PublishedDocument>,
    state: PlatformState,
    calls: u64,
    refused: u64,
    read_limit: Option<u64>,
    /// Start of the current second, in which calls count against the read limit.
    window_start: Option<Instant>,
    calls_in_window: u64,
}

struct Shared {
    store: Mutex<Store>,
    /// Number of changes to the store; notifies the waiting watches.
    changed: watch::Sender<u64>,
}

/// Handle to a running stand-in platform, which stops with the runtime that it was started in.
#[derive(Clone)]
pub struct StandInPlatform {
    /// Address that the platform listens on.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl StandInPlatform {
    /// Listens on `addr`, where port 0 picks a free one, and serves in the current runtime.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let store = Mutex::new(Store::default());
        let shared = Arc::new(Shared { store, changed: watch::channel(0).0 });
        tokio::spawn(accept(shared.clone(), listener));
        Ok(Self { addr, shared })
    }

    /// Publishes a document under the next revision of its kind and returns that revision.
    pub fn publish(&self, kind: DocumentKind, body: impl Into<Bytes>) -> u64 {
        let revision = {
            let mut store = self.shared.store.lock().unwrap();
            let document = store.current.entry(kind.name()).or_default();
            document.revision += 1;
            document.body = body.into();
            document.revision
        };
        self.shared.changed.send_modify(|n| *n += 1);
        revision
    }

    /// Replaces a document by `body` at revision 1, as if the platform was restored from an old
    /// copy.
    pub fn rewind(&self, kind: DocumentKind, body: impl Into<Bytes>) {
        let document = PublishedDocument { revision: 1, body: body.into() };
        self.shared.store.lock().unwrap().current.insert(kind.name(), document);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Changes the state. The current documents become those that [`PlatformState::Stale`] serves.
    pub fn set_state(&self, state: PlatformState) {
        {
            let mut store = self.shared.store.lock().unwrap();
            store.state = state;
            store.stale = store.current.clone();
        }
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Limits the calls per second of all readers together; calls above the limit get status 429.
    /// `None` removes the limit.
    pub fn set_read_limit(&self, limit: Option<u64>) {
        self.shared.store.lock().unwrap().read_limit = limit;
    }

    /// Returns the number of calls since the start, including refused ones. A watch counts as one
    /// call, however long it waits.
    pub fn calls(&self) -> u64 {
        self.shared.store.lock().unwrap().calls
    }

    /// Returns the number of calls refused over the read limit since the start.
    pub fn refused(&self) -> u64 {
        self.shared.store.lock().unwrap().refused
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let handler = Arc::new(move |req| handle(shared.clone(), req));
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, handler.clone()));
        }
    }
}

/// Answers one read. Without a revision above `after`, waits up to `wait_ms` for one and then
/// answers 204.
async fn handle(shared: Arc<Shared>, req: StandInRequest) -> Option<StandInReply> {
    if !shared.store.lock().unwrap().admit_call(Instant::now()) {
        return Some(StandInReply::empty(429));
    }
    let query_value = |name: &str| {
        let pairs = req.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    let after = query_value("after").unwrap_or(0);
    let wait = Duration::from_millis(query_value("wait_ms").unwrap_or(0));
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        let reply = shared.store.lock().unwrap().reply(&req.path, after);
        if reply.status != 204 {
            return Some(reply);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return Some(reply);
        }
    }
}

impl Store {
    /// Counts a call and returns whether the read limit allows it.
    fn admit_call(&mut self, now: Instant) -> bool {
        self.calls += 1;
        let in_window = self.window_start.is_some_and(|began| now - began < Duration::from_secs(1));
        if !in_window {
            self.window_start = Some(now);
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        let allowed = self.read_limit.is_none_or(|limit| self.calls_in_window <= limit);
        self.refused += u64::from(!allowed);
        allowed
    }

    fn reply(&self, path: &str, after: u64) -> StandInReply {
        let documents = match self.state {
            PlatformState::Up => &self.current,
            PlatformState::Stale => &self.stale,
            PlatformState::Down => return StandInReply::empty(503),
        };
        match documents.get(path.trim_start_matches('/')) {
            Some(document) if document.revision > after || self.state == PlatformState::Stale => {
                let revision = Some(document.revision);
                StandInReply { revision, ..StandInReply::ok(document.body.clone()) }
            }
            _ => StandInReply::empty(204),
        }
    }
}
