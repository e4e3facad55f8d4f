//! Serves callers of opaque requests over HTTP/1.1.
//!
//! This uses `hyper` instead of `xitca-web`, since idle timeouts follow the configuration, a
//! leaving process closes each connection individually, and a request's future is dropped when its
//! caller disconnects, which cancels its calls.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::answer_bytes::BodyReservation;
use crate::caller_codec::CallerCodec;
use crate::caller_memory::CallerConnection;
use crate::caller_memory::CallerMemory;
use crate::connection_activity::ConnectionAction;
use crate::connection_activity::ConnectionActivity;
use crate::events::Event;
use crate::forwarded_request::ForwardedAnswer;
use crate::forwarded_request::ForwardedRequest;
use crate::log_event;
use crate::opaque::LocalAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque_answer::shutdown_refusal;
use crate::opaque_answer::with_jitter;
use crate::opaque_catalogue::CallerLimits;
use crate::opaque_coordinator::OpaqueCoordinator;
use crate::opaque_coordinator::Unreached;
use crate::opaque_view::ViewCell;
use crate::request_forwarder::RequestForwarder;
use crate::retry_after::OTHER_HOST_RETRY;
use crate::room_forwarding::RoomForwarder;
use crate::socket;
use crate::watched_stream::WatchedStream;

/// Longest time that reading the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Smallest buffer that the HTTP library accepts for a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Server for callers of opaque requests.
pub struct Edge {
    coordinator: OpaqueCoordinator,
    views: Arc<ViewCell>,
    codec: Box<dyn CallerCodec>,
    leaving: AtomicBool,
    closing: AtomicBool,
    connections: AtomicUsize,
    in_progress: AtomicUsize,
    memory: Arc<CallerMemory>,
}

impl Edge {
    /// Creates a server that has no connections yet.
    pub fn new(
        coordinator: OpaqueCoordinator,
        views: Arc<ViewCell>,
        codec: Box<dyn CallerCodec>,
    ) -> Self {
        Self {
            coordinator,
            views,
            codec,
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
            memory: Arc::default(),
        }
    }

    /// Sets what passes requests on to other hosts. Has no effect if it is set already.
    pub fn set_forwarder(&self, forwarder: Box<dyn RequestForwarder>) {
        self.coordinator.set_forwarder(forwarder);
    }

    /// Sets what passes requests on to faster hosts of the zone. Has no effect if it is set already.
    pub fn set_room_forwarder(&self, forwarder: Box<dyn RoomForwarder>) {
        self.coordinator.set_room_forwarder(forwarder);
    }

    /// Closes each connection after its next answer from now on. Requests in progress are answered
    /// at `ends_at` with what their leafs have answered by then, and those that cannot end before it
    /// are refused.
    pub fn start_leaving(&self, ends_at: Instant) {
        self.leaving.store(true, Ordering::Relaxed);
        self.coordinator.tier.shutdown.start(ends_at);
    }

    /// Closes connections that are idle, and from now on each other one shortly after it becomes
    /// idle.
    pub fn close_idle_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Returns whether [`Edge::start_leaving`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of answers that callers have not read yet.
    pub fn unread_bytes(&self) -> usize {
        self.memory.unread_bytes()
    }

    /// Answers a request that another host has passed on. The message is encoded, as is the reply.
    /// Fails if the message does not decode.
    pub async fn answer_forwarded(&self, body: &[u8]) -> Result<Bytes, rmp_serde::decode::Error> {
        let forwarded: ForwardedRequest = rmp_serde::from_slice(body)?;
        let _in_progress = CountGuard::new(&self.in_progress);
        let state = forwarded.state;
        let now = Instant::now();
        let arrived_at = now.checked_sub(state.elapsed).unwrap_or(now);
        let refused = Unreached { spent_attempts: 0, not_run: true };
        let answer = match forwarded.into_request() {
            Some(req) if !self.is_leaving() => {
                self.coordinator.answer_forwarded(req, state.attempts, arrived_at).await
            }
            _ => Err(refused),
        };
        let reply = match answer {
            Ok(answer) => ForwardedAnswer::from(answer),
            Err(Unreached { spent_attempts, not_run }) => {
                ForwardedAnswer::NotTaken { spent_attempts, not_run }
            }
        };
        Ok(rmp_serde::to_vec(&reply).expect("message types serialise").into())
    }

    fn limits(&self) -> CallerLimits {
        let view = self.views.get();
        view.catalogue.as_ref().map(|c| c.caller_limits).unwrap_or_default()
    }

    /// Accepts and serves connections for as long as the process runs.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let handle_connection = |stream| drop(tokio::spawn(self.clone().handle_connection(stream)));
        socket::accept_connections(listener, handle_connection).await;
    }

    async fn handle_connection(self: Arc<Self>, stream: TcpStream) {
        let _open = CountGuard::new(&self.connections);
        let connection = self.memory.connect(stream.peer_addr().map(|addr| addr.ip()).ok());
        // Without these options, the connection still works, but answers may be delayed and it
        // takes longer to detect a caller that no longer responds.
        let _ = stream.set_nodelay(true).and_then(|()| socket::enable_caller_keepalive(&stream));
        let activity = Arc::new(Mutex::new(ConnectionActivity::new(Instant::now())));
        let monitored = activity.clone();
        let on_read = move |bytes| {
            if bytes > 0 {
                monitored.lock().unwrap().record_read(Instant::now());
            }
            Ok(())
        };
        let mut progress = connection.progress();
        let on_write = move || progress(Instant::now());
        let io = TokioIo::new(WatchedStream::new(stream, on_read, on_write));
        let service = service_fn(|req| self.handle(&connection, req, &activity));
        let buffer = self.limits().head_bytes.max(MIN_BUFFER_BYTES);
        let conn = http1::Builder::new().max_buf_size(buffer).serve_connection(io, service);
        let mut conn = pin!(conn);
        let mut next_check = Instant::now();
        let mut shutdown_started = false;
        loop {
            tokio::select! {
                biased;
                _ = conn.as_mut() => return,
                () = connection.closed() => return,
                () = tokio::time::sleep_until(next_check.into()), if !shutdown_started => {}
            }
            let now = Instant::now();
            let closing = self.closing.load(Ordering::Relaxed);
            let next_action = activity.lock().unwrap().next_action(&self.limits(), closing, now);
            match next_action {
                ConnectionAction::Keep(at) => next_check = at,
                ConnectionAction::Close => {
                    conn.as_mut().graceful_shutdown();
                    shutdown_started = true;
                }
                ConnectionAction::Abort => return,
            }
        }
    }

    async fn handle(
        &self,
        connection: &CallerConnection,
        req: Request<Incoming>,
        activity: &Mutex<ConnectionActivity>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let arrived = Instant::now();
        activity.lock().unwrap().record_request(arrived);
        let _in_progress = CountGuard::new(&self.in_progress);
        let answer = self.answer(connection.addr(), req, arrived).await;
        let response = self.codec.response(answer);
        let mut response = response.map(|body| Full::new(connection.hold(body, Instant::now())));
        self.close_stalled(Instant::now());
        if self.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        activity.lock().unwrap().record_answer(Instant::now());
        Ok(response)
    }

    async fn answer(
        &self,
        addr: Option<IpAddr>,
        req: Request<Incoming>,
        arrived: Instant,
    ) -> OpaqueAnswer {
        if !self.memory.admits(addr, arrived) {
            return self.refuse_for_memory(addr);
        }
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_owned();
        let mut disconnect_logger = DisconnectLogger { path: Some(path), arrived };
        let mut reservation = self.memory.requests.reservation();
        let answer = match self.read_body(body, &mut reservation).await {
            Ok(body) => match self.codec.request(head, body) {
                Ok(req) => self.coordinator.answer(addr, req, arrived).await,
                Err(local) => log_refusal(local),
            },
            Err(local) => log_refusal(local),
        };
        disconnect_logger.path = None;
        answer
    }

    /// Refuses a request before it is read, as too many answers wait for callers that do not read.
    fn refuse_for_memory(&self, addr: Option<IpAddr>) -> OpaqueAnswer {
        self.coordinator.tier.counters.refused_unread.increment();
        self.close_stalled(Instant::now());
        let caller = addr.map(|addr| addr.to_string()).unwrap_or_default();
        let unread = self.memory.unread_bytes();
        log_event!(info, Event::MemoryShort, caller = caller.as_str(), unread_bytes = unread);
        OpaqueAnswer::Local(memory_refusal())
    }

    fn close_stalled(&self, now: Instant) {
        let closed = self.memory.close_stalled(now);
        (0..closed).for_each(|_| self.coordinator.tier.counters.slow_readers_closed.increment());
    }

    async fn read_body(
        &self,
        body: Incoming,
        reservation: &mut BodyReservation,
    ) -> Result<Bytes, LocalAnswer> {
        let limit = self.limits().body_bytes;
        let too_large = || LocalAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "The body is too large");
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large());
        }
        let collected = tokio::time::timeout(BODY_TIMEOUT, collect_body(body, limit, reservation));
        let collected = tokio::select! {
            biased;
            collected = collected => collected,
            () = self.coordinator.tier.shutdown.ended() => return Err(shutdown_refusal()),
        };
        match collected {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::TooLarge)) => Err(too_large()),
            Ok(Err(BodyError::NoMemory)) => Err(memory_refusal()),
            Ok(Err(BodyError::Unreadable(e))) => {
                let message = format!("The body cannot be read: {e}");
                Err(LocalAnswer::new(StatusCode::BAD_REQUEST, message))
            }
            Err(_) => {
                let message = "The body did not come in time; the request has not run";
                Err(LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, message))
            }
        }
    }
}

/// Why the body of a request was not read to its end.
enum BodyError {
    TooLarge,
    NoMemory,
    Unreadable(hyper::Error),
}

/// Reads a body of at most `limit` bytes, for which memory is reserved as it is read.
async fn collect_body(
    mut body: Incoming,
    limit: usize,
    reservation: &mut BodyReservation,
) -> Result<Bytes, BodyError> {
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are not part of the content.
        let Ok(piece) = frame.map_err(BodyError::Unreadable)?.into_data() else { continue };
        let length = content.len() + piece.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        if !reservation.grow_to(length) {
            return Err(BodyError::NoMemory);
        }
        content.extend_from_slice(&piece);
    }
    Ok(content.freeze())
}

/// Returns the refusal of a request for which this host has no memory.
fn memory_refusal() -> LocalAnswer {
    LocalAnswer::refused(with_jitter(OTHER_HOST_RETRY), "This host has no memory left for requests")
}

fn log_refusal(local: LocalAnswer) -> OpaqueAnswer {
    let status = local.status.as_u16();
    log_event!(info, Event::RequestRefused, status, cause = &*local.message);
    OpaqueAnswer::Local(local)
}

/// Logs when dropped that the caller disconnected before its answer, unless `path` was cleared.
///
/// A caller that disconnects drops the future of its request, and this value with it.
struct DisconnectLogger {
    path: Option<String>,
    arrived: Instant,
}

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        if let Some(path) = &self.path {
            let elapsed_ms = self.arrived.elapsed().as_millis() as u64;
            log_event!(info, Event::CallerLost, step = "answer", path = path.as_str(), elapsed_ms);
        }
    }
}

struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
