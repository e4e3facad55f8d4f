//! Border between the system and a platform that publishes entries one by one.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::backend::BoxFuture;
use crate::change_log::Change;
use crate::http_client::HttpClientError;
use crate::ids::Revision;
use crate::leaf_directory::PublishedLeaf;
use crate::opaque_catalogue::CallerLimits;
use crate::opaque_catalogue::RawOpaqueEntry;

/// Why the platform gave no answer. Names the step and the peer.
#[derive(Debug, Error)]
pub enum PlatformStoreError {
    /// No answer came.
    #[error("Step \"{step}\" at the platform {peer} failed")]
    Unreachable {
        /// What was asked.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: Box<HttpClientError>,
    },
    /// The platform refused, and nothing was done.
    #[error("Step \"{step}\" at the platform {peer} was refused with status {status}")]
    Refused {
        /// What was asked.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    #[error("Step \"{step}\" at the platform {peer}: the answer cannot be read: {message}")]
    Unreadable {
        /// What was asked.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// What is wrong.
        message: String,
    },
}

/// Result of asking the platform.
pub type Result<T> = std::result::Result<T, PlatformStoreError>;

/// One page of a list. Pages are not a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// What is on it.
    pub changes: Vec<Change>,
    /// Where the next page begins, if there is one.
    pub next: Option<String>,
    /// The platform's revision when the page was read.
    pub position: Revision,
}

/// What a watch brought.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// What changed up to a revision; perhaps nothing.
    Changes {
        /// The changes, in their order.
        changes: Vec<Change>,
        /// Everything up to this revision was told.
        position: Revision,
    },
    /// The platform no longer knows what changed.
    HistoryLost,
}

/// Reads what the platform publishes.
pub trait PlatformStore: Send + Sync {
    /// Reads the first or a further page of the leafs.
    fn list(&self, after: Option<String>) -> BoxFuture<'_, Result<Page>>;

    /// Reads the configuration.
    fn configuration(&self) -> BoxFuture<'_, Result<Page>>;

    /// Waits up to `wait` for what changes after a revision.
    fn watch(&self, after: Revision, wait: Duration) -> BoxFuture<'_, Result<WatchResult>>;
}

/// A published value that cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct Unusable(pub String);

/// A configuration as published, before its checks.
#[derive(Clone, Debug, Default)]
pub struct RawConfiguration {
    /// Its version.
    pub version: u64,
    /// The entries that could be read.
    pub entries: Vec<RawOpaqueEntry>,
    /// Connections that the leafs of each group accept.
    pub groups: Vec<RawGroup>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
    /// Entries that could not be read, each with what is wrong.
    pub unreadable: Vec<Unusable>,
}

/// A group of leafs as published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawGroup {
    /// Its name.
    pub name: String,
    /// Connections that each of its leafs accepts, over all hosts.
    pub connections: u32,
}

/// Reads the platform's formats.
pub trait Decoder: Send + Sync {
    /// Reads a configuration.
    fn configuration(&self, value: &[u8]) -> std::result::Result<RawConfiguration, Unusable>;

    /// Reads a leaf's entry.
    fn leaf(&self, instance: &str, value: &[u8]) -> std::result::Result<PublishedLeaf, Unusable>;
}
