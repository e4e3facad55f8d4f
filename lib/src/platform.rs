//! Interface to the platform that publishes whole documents: they can only be read and watched.

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

/// Time that the platform may hold a watch open while there is no new revision.
pub const WATCH_TIME: Duration = Duration::from_secs(20);
/// Timeout of a read, and the time that a watch may take beyond [`WATCH_TIME`].
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a read or a watch.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The platform could not be called or did not answer in time.
    #[error("Reading {} from the platform failed", kind.name())]
    Unreachable {
        /// Requested kind of document.
        kind: DocumentKind,
        /// Failure of the HTTP call.
        #[source]
        source: HttpClientError,
    },
    /// The platform answered with an HTTP status other than 200 or 204.
    #[error("Platform at {peer} answered status {status} to the read of {}", kind.name())]
    Status {
        /// Requested kind of document.
        kind: DocumentKind,
        /// Address of the platform.
        peer: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer has no header with the revision.
    #[error("Platform at {peer} answered without the revision of {}", kind.name())]
    NoRevision {
        /// Requested kind of document.
        kind: DocumentKind,
        /// Address of the platform.
        peer: SocketAddr,
    },
}

/// Result of a read or a watch.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Access to the platform's documents. Each call counts against the platform's read limit.
pub trait Platform: Send + Sync {
    /// Reads a document. Returns nothing if its revision is not above `after`.
    fn read(&self, kind: DocumentKind, after: Revision) -> BoxFuture<'_, Result<Option<Document>>>;

    /// Waits for a revision above `after`. Returns nothing if none appears within [`WATCH_TIME`].
    fn watch(&self, kind: DocumentKind, after: Revision)
    -> BoxFuture<'_, Result<Option<Document>>>;
}

/// Client of the platform's HTTP interface.
#[derive(Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    peer: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client of the platform at the address `peer`.
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
        let call = HttpCall::get(peer, path, wait + READ_TIMEOUT);
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
