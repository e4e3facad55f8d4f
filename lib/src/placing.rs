//! Choice among the leafs that may run a call, by expected cost and by how well it is known.
//!
//! Load: many hosts with the same reports choose at the same time among leafs of nearly equal cost.
//! If each took the cheapest, all would call one leaf until the next reports show its queue.

use std::time::Duration;

use rand::Rng;
use rand::RngCore;

use crate::plan::Choice;

/// Uncertainty of a cost that is known from a fresh statement of the leaf, as a share of the work.
const KNOWN_UNCERTAINTY: f64 = 0.15;
/// Uncertainty of a cost that is known from earlier calls only, as a share of the work.
const OBSERVED_UNCERTAINTY: f64 = 0.7;
/// Round trips belong to the same distance if the longer one exceeds the shorter one by at most
/// this factor and [`SAME_DISTANCE_MARGIN`].
const SAME_DISTANCE_FACTOR: f64 = 1.3;
/// See [`SAME_DISTANCE_FACTOR`].
const SAME_DISTANCE_MARGIN: Duration = Duration::from_millis(1);
/// Weight of the cost of failures. A call that waits too long is
/// answered late, one that fails is often not answered at all.
const FAILURE_WEIGHT: f64 = 4.0;
/// Saved time at which every call goes to a farther leaf, in units of the uncertainty.
const CERTAIN_GAIN: f64 = 1.2;

/// A leaf that may run the call.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The leaf, and its cost: the expected time until the reply with all penalties.
    pub choice: Choice,
    /// Part of the cost that stands for failures of the call.
    pub failure_cost: Duration,
    /// Round trip to the leaf's zone; zero for the zone of this host.
    pub distance: Duration,
    /// How much of the leaf's last statement of its load still holds, from 0 to 1.
    pub freshness: f64,
}

/// Leafs at the same distance, with the probability of each.
struct Group {
    choices: Vec<(Choice, f64)>,
    expected_cost: f64,
    uncertainty: f64,
}

impl Group {
    /// Returns the group of these places, of which there is at least one. The probability of a leaf
    /// falls exponentially with its cost, in units of the uncertainty.
    fn new(places: &[Place], work: Duration) -> Self {
        let count = places.len() as f64;
        let freshness = places.iter().map(|place| place.freshness).sum::<f64>() / count;
        let share = OBSERVED_UNCERTAINTY + (KNOWN_UNCERTAINTY - OBSERVED_UNCERTAINTY) * freshness;
        let cost = |place: &Place| place.choice.cost.as_secs_f64();
        let weighted_cost =
            |place: &Place| cost(place) + place.failure_cost.as_secs_f64() * (FAILURE_WEIGHT - 1.0);
        let least = places.iter().map(weighted_cost).fold(f64::INFINITY, f64::min);
        let uncertainty = (work.as_secs_f64().max(least) * share).max(1e-6);
        let weight = |place: &Place| (-(weighted_cost(place) - least) / uncertainty).exp();
        let sum: f64 = places.iter().map(weight).sum();
        let choices: Vec<_> =
            places.iter().map(|place| (place.choice, weight(place) / sum)).collect();
        let expected_cost =
            places.iter().zip(&choices).map(|(place, (_, p))| weighted_cost(place) * p).sum();
        Self { choices, expected_cost, uncertainty }
    }

    fn draw(&self, rng: &mut dyn RngCore) -> Choice {
        let mut left: f64 = rng.random();
        let drawn = self.choices.iter().find(|(_, probability)| {
            left -= probability;
            left < 0.0
        });
        // Rounding may leave the sum of the probabilities below 1.
        drawn.unwrap_or(&self.choices[0]).0
    }
}

fn groups(mut places: Vec<Place>, work: Duration) -> Vec<Group> {
    places.sort_by_key(|place| place.distance);
    let is_same = |a: &Place, b: &Place| {
        let farthest = a.distance.mul_f64(SAME_DISTANCE_FACTOR) + SAME_DISTANCE_MARGIN;
        (a.distance.is_zero() == b.distance.is_zero()) && b.distance <= farthest
    };
    places.chunk_by(is_same).map(|places| Group::new(places, work)).collect()
}

/// Chooses a leaf for a call whose typical time of work is `work`; nothing if there is no place.
///
/// Among leafs at the same distance, the probability of a leaf falls with its cost. A leaf at a
/// greater distance is chosen only if that is expected to save time, and the more often the more it
/// saves, so that the hosts of a zone don't all turn to another one at once.
pub fn choose(places: Vec<Place>, work: Duration, rng: &mut dyn RngCore) -> Option<Choice> {
    let groups = groups(places, work);
    let (nearest, farther) = groups.split_first()?;
    let best = farther.iter().min_by(|a, b| a.expected_cost.total_cmp(&b.expected_cost));
    let saves = |far: &&Group| {
        let gain = nearest.expected_cost - far.expected_cost;
        gain > 0.0 && rng.random::<f64>() * CERTAIN_GAIN * far.uncertainty < gain
    };
    Some(best.filter(saves).unwrap_or(nearest).draw(rng))
}
