//! Straight lines through measured points.

/// A line with its quality.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Growth per unit.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

/// One measured point.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Size.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

/// Fits a line by least squares. Needs two points with different sizes.
pub fn fit(samples: &[Sample]) -> Fit {
    let n = samples.len() as f64;
    let mean = |value: fn(&Sample) -> f64| samples.iter().map(value).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|s| s.x), mean(|s| s.y));
    let spread: f64 = samples.iter().map(|s| (s.x - mean_x).powi(2)).sum();
    let common: f64 = samples.iter().map(|s| (s.x - mean_x) * (s.y - mean_y)).sum();
    let slope = common / spread;
    let base = mean_y - slope * mean_x;
    let largest = samples.iter().map(|s| s.y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let off = samples.iter().map(|s| (s.y - base - slope * s.x).abs()).fold(0.0, f64::max);
    Fit { base, slope, error: off / largest }
}
