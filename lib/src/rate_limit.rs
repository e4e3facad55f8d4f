//! Rate limits that leafs name in their replies.

use serde::Serialize;
use thiserror::Error;

/// Error for a number that is no rate of requests.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is no rate of requests; allowed are finite numbers from 0")]
pub struct NotARate(pub f64);

/// Result of checking a rate.
pub type Result<T> = std::result::Result<T, NotARate>;

/// A number of requests a second, finite and at least 0.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = NotARate;

    fn try_from(per_second: f64) -> Result<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        if is_rate { Ok(Self(per_second)) } else { Err(NotARate(per_second)) }
    }
}

/// What a reply says about the requests that its leaf takes from all hosts together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The leaf names no limit.
    #[default]
    Absent,
    /// The leaf takes this many requests a second.
    PerSecond(RequestRate),
    /// The leaf names a limit that cannot be read; the text is what it names.
    Unreadable(String),
}

impl From<Option<f64>> for NamedLimit {
    fn from(per_second: Option<f64>) -> Self {
        per_second.map_or(Self::Absent, |per_second| {
            let rate = RequestRate::try_from(per_second);
            rate.map_or_else(|_| Self::Unreadable(per_second.to_string()), Self::PerSecond)
        })
    }
}
