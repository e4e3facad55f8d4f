//! Small HTTP client for the platform, for peers and for the operator's command.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
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

/// The largest body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Idle connections kept to each host.
const MAX_IDLE_PER_HOST: usize = 8;
/// Header that carries a document's revision.
pub const REVISION_HEADER: &str = "x-revision";
/// Header that authenticates a peer message.
pub const SIGNATURE_HEADER: &str = "x-signature";

/// Why a call had no answer. Names the step and the peer.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// No connection could be opened, so that the call was not sent.
    #[error("Connecting to {peer} failed")]
    Connect {
        /// The address called.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: hyper_util::client::legacy::Error,
    },
    /// The call was perhaps sent, but not answered.
    #[error("Calling {peer} for {path} failed")]
    Exchange {
        /// The address called.
        peer: SocketAddr,
        /// The path called.
        path: String,
        /// The cause.
        #[source]
        source: hyper_util::client::legacy::Error,
    },
    /// The answer's body broke off or is too large.
    #[error("Reading the answer of {peer} to {path} failed")]
    Body {
        /// The address called.
        peer: SocketAddr,
        /// The path called.
        path: String,
        /// The cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The call took too long.
    #[error("Calling {peer} for {path} took more than {limit:?}")]
    Timeout {
        /// The address called.
        peer: SocketAddr,
        /// The path called.
        path: String,
        /// The time allowed.
        limit: Duration,
    },
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, HttpClientError>;

/// A call to make.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// The address to call.
    pub peer: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The signature of a peer message.
    pub signature: Option<String>,
    /// The time allowed.
    pub limit: Duration,
}

impl HttpCall {
    /// Makes a read of a path.
    pub fn get(peer: SocketAddr, path: impl Into<String>, limit: Duration) -> Self {
        let (method, body) = (Method::GET, Bytes::new());
        Self { peer, method, path: path.into(), body, signature: None, limit }
    }

    /// Makes a call with a body.
    pub fn post(peer: SocketAddr, path: impl Into<String>, body: Bytes, limit: Duration) -> Self {
        let method = Method::POST;
        Self { peer, method, path: path.into(), body, signature: None, limit }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The HTTP status.
    pub status: u16,
    /// The revision that the answer names.
    pub revision: Option<u64>,
    /// The signature of a peer message.
    pub signature: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The client, which keeps connections open between calls.
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
    /// Makes a client whose connections come from a local address, so that the called host sees the
    /// caller's listed address.
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
        // A resend is the caller's decision.
        builder.retry_canceled_requests(false);
        Self { inner: builder.build(connector) }
    }

    /// Makes a call.
    pub async fn call(&self, call: HttpCall) -> Result<HttpReply> {
        let (peer, path, limit) = (call.peer, call.path.clone(), call.limit);
        match tokio::time::timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpClientError::Timeout { peer, path, limit }),
        }
    }

    /// Makes a call and returns its answer as soon as its head has come.
    pub async fn call_streaming(&self, call: HttpCall) -> Result<Response<Incoming>> {
        let (peer, path, limit) = (call.peer, call.path.clone(), call.limit);
        match tokio::time::timeout(limit, self.send(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpClientError::Timeout { peer, path, limit }),
        }
    }

    async fn send(&self, call: HttpCall) -> Result<Response<Incoming>> {
        let HttpCall { peer, method, path, body, signature, .. } = call;
        let mut req = Request::builder().method(method).uri(format!("http://{peer}{path}"));
        if let Some(signature) = signature {
            req = req.header(SIGNATURE_HEADER, signature);
        }
        let req = req.body(Full::new(body)).expect("an address and a path make a valid URI");
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
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|source| HttpClientError::Body { peer, path, source })?;
        Ok(HttpReply { status, revision, signature, body: body.to_bytes() })
    }
}
