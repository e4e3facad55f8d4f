//! Announces suspected and blocked requests to other hosts as soon as they change.
//!
//! A host sends its news to a few others, chosen at random from all zones, and each host to which
//! anything in them is new does the same (rumor mongering). Hosts that no announcement reaches, or
//! that start later, get the records with their next exchange.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::fleet_link::FleetLink;
use crate::fleet_link::encode;
use crate::suspect_report::SuspectReport;
use crate::tier::Tier;

/// HTTP path to which a host posts its announcements.
pub const SUSPECTS_PATH: &str = "/fleet/suspects";

/// Number of hosts to which a host sends its news. If each host passes on what is new to it, all
/// but one in 400 hosts are expected to be reached.
const FAN_OUT: usize = 6;
/// Time for which news are collected before they are sent.
const COLLECTION_TIME: Duration = Duration::from_millis(10);
/// Largest number of requests in one announcement, so that a large outage, which makes many requests
/// suspected, does not fill the hosts' links.
const MAX_ANNOUNCED: usize = 32;
/// Pause between two announcements while there are more news than fit into one.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one announcement.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Announcement {
    suspects: Vec<SuspectReport>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct AnnouncementReply {}

/// Client and server side of this host's announcements.
pub struct SuspectLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
}

impl SuspectLink {
    /// Creates a link that sends its messages through `link`.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        Self { cluster_state, tier, link }
    }

    /// Announces changes of the quarantine for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.tier.suspects_changed.notified().await;
            tokio::time::sleep(COLLECTION_TIME).await;
            loop {
                let (suspects, has_more) = self.take_news();
                if !suspects.is_empty() {
                    self.announce(Arc::new(Announcement { suspects }));
                }
                if !has_more {
                    break;
                }
                tokio::time::sleep(ANNOUNCEMENT_PAUSE).await;
            }
        }
    }

    /// Returns the news of one announcement and whether there are more.
    fn take_news(&self) -> (Vec<SuspectReport>, bool) {
        let mut quarantine = self.tier.quarantine.lock().unwrap();
        let suspects = quarantine.take_news(MAX_ANNOUNCED, Instant::now());
        (suspects, quarantine.has_news())
    }

    fn announce(self: &Arc<Self>, announcement: Arc<Announcement>) {
        let peers = self.cluster_state.fleet.lock().unwrap().sample(&mut rand::rng(), FAN_OUT);
        for peer in peers {
            let (this, announcement) = (self.clone(), announcement.clone());
            tokio::spawn(async move {
                let sent = this.link.call(peer, SUSPECTS_PATH, &*announcement, CALL_TIMEOUT).await;
                if let Err(e) = sent.map(|AnnouncementReply {}| ()) {
                    // The peer gets the records with a later exchange.
                    tracing::debug!("{}", with_sources(&e));
                    this.tier.counters.peer_failures.increment();
                }
            });
        }
    }

    /// Merges another host's announcement and returns the encoded reply. Fails if the message does
    /// not decode.
    pub fn answer_announcement(&self, body: &[u8]) -> Result<Bytes, rmp_serde::decode::Error> {
        let Announcement { suspects } = rmp_serde::from_slice(body)?;
        self.tier.merge_suspects(&suspects, Instant::now());
        Ok(encode(&AnnouncementReply {}))
    }
}
