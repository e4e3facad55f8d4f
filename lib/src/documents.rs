//! Documents that the platform publishes, and the view built from them.
//!
//! Invariant: a current document is never replaced by one of a lower or equal revision, nor by an
//! invalid one.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::catalogue::Catalogue;
use crate::catalogue::CatalogueError;
use crate::hosts::HostList;
use crate::hosts::HostListError;
use crate::hosts::LeafRegistry;
use crate::hosts::RawHostList;
use crate::ids::HostName;
use crate::ids::Revision;
use crate::layout::Layout;
use crate::layout::LayoutError;
use crate::layout::RawLayout;
use crate::leaf_table::LeafTable;

/// Kinds of document that the platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// Catalogue of the entries, written by operators in TOML.
    Catalogue,
    /// Layout of the indexes: versions, shards and their leafs, in JSON.
    Layout,
    /// Host list: daemons and leafs, in JSON.
    Hosts,
}

impl DocumentKind {
    /// All kinds, in the order in which they are read from the platform.
    pub const ALL: [Self; 3] = [Self::Hosts, Self::Layout, Self::Catalogue];

    /// Returns the name of the kind in paths and messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue",
            Self::Layout => "layout",
            Self::Hosts => "hosts",
        }
    }
}

/// Document as published, not yet parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Revision of the document; a higher one is newer.
    pub revision: Revision,
    /// Text of the document.
    pub body: Bytes,
}

/// Reason for which a document is not applied.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document is not newer than the current one.
    #[error("{} revision {offered} is not newer than revision {current} in force", kind.name())]
    NotNewer {
        /// Kind of the document.
        kind: DocumentKind,
        /// Revision of the refused document.
        offered: Revision,
        /// Revision of the current document.
        current: Revision,
    },
    /// The catalogue is not UTF-8.
    #[error("Catalogue is not UTF-8")]
    Encoding(#[source] std::str::Utf8Error),
    /// The catalogue is invalid.
    #[error("Catalogue is refused")]
    Catalogue(#[source] CatalogueError),
    /// The layout is invalid.
    #[error("Layout is refused")]
    Layout(#[source] LayoutError),
    /// The host list is invalid.
    #[error("Host list is refused")]
    Hosts(#[source] HostListError),
}

/// Result of applying a document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Immutable snapshot of all current documents, parsed.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Current catalogue; empty before the first one.
    pub catalogue: Arc<Catalogue>,
    /// Current layout; empty before the first one.
    pub layout: Arc<Layout>,
    /// Current host list; empty before the first one.
    pub hosts: Arc<HostList>,
    /// Leafs of the host list, with the state that this process keeps of them.
    pub leafs: Arc<LeafTable>,
    documents: [Option<Document>; 3],
}

impl View {
    /// Returns the current document of a kind, or nothing if there is none yet.
    pub fn document(&self, kind: DocumentKind) -> Option<&Document> {
        self.documents[kind as usize].as_ref()
    }

    /// Returns the revision of the current document of a kind; 0 if there is none yet.
    pub fn revision(&self, kind: DocumentKind) -> Revision {
        self.document(kind).map_or(Revision(0), |d| d.revision)
    }

    /// Returns whether there is a current document of every kind.
    pub fn is_complete(&self) -> bool {
        self.documents.iter().all(Option::is_some)
    }

    /// Returns the view in which `document` replaces the current one of its kind, for the host
    /// `own`. Fails if the document is invalid or not newer than the current one.
    pub fn with_document(
        &self,
        document: Document,
        registry: &LeafRegistry,
        own: &HostName,
        now: Instant,
    ) -> Result<Self> {
        let Document { kind, revision: offered, .. } = document;
        let current = self.revision(kind);
        if offered <= current {
            return Err(DocumentError::NotNewer { kind, offered, current });
        }
        let mut next = self.clone();
        match kind {
            DocumentKind::Catalogue => next.catalogue = Arc::new(parse_catalogue(&document.body)?),
            DocumentKind::Layout => {
                let raw = RawLayout::parse(&document.body).map_err(DocumentError::Layout)?;
                let layout = Layout::new(&raw, registry).map_err(DocumentError::Layout)?;
                next.layout = Arc::new(layout);
            }
            DocumentKind::Hosts => {
                let raw = RawHostList::parse(&document.body).map_err(DocumentError::Hosts)?;
                let hosts = HostList::new(raw, registry).map_err(DocumentError::Hosts)?;
                next.leafs = Arc::new(self.leafs.with_hosts(&self.hosts, &hosts, own, now));
                next.hosts = Arc::new(hosts);
            }
        }
        next.documents[kind as usize] = Some(document);
        Ok(next)
    }
}

fn parse_catalogue(body: &[u8]) -> Result<Catalogue> {
    let text = std::str::from_utf8(body).map_err(DocumentError::Encoding)?;
    Catalogue::try_from(text).map_err(DocumentError::Catalogue)
}
