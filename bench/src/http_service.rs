//! HTTP/1.1 server of the stand-ins, whose handlers can break a connection instead of answering.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jasmineusher_lib::http_client::REVISION_HEADER;
use jasmineusher_lib::http_client::SIGNATURE_HEADER;
use tokio::net::TcpStream;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct StandInRequest {
    /// Path of the URI without the query string.
    pub path: String,
    /// Query string without the question mark; empty if the URI has none.
    pub query: String,
    /// Whole body; empty if the request has none.
    pub body: Bytes,
}

/// A handler's response to one request.
#[derive(Clone, Debug)]
pub struct StandInReply {
    /// HTTP status code.
    pub status: u16,
    /// Revision of the document in the body, sent in a header; `None` outside the platform.
    pub revision: Option<u64>,
    /// Signature of the body, sent in a header; `None` outside peer messages.
    pub signature: Option<String>,
    /// Body as it is sent; may be empty.
    pub body: Bytes,
}

impl StandInReply {
    /// Creates a response that has a status and no body.
    pub fn empty(status: u16) -> Self {
        Self { status, revision: None, signature: None, body: Bytes::new() }
    }

    /// Creates a response with status 200 and a body.
    pub fn ok(body: impl Into<Bytes>) -> Self {
        Self { status: 200, revision: None, signature: None, body: body.into() }
    }
}

/// Serves one connection until it is closed. If `handler` returns `None`, the connection is closed
/// without a response.
pub async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(StandInRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Option<StandInReply>> + Send,
{
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        async move { answer(req, handler).await }
    });
    // An error here means that the handler or the client broke the connection. The client detects
    // that itself.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer<H, F>(
    req: Request<Incoming>,
    handler: Arc<H>,
) -> Result<Response<Full<Bytes>>, BrokenConnection>
where
    H: Fn(StandInRequest) -> F,
    F: Future<Output = Option<StandInReply>>,
{
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| BrokenConnection)?.to_bytes();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let reply = handler(StandInRequest { path, query, body }).await.ok_or(BrokenConnection)?;
    let mut response = Response::builder().status(reply.status);
    if let Some(revision) = reply.revision {
        response = response.header(REVISION_HEADER, revision);
    }
    if let Some(signature) = reply.signature {
        response = response.header(SIGNATURE_HEADER, signature);
    }
    response.body(Full::new(reply.body)).map_err(|_| BrokenConnection)
}

/// Error that makes the server close a connection without a response: the handler returned none,
/// the body could not be read, or the response could not be built.
#[derive(Debug)]
pub struct BrokenConnection;

impl std::fmt::Display for BrokenConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Stand-in closed the connection without a response")
    }
}

impl std::error::Error for BrokenConnection {}
