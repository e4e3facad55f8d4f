//! Serves readiness, metrics, the state dump and the exchanges between hosts over HTTP/1.1.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
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

use crate::budget_link::BUDGET_PATH;
use crate::budget_link::BudgetLink;
use crate::call_report_link::CALL_REPORTS_PATH;
use crate::call_report_link::CallReportLink;
use crate::catalogue::Class;
use crate::cluster_state::ClusterState;
use crate::counters::CounterValues;
use crate::edge::Edge;
use crate::fleet::HostRecord;
use crate::fleet_budget::GroupUse;
use crate::fleet_link::CHANGES_PATH;
use crate::fleet_link::EXCHANGE_PATH;
use crate::fleet_link::FleetLink;
use crate::fleet_link::encode;
use crate::forwarded_request::ForwardedAnswer;
use crate::leaf_estimates::Usability;
use crate::limit_link::LIMITS_PATH;
use crate::limit_link::LimitLink;
use crate::metrics::Metrics;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_view::OpaqueView;
use crate::rate_limit::RequestRate;
use crate::request_forwarder::FORWARD_PATH;
use crate::request_forwarder::REACH_PATH;
use crate::request_forwarder::ReachReply;
use crate::room_forwarding::RoomTerms;
use crate::room_link::ROOM_PATH;
use crate::room_link::RoomLink;
use crate::room_link::RoomState;
use crate::socket;
use crate::suspect_link::SUSPECTS_PATH;
use crate::suspect_link::SuspectLink;
use crate::suspect_report::SuspectReport;
use crate::tier::Tier;

/// Path that returns the metrics in the exposition format of Prometheus.
pub const METRICS_PATH: &str = "/metrics";
/// Path that returns the state of the process as JSON.
pub const STATE_PATH: &str = "/state";
/// Largest body of a request that is read, in bytes; a larger one is refused with status 400.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Server of the control, readiness and metrics addresses, which all answer the same paths.
pub struct EdgeControl {
    /// Answers the exchanges of other hosts on membership and published changes.
    pub link: Arc<FleetLink>,
    /// Answers the exchanges of call reports within the zone.
    pub call_reports: Arc<CallReportLink>,
    /// Answers the announcements of suspected requests.
    pub suspects: Arc<SuspectLink>,
    /// Answers the reports of demand for leafs that name a rate limit.
    pub limits: Arc<LimitLink>,
    /// Answers questions for loans of extra calls.
    pub loans: Arc<BudgetLink>,
    /// Answers questions for the room of this host.
    pub room: Arc<RoomLink>,
    /// State of the platform and of the fleet, for the readiness check and the state dump.
    pub cluster_state: Arc<ClusterState>,
    /// Server for callers, whose connections and requests are counted in the state.
    pub edge: Arc<Edge>,
    /// Latency histograms.
    pub metrics: Arc<Metrics>,
    /// State that the workers share, for its counters.
    pub tier: Arc<Tier>,
    /// HTTP path of the readiness check.
    pub ready_path: &'static str,
}

/// Body of the state dump.
#[derive(Debug, Serialize)]
pub struct EdgeState {
    ready: bool,
    version: u64,
    position: u64,
    era: u64,
    platform_silent_ms: u64,
    /// Time since the moment up to which everything that was published is known; absent if there is
    /// none.
    confirmed_ms: Option<u64>,
    is_cut_off: bool,
    /// Home regions of the entries that may not be served anywhere.
    homes: BTreeMap<String, Vec<String>>,
    evacuated: Vec<String>,
    connections: usize,
    in_progress: usize,
    /// Number of callers whose use is tracked.
    callers: usize,
    /// Bytes of answers that callers have not read yet.
    unread_bytes: usize,
    room: RoomState,
    hosts: Vec<HostRecord>,
    leafs: Vec<LeafState>,
    /// Use of the budgets for extra calls over the sliding window, by the key of the group.
    extra_calls: Vec<GroupUse>,
    suspects: Vec<SuspectReport>,
    counters: CounterValues,
}

/// State of one leaf in [`EdgeState`].
#[derive(Debug, Serialize)]
struct LeafState {
    name: String,
    group: u32,
    addr: String,
    usability: Usability,
    /// Milliseconds until the leaf takes a call; absent if it is leaving or gone.
    callable_in_ms: Option<u64>,
    service_us: u64,
    in_flight: u32,
    queued: usize,
    connections: u32,
    losses: u64,
    sheds: u64,
    limit_per_s: Option<RequestRate>,
    limit_part_per_s: Option<f64>,
    /// Part of its full share of calls that the leaf gets after a start or a recovery.
    pace: f64,
    /// Calls that this host may send in any second; absent unless the leaf is cold and bounded.
    cold_part: Option<u32>,
    sent: u64,
    repeated: u64,
}

impl EdgeControl {
    /// Returns whether this process should get new requests: a configuration is in force and the
    /// process is not leaving.
    pub fn is_ready(&self) -> bool {
        self.cluster_state.is_complete() && !self.edge.is_leaving()
    }

    /// Returns whether this process takes requests of hosts that do not reach the leafs.
    fn reaches_leafs(&self) -> bool {
        self.is_ready() && !self.tier.is_cut_off()
    }

    /// Returns whether this process has room for a request of another host on the terms in its
    /// headers. One without terms is taken whenever leafs are reached.
    fn has_room_for(&self, headers: &HeaderMap) -> bool {
        let Some(terms) = RoomTerms::read(headers) else { return true };
        let view = self.cluster_state.views.get();
        let version = view.catalogue.as_ref().map(|catalogue| catalogue.version);
        version == Some(terms.version) && self.room.has_room(terms.work, terms.limit)
    }

    /// Accepts and serves connections for as long as the process runs.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let handle_connection = |stream| drop(tokio::spawn(self.clone().handle_connection(stream)));
        socket::accept_connections(listener, handle_connection).await;
    }

    async fn handle_connection(self: Arc<Self>, stream: TcpStream) {
        let service = service_fn(|req| self.handle(req));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // An error concerns this connection only; its peer opens another one and repeats the
        // request.
        let _ = conn.await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = req.uri().path().to_owned();
        let headers = req.headers().clone();
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
            EXCHANGE_PATH => encoded_response(self.link.answer_exchange(&body)),
            CALL_REPORTS_PATH => encoded_response(self.call_reports.answer_reports(&body)),
            FORWARD_PATH if !self.has_room_for(&headers) => {
                reply(StatusCode::OK, encode(&ForwardedAnswer::NOT_TAKEN))
            }
            FORWARD_PATH => {
                self.tier.counters.taken.increment();
                encoded_response(self.edge.answer_forwarded(&body).await)
            }
            REACH_PATH => {
                reply(StatusCode::OK, encode(&ReachReply { reaches: self.reaches_leafs() }))
            }
            ROOM_PATH => {
                let now = std::time::Instant::now();
                reply(StatusCode::OK, encode(&self.room.report(self.reaches_leafs(), now)))
            }
            SUSPECTS_PATH => encoded_response(self.suspects.answer_announcement(&body)),
            LIMITS_PATH => encoded_response(self.limits.answer_report(&body)),
            BUDGET_PATH => encoded_response(self.loans.answer_question(&body)),
            CHANGES_PATH => match self.link.answer_changes(&headers, &body).await {
                Ok((headers, body)) => {
                    let mut response = reply(StatusCode::OK, body);
                    response.headers_mut().extend(headers);
                    response
                }
                Err(e) => encoded_response(Err(e)),
            },
            _ => reply(StatusCode::NOT_FOUND, "no such path"),
        })
    }

    fn state(&self) -> EdgeState {
        let now = std::time::Instant::now();
        let view = self.cluster_state.views.get();
        let leafs = view.leafs.iter().map(|leaf| {
            let usability = leaf.usability(now);
            let callable_in = leaf.callable_in(Class::Urgent, now);
            let state = leaf.state();
            LeafState {
                name: leaf.host.name.to_string(),
                group: leaf.host.detail.group.0,
                addr: leaf.host.addr.to_string(),
                usability,
                callable_in_ms: callable_in.map(|time| time.as_millis() as u64),
                service_us: state.estimates.median_latency().as_micros() as u64,
                in_flight: state.admission_queue.in_flight(),
                queued: state.admission_queue.queued(),
                connections: leaf.pool.open_count(),
                losses: state.estimates.losses(),
                sheds: state.estimates.sheds(),
                limit_per_s: state.limiter.limit(),
                limit_part_per_s: state.limiter.part_per_second(now),
                pace: state.pace.part(),
                cold_part: state.cold.part(now),
                sent: state.limiter.sent().all,
                repeated: state.limiter.sent().repeated,
            }
        });
        let position = self.cluster_state.position();
        let confirmation_age = self.cluster_state.confirmation_age();
        let platform_silence = self.cluster_state.outage.lock().unwrap().time_since_answer(now);
        EdgeState {
            ready: self.is_ready(),
            version: view.catalogue.as_ref().map_or(0, |c| c.version.0),
            position: position.revision.0,
            era: position.era.0,
            platform_silent_ms: platform_silence.as_millis() as u64,
            confirmed_ms: confirmation_age.map(|age| age.as_millis() as u64),
            is_cut_off: self.tier.reach.lock().unwrap().is_cut_off(),
            homes: homes(&view),
            evacuated: view.places.evacuated().iter().cloned().collect(),
            connections: self.edge.connections(),
            in_progress: self.edge.in_progress(),
            callers: self.tier.caller_shares.lock().unwrap().tracked(),
            unread_bytes: self.edge.unread_bytes(),
            room: self.room.state(now),
            hosts: self.cluster_state.fleet.lock().unwrap().members().cloned().collect(),
            leafs: leafs.collect(),
            extra_calls: self.loans.usage(),
            suspects: self.tier.quarantine.lock().unwrap().reports(now),
            counters: self.tier.counters.values(),
        }
    }
}

/// Returns the home regions of each entry that has some.
fn homes(view: &OpaqueView) -> BTreeMap<String, Vec<String>> {
    let entries = view.catalogue.iter().flat_map(|catalogue| catalogue.entries());
    let with_homes = entries.filter(|entry| !entry.homes.is_anywhere());
    let regions = |entry: &OpaqueEntry| entry.homes.regions().map(str::to_owned).collect();
    with_homes.map(|entry| (entry.entry.name.to_string(), regions(entry))).collect()
}

fn encoded_response(result: Result<Bytes, rmp_serde::decode::Error>) -> Response<Full<Bytes>> {
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
