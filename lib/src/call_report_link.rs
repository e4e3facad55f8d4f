//! Exchange of call reports and their summaries between the hosts of a zone.

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
use crate::pace_records;
use crate::tier::Tier;

/// HTTP path to which a host posts its call reports.
pub const CALL_REPORTS_PATH: &str = "/fleet/sightings";

/// Pause between two exchanges, before jitter: about a third of the time between two calls of one
/// host to the same leaf.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Timeout of one exchange. It is short, as both hosts are in the same zone.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an aggregator that did not answer is not used again.
const AVOID_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, Deserialize, Serialize)]
struct CallReportMessage {
    sightings: Vec<CallReport>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct CallReportReply {
    summaries: Vec<LeafSummary>,
}

/// Client and server side of this host's exchanges of call reports.
pub struct CallReportLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    aggregator: Mutex<CallReportAggregator>,
}

impl CallReportLink {
    /// Creates a link that sends its messages through `link`.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        Self { cluster_state, tier, link, aggregator: Mutex::default() }
    }

    /// Sends queued reports to the zone's aggregator and applies its summaries, for as long as the
    /// process runs.
    pub async fn run(self: Arc<Self>) {
        let mut avoided: HashMap<SocketAddr, Instant> = HashMap::new();
        let queue = self.tier.call_reports.get_or_init(Mutex::default);
        loop {
            let pause = EXCHANGE_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::time::sleep(pause).await;
            let now = Instant::now();
            avoided.retain(|_, until| now < *until);
            let reports = queue.lock().unwrap().drain_all();
            match self.aggregator_host(&avoided, now) {
                AggregatorHost::Absent => {}
                AggregatorHost::Own => {
                    let summaries = self.aggregate(reports, now);
                    self.apply_summaries(summaries, now);
                }
                AggregatorHost::Other(peer) => {
                    if !self.exchange(peer, reports).await {
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

    /// Sends reports to the aggregator `peer` and applies its summaries. Returns whether it
    /// answered; the reports are lost if not.
    async fn exchange(&self, peer: SocketAddr, reports: Vec<CallReport>) -> bool {
        let message = CallReportMessage { sightings: reports };
        let reply = self.link.call(peer, CALL_REPORTS_PATH, &message, CALL_TIMEOUT).await;
        match reply {
            Ok(CallReportReply { summaries }) => {
                self.apply_summaries(summaries, Instant::now());
                true
            }
            Err(e) => {
                let cause = with_sources(&e);
                log_event!(info, Event::AggregatorLost, gatherer = %peer, cause);
                false
            }
        }
    }

    fn aggregate(&self, reports: Vec<CallReport>, now: Instant) -> Vec<LeafSummary> {
        let mut aggregator = self.aggregator.lock().unwrap();
        aggregator.record_reports(reports, now);
        aggregator.summaries(now)
    }

    fn apply_summaries(&self, summaries: Vec<LeafSummary>, now: Instant) {
        let summaries: HashMap<LeafHash, LeafSummary> =
            summaries.into_iter().map(|summary| (summary.leaf, summary)).collect();
        let view = self.cluster_state.views.get();
        for leaf in view.leafs.iter() {
            if let Some(summary) = summaries.get(&leaf.hash) {
                leaf.state().estimates.record_zone_report(*summary, now);
            }
        }
        pace_records::record_reports(&view.leafs, &summaries, now);
    }

    /// Records the reports of another host and returns the encoded summaries. Fails if the message
    /// does not decode.
    pub fn answer_reports(&self, body: &[u8]) -> Result<Bytes, rmp_serde::decode::Error> {
        let CallReportMessage { sightings: reports } = rmp_serde::from_slice(body)?;
        let summaries = self.aggregate(reports, Instant::now());
        Ok(encode(&CallReportReply { summaries }))
    }
}
