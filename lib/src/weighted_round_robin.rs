//! Deals requests to weighted targets by count, so that shares hold without luck.

/// A dealer over targets whose weights do not change.
///
/// Invariant: after any number of picks, each target's count is within one of its exact share.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    weights: Vec<f64>,
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Makes a dealer. `start` in 0..1 sets where in the sequence it begins, so that many hosts do
    /// not all begin with the same target.
    pub fn new(weights: Vec<f64>, start: f64) -> Self {
        let total: f64 = weights.iter().sum();
        let mut dealer = Self { credit: vec![0.0; weights.len()], weights };
        if total > 0.0 {
            dealer.weights.iter_mut().for_each(|weight| *weight /= total);
            let ahead = (start.clamp(0.0, 1.0) * dealer.weights.len() as f64 * 2.0) as usize;
            (0..ahead).for_each(|_| {
                dealer.pick();
            });
        }
        dealer
    }

    /// Picks the next target, by its place.
    pub fn pick(&mut self) -> usize {
        let mut best = 0;
        for (place, weight) in self.weights.iter().enumerate() {
            self.credit[place] += weight;
            if self.credit[place] > self.credit[best] {
                best = place;
            }
        }
        if let Some(credit) = self.credit.get_mut(best) {
            *credit -= 1.0;
        }
        best
    }
}
