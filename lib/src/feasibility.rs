//! Decides whether a query can still reach its minimum coverage before its deadline.
//!
//! Load: leafs of many shards are slow, hung or lost, so that calls wait for a slot or a connection
//! that does not come. A caller that cannot be served is told so while it has time left to come
//! back, instead of at its deadline.

use std::time::Duration;

/// Shortest wait that is taken as a sign that it will go on. Covers a lost packet between regions
/// and a short pause of a leaf.
const MIN_STALL: Duration = Duration::from_millis(60);
/// Factor by which a wait must exceed the usual one to be taken as a sign that it will go on.
const STALL_FACTOR: f64 = 3.0;

/// What can still be expected of one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prospect {
    /// The shard has answered, or a call to it was written, whose reply may arrive at any time.
    Open,
    /// No call was written yet; the first reply is expected after this time.
    After(Duration),
    /// The shard gets no further call.
    Lost,
}

/// Why a query is not expected to be answered in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The leafs of too many shards are expected to answer too late.
    BusyLeafs,
    /// This host is expected to take too long to send the calls.
    SlowHost,
    /// Calls that wait for a slot or a connection are not expected to be sent in time.
    UnsentCalls,
}

/// Whether enough shards can still answer in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Enough shards can answer in time.
    Feasible,
    /// Too few shards can answer in time; the last one needed is expected this long after the
    /// deadline.
    Late(Duration),
    /// Too few shards can answer at all.
    Never,
}

/// Assesses whether `needed` shards can answer within `remaining`, the time until the deadline.
pub fn assess(
    prospects: impl IntoIterator<Item = Prospect>,
    needed: usize,
    remaining: Duration,
) -> Verdict {
    let mut open = 0;
    let mut waits = Vec::new();
    for prospect in prospects {
        match prospect {
            Prospect::Open => open += 1,
            Prospect::After(wait) => waits.push(wait),
            Prospect::Lost => {}
        }
    }
    let Some(missing) = needed.checked_sub(open).filter(|&missing| missing > 0) else {
        return Verdict::Feasible;
    };
    if waits.len() < missing {
        return Verdict::Never;
    }
    let (_, last_needed, _) = waits.select_nth_unstable(missing - 1);
    match last_needed.checked_sub(remaining).filter(|late| !late.is_zero()) {
        Some(late) => Verdict::Late(late),
        None => Verdict::Feasible,
    }
}

/// Returns how much longer something is expected to last that usually takes `usual` and has lasted
/// `waited` so far. A stall, whose end is unknown, lasts on average as long again as it has so far.
pub fn expected_rest(usual: Duration, waited: Duration) -> Duration {
    if waited > usual.mul_f64(STALL_FACTOR).max(MIN_STALL) {
        waited
    } else {
        usual.saturating_sub(waited)
    }
}
