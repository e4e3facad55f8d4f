//! Small HTTP/1.1 server for stand-ins, with control over each connection.

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

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct StandInRequest {
    /// The path without its query.
    pub path: String,
    /// The query of the path.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct StandInReply {
    /// The HTTP status.
    pub status: u16,
    /// The revision named in the answer.
    pub revision: Option<u64>,
    /// The signature of a peer message.
    pub signature: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl StandInReply {
    /// Makes an answer without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, revision: None, signature: None, body: Bytes::new() }
    }

    /// Makes an answer with a body.
    pub fn ok(body: impl Into<Bytes>) -> Self {
        Self { status: 200, revision: None, signature: None, body: body.into() }
    }
}

/// Serves one connection until it is closed. `None` from the handler breaks the connection.
pub async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(StandInRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Option<StandInReply>> + Send,
{
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        async move { answer(req, handler).await }
    });
    // A broken connection is the peer's matter.
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

/// Makes the server drop a connection without an answer.
#[derive(Debug)]
pub struct BrokenConnection;

impl std::fmt::Display for BrokenConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Connection was broken on purpose")
    }
}

impl std::error::Error for BrokenConnection {}
