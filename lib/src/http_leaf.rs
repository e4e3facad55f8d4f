//! HTTP/1.1 connections to leafs, on `hyper`.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;

use crate::answer_bytes::BodyMemory;
use crate::answer_bytes::ByteAllowance;
use crate::backend::BackendError;
use crate::backend::BoxFuture;
use crate::backend::LeafBackend;
use crate::backend::LeafConnection;
use crate::backend::OpenedConnection;
use crate::backend::Result;
use crate::socket;
use crate::watched_stream::WatchedStream;

/// Largest response body that is read from a leaf, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Largest number of bytes that are read from a leaf until the head of its response is complete;
/// interim responses count too.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest number of bytes that a body may take on the connection in addition to its content.
const MAX_FRAMING_BYTES: usize = 1 << 20;
/// Size of a response body from which on it takes part of [`BODY_MEMORY_BYTES`], in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Memory for all larger bodies that are read at the same time, in bytes.
const BODY_MEMORY_BYTES: usize = 24 << 20;

/// Time before the end of a leaf's idle timeout at which a connection is no longer used, as the
/// leaf may close it while a request is in transit.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Opens HTTP/1.1 connections to leafs.
#[derive(Debug)]
pub struct HttpLeafBackend {
    local: Option<IpAddr>,
    memory: BodyMemory,
}

impl Default for HttpLeafBackend {
    fn default() -> Self {
        Self::with_local_address(None)
    }
}

impl HttpLeafBackend {
    /// Creates a backend whose connections originate from a local address, which the operating
    /// system chooses if it is `None`.
    pub fn with_local_address(local: Option<IpAddr>) -> Self {
        Self { local, memory: BodyMemory::new(BODY_MEMORY_BYTES) }
    }
}

impl LeafBackend for HttpLeafBackend {
    fn connect(
        &self,
        peer: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<OpenedConnection>> {
        Box::pin(async move {
            match tokio::time::timeout(limit, HttpLeafConnection::open(peer, self)).await {
                Ok(opened) => opened,
                Err(_) => Err(BackendError::ConnectTimeout { peer, limit }),
            }
        })
    }
}

struct HttpLeafConnection {
    peer: SocketAddr,
    host: header::HeaderValue,
    sender: http1::SendRequest<Full<Bytes>>,
    allowance: ByteAllowance,
    memory: BodyMemory,
    closes_at: Option<Instant>,
    is_new: bool,
}

impl HttpLeafConnection {
    async fn open(peer: SocketAddr, backend: &HttpLeafBackend) -> Result<OpenedConnection> {
        let started = Instant::now();
        let stream = socket::connect(peer, backend.local).await;
        let stream = stream.map_err(|source| BackendError::Connect { peer, source })?;
        let connect_time = started.elapsed();
        let allowance = ByteAllowance::default();
        let left = allowance.clone();
        let stream = WatchedStream::new(stream, move |bytes| left.take(bytes), || ());
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| BackendError::NotSent { peer })?;
        tokio::spawn(async move {
            // An error also ends the exchange in progress, through its sender.
            let _ = conn.await;
        });
        let host = header::HeaderValue::try_from(peer.to_string()).expect("an address is ASCII");
        let memory = backend.memory.clone();
        let conn =
            Box::new(Self { peer, host, sender, allowance, memory, closes_at: None, is_new: true });
        Ok(OpenedConnection { conn, connect_time })
    }

    async fn send_request(&mut self, req: Request<Bytes>) -> Result<Response<Bytes>> {
        let peer = self.peer;
        self.sender.ready().await.map_err(|_| BackendError::NotSent { peer })?;
        let mut req = req.map(Full::new);
        let headers = req.headers_mut();
        headers.entry(header::HOST).or_insert_with(|| self.host.clone());
        self.allowance.set(MAX_HEAD_BYTES);
        let response = match self.sender.try_send_request(req).await {
            Ok(response) => response,
            Err(e) if e.message().is_some() => return Err(BackendError::NotSent { peer }),
            Err(e) => {
                let (is_new, source) = (self.is_new, e.into_error().into());
                return Err(BackendError::Broken { peer, is_new, source });
            }
        };
        let (head, body) = response.into_parts();
        self.allowance.set(MAX_ANSWER_BYTES + MAX_FRAMING_BYTES);
        let body = self.read_body(body).await?;
        self.is_new = false;
        self.closes_at = keep_alive(&head.headers).map(|idle| Instant::now() + idle);
        Ok(Response::from_parts(head, body))
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes> {
        let (peer, limit) = (self.peer, MAX_ANSWER_BYTES);
        let mut reservation = self.memory.reservation();
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| BackendError::Broken {
                peer,
                is_new: false,
                source: Box::new(e),
            })?;
            // Trailers are not part of the content.
            let Ok(piece) = frame.into_data() else { continue };
            let length = content.len() + piece.len();
            let is_large = length > SMALL_BODY_BYTES;
            if length > limit || is_large && !reservation.grow_to(length) {
                return Err(BackendError::TooLarge { peer, limit });
            }
            content.extend_from_slice(&piece);
        }
        Ok(content.freeze())
    }
}

/// Returns how long the leaf keeps an idle connection open according to its `keep-alive` header,
/// less a margin for messages in transit.
fn keep_alive(headers: &header::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let idle = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(idle.saturating_sub(KEEP_ALIVE_MARGIN))
}

impl LeafConnection for HttpLeafConnection {
    fn exchange<'a>(&'a mut self, req: Request<Bytes>) -> BoxFuture<'a, Result<Response<Bytes>>> {
        Box::pin(self.send_request(req))
    }

    fn is_usable(&self, now: Instant) -> bool {
        // Whether the connection is still writing the rest of a request is detected only by its
        // next exchange.
        !self.sender.is_closed() && self.closes_at.is_none_or(|at| now < at)
    }

    fn is_unused(&self) -> bool {
        // A connection whose first exchange failed is never used again.
        self.is_new
    }
}
