//! Decides whether a request runs on this host or on a faster one of its zone.
//!
//! Answers the load in which small hosts get as many requests of many shards as large ones, and a
//! request waits for the processor behind the calls and replies of others.

use std::time::Duration;

use crate::host_room::HostCapacity;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_catalogue::Target;
use crate::placement::Places;

/// Processor time of one call to a leaf with its reply, on a core of ordinary speed.
const CALL_TIME: Duration = Duration::from_micros(90);
/// Processor time of passing a request on and of passing its answer back, on the same core.
const PASSING_TIME: Duration = Duration::from_micros(400);
/// Bytes of one call to a leaf with its reply.
const CALL_BYTES: u32 = 1_000;
/// Part of the calls in progress that is still to be processed, on average.
const REMAINING_PART: f64 = 0.5;
/// Part of the time on this host that passing a request on must save.
const MIN_SAVED_PART: f64 = 0.25;
/// Time that passing a request on must save.
const MIN_SAVED_TIME: Duration = Duration::from_millis(4);
/// Largest ratio of another host's speed to this one's that is believed. It bounds the requests that
/// are sent to a host whose report is wrong.
const MAX_SPEED_RATIO: u32 = 8;
/// Smallest ratio of another host's speed to this one's at which requests are passed on to it.
pub const MIN_SPEED_RATIO: f64 = 1.5;

/// Work of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Number of shards that the request calls.
    pub calls: u32,
}

impl Work {
    /// Returns the work of a request of this entry.
    pub fn of_entry(entry: &OpaqueEntry) -> Self {
        let calls = match &entry.target {
            Target::All(groups) => groups.len() as u32,
            Target::One(_) => 1,
        };
        Self { calls }
    }
}

/// Capacity of a host, and its work in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Capacity of the host.
    pub capacity: HostCapacity,
    /// Number of shards of the requests in progress there.
    pub open_calls: u32,
    /// Recent delay of the host's timers.
    pub delay: Duration,
}

/// Another host to which a request may be passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OtherHost {
    /// Its load, as it reported it and as this host has added to it since.
    pub load: HostLoad,
    /// Round trip to it, with the time in which it answers a short message.
    pub rtt: Duration,
}

/// Returns whether a host of `zone` may get the body of a request of `entry` from another host of
/// that zone: if the zone lies in the homes of the entry. The caller's own region is not known for
/// certain, as a balancer may send it to hosts elsewhere.
pub fn may_stay_in_zone(entry: &OpaqueEntry, zone: &str, places: &Places) -> bool {
    places.is_home(&entry.homes, zone)
}

/// Returns whether a host is so much faster than this one that it may get requests.
pub fn is_faster(other: &HostCapacity, own: &HostCapacity) -> bool {
    f64::from(other.millicores) >= f64::from(own.millicores) * MIN_SPEED_RATIO
}

/// Returns the time that the processor and the link of a host need for a request, behind the work
/// that is in progress there.
pub fn expected_time(work: Work, load: &HostLoad) -> Duration {
    let call_time = call_time(&load.capacity);
    let queued = call_time.mul_f64(f64::from(load.open_calls) * REMAINING_PART);
    call_time * work.calls + queued.max(load.delay)
}

/// Returns the expected time on another host. Its speed is believed up to a limit.
pub fn expected_time_there(work: Work, own: &HostLoad, other: &OtherHost) -> Duration {
    let limit = own.capacity.millicores.saturating_mul(MAX_SPEED_RATIO);
    let millicores = other.load.capacity.millicores.min(limit);
    let capacity = HostCapacity { millicores, ..other.load.capacity };
    expected_time(work, &HostLoad { capacity, ..other.load })
}

/// Returns the longest time on another host with which passing a request on is still clearly faster
/// than running it here: the time here, less that of the way and of passing it on.
pub fn longest_time_there(work: Work, own: &HostLoad, other: &OtherHost) -> Duration {
    let here = expected_time(work, own);
    let min_saved = MIN_SAVED_TIME.max(here.mul_f64(MIN_SAVED_PART));
    here.saturating_sub(way(own, other) + min_saved)
}

/// Returns the time of the way there and back, with that of passing on a request and its answer on
/// this host. An answer that is due must leave the other host earlier by it.
pub fn way(own: &HostLoad, other: &OtherHost) -> Duration {
    let passing = PASSING_TIME.mul_f64(1e3 / f64::from(own.capacity.millicores));
    // The round trip includes the time for which the reply waited behind other work there.
    other.rtt.saturating_sub(other.load.delay) + passing
}

/// Returns whether a request is to be passed on: it is expected to be clearly faster on the other
/// host, which is a faster one.
pub fn should_pass_on(work: Work, own: &HostLoad, other: &OtherHost) -> bool {
    is_faster(&other.load.capacity, &own.capacity)
        && expected_time_there(work, own, other) <= longest_time_there(work, own, other)
}

fn call_time(capacity: &HostCapacity) -> Duration {
    let processor = CALL_TIME.mul_f64(1e3 / f64::from(capacity.millicores));
    let link =
        Duration::from_secs_f64(f64::from(CALL_BYTES * 8) / 1e3 / f64::from(capacity.link_kbps));
    // The processor and the link work at the same time.
    processor.max(link)
}
