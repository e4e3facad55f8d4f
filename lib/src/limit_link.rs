//! Reports this host's demand for leafs that name a rate limit, and gets its parts of the limits.
//!
//! The limits of a bucket of leafs are divided by one host, chosen by rendezvous hashing over the
//! membership table. A host that reaches no dividing host uses an equal part.

use std::collections::BTreeMap;
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
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet_link::FleetLink;
use crate::fleet_link::encode;
use crate::ids::LeafHash;
use crate::leaf::Leaf;
use crate::limit_division::Demand;
use crate::limit_division::LimitDivider;
use crate::limit_division::PART_LIFETIME;
use crate::limit_division::Part;
use crate::limit_records;
use crate::log_event;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::RequestRate;
use crate::tier::Tier;

/// HTTP path to which a host posts its demand.
pub const LIMITS_PATH: &str = "/fleet/limits";

/// Number of buckets of leafs, each of which has a dividing host.
const BUCKETS: u64 = 16;
/// Pause between two reports, before jitter.
const REPORT_PAUSE: Duration = Duration::from_secs(1);
/// Time for which changes are collected before they are reported.
const CHANGE_COLLECTION_TIME: Duration = Duration::from_millis(20);
/// Timeout of one report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a dividing host that did not answer is not used again.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// What a host knows about the limit of a leaf, as sent.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SentObservation {
    leaf: LeafHash,
    /// Requests a second; absent if the leaf no longer names a limit.
    limit_per_s: Option<f64>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct DemandMessage {
    host: String,
    /// What the host knows about each leaf, and the requests a second that it wants to send.
    demands: Vec<(SentObservation, f64)>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct PartsReply {
    /// What the dividing host knows about each leaf, and the requests a second that the other host
    /// may send; absent where there is no limit.
    parts: Vec<(SentObservation, Option<f64>)>,
}

impl SentObservation {
    fn new(leaf: LeafHash, observation: LimitObservation) -> Self {
        let limit_per_s = observation.limit.map(RequestRate::per_second);
        Self { leaf, limit_per_s, age: observation.age }
    }

    /// Returns the observation, or nothing if its limit is no rate.
    fn checked(self) -> Option<LimitObservation> {
        let limit = self.limit_per_s.map(RequestRate::try_from).transpose().ok()?;
        Some(LimitObservation { limit, age: self.age })
    }
}

/// Client and server side of this host's reports.
pub struct LimitLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    link: Arc<FleetLink>,
    divider: Mutex<LimitDivider>,
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
}

/// Limited leafs whose limits one host divides.
type LeafsByDivider = BTreeMap<Option<SocketAddr>, Vec<Arc<Leaf>>>;

impl LimitLink {
    /// Creates a link that sends its messages through `link`.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, link: Arc<FleetLink>) -> Self {
        let (divider, avoided) = (Mutex::default(), Mutex::default());
        Self { cluster_state, tier, link, divider, avoided }
    }

    /// Reports this host's demand, regularly and when a limit changes, for as long as the process
    /// runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            let pause = REPORT_PAUSE.mul_f64(rand::rng().random_range(0.9..1.1));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.tier.limits_changed.notified() => {
                    tokio::time::sleep(CHANGE_COLLECTION_TIME).await;
                }
            }
            let now = Instant::now();
            self.divider.lock().unwrap().drop_silent_hosts(now);
            for (divider, leafs) in self.limited_leafs(now) {
                match divider {
                    None => self.divide_own(&leafs, now),
                    Some(peer) => drop(tokio::spawn(self.clone().report(peer, leafs))),
                }
            }
        }
    }

    /// Returns the leafs of which other hosts should know something, by the host that divides their
    /// limits; nothing stands for this host.
    fn limited_leafs(&self, now: Instant) -> LeafsByDivider {
        let view = self.cluster_state.views.get();
        let limited = view.leafs.iter().filter(|l| l.state().limiter.observation(now).is_some());
        let limited: Vec<Arc<Leaf>> = limited.cloned().collect();
        let mut by_divider = LeafsByDivider::new();
        if limited.is_empty() {
            return by_divider;
        }
        limited.iter().for_each(|leaf| limit_records::update_rank(&self.tier, leaf, now));
        let mut avoided = self.avoided.lock().unwrap();
        avoided.retain(|_, until| now < *until);
        let fleet = self.cluster_state.fleet.lock().unwrap();
        let is_avoided = |addr| avoided.contains_key(&addr);
        let mut dividers = HashMap::new();
        for leaf in limited {
            let bucket = leaf.hash.0 % BUCKETS;
            let find = || fleet.dividing_host(bucket, is_avoided, now);
            let divider = *dividers.entry(bucket).or_insert_with(find);
            by_divider.entry(divider).or_default().push(leaf);
        }
        by_divider
    }

    fn demand(leaf: &Leaf, now: Instant) -> Option<Demand> {
        let state = leaf.state();
        let observation = state.limiter.observation(now)?;
        Some(Demand { observation, wanted_per_s: state.limiter.wanted_per_second(now) })
    }

    fn divide_own(&self, leafs: &[Arc<Leaf>], now: Instant) {
        let host = self.tier.identity.host.as_str();
        for leaf in leafs {
            let Some(demand) = Self::demand(leaf, now) else { continue };
            let part = self.divide(leaf.hash, host, demand, now);
            part.into_iter().for_each(|part| self.apply_part(leaf, part, now));
        }
    }

    fn divide(&self, leaf: LeafHash, host: &str, demand: Demand, now: Instant) -> Option<Part> {
        let hosts = self.cluster_state.fleet.lock().unwrap().assumed_count(now);
        self.divider.lock().unwrap().divide(leaf, host, demand, hosts, now)
    }

    /// Reports the demand for `leafs` to the host that divides their limits, and applies the parts
    /// that it gives.
    async fn report(self: Arc<Self>, peer: SocketAddr, leafs: Vec<Arc<Leaf>>) {
        // The part ends this long after the request, so that it ends here before it ends there.
        let started = Instant::now();
        let demands = leafs.iter().filter_map(|leaf| {
            let demand = Self::demand(leaf, started)?;
            Some((SentObservation::new(leaf.hash, demand.observation), demand.wanted_per_s))
        });
        let host = self.tier.identity.host.to_string();
        let message = DemandMessage { host, demands: demands.collect() };
        match self.link.call(peer, LIMITS_PATH, &message, CALL_TIMEOUT).await {
            Ok(PartsReply { parts }) => {
                for (sent, rate) in parts {
                    let leaf = leafs.iter().find(|leaf| leaf.hash == sent.leaf);
                    let (Some(leaf), Some(observation)) = (leaf, sent.checked()) else { continue };
                    let rate = rate.and_then(|rate| RequestRate::try_from(rate).ok());
                    self.apply_part(leaf, Part { observation, rate }, started);
                }
            }
            Err(e) => {
                let cause = with_sources(&e);
                log_event!(info, Event::LimitDividerLost, divider = %peer, cause);
                self.avoided.lock().unwrap().insert(peer, Instant::now() + AVOID_TIME);
            }
        }
    }

    fn apply_part(&self, leaf: &Leaf, part: Part, requested_at: Instant) {
        let now = Instant::now();
        limit_records::merge_observation(&self.tier, leaf, part.observation, now);
        if let Some(rate) = part.rate {
            leaf.state().limiter.set_part(rate, requested_at + PART_LIFETIME, now);
        }
    }

    /// Divides limits for another host and returns the encoded reply. Fails if the message does not
    /// decode.
    pub fn answer_report(&self, body: &[u8]) -> Result<Bytes, rmp_serde::decode::Error> {
        let DemandMessage { host, demands } = rmp_serde::from_slice(body)?;
        let now = Instant::now();
        let part = |(sent, wanted_per_s): (SentObservation, f64)| {
            let demand = Demand { observation: sent.checked()?, wanted_per_s };
            let Part { observation, rate } = self.divide(sent.leaf, &host, demand, now)?;
            Some((SentObservation::new(sent.leaf, observation), rate.map(RequestRate::per_second)))
        };
        Ok(encode(&PartsReply { parts: demands.into_iter().filter_map(part).collect() }))
    }
}
