//! Least-squares fit of a straight line to measured points.

/// Fitted line and its error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value of the line at x = 0.
    pub intercept: f64,
    /// Growth of the value per unit of x.
    pub slope: f64,
    /// Largest vertical distance of a point from the line, as a share of the largest absolute
    /// value.
    pub error: f64,
}

/// Measured point.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Size at which the value was measured.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

/// Fits a line by least squares. With fewer than two different sizes the result is not a number.
pub fn fit(samples: &[Sample]) -> Fit {
    let n = samples.len() as f64;
    let mean = |value: fn(&Sample) -> f64| samples.iter().map(value).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|s| s.x), mean(|s| s.y));
    let sum_xx: f64 = samples.iter().map(|s| (s.x - mean_x).powi(2)).sum();
    let sum_xy: f64 = samples.iter().map(|s| (s.x - mean_x) * (s.y - mean_y)).sum();
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let largest_value = samples.iter().map(|s| s.y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let largest_distance =
        samples.iter().map(|s| (s.y - intercept - slope * s.x).abs()).fold(0.0, f64::max);
    Fit { intercept, slope, error: largest_distance / largest_value }
}
