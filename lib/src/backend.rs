//! Border between the query logic and the network towards leafs.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// A future on the heap.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why an exchange with a leaf failed. Each variant names the step and the peer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// No connection could be opened; no byte of the call was written.
    #[error("Connecting to leaf at {peer} failed")]
    Connect {
        /// The leaf's address.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// Opening a connection took too long; no byte of the call was written.
    #[error("Connecting to leaf at {peer} took more than {limit:?}")]
    ConnectTimeout {
        /// The leaf's address.
        peer: SocketAddr,
        /// The time allowed.
        limit: Duration,
    },
    /// The connection was closed before a byte of the call was written.
    #[error("Connection to leaf at {peer} was closed before the call was written")]
    NotSent {
        /// The leaf's address.
        peer: SocketAddr,
    },
    /// The exchange broke after a byte may have been written.
    #[error("Exchange with leaf at {peer} broke")]
    Broken {
        /// The leaf's address.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer is larger than allowed.
    #[error("Answer of leaf at {peer} exceeds {limit} bytes")]
    TooLarge {
        /// The leaf's address.
        peer: SocketAddr,
        /// The most bytes allowed.
        limit: usize,
    },
}

impl BackendError {
    /// Whether it is proved that no byte of the call was written.
    pub fn proves_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::NotSent { .. })
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, BackendError>;

/// One connection to a leaf, which carries one exchange at a time.
pub trait LeafConnection: Send {
    /// Sends a request and returns the body of the answer.
    fn exchange<'a>(&'a mut self, path: &'static str, body: Bytes) -> BoxFuture<'a, Result<Bytes>>;

    /// Whether another exchange may be tried on this connection.
    fn is_usable(&self) -> bool;
}

/// Opens connections to leafs.
pub trait LeafBackend: Send + Sync {
    /// Opens a connection within `limit`.
    fn connect(
        &self,
        peer: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Box<dyn LeafConnection>>>;
}
