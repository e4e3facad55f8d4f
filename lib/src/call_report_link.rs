//! Exchanges of sightings between the hosts of a zone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::call_reports::CallReport;
use crate::call_reports::CallReportAggregator;
use crate::call_reports::LeafSummary;
use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::AggregatorHost;
use crate::fleet_link::FleetLink;
use crate::fleet_link::encode;
use crate::ids::LeafHash;
use crate::log_event;
use crate::tier::Tier;

/// Path of an exchange of sightings.
pub const CALL_REPORTS_PATH: &str = "/fleet/sightings";

/// Pause between exchanges: about a third of the time in which a leaf's next call is due at one host.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Time allowed for one exchange within a zone.
const CALL_LIMIT: Duration = Duration::from_millis(300);
/// Time for which a host that did not answer is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, Deserialize, Serialize)]
struct SightingMessage {
    sightings: Vec<CallReport>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct SightingReply {
    summaries: Vec<LeafSummary>,
}

/// This host's side of the exchanges.
pub struct CallReportLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    board: Mutex<CallReportAggregator>,
}

impl CallReportLink {
    /// Makes a link that calls as `link` does.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        Self { cluster_state, tier, link, board: Mutex::default() }
    }

    /// Exchanges sightings for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let mut avoided: HashMap<SocketAddr, Instant> = HashMap::new();
        let own = self.tier.call_reports.get_or_init(Mutex::default);
        loop {
            let pause = EXCHANGE_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::time::sleep(pause).await;
            let now = Instant::now();
            avoided.retain(|_, until| now < *until);
            let sightings = own.lock().unwrap().take();
            match self.aggregator_host(&avoided, now) {
                AggregatorHost::Absent => {}
                AggregatorHost::Own => {
                    let summaries = self.gather(sightings, now);
                    self.believe(summaries, now);
                }
                AggregatorHost::Other(peer) => {
                    if !self.exchange(peer, sightings).await {
                        avoided.insert(peer, Instant::now() + AVOID_TIME);
                    }
                }
            }
        }
    }

    fn aggregator_host(
        &self,
        avoided: &HashMap<SocketAddr, Instant>,
        now: Instant,
    ) -> AggregatorHost {
        let fleet = self.cluster_state.fleet.lock().unwrap();
        fleet.aggregator_host(|addr| avoided.contains_key(&addr), now)
    }

    async fn exchange(&self, peer: SocketAddr, sightings: Vec<CallReport>) -> bool {
        let message = SightingMessage { sightings };
        let reply = self.link.call(peer, CALL_REPORTS_PATH, &message, CALL_LIMIT).await;
        match reply {
            Ok(SightingReply { summaries }) => {
                self.believe(summaries, Instant::now());
                true
            }
            Err(e) => {
                let cause = with_sources(&e);
                log_event!(info, Event::GathererLost, gatherer = %peer, cause);
                false
            }
        }
    }

    fn gather(&self, sightings: Vec<CallReport>, now: Instant) -> Vec<LeafSummary> {
        let mut board = self.board.lock().unwrap();
        board.hear(sightings, now);
        board.summaries(now)
    }

    fn believe(&self, summaries: Vec<LeafSummary>, now: Instant) {
        let summaries: HashMap<LeafHash, LeafSummary> =
            summaries.into_iter().map(|summary| (summary.leaf, summary)).collect();
        let view = self.cluster_state.views.get();
        for leaf in view.leafs.iter() {
            if let Some(summary) = summaries.get(&leaf.hash) {
                leaf.state().estimates.record_zone_report(*summary, now);
            }
        }
    }

    /// Answers another host's exchange.
    pub fn answer(&self, body: &[u8]) -> Result<Bytes, rmp_serde::decode::Error> {
        let SightingMessage { sightings } = rmp_serde::from_slice(body)?;
        let summaries = self.gather(sightings, Instant::now());
        Ok(encode(&SightingReply { summaries }))
    }
}
