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

use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::Gatherer;
use crate::fleet_link::FleetLink;
use crate::fleet_link::encode;
use crate::ids::LeafHash;
use crate::knowledge::Knowledge;
use crate::log_event;
use crate::sightings::Sighting;
use crate::sightings::SightingBoard;
use crate::sightings::Summary;
use crate::tier::Tier;

/// Path of an exchange of sightings.
pub const SIGHTINGS_PATH: &str = "/fleet/sightings";

/// Pause between exchanges: about a third of the time in which a leaf's next call is due at one host.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Time allowed for one exchange within a zone.
const CALL_LIMIT: Duration = Duration::from_millis(300);
/// Time for which a host that did not answer is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, Deserialize, Serialize)]
struct SightingMessage {
    sightings: Vec<Sighting>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct SightingReply {
    summaries: Vec<Summary>,
}

/// This host's side of the exchanges.
pub struct SightingLink {
    knowledge: Arc<Knowledge>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    board: Mutex<SightingBoard>,
}

impl SightingLink {
    /// Makes a link that calls as `link` does.
    pub fn new(knowledge: Arc<Knowledge>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        Self { knowledge, tier, link, board: Mutex::default() }
    }

    /// Exchanges sightings for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let mut avoided: HashMap<SocketAddr, Instant> = HashMap::new();
        let own = self.tier.sightings.get_or_init(Mutex::default);
        loop {
            let pause = EXCHANGE_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::time::sleep(pause).await;
            let now = Instant::now();
            avoided.retain(|_, until| now < *until);
            let sightings = own.lock().unwrap().take();
            match self.gatherer(&avoided, now) {
                Gatherer::Nobody => {}
                Gatherer::Own => {
                    let summaries = self.gather(sightings, now);
                    self.believe(summaries, now);
                }
                Gatherer::Other(peer) => {
                    if !self.exchange(peer, sightings).await {
                        avoided.insert(peer, Instant::now() + AVOID_TIME);
                    }
                }
            }
        }
    }

    fn gatherer(&self, avoided: &HashMap<SocketAddr, Instant>, now: Instant) -> Gatherer {
        let fleet = self.knowledge.fleet.lock().unwrap();
        fleet.gatherer(|addr| avoided.contains_key(&addr), now)
    }

    async fn exchange(&self, peer: SocketAddr, sightings: Vec<Sighting>) -> bool {
        let message = SightingMessage { sightings };
        let reply = self.link.call(peer, SIGHTINGS_PATH, &message, CALL_LIMIT).await;
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

    fn gather(&self, sightings: Vec<Sighting>, now: Instant) -> Vec<Summary> {
        let mut board = self.board.lock().unwrap();
        board.hear(sightings, now);
        board.summaries(now)
    }

    fn believe(&self, summaries: Vec<Summary>, now: Instant) {
        let summaries: HashMap<LeafHash, Summary> =
            summaries.into_iter().map(|summary| (summary.leaf, summary)).collect();
        let view = self.knowledge.views.get();
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
