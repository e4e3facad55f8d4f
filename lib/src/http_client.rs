//! HTTP client for calls to the platform, to peers and by the operators' command.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

use crate::socket;

/// Largest response body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Largest number of idle connections kept to each peer.
const MAX_IDLE_PER_HOST: usize = 8;
/// HTTP header that carries the revision of a document.
pub const REVISION_HEADER: &str = "x-revision";
/// HTTP header that carries the signature of a peer message.
pub const SIGNATURE_HEADER: &str = "x-signature";

/// Reasons for which a call has no response. Each variant names the step and the peer.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// No connection could be opened, so the call was not sent.
    #[error("Connecting to {peer} failed")]
    Connect {
        /// Address of the called peer.
        peer: SocketAddr,
        /// Cause of the failure.
        #[source]
        source: hyper_util::client::legacy::Error,
    },
    /// The call may have been sent, but no response arrived.
    #[error("Calling {peer} for {path} failed")]
    Exchange {
        /// Address of the called peer.
        peer: SocketAddr,
        /// Path and query string of the call.
        path: String,
        /// Cause of the failure.
        #[source]
        source: hyper_util::client::legacy::Error,
    },
    /// The response body exceeds [`MAX_BODY_BYTES`].
    #[error("Answer of {peer} to {path} exceeds {MAX_BODY_BYTES} bytes")]
    TooLarge {
        /// Address of the called peer.
        peer: SocketAddr,
        /// Path and query string of the call.
        path: String,
    },
    /// The response body was cut off.
    #[error("Reading the answer of {peer} to {path} failed")]
    Body {
        /// Address of the called peer.
        peer: SocketAddr,
        /// Path and query string of the call.
        path: String,
        /// Cause of the failure.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The call took longer than its limit; it may have been sent.
    #[error("Calling {peer} for {path} took more than {limit:?}")]
    Timeout {
        /// Address of the called peer.
        peer: SocketAddr,
        /// Path and query string of the call.
        path: String,
        /// Time that was allowed.
        limit: Duration,
    },
}

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, HttpClientError>;

/// An HTTP call to a peer or to the platform.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Address of the peer to call.
    pub peer: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path with its query string.
    pub path: String,
    /// Request body; empty for `GET`.
    pub body: Bytes,
    /// Signature of a peer message; `None` for other calls, which are not signed.
    pub signature: Option<String>,
    /// Further headers.
    pub headers: HeaderMap,
    /// Time allowed for the call.
    pub limit: Duration,
}

impl HttpCall {
    /// Creates a `GET` call of a path.
    pub fn get(peer: SocketAddr, path: impl Into<String>, limit: Duration) -> Self {
        let (method, headers, body) = (Method::GET, HeaderMap::new(), Bytes::new());
        Self { peer, method, path: path.into(), body, signature: None, headers, limit }
    }

    /// Creates a `POST` call with a body.
    pub fn post(peer: SocketAddr, path: impl Into<String>, body: Bytes, limit: Duration) -> Self {
        let (method, headers) = (Method::POST, HeaderMap::new());
        Self { peer, method, path: path.into(), body, signature: None, headers, limit }
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Revision in the header [`REVISION_HEADER`]; `None` if it is absent or not a number.
    pub revision: Option<u64>,
    /// Signature in the header [`SIGNATURE_HEADER`]; `None` if it is absent.
    pub signature: Option<String>,
    /// All headers of the response.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// HTTP client that keeps idle connections open between calls. Clones share them.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_local_address(None)
    }
}

impl HttpClient {
    /// Creates a client whose connections originate from a local address, if one is given, so that
    /// calls arrive from the address under which this host is listed.
    pub fn with_local_address(local: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(socket::KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(socket::KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(socket::KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(socket::TCP_USER_TIMEOUT));
        connector.set_local_address(local);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_max_idle_per_host(MAX_IDLE_PER_HOST);
        // Resends are left to the caller, which decides whether one is safe.
        builder.retry_canceled_requests(false);
        Self { inner: builder.build(connector) }
    }

    /// Makes a call and returns the complete response.
    pub async fn call(&self, call: HttpCall) -> Result<HttpReply> {
        let (peer, path, limit) = (call.peer, call.path.clone(), call.limit);
        match tokio::time::timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpClientError::Timeout { peer, path, limit }),
        }
    }

    /// Makes a call and returns the response as soon as its head has arrived. The limit of the call
    /// does not apply to the body.
    pub async fn call_streaming(&self, call: HttpCall) -> Result<Response<Incoming>> {
        let (peer, path, limit) = (call.peer, call.path.clone(), call.limit);
        match tokio::time::timeout(limit, self.send(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpClientError::Timeout { peer, path, limit }),
        }
    }

    async fn send(&self, call: HttpCall) -> Result<Response<Incoming>> {
        let HttpCall { peer, method, path, body, signature, headers, .. } = call;
        let mut req = Request::builder().method(method).uri(format!("http://{peer}{path}"));
        if let Some(signature) = signature {
            req = req.header(SIGNATURE_HEADER, signature);
        }
        let mut req = req.body(Full::new(body)).expect("an address and a path make a valid URI");
        req.headers_mut().extend(headers);
        self.inner.request(req).await.map_err(|source| {
            if source.is_connect() {
                HttpClientError::Connect { peer, source }
            } else {
                HttpClientError::Exchange { peer, path, source }
            }
        })
    }

    async fn exchange(&self, call: HttpCall) -> Result<HttpReply> {
        let (peer, path) = (call.peer, call.path.clone());
        let response = self.send(call).await?;
        let header = |name: &'static str| {
            let value = response.headers().get(HeaderName::from_static(name))?;
            value.to_str().ok().map(str::to_owned)
        };
        let status = response.status().as_u16();
        let revision = header(REVISION_HEADER).and_then(|text| text.parse().ok());
        let signature = header(SIGNATURE_HEADER);
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|source| match source.downcast_ref::<LengthLimitError>() {
            Some(_) => HttpClientError::TooLarge { peer, path },
            None => HttpClientError::Body { peer, path, source },
        })?;
        let body = body.to_bytes();
        Ok(HttpReply { status, revision, signature, headers: head.headers, body })
    }
}
