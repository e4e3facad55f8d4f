//! Serves readiness, metrics, the state dump, and the fleet's exchanges.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::call_report_link::CALL_REPORTS_PATH;
use crate::call_report_link::CallReportLink;
use crate::cluster_state::ClusterState;
use crate::counters::CounterValues;
use crate::edge::Edge;
use crate::fleet::HostRecord;
use crate::fleet_link::CHANGES_PATH;
use crate::fleet_link::EXCHANGE_PATH;
use crate::fleet_link::FleetLink;
use crate::metrics::Metrics;
use crate::socket;
use crate::tier::Tier;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
pub const STATE_PATH: &str = "/state";
/// The largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// What the control address shows.
pub struct EdgeControl {
    /// The fleet's exchanges.
    pub link: Arc<FleetLink>,
    /// The exchanges of sightings within the zone.
    pub call_reports: Arc<CallReportLink>,
    /// What is known.
    pub cluster_state: Arc<ClusterState>,
    /// What serves callers.
    pub edge: Arc<Edge>,
    /// Latencies.
    pub metrics: Arc<Metrics>,
    /// Shared tables.
    pub tier: Arc<Tier>,
    /// The platform's path for readiness.
    pub ready_path: &'static str,
}

/// The state of a process.
#[derive(Debug, Serialize)]
pub struct EdgeState {
    ready: bool,
    version: u64,
    position: u64,
    platform_silent_ms: u64,
    connections: usize,
    in_progress: usize,
    hosts: Vec<HostRecord>,
    leafs: Vec<LeafState>,
    counters: CounterValues,
}

/// A leaf in the state of a process.
#[derive(Debug, Serialize)]
struct LeafState {
    name: String,
    group: u32,
    addr: String,
    usability: crate::leaf_estimates::Usability,
    service_us: u64,
    in_flight: u32,
    queued: usize,
    connections: u32,
    losses: u64,
    sheds: u64,
}

impl EdgeControl {
    /// Whether new requests are welcome.
    pub fn is_ready(&self) -> bool {
        self.cluster_state.is_complete() && !self.edge.is_leaving()
    }

    /// Accepts connections for as long as the process runs.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let serve = |stream| drop(tokio::spawn(self.clone().serve(stream)));
        socket::accept_each(listener, serve).await;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let service = service_fn(|req| self.handle(req));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A peer that goes away asks again on another connection.
        let _ = conn.await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = req.uri().path().to_owned();
        let body = Limited::new(req.into_body(), MAX_BODY_BYTES).collect().await;
        let Ok(body) = body else { return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new())) };
        let body = body.to_bytes();
        Ok(match path.as_str() {
            path if path == self.ready_path && self.is_ready() => reply(StatusCode::OK, "ready"),
            path if path == self.ready_path => reply(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            METRICS_PATH => reply(StatusCode::OK, self.metrics.render(&self.tier.counters)),
            STATE_PATH => {
                let state = serde_json::to_vec(&self.state()).expect("state types serialise");
                reply(StatusCode::OK, state)
            }
            EXCHANGE_PATH => answered(self.link.answer_exchange(&body)),
            CALL_REPORTS_PATH => answered(self.call_reports.answer(&body)),
            CHANGES_PATH => answered(self.link.answer_changes(&body).await),
            _ => reply(StatusCode::NOT_FOUND, "no such path"),
        })
    }

    fn state(&self) -> EdgeState {
        let now = std::time::Instant::now();
        let view = self.cluster_state.views.get();
        let leafs = view.leafs.iter().map(|leaf| {
            let state = leaf.state();
            LeafState {
                name: leaf.host.name.to_string(),
                group: leaf.host.detail.group.0,
                addr: leaf.host.addr.to_string(),
                usability: state.estimates.usability(now),
                service_us: state.estimates.median_latency().as_micros() as u64,
                in_flight: state.admission_queue.in_flight(),
                queued: state.admission_queue.queued(),
                connections: leaf.pool.open_count(),
                losses: state.estimates.losses(),
                sheds: state.estimates.sheds(),
            }
        });
        let silence = self.cluster_state.outage.lock().unwrap().time_since_answer(now);
        EdgeState {
            ready: self.is_ready(),
            version: view.catalogue.as_ref().map_or(0, |c| c.version.0),
            position: view.position.0,
            platform_silent_ms: silence.as_millis() as u64,
            connections: self.edge.connections(),
            in_progress: self.edge.in_progress(),
            hosts: self.cluster_state.fleet.lock().unwrap().members().cloned().collect(),
            leafs: leafs.collect(),
            counters: self.tier.counters.values(),
        }
    }
}

fn answered(result: Result<Bytes, rmp_serde::decode::Error>) -> Response<Full<Bytes>> {
    match result {
        Ok(body) => reply(StatusCode::OK, body),
        Err(e) => reply(StatusCode::BAD_REQUEST, format!("Message cannot be read: {e}")),
    }
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
