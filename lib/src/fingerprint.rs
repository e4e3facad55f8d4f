//! Fingerprints of requests, by which a request that is sent again is recognised.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::EntryName;

/// Hash that identifies a request by its entry and parameters.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request for a catalogue entry.
    pub fn of(entry: &EntryName, params: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(entry.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(params.as_bytes());
        Self(hasher.digest())
    }

    /// Computes the fingerprint of a request from its fields. Their order and the bounds between
    /// them change the fingerprint.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }
}
