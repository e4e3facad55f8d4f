//! Interface between the query logic and the network connections to leafs.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use thiserror::Error;

/// A boxed future that may be sent between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Reasons for which an exchange with a leaf failed. Each variant names the step and the leaf's
/// address.
#[derive(Debug, Error)]
pub enum BackendError {
    /// No connection could be opened; no byte of the call was written.
    #[error("Connecting to leaf at {peer} failed")]
    Connect {
        /// Address of the leaf.
        peer: SocketAddr,
        /// Cause of the failure.
        #[source]
        source: std::io::Error,
    },
    /// Opening a connection took longer than the limit; no byte of the call was written.
    #[error("Connecting to leaf at {peer} took more than {limit:?}")]
    ConnectTimeout {
        /// Address of the leaf.
        peer: SocketAddr,
        /// Time that was allowed.
        limit: Duration,
    },
    /// The connection was closed before a byte of the call was written.
    #[error("Connection to leaf at {peer} was closed before the call was written")]
    NotSent {
        /// Address of the leaf.
        peer: SocketAddr,
    },
    /// The connection broke after a part of the call may have been written.
    #[error("Exchange with leaf at {peer} broke")]
    Broken {
        /// Address of the leaf.
        peer: SocketAddr,
        /// Whether no response ever arrived on this connection: the leaf may have closed it because
        /// it is at its connection limit.
        is_new: bool,
        /// Cause of the failure.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The response is larger than allowed.
    #[error("Answer of leaf at {peer} exceeds {limit} bytes")]
    TooLarge {
        /// Address of the leaf.
        peer: SocketAddr,
        /// Largest size allowed, in bytes.
        limit: usize,
    },
}

impl BackendError {
    /// Returns whether the error proves that no byte of the call was written.
    pub fn proves_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::NotSent { .. })
    }

    /// Returns whether the leaf sent more bytes than a response may have, which shows that it runs.
    pub fn is_endless(&self) -> bool {
        let is_invalid = |source: &(dyn std::error::Error + 'static)| {
            let io = source.downcast_ref::<std::io::Error>();
            io.is_some_and(|e| e.kind() == std::io::ErrorKind::InvalidData)
        };
        match self {
            Self::TooLarge { .. } => true,
            Self::Broken { source, .. } => {
                let first: &(dyn std::error::Error + 'static) = source.as_ref();
                std::iter::successors(Some(first), |e| e.source()).any(is_invalid)
            }
            _ => false,
        }
    }

    /// Returns whether the connection was refused: no process listens at the leaf's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the leaf may be at its connection limit: it reset the connection while it
    /// was opened, or the connection broke before its first response.
    pub fn shows_connection_overflow(&self) -> bool {
        match self {
            Self::Broken { is_new, .. } => *is_new,
            Self::Connect { source, .. } => source.kind() == std::io::ErrorKind::ConnectionReset,
            _ => false,
        }
    }
}

/// Result of opening a connection or of an exchange.
pub type Result<T> = std::result::Result<T, BackendError>;

/// A connection to a leaf, which carries one exchange at a time.
pub trait LeafConnection: Send {
    /// Sends a request and returns the complete response.
    fn exchange<'a>(&'a mut self, req: Request<Bytes>) -> BoxFuture<'a, Result<Response<Bytes>>>;

    /// Returns whether another exchange may be started on this connection.
    fn is_usable(&self, now: Instant) -> bool;

    /// Returns whether no exchange has started on this connection, so that the first response can
    /// only be to the next request. Returns false if that is not known.
    fn is_unused(&self) -> bool {
        false
    }
}

/// A newly opened connection.
pub struct OpenedConnection {
    /// The connection, on which no exchange has started.
    pub conn: Box<dyn LeafConnection>,
    /// Time that opening the connection took: about one round trip.
    pub connect_time: Duration,
}

/// Opens connections to leafs over a transport.
pub trait LeafBackend: Send + Sync {
    /// Opens a connection to the leaf at `peer` within `limit`.
    fn connect(&self, peer: SocketAddr, limit: Duration)
    -> BoxFuture<'_, Result<OpenedConnection>>;
}
