//! Border between the query logic and the network towards leafs.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
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
        /// Whether nothing was ever answered on this connection: the leaf may have closed it because
        /// it has too many.
        is_new: bool,
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

    /// Whether the peer refused the connection: nothing listens at its address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Whether the leaf may have too many connections: it resets new ones, at once or with their first
    /// request.
    pub fn shows_overflow(&self) -> bool {
        match self {
            Self::Broken { is_new, .. } => *is_new,
            Self::Connect { source, .. } => source.kind() == std::io::ErrorKind::ConnectionReset,
            _ => false,
        }
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, BackendError>;

/// One connection to a leaf, which carries one exchange at a time.
pub trait LeafConnection: Send {
    /// Sends a request and returns the whole answer.
    fn exchange<'a>(&'a mut self, req: Request<Bytes>) -> BoxFuture<'a, Result<Response<Bytes>>>;

    /// Whether another exchange may be tried on this connection.
    fn is_usable(&self, now: Instant) -> bool;
}

/// A connection that was opened.
pub struct Opened {
    /// The connection.
    pub conn: Box<dyn LeafConnection>,
    /// Time that opening it took: about one round trip.
    pub connect_time: Duration,
}

/// Opens connections to leafs.
pub trait LeafBackend: Send + Sync {
    /// Opens a connection within `limit`.
    fn connect(&self, peer: SocketAddr, limit: Duration) -> BoxFuture<'_, Result<Opened>>;
}
