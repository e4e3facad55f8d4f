//! HTTP server of a daemon and its routes, based on `xitca-web`.

use std::io;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::BodyExt;
use xitca_web::body::RequestBody;
use xitca_web::body::ResponseBody;
use xitca_web::bytes::BytesMut;
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::HeaderValue;
use xitca_web::http::Method;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header;

use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::caller_connections::TrackingListener;
use crate::daemon::Daemon;
use crate::error_text::with_sources;
use crate::http_client::SIGNATURE_HEADER;
use crate::lifecycle::Phase;
use crate::peer_protocol::EXCHANGE_PATH;
use crate::peer_protocol::FORWARD_PATH;
use crate::peer_protocol::ProtocolError;
use crate::peer_protocol::RELAY_CANCEL_PATH;
use crate::peer_protocol::RELAY_PATH;
use crate::relay_service::RelayBody;
use crate::ticket::TICKET_LIFE;

/// Largest body of a request, in bytes; a larger one is refused with status 413.
pub const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Size in bytes up to which a too large body is read and dropped before the request is refused.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Path that answers a query.
pub const QUERY_PATH: &str = "/query";
/// Path that issues a ticket.
pub const TICKET_PATH: &str = "/ticket";
/// Path that returns the state dump.
pub const STATE_PATH: &str = "/state";
/// Path that returns the effort charged to each owner and entry.
pub const CHARGES_PATH: &str = "/charges";
/// Path that returns status 200 while the process runs.
pub const LIVE_PATH: &str = "/health/live";
/// Path that returns status 200 while the process takes queries, otherwise 503.
pub const READY_PATH: &str = "/health/ready";

/// Handle of a running server, used to wait for its end or to stop it.
pub type ServerFuture = xitca_server::ServerFuture;

/// Starts the server on a bound socket. Must be called outside of an async runtime. Returns an
/// error if its threads cannot be started.
pub fn serve(daemon: Arc<Daemon>, listener: TcpListener) -> io::Result<ServerFuture> {
    let workers = daemon.settings.workers;
    let callers = daemon.callers.clone();
    let app = App::new()
        .with_state(daemon)
        .at("/", handler_service(handle_request))
        .at("/{*path}", handler_service(handle_request));
    let server = app
        .serve()
        .disable_signal()
        .worker_threads(workers)
        .keep_alive_timeout(Duration::from_secs(75))
        .listen(TrackingListener { listener, callers })?;
    Ok(server.run())
}

type Context<'r> = WebContext<'r, Arc<Daemon>>;

/// Answer to a request before it is converted to an HTTP response.
pub struct Reply {
    status: u16,
    content_type: &'static str,
    body: ResponseBody,
    retry_after: Option<Duration>,
    signature: Option<String>,
}

impl Reply {
    /// Creates an answer with `value` encoded as JSON.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("message types serialise").into();
        let content_type = "application/json";
        Self { status, content_type, body, retry_after: None, signature: None }
    }

    /// Creates an answer with status 200 to a peer: an encoded message with its signature.
    pub fn signed(body: Vec<u8>, signature: String) -> Self {
        let content_type = "application/msgpack";
        let (body, signature) = (body.into(), Some(signature));
        Self { status: 200, content_type, body, retry_after: None, signature }
    }

    /// Creates an answer with status 200 whose body is streamed: one frame for each leaf call that
    /// ends.
    pub fn stream(frames: RelayBody) -> Self {
        let content_type = "application/octet-stream";
        let body = ResponseBody::boxed(frames);
        Self { status: 200, content_type, body, retry_after: None, signature: None }
    }

    /// Creates an answer without a body.
    pub fn empty(status: u16) -> Self {
        let content_type = "text/plain";
        let body = ResponseBody::from(Vec::new());
        Self { status, content_type, body, retry_after: None, signature: None }
    }

    fn query(answer: &QueryAnswer) -> Self {
        let retry_after = answer.refusal.as_ref().and_then(|r| r.retry_after);
        Self { retry_after, ..Self::json(answer.status(), answer) }
    }

    fn refusal(status: u16, message: String) -> Self {
        let refusal = Refusal::new(Reason::BadRequest, message, None);
        Self::json(status, &QueryAnswer::from(refusal))
    }

    fn into_response(self, closes_connection: bool) -> WebResponse {
        let mut response = WebResponse::new(self.body);
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1_000) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(signature) = self.signature.and_then(|s| HeaderValue::try_from(s).ok()) {
            headers.insert(SIGNATURE_HEADER, signature);
        }
        if closes_connection {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

async fn handle_request(cx: &Context<'_>) -> WebResponse {
    let daemon = cx.state().clone();
    let reply = route(cx, &daemon).await;
    reply.into_response(daemon.lifecycle.phase() == Phase::Leaving)
}

async fn route(cx: &Context<'_>, daemon: &Arc<Daemon>) -> Reply {
    let path = cx.req().uri().path();
    let allowed = match path {
        QUERY_PATH | TICKET_PATH | EXCHANGE_PATH | FORWARD_PATH | RELAY_PATH
        | RELAY_CANCEL_PATH => Method::POST,
        STATE_PATH | CHARGES_PATH | LIVE_PATH | READY_PATH => Method::GET,
        _ => return Reply::refusal(404, format!("Path \"{path}\" does not exist")),
    };
    let method = cx.req().method();
    if *method != allowed {
        return Reply::refusal(405, format!("Path \"{path}\" takes {allowed}, not {method}"));
    }
    match path {
        QUERY_PATH => handle_query(cx, daemon).await,
        TICKET_PATH => handle_ticket(daemon),
        EXCHANGE_PATH | FORWARD_PATH | RELAY_PATH | RELAY_CANCEL_PATH => {
            handle_peer_message(cx, daemon).await
        }
        STATE_PATH => Reply::json(200, &daemon.dump(Instant::now())),
        CHARGES_PATH => Reply::json(200, &daemon.tier.ledger.lock().unwrap().lines()),
        READY_PATH if daemon.lifecycle.phase() != Phase::Ready => Reply::empty(503),
        _ => Reply::empty(200),
    }
}

async fn handle_query(cx: &Context<'_>, daemon: &Arc<Daemon>) -> Reply {
    let arrived = Instant::now();
    let body = match read_body(cx).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let req: QueryRequest = match serde_json::from_slice(&body) {
        Ok(req) => req,
        Err(e) => return Reply::refusal(400, format!("Query does not parse: {e}")),
    };
    // The recorded outcome of a ticket is returned in any phase. The run of a query with a ticket
    // checks the phase where it starts.
    let _in_progress = match daemon.lifecycle.begin_request(arrived) {
        Ok(guard) => Some(guard),
        Err(_) if req.ticket.is_some() => None,
        Err(phase) => return Reply::query(&daemon.not_ready(phase).into()),
    };
    let disconnected = daemon.callers.disconnected(*cx.req().body().socket_addr());
    Reply::query(&daemon.answer(&req, arrived, disconnected).await)
}

/// Body of the answer to `POST /ticket`.
#[derive(Debug, Deserialize, Serialize)]
pub struct TicketAnswer {
    /// Ticket that the caller sends with its query and with each resend of it.
    pub ticket: String,
    /// Time after its issue for which the ticket may be redeemed, in milliseconds.
    pub life_ms: u64,
}

fn handle_ticket(daemon: &Daemon) -> Reply {
    let phase = daemon.lifecycle.phase();
    if phase != Phase::Ready {
        return Reply::query(&daemon.not_ready(phase).into());
    }
    let ticket = daemon.issue_ticket(Instant::now());
    Reply::json(200, &TicketAnswer { ticket, life_ms: TICKET_LIFE.as_millis() as u64 })
}

async fn handle_peer_message(cx: &Context<'_>, daemon: &Arc<Daemon>) -> Reply {
    let header = cx.req().headers().get(SIGNATURE_HEADER);
    let signature = header.and_then(|h| h.to_str().ok()).unwrap_or_default().to_owned();
    let path = cx.req().uri().path();
    let body = match read_body(cx).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let answered = match path {
        RELAY_PATH => match daemon.serve_relay(&body, &signature) {
            Ok(frames) => return Reply::stream(frames),
            Err(e) => Err(e),
        },
        RELAY_CANCEL_PATH => daemon.cancel_relayed(&body, &signature),
        FORWARD_PATH => daemon.answer_forward(&body, &signature).await,
        _ => daemon.answer_exchange(&body, &signature),
    };
    match answered {
        Ok(body) => {
            let signature = daemon.sign_reply(&body);
            Reply::signed(body, signature)
        }
        Err(e @ ProtocolError::Forged) => Reply::refusal(403, e.to_string()),
        Err(e) => Reply::refusal(400, with_sources(&e)),
    }
}

/// Reads the body of a request, or returns the refusal of one that cannot be read or is too large.
/// A body that is too large is read to its end and dropped, up to [`MAX_DISCARDED_BYTES`], since a
/// caller that is still writing would not receive the refusal.
async fn read_body(cx: &Context<'_>) -> Result<BytesMut, Reply> {
    let unreadable = || Reply::refusal(400, "Body could not be read".to_owned());
    let Ok(Body(body)) = cx.extract::<Body<RequestBody>>().await else {
        return Err(unreadable());
    };
    let mut body = pin!(body);
    let mut buf = BytesMut::new();
    let mut size = 0;
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| unreadable())?;
        size += data.len();
        if size <= MAX_REQUEST_BYTES {
            buf.extend_from_slice(&data);
        } else if size > MAX_DISCARDED_BYTES {
            break;
        }
    }
    if size > MAX_REQUEST_BYTES {
        let message = format!("Body has more than {MAX_REQUEST_BYTES} bytes");
        return Err(Reply::refusal(413, message));
    }
    Ok(buf)
}
