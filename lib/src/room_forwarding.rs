//! Passes requests on to faster hosts of the zone.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::header::HeaderName;

use crate::backend::BoxFuture;
use crate::ids::IndexVersion;
use crate::opaque::OpaqueAnswer;
use crate::request_forwarder::FleetForwarder;
use crate::request_forwarder::Forwarding;
use crate::request_forwarder::HostOutcome;
use crate::room_choice::Work;
use crate::room_link::RoomChoice;
use crate::room_link::RoomLink;
use crate::tier::Tier;

/// Header of a forwarded request with the version of the configuration that the forwarding host
/// applies.
const VERSION_HEADER: HeaderName = HeaderName::from_static("x-jasmineusher-version");
/// Header with the number of shards that the request calls.
const CALLS_HEADER: HeaderName = HeaderName::from_static("x-jasmineusher-calls");
/// Header with the longest expected time of the request, in microseconds.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-jasmineusher-limit-us");

/// Terms on which a request is passed on for room. A host that does not meet them does not take it.
/// Sent as headers, which a host of an earlier build ignores.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomTerms {
    /// Version of the configuration that the host must apply, so that callers of one host do not see
    /// versions alternate.
    pub version: IndexVersion,
    /// Work of the request.
    pub work: Work,
    /// Longest time that the host may expect for it, in whole microseconds.
    pub limit: Duration,
}

impl RoomTerms {
    /// Returns the headers of these terms.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(VERSION_HEADER, self.version.0.into());
        headers.insert(CALLS_HEADER, self.work.calls.into());
        headers.insert(LIMIT_HEADER, (self.limit.as_micros() as u64).into());
        headers
    }

    /// Reads the terms from the headers of a forwarded request; nothing if they hold none.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        Some(Self {
            version: IndexVersion(number(VERSION_HEADER)?),
            work: Work { calls: number(CALLS_HEADER)?.try_into().ok()? },
            limit: Duration::from_micros(number(LIMIT_HEADER)?),
        })
    }
}

/// How an attempt to pass a request on for room ended.
#[derive(Debug)]
pub enum RoomOutcome {
    /// Another host answered.
    Answered(OpaqueAnswer),
    /// No host was chosen, or the chosen one has not taken the request: it runs on this host.
    RunHere {
        /// Number of calls to one shard, at most, that may have reached a leaf.
        spent_attempts: u32,
        /// Whether it is certain that the request has not run.
        not_run: bool,
    },
    /// A host may have run the request with all its attempts, and its answer was lost.
    AnswerLost,
}

impl RoomOutcome {
    /// Returns the outcome of a request with this number of attempts that another host has given
    /// back after it spent some. If none is left, the request must not run again.
    pub fn given_back(spent_attempts: u32, not_run: bool, attempts: u32) -> Self {
        if spent_attempts >= attempts {
            return Self::AnswerLost;
        }
        Self::RunHere { spent_attempts, not_run }
    }
}

/// Passes requests on to hosts with room.
pub trait RoomForwarder: Send + Sync {
    /// Passes a request on if a host of the zone is expected to answer it clearly sooner, and waits
    /// for its answer. The request must be idempotent.
    fn forward_for_room<'a>(
        &'a self,
        forwarding: Forwarding<'a>,
        work: Work,
        version: IndexVersion,
    ) -> BoxFuture<'a, RoomOutcome>;
}

/// Passes requests on to faster hosts of the zone, over the link of `forwarder`.
pub struct ZoneForwarder {
    tier: Arc<Tier>,
    room: Arc<RoomLink>,
    forwarder: Arc<FleetForwarder>,
}

impl ZoneForwarder {
    /// Creates a forwarder to the hosts that `room` knows.
    pub fn new(tier: Arc<Tier>, room: Arc<RoomLink>, forwarder: Arc<FleetForwarder>) -> Self {
        Self { tier, room, forwarder }
    }

    async fn forward_to(
        &self,
        choice: RoomChoice,
        forwarding: &Forwarding<'_>,
        work: Work,
        version: IndexVersion,
    ) -> RoomOutcome {
        let mut in_progress = InProgress { room: &self.room, choice, work, has_replied: false };
        let RoomChoice { host, way, limit } = choice;
        let headers = RoomTerms { version, work, limit }.headers();
        let outcome =
            self.forwarder.send(host, forwarding, headers, forwarding.attempts, way).await;
        in_progress.has_replied = !matches!(outcome, HostOutcome::Lost);
        drop(in_progress);
        match outcome {
            HostOutcome::Answered(answer) => RoomOutcome::Answered(answer),
            HostOutcome::NotTaken { spent_attempts, not_run } => {
                self.tier.counters.not_passed_on.increment();
                self.room.record_refusal(host);
                RoomOutcome::given_back(spent_attempts, not_run, forwarding.attempts)
            }
            HostOutcome::Lost => {
                self.room.record_failure(host, "the answer was lost", Instant::now());
                RoomOutcome::AnswerLost
            }
        }
    }
}

impl RoomForwarder for ZoneForwarder {
    fn forward_for_room<'a>(
        &'a self,
        forwarding: Forwarding<'a>,
        work: Work,
        version: IndexVersion,
    ) -> BoxFuture<'a, RoomOutcome> {
        Box::pin(async move {
            match self.room.choose(work, Instant::now()) {
                Some(choice) => self.forward_to(choice, &forwarding, work, version).await,
                None => RoomOutcome::RunHere { spent_attempts: 0, not_run: true },
            }
        })
    }
}

/// Counts a request as in progress at a host until it is dropped.
struct InProgress<'a> {
    room: &'a RoomLink,
    choice: RoomChoice,
    work: Work,
    has_replied: bool,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.room.record_end(self.choice.host, self.work, self.has_replied, Instant::now());
    }
}
