//! The documents that the platform publishes, and the view that is made of them.
//!
//! Invariant: a document in force is never replaced by one of a lower or equal revision, nor by one
//! that its checks refuse.

use std::sync::Arc;

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
use crate::leaf::LeafTable;

/// The kinds of document that the platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// The operators' catalogue, in TOML.
    Catalogue,
    /// The index layout, in JSON.
    Layout,
    /// The host list, in JSON.
    Hosts,
}

impl DocumentKind {
    /// All kinds, in the order in which they are read.
    pub const ALL: [Self; 3] = [Self::Hosts, Self::Layout, Self::Catalogue];

    /// Returns the kind's name in paths and messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue",
            Self::Layout => "layout",
            Self::Hosts => "hosts",
        }
    }
}

/// One published document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// What it is.
    pub kind: DocumentKind,
    /// Its revision; higher is newer.
    pub revision: Revision,
    /// Its text.
    pub body: Bytes,
}

/// Why a document is not taken.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document is not newer than the one in force.
    #[error("{} revision {offered} is not newer than {present} in force", kind.name())]
    NotNewer {
        /// The kind of document.
        kind: DocumentKind,
        /// The revision offered.
        offered: Revision,
        /// The revision in force.
        present: Revision,
    },
    /// The document is not UTF-8.
    #[error("Catalogue is not UTF-8")]
    Encoding(#[source] std::str::Utf8Error),
    /// The catalogue is refused.
    #[error("Catalogue is refused")]
    Catalogue(#[source] CatalogueError),
    /// The layout is refused.
    #[error("Layout is refused")]
    Layout(#[source] LayoutError),
    /// The host list is refused.
    #[error("Host list is refused")]
    Hosts(#[source] HostListError),
}

/// Result of taking a document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Everything published that is in force at one time. Immutable.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The catalogue in force.
    pub catalogue: Arc<Catalogue>,
    /// The layout in force.
    pub layout: Arc<Layout>,
    /// The host list in force.
    pub hosts: Arc<HostList>,
    /// The leafs of the host list.
    pub leafs: Arc<LeafTable>,
    documents: [Option<Document>; 3],
}

impl View {
    /// Returns the document of a kind that is in force.
    pub fn document(&self, kind: DocumentKind) -> Option<&Document> {
        self.documents[kind as usize].as_ref()
    }

    /// Returns the revision of a kind that is in force; 0 when there is none yet.
    pub fn revision(&self, kind: DocumentKind) -> Revision {
        self.document(kind).map_or(Revision(0), |d| d.revision)
    }

    /// Whether every kind of document is in force.
    pub fn is_complete(&self) -> bool {
        self.documents.iter().all(Option::is_some)
    }

    /// Makes the view in which `document` is in force, as the host `own` sees it.
    pub fn next(
        &self,
        document: Document,
        registry: &LeafRegistry,
        own: &HostName,
    ) -> Result<Self> {
        let Document { kind, revision: offered, .. } = document;
        let present = self.revision(kind);
        if offered <= present {
            return Err(DocumentError::NotNewer { kind, offered, present });
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
                next.leafs = Arc::new(self.leafs.with_hosts(&self.hosts, &hosts, own));
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
