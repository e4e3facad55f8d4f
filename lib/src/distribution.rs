//! How published documents reach every host with few reads of the platform.
//!
//! In each zone a few hosts watch the platform; the others hear from peers, and read the platform
//! themselves only when no peer has heard it for a while. Invariant: reads of the platform grow
//! with zones, not with hosts, while peers can be heard.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

use crate::documents::Document;
use crate::documents::DocumentKind;
use crate::documents::View;
use crate::ids::HostName;
use crate::ids::Revision;
use crate::patch::Patch;
use crate::patch::PatchChain;
use crate::peer_protocol::KindRevision;
use crate::peer_protocol::Transfer;

/// Hosts of a zone that watch each document.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Age of the newest news from the platform after which a host reads it itself.
const READ_AFTER: Duration = Duration::from_secs(6);
/// Shortest time between two own reads of a host without duty.
const READ_EVERY: Duration = Duration::from_secs(10);

/// Whether `own` is among the hosts that watch a document, by rendezvous hashing.
pub fn is_watcher(own: &HostName, kind: DocumentKind, candidates: &[&HostName]) -> bool {
    let own_rank = rank(own, kind);
    let before = candidates.iter().filter(|host| rank(host, kind) < own_rank).count();
    before < WATCHERS_PER_ZONE
}

fn rank(host: &HostName, kind: DocumentKind) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(kind.name().as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    hasher.digest()
}

/// When the platform was heard, directly or through peers, and when to read it.
#[derive(Debug)]
pub struct PlatformContact {
    heard_at: Option<Instant>,
    next_read: Instant,
}

impl PlatformContact {
    /// Starts without contact.
    pub fn new(now: Instant) -> Self {
        Self { heard_at: None, next_read: now }
    }

    /// Records that the platform answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Records a peer's contact. It counts only if it is newer than what is known.
    pub fn heard_by_peer(&mut self, age: Duration, now: Instant) {
        if let Some(at) = now.checked_sub(age) {
            self.heard_at = Some(self.heard_at.map_or(at, |known| known.max(at)));
        }
    }

    /// Forgets the contact, after a pause of this process.
    pub fn forget(&mut self) {
        self.heard_at = None;
    }

    /// Returns the time since the platform was heard.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_duration_since(at))
    }

    /// Decides whether a host without duty reads the platform now, and puts off the next read.
    pub fn should_read(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let silent = self.age(now).is_none_or(|age| age > READ_AFTER);
        if !silent || now < self.next_read {
            return false;
        }
        self.next_read = now + READ_EVERY.mul_f64(rng.random_range(0.5..1.5));
        true
    }
}

/// The highest revision of each document that was seen, refused ones included, and the patches that
/// lead to the documents in force.
#[derive(Debug, Default)]
pub struct Archive {
    seen: [Revision; 3],
    chains: [PatchChain; 3],
}

impl Archive {
    /// Records that a revision was seen. Returns whether it is the highest so far.
    pub fn record_revision(&mut self, kind: DocumentKind, revision: Revision) -> bool {
        let seen = &mut self.seen[kind as usize];
        let is_newest = revision > *seen;
        *seen = revision.max(*seen);
        is_newest
    }

    /// Returns the highest revision seen.
    pub fn highest_seen(&self, kind: DocumentKind) -> Revision {
        self.seen[kind as usize]
    }

    /// Records that a document replaces the one in force.
    pub fn record_replacement(&mut self, old: Option<&Document>, new: &Document) {
        if let Some(old) = old {
            let patch = Patch::between(old.revision, &old.body, new.revision, &new.body);
            self.chains[new.kind as usize].push(patch);
        }
    }

    /// Returns what a host with these revisions lacks.
    pub fn transfers(&self, view: &View, theirs: &[KindRevision]) -> Vec<Transfer> {
        let lacking = theirs.iter().filter(|their| their.revision < view.revision(their.kind));
        lacking.filter_map(|their| self.transfer(view, *their)).collect()
    }

    fn transfer(&self, view: &View, theirs: KindRevision) -> Option<Transfer> {
        let KindRevision { kind, revision } = theirs;
        let document = view.document(kind)?;
        let patches = self.chains[kind as usize].since(revision);
        let size = |patches: &[Patch]| patches.iter().map(|p| p.middle.len()).sum::<usize>();
        match patches.filter(|patches| size(patches) < document.body.len() / 2) {
            Some(patches) => Some(Transfer::Patches { kind, patches: patches.to_vec() }),
            None => Some(Transfer::Full {
                kind,
                revision: document.revision,
                body: document.body.to_vec(),
            }),
        }
    }
}

/// Makes the document of a transfer; nothing when its patches do not fit what is in force.
pub fn received(transfer: Transfer, view: &View) -> Option<Document> {
    match transfer {
        Transfer::Full { kind, revision, body } => {
            Some(Document { kind, revision, body: body.into() })
        }
        Transfer::Patches { kind, patches } => {
            let mut document = view.document(kind)?.clone();
            let present = document.revision;
            for patch in patches.iter().skip_while(|patch| patch.base < present) {
                if patch.base != document.revision {
                    return None;
                }
                document.body = patch.apply(&document.body)?;
                document.revision = patch.revision;
            }
            Some(document)
        }
    }
}

/// Returns the revisions in force, for messages.
pub fn revisions(view: &View) -> Vec<KindRevision> {
    let revision = |kind| KindRevision { kind, revision: view.revision(kind) };
    DocumentKind::ALL.into_iter().map(revision).collect()
}
