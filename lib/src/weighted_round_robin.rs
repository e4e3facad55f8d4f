//! Weighted round robin: picks targets by count rather than at random, so that each target gets its
//! share of a short sequence of requests too.

/// Picks among targets with fixed weights, interleaved as evenly as possible (smooth weighted round
/// robin).
///
/// Invariant: after any number of picks, each target's count differs from its exact share by at
/// most the number of targets.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    /// Weight of each target. The weights are scaled to sum to 1 unless all are 0.
    weights: Vec<f64>,
    /// Exact share of the picks so far minus their count, for each target.
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Creates a picker; only the ratios of the weights matter. `start`, from 0 to 1, sets where in
    /// the sequence it begins, so that many hosts do not all begin with the same target.
    pub fn new(weights: Vec<f64>, start: f64) -> Self {
        let total: f64 = weights.iter().sum();
        let mut picker = Self { credit: vec![0.0; weights.len()], weights };
        if total > 0.0 {
            picker.weights.iter_mut().for_each(|weight| *weight /= total);
            let skipped = (start.clamp(0.0, 1.0) * picker.weights.len() as f64 * 2.0) as usize;
            (0..skipped).for_each(|_| {
                picker.pick();
            });
        }
        picker
    }

    /// Returns the index of the next target.
    pub fn pick(&mut self) -> usize {
        let mut best = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            self.credit[index] += weight;
            if self.credit[index] > self.credit[best] {
                best = index;
            }
        }
        if let Some(credit) = self.credit.get_mut(best) {
            *credit -= 1.0;
        }
        best
    }
}
