//! The platform: a configuration service and a host list, which can only be read and watched.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::backend::BoxFuture;
use crate::documents::Document;
use crate::documents::DocumentKind;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientError;
use crate::ids::Revision;

/// How long the platform may hold a watch.
pub const WATCH_TIME: Duration = Duration::from_secs(20);
/// How long a read may take.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// Why the platform gave no document.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The platform cannot be reached.
    #[error("Reading {} from the platform failed", kind.name())]
    Unreachable {
        /// The document asked for.
        kind: DocumentKind,
        /// The cause.
        #[source]
        source: HttpClientError,
    },
    /// The platform answered with an error.
    #[error("Platform at {peer} answered status {status} to the read of {}", kind.name())]
    Status {
        /// The document asked for.
        kind: DocumentKind,
        /// The platform's address.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The answer names no revision.
    #[error("Platform at {peer} named no revision of {}", kind.name())]
    NoRevision {
        /// The document asked for.
        kind: DocumentKind,
        /// The platform's address.
        peer: SocketAddr,
    },
}

/// Result of a read.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Reads of the platform. Each call counts against the platform's read limit.
pub trait Platform: Send + Sync {
    /// Reads a document; nothing when its revision is not above `after`.
    fn read(&self, kind: DocumentKind, after: Revision) -> BoxFuture<'_, Result<Option<Document>>>;

    /// Waits until there is a revision above `after`; nothing when the platform's time is over.
    fn watch(&self, kind: DocumentKind, after: Revision)
    -> BoxFuture<'_, Result<Option<Document>>>;
}

/// The platform over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    peer: SocketAddr,
}

impl HttpPlatform {
    /// Makes a reader of the platform at an address.
    pub fn new(peer: SocketAddr, client: HttpClient) -> Self {
        Self { client, peer }
    }

    async fn get(
        &self,
        kind: DocumentKind,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Document>> {
        let peer = self.peer;
        let path = format!("/{}?after={after}&wait_ms={}", kind.name(), wait.as_millis());
        let call = HttpCall::get(peer, path, wait + READ_LIMIT);
        let reply = self.client.call(call).await;
        let reply = reply.map_err(|source| PlatformError::Unreachable { kind, source })?;
        match (reply.status, reply.revision) {
            (204, _) => Ok(None),
            (200, Some(revision)) => {
                Ok(Some(Document { kind, revision: Revision(revision), body: reply.body }))
            }
            (200, None) => Err(PlatformError::NoRevision { kind, peer }),
            (status, _) => Err(PlatformError::Status { kind, peer, status }),
        }
    }
}

impl Platform for HttpPlatform {
    fn read(&self, kind: DocumentKind, after: Revision) -> BoxFuture<'_, Result<Option<Document>>> {
        Box::pin(self.get(kind, after, Duration::ZERO))
    }

    fn watch(
        &self,
        kind: DocumentKind,
        after: Revision,
    ) -> BoxFuture<'_, Result<Option<Document>>> {
        Box::pin(self.get(kind, after, WATCH_TIME))
    }
}
