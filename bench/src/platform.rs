//! Stand-in platform: versioned documents that can be read and watched, and that can be down,
//! stale or over their read limit.

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

/// How the platform behaves; may be changed while it runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformState {
    /// Answers with the newest documents.
    #[default]
    Up,
    /// Answers every call with an error.
    Down,
    /// Answers with the documents of the time when it became stale.
    Stale,
}

#[derive(Clone, Debug, Default)]
struct Published {
    revision: u64,
    body: Bytes,
}

#[derive(Debug, Default)]
struct Store {
    present: HashMap<&'static str, Published>,
    stale: HashMap<&'static str, Published>,
    mood: PlatformState,
    calls: u64,
    refused: u64,
    read_limit: Option<u64>,
    second_began: Option<Instant>,
    calls_this_second: u64,
}

struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
}

/// A running stand-in platform. It ends when its runtime does.
#[derive(Clone)]
pub struct StandInPlatform {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl StandInPlatform {
    /// Binds the platform and serves in the present runtime.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let store = Mutex::new(Store::default());
        let shared = Arc::new(Shared { store, changed: watch::channel(0).0 });
        tokio::spawn(accept(shared.clone(), listener));
        Ok(Self { addr, shared })
    }

    /// Publishes a document under the next revision and returns that.
    pub fn publish(&self, kind: DocumentKind, body: impl Into<Bytes>) -> u64 {
        let revision = {
            let mut store = self.shared.store.lock().unwrap();
            let published = store.present.entry(kind.name()).or_default();
            published.revision += 1;
            published.body = body.into();
            published.revision
        };
        self.shared.changed.send_modify(|n| *n += 1);
        revision
    }

    /// Puts back an older body under the first revision, as a stale copy would have it.
    pub fn rewind(&self, kind: DocumentKind, body: impl Into<Bytes>) {
        let published = Published { revision: 1, body: body.into() };
        self.shared.store.lock().unwrap().present.insert(kind.name(), published);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Changes the mood.
    pub fn set_state(&self, mood: PlatformState) {
        {
            let mut store = self.shared.store.lock().unwrap();
            store.mood = mood;
            store.stale = store.present.clone();
        }
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Limits the calls per second, over all readers.
    pub fn set_read_limit(&self, limit: Option<u64>) {
        self.shared.store.lock().unwrap().read_limit = limit;
    }

    /// Returns the calls counted so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.shared.store.lock().unwrap().calls
    }

    /// Returns the calls refused over the read limit.
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

async fn handle(shared: Arc<Shared>, req: StandInRequest) -> Option<StandInReply> {
    if !shared.store.lock().unwrap().count_call(Instant::now()) {
        return Some(StandInReply::empty(429));
    }
    let number = |name: &str| {
        let pairs = req.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    let after = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let give_up = tokio::time::Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        let reply = shared.store.lock().unwrap().reply(&req.path, after);
        if reply.status != 204 {
            return Some(reply);
        }
        if tokio::time::timeout_at(give_up, changed.changed()).await.is_err() {
            return Some(reply);
        }
    }
}

impl Store {
    fn count_call(&mut self, now: Instant) -> bool {
        self.calls += 1;
        let in_second = self.second_began.is_some_and(|began| now - began < Duration::from_secs(1));
        if !in_second {
            self.second_began = Some(now);
            self.calls_this_second = 0;
        }
        self.calls_this_second += 1;
        let allowed = self.read_limit.is_none_or(|limit| self.calls_this_second <= limit);
        self.refused += u64::from(!allowed);
        allowed
    }

    fn reply(&self, path: &str, after: u64) -> StandInReply {
        let documents = match self.mood {
            PlatformState::Up => &self.present,
            PlatformState::Stale => &self.stale,
            PlatformState::Down => return StandInReply::empty(503),
        };
        match documents.get(path.trim_start_matches('/')) {
            Some(published) if published.revision > after || self.mood == PlatformState::Stale => {
                let revision = Some(published.revision);
                StandInReply { revision, ..StandInReply::ok(published.body.clone()) }
            }
            _ => StandInReply::empty(204),
        }
    }
}
