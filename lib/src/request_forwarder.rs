//! Passes requests on to hosts that reach the leafs, and answers those of other hosts.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::HeaderMap;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::backend::BoxFuture;
use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::HostRecord;
use crate::fleet_link::FleetLink;
use crate::fleet_link::FleetLinkError;
use crate::fleet_link::encode;
use crate::forwarded_request::ForwardedAnswer;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::ForwardingState;
use crate::http_client::HttpCall;
use crate::http_client::HttpClientError;
use crate::log_event;
use crate::opaque::OpaqueAnswer;
use crate::opaque::OpaqueRequest;
use crate::placement::Homes;
use crate::reaching_hosts::ReachingHosts;
use crate::tier::Tier;

/// HTTP path to which a request is passed on.
pub const FORWARD_PATH: &str = "/fleet/requests";
/// HTTP path that tells whether a host reaches the leafs.
pub const REACH_PATH: &str = "/fleet/reach";

/// Number of hosts that are asked at once whether they reach the leafs.
const ASKED_HOSTS: usize = 8;
/// Timeout of such a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a host that is cut off asks other hosts.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts to which a request is passed on, one after the other.
const MAX_HOSTS: usize = 3;

/// Question whether a host reaches the leafs.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ReachRequest {}

/// Answer to a [`ReachRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ReachReply {
    /// Whether the host takes requests of hosts that do not reach the leafs.
    pub reaches: bool,
}

/// A request to pass on.
pub struct Forwarding<'a> {
    /// The request.
    pub req: &'a OpaqueRequest,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request arrived at this host.
    pub arrived_at: Instant,
    /// When the request ends, answered or not.
    pub deadline: Instant,
    /// Number of leafs of each shard that may still be called.
    pub attempts: u32,
    /// Regions in which the request may be served; it is passed on to hosts in them only.
    pub homes: &'a Homes,
}

/// How a request that was passed on ended.
#[derive(Debug)]
pub enum ForwardOutcome {
    /// Another host answered.
    Answered(OpaqueAnswer),
    /// No host has taken the request; it has not run.
    NotTaken,
    /// A host may have run the request, and its answer was lost.
    AnswerLost,
}

/// Passes requests on to other hosts.
pub trait RequestForwarder: Send + Sync {
    /// Passes a request on and waits for its answer.
    fn forward<'a>(&'a self, forwarding: Forwarding<'a>) -> BoxFuture<'a, ForwardOutcome>;
}

/// Passes requests on to other hosts of the fleet.
pub struct FleetForwarder {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    hosts: Mutex<ReachingHosts>,
    /// When a request with these homes last made this host ask others.
    asked_at: tokio::sync::Mutex<BTreeMap<Homes, Instant>>,
}

/// How one host handled a request.
pub(crate) enum HostOutcome {
    /// The host answered.
    Answered(OpaqueAnswer),
    /// The host does not take the request, after it has used some attempts.
    NotTaken { spent_attempts: u32, not_run: bool },
    /// The host may have run the request, and its answer was lost.
    Lost,
}

impl HostOutcome {
    const NOT_SENT: Self = Self::NotTaken { spent_attempts: 0, not_run: true };
}

impl FleetForwarder {
    /// Creates a forwarder that sends its messages through `link`.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        Self { cluster_state, tier, link, hosts: Mutex::default(), asked_at: Default::default() }
    }

    /// Asks other hosts whether they reach the leafs while this host does not, for as long as the
    /// process runs.
    pub async fn run(self: Arc<Self>) {
        let mut cut_off = self.tier.cut_off.subscribe();
        // The sender is part of the tier.
        while cut_off.wait_for(|cut_off| *cut_off).await.is_ok() {
            self.ask_hosts(&Homes::default()).await;
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Returns the control addresses of the hosts in these homes.
    fn hosts_in(&self, homes: &Homes) -> HashSet<SocketAddr> {
        let places = self.cluster_state.views.get().places.clone();
        let fleet = self.cluster_state.fleet.lock().unwrap();
        let is_home = |host: &&HostRecord| places.is_home(homes, &host.zone);
        fleet.members().filter(is_home).map(|host| host.addr).collect()
    }

    /// Returns whether no host in these homes is known to reach the leafs.
    fn knows_none(&self, homes: &Homes) -> bool {
        let in_homes = self.hosts_in(homes);
        !self.hosts.lock().unwrap().knows_fitting(|host| in_homes.contains(&host), Instant::now())
    }

    /// Asks other hosts if none is known to reach the leafs, unless they were asked a moment ago.
    async fn ask_if_none_is_known(self: &Arc<Self>, homes: &Homes) {
        if !self.knows_none(homes) {
            return;
        }
        // Requests that arrive meanwhile wait for the same answers.
        let mut asked_at = self.asked_at.lock().await;
        let was_asked = asked_at.get(homes).is_some_and(|at| at.elapsed() < ASK_INTERVAL);
        if !was_asked && self.knows_none(homes) {
            self.ask_hosts(homes).await;
            asked_at.retain(|_, at| at.elapsed() < ASK_INTERVAL);
            asked_at.insert(homes.clone(), Instant::now());
        }
    }

    /// Asks some hosts in these homes, chosen at random, whether they reach the leafs. Returns once
    /// one does, or all have answered; the other answers are recorded when they arrive.
    async fn ask_hosts(self: &Arc<Self>, homes: &Homes) {
        let now = Instant::now();
        let in_homes = self.hosts_in(homes).into_iter();
        let sample = in_homes.choose_multiple(&mut rand::rng(), 4 * ASKED_HOSTS);
        let asked: Vec<_> = {
            let mut hosts = self.hosts.lock().unwrap();
            hosts.expire(now);
            let asked = sample.into_iter().filter(|host| !hosts.is_avoided(*host, now));
            asked.take(ASKED_HOSTS).collect()
        };
        let mut questions: FuturesUnordered<_> =
            asked.into_iter().map(|host| tokio::spawn(self.clone().ask(host))).collect();
        while let Some(reaches) = questions.next().await {
            // A question that panicked counts as unanswered.
            if reaches.unwrap_or(false) {
                return;
            }
        }
    }

    async fn ask(self: Arc<Self>, host: SocketAddr) -> bool {
        let asked_at = Instant::now();
        let reply = self.link.call(host, REACH_PATH, &ReachRequest {}, ASK_TIMEOUT).await;
        let reaches = match reply {
            Ok(ReachReply { reaches }) => reaches,
            Err(e) => {
                tracing::debug!("{}", with_sources(&e));
                false
            }
        };
        let now = Instant::now();
        let rtt = now.saturating_duration_since(asked_at);
        self.hosts.lock().unwrap().record_answer(host, reaches, rtt, now);
        reaches
    }

    fn choose_host(&self, tried: &[SocketAddr], homes: &Homes) -> Option<SocketAddr> {
        let in_homes = self.hosts_in(homes);
        let fits = |host| in_homes.contains(&host) && !tried.contains(&host);
        self.hosts.lock().unwrap().choose_fitting(fits, &mut rand::rng(), Instant::now())
    }

    /// Passes a request on to one host.
    async fn try_host(
        &self,
        host: SocketAddr,
        forwarding: &Forwarding<'_>,
        attempts: u32,
    ) -> HostOutcome {
        let _in_progress = InProgress { hosts: &self.hosts, host };
        let rtt = self.hosts.lock().unwrap().rtt(host);
        let outcome = self.send(host, forwarding, HeaderMap::new(), attempts, rtt).await;
        if !matches!(outcome, HostOutcome::Answered(_)) {
            self.hosts.lock().unwrap().record_not_taken(host, Instant::now());
        }
        outcome
    }

    /// Sends a request to a host and waits for its answer. `way` is the time of the way there and
    /// back.
    pub(crate) async fn send(
        &self,
        host: SocketAddr,
        forwarding: &Forwarding<'_>,
        headers: HeaderMap,
        attempts: u32,
        way: Duration,
    ) -> HostOutcome {
        let now = Instant::now();
        let limit = forwarding.deadline.saturating_duration_since(now);
        let elapsed = now.saturating_duration_since(forwarding.arrived_at) + way;
        let message = ForwardedRequest::new(forwarding.req, ForwardingState { elapsed, attempts });
        let call =
            HttpCall { headers, ..HttpCall::post(host, FORWARD_PATH, encode(&message), limit) };
        let reply = self.link.send(call).await;
        match reply {
            Ok(ForwardedAnswer::NotTaken { spent_attempts, not_run }) => {
                HostOutcome::NotTaken { spent_attempts, not_run }
            }
            Ok(answer) => answer.into_answer().map_or(HostOutcome::Lost, HostOutcome::Answered),
            Err(e) => {
                self.log_lost(forwarding, host, &e);
                if is_not_sent(&e) { HostOutcome::NOT_SENT } else { HostOutcome::Lost }
            }
        }
    }

    fn log_lost(&self, forwarding: &Forwarding<'_>, host: SocketAddr, e: &FleetLinkError) {
        log_event!(
            info,
            Event::ForwardingFailed,
            request = forwarding.req.id.to_str().unwrap_or_default(),
            host = %host,
            cause = with_sources(e)
        );
    }

    async fn forward_to_any(&self, forwarding: Forwarding<'_>) -> ForwardOutcome {
        let mut tried = Vec::new();
        let (mut attempts, mut not_run) = (forwarding.attempts, true);
        while tried.len() < MAX_HOSTS && attempts > 0 && Instant::now() < forwarding.deadline {
            let Some(host) = self.choose_host(&tried, forwarding.homes) else { break };
            tried.push(host);
            match self.try_host(host, &forwarding, attempts).await {
                HostOutcome::Answered(answer) => {
                    self.tier.counters.forwarded.increment();
                    return ForwardOutcome::Answered(answer);
                }
                HostOutcome::NotTaken { spent_attempts, not_run: is_certain } => {
                    not_run &= is_certain;
                    attempts = attempts.saturating_sub(spent_attempts);
                    if !not_run && !forwarding.idempotent {
                        break;
                    }
                }
                // The host may have called as many leafs as it was allowed to.
                HostOutcome::Lost => return ForwardOutcome::AnswerLost,
            }
        }
        self.tier.counters.not_forwarded.increment();
        if not_run { ForwardOutcome::NotTaken } else { ForwardOutcome::AnswerLost }
    }
}

/// Returns whether a failed call was not sent, or was refused before the message was handled.
fn is_not_sent(error: &FleetLinkError) -> bool {
    matches!(
        error,
        FleetLinkError::Call { source: HttpClientError::Connect { .. }, .. }
            | FleetLinkError::Refused { .. }
    )
}

impl RequestForwarder for Arc<FleetForwarder> {
    fn forward<'a>(&'a self, forwarding: Forwarding<'a>) -> BoxFuture<'a, ForwardOutcome> {
        Box::pin(async move {
            self.ask_if_none_is_known(forwarding.homes).await;
            self.forward_to_any(forwarding).await
        })
    }
}

/// Counts a request as in progress at a host until it is dropped.
struct InProgress<'a> {
    hosts: &'a Mutex<ReachingHosts>,
    host: SocketAddr,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.hosts.lock().unwrap().record_end(self.host);
    }
}
