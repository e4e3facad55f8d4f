//! Memory that this host uses for its callers: request bodies, and answers until they are written.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::answer_bytes::BodyMemory;
use crate::events::Event;
use crate::held_answers::ConnectionId;
use crate::held_answers::HeldAnswers;
use crate::log_event;

/// Memory for answers that callers have not read yet, in bytes.
const ANSWER_BYTES: usize = 24 << 20;
/// Memory for the bodies of all requests in progress, in bytes.
const REQUEST_BYTES: usize = 16 << 20;
/// Size of an answer from which on it is counted, in bytes. Smaller ones fit into the buffers of
/// their sockets.
const MIN_COUNTED_BYTES: usize = 1 << 10;
/// Interval between two searches for connections to close.
const CLOSE_INTERVAL: Duration = Duration::from_millis(100);

/// Memory for callers, shared by all connections.
#[derive(Debug)]
pub struct CallerMemory {
    /// Memory for the bodies of requests.
    pub requests: BodyMemory,
    answers: Mutex<HeldAnswers>,
    /// Notified to close the connection.
    closers: Mutex<HashMap<ConnectionId, Arc<Notify>>>,
    next_id: AtomicU64,
    closed_at: Mutex<Option<Instant>>,
}

impl Default for CallerMemory {
    fn default() -> Self {
        Self {
            requests: BodyMemory::new(REQUEST_BYTES),
            answers: Mutex::new(HeldAnswers::new(ANSWER_BYTES)),
            closers: Mutex::default(),
            next_id: AtomicU64::new(0),
            closed_at: Mutex::default(),
        }
    }
}

impl CallerMemory {
    /// Registers a connection that was accepted from `addr`.
    pub fn connect(self: &Arc<Self>, addr: Option<IpAddr>) -> CallerConnection {
        let id = ConnectionId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let close = Arc::new(Notify::new());
        self.closers.lock().unwrap().insert(id, close.clone());
        CallerConnection { memory: self.clone(), id, addr, close }
    }

    /// Returns whether a new request of the caller at `addr` is taken.
    pub fn admits(&self, addr: Option<IpAddr>, now: Instant) -> bool {
        self.answers.lock().unwrap().admits(addr, now)
    }

    /// Returns the number of bytes of answers that callers have not read yet.
    pub fn unread_bytes(&self) -> usize {
        self.answers.lock().unwrap().used()
    }

    /// Closes connections that have not read their answers for long, if their bytes are needed.
    /// Returns how many.
    pub fn close_stalled(&self, now: Instant) -> usize {
        {
            let mut closed_at = self.closed_at.lock().unwrap();
            let is_due = |at: Instant| now.saturating_duration_since(at) >= CLOSE_INTERVAL;
            if !closed_at.is_none_or(is_due) {
                return 0;
            }
            *closed_at = Some(now);
        }
        let stalled = self.answers.lock().unwrap().stalled(now);
        let closers = self.closers.lock().unwrap();
        for connection in &stalled {
            if let Some(close) = closers.get(&connection.id) {
                close.notify_one();
            }
            log_event!(
                info,
                Event::SlowReaderClosed,
                caller = connection.addr.map(|addr| addr.to_string()).unwrap_or_default(),
                bytes = connection.bytes,
                unread_ms = connection.unread_for.as_millis() as u64
            );
        }
        stalled.len()
    }
}

/// One connection of a caller, as far as memory is concerned.
#[derive(Debug)]
pub struct CallerConnection {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    addr: Option<IpAddr>,
    close: Arc<Notify>,
}

impl CallerConnection {
    /// Returns the caller's address, if it is known.
    pub fn addr(&self) -> Option<IpAddr> {
        self.addr
    }

    /// Returns the body of an answer, which counts as held until its last copy is dropped.
    pub fn hold(&self, body: Bytes, now: Instant) -> Bytes {
        if body.len() < MIN_COUNTED_BYTES {
            return body;
        }
        self.memory.answers.lock().unwrap().add(self.id, self.addr, body.len(), now);
        Bytes::from_owner(HeldBody { memory: self.memory.clone(), id: self.id, body })
    }

    /// Returns what records that the connection took bytes.
    pub fn progress(&self) -> impl FnMut(Instant) + Send + Unpin + use<> {
        let (memory, id) = (self.memory.clone(), self.id);
        move |now| memory.answers.lock().unwrap().record_progress(id, now)
    }

    /// Completes when the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.memory.closers.lock().unwrap().remove(&self.id);
    }
}

/// The body of an answer that is not written yet.
struct HeldBody {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    body: Bytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.memory.answers.lock().unwrap().remove(self.id, self.body.len());
    }
}
