//! Interface to a platform that publishes the configuration and each leaf's entry under keys.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::backend::BoxFuture;
use crate::change_log::Change;
use crate::cold_limit::ColdPhase;
use crate::http_client::HttpClientError;
use crate::ids::Position;
use crate::ids::Revision;
use crate::leaf_directory::PublishedLeaf;
use crate::opaque_catalogue::CallerLimits;
use crate::opaque_catalogue::RawOpaqueEntry;

/// Failure of a call to the platform.
#[derive(Debug, Error)]
pub enum PlatformStoreError {
    /// The platform could not be called or did not answer in time.
    #[error("Step \"{step}\" at the platform {peer} failed")]
    Unreachable {
        /// Name of the call.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Failure of the HTTP call.
        #[source]
        source: Box<HttpClientError>,
    },
    /// The platform refused the call; it had no effect.
    #[error("Step \"{step}\" at the platform {peer} was refused with status {status}")]
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer does not decode.
    #[error("Step \"{step}\" at the platform {peer}: the answer does not decode: {message}")]
    Unreadable {
        /// Name of the call.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Description of the fault, from the decoder.
        message: String,
    },
}

impl PlatformStoreError {
    /// Returns whether an answer came that cannot be used, so that the same call would bring the
    /// same answer again.
    pub fn is_unusable_answer(&self) -> bool {
        match self {
            Self::Unreachable { source, .. } => {
                matches!(**source, HttpClientError::TooLarge { .. })
            }
            Self::Unreadable { .. } => true,
            Self::Refused { .. } => false,
        }
    }
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformStoreError>;

/// One page of a list. The pages of a list may be read at different revisions.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Present keys, as changes that set them.
    pub changes: Vec<Change>,
    /// Key after which the next page starts; absent on the last page.
    pub next: Option<String>,
    /// Position of the platform when the page was read.
    pub position: Position,
}

/// Result of a watch.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// All changes from the requested revision up to `position`; possibly none.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<Change>,
        /// Position up to which `changes` is complete.
        position: Position,
    },
    /// The platform no longer keeps the changes after the requested revision, so all keys must be
    /// listed again.
    HistoryLost,
}

/// Part of the published keys that can be listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Keys {
    /// The configuration and the evacuations, which the operator publishes.
    Operator,
    /// The leafs' entries.
    Leafs,
}

/// Access to the keys that the platform publishes.
pub trait PlatformStore: Send + Sync {
    /// Reads a page of these keys: the first one, or the one that starts after the key `after`.
    fn list(&self, keys: Keys, after: Option<String>) -> BoxFuture<'_, Result<Page>>;

    /// Returns the changes after the revision `after`. If there are none yet, waits for some, up to
    /// `wait`.
    fn watch(&self, after: Revision, wait: Duration) -> BoxFuture<'_, Result<WatchResult>>;
}

/// Description of what is wrong with a published value.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct Unusable(pub String);

/// Decoded configuration, not validated.
#[derive(Clone, Debug, Default)]
pub struct RawConfiguration {
    /// Version of the configuration; a higher one is newer.
    pub version: u64,
    /// Entries that could be decoded.
    pub entries: Vec<RawOpaqueEntry>,
    /// Line of the document on which each of `entries` begins, from 1, in the same order; may be
    /// shorter if that is not known.
    pub entry_lines: Vec<usize>,
    /// Connection limits of the groups of leafs.
    pub groups: Vec<RawGroup>,
    /// Limits on the requests of callers.
    pub caller_limits: CallerLimits,
    /// Faults of the entries that could not be decoded.
    pub unreadable: Vec<Unusable>,
}

/// Group of leafs, as published.
#[derive(Clone, Debug, PartialEq)]
pub struct RawGroup {
    /// Name of the group.
    pub name: String,
    /// Number of connections that each leaf of the group accepts from all hosts together.
    pub connections: u32,
    /// Slow phase of the group's leafs after their start, if they have one.
    pub cold_phase: Option<ColdPhase>,
}

/// Decoder of the formats in which the platform publishes values.
pub trait Decoder: Send + Sync {
    /// Decodes a configuration. Fails only if no part of it can be used.
    fn configuration(&self, value: &[u8]) -> std::result::Result<RawConfiguration, Unusable>;

    /// Decodes the entry of the leaf `instance`.
    fn leaf(&self, instance: &str, value: &[u8]) -> std::result::Result<PublishedLeaf, Unusable>;
}
