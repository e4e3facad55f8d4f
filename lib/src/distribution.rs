//! Distribution of published documents to every host with few reads of the platform.
//!
//! In each zone a few hosts watch the platform. The others get documents from peers, and read the
//! platform themselves only when no peer has had contact with it for a while. Invariant: while
//! peers are reachable, the number of reads grows with the number of zones, not of hosts.

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

/// Number of hosts of a zone that watch each document.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Age of the last known contact with the platform after which a host reads it itself.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(6);
/// Mean time between two reads of a host that does not watch the document; jittered by half.
const MEAN_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Returns whether `own` is among the hosts that watch a document, chosen from the candidates of
/// its zone by rendezvous hashing.
pub fn is_watcher(own: &HostName, kind: DocumentKind, candidates: &[&HostName]) -> bool {
    let own_rank = rank(own, kind);
    let ranked_before = candidates.iter().filter(|host| rank(host, kind) < own_rank).count();
    ranked_before < WATCHERS_PER_ZONE
}

fn rank(host: &HostName, kind: DocumentKind) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(kind.name().as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    hasher.digest()
}

/// Time of the last contact with the platform, direct or through peers, and of the next own read.
#[derive(Debug)]
pub struct PlatformContact {
    last_answer_at: Option<Instant>,
    next_read: Instant,
}

impl PlatformContact {
    /// Creates a state without contact, in which a read is due at once.
    pub fn new(now: Instant) -> Self {
        Self { last_answer_at: None, next_read: now }
    }

    /// Records that the platform answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer_at = Some(now);
    }

    /// Records that a peer reports contact with the platform `age` ago. Has no effect if a later
    /// contact is recorded.
    pub fn record_peer_answer(&mut self, age: Duration, now: Instant) {
        if let Some(at) = now.checked_sub(age) {
            self.last_answer_at = Some(self.last_answer_at.map_or(at, |known| known.max(at)));
        }
    }

    /// Drops the last contact, after a pause of this process.
    pub fn reset(&mut self) {
        self.last_answer_at = None;
    }

    /// Returns the time since the last contact, or nothing if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_answer_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether a host that watches nothing reads the platform now, and if so, schedules the
    /// next read.
    pub fn should_read(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let is_overdue = self.age(now).is_none_or(|age| age > MAX_CONTACT_AGE);
        if !is_overdue || now < self.next_read {
            return false;
        }
        self.next_read = now + MEAN_READ_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        true
    }
}

/// Highest known revision of each document, refused revisions included, and the patches that lead
/// to the current documents.
#[derive(Debug, Default)]
pub struct Archive {
    highest: [Revision; 3],
    chains: [PatchChain; 3],
}

impl Archive {
    /// Records a revision, whether it is applied or refused. Returns whether it is the highest so
    /// far.
    pub fn record_revision(&mut self, kind: DocumentKind, revision: Revision) -> bool {
        let highest = &mut self.highest[kind as usize];
        let is_newest = revision > *highest;
        *highest = revision.max(*highest);
        is_newest
    }

    /// Returns the highest recorded revision; 0 if there is none.
    pub fn highest_revision(&self, kind: DocumentKind) -> Revision {
        self.highest[kind as usize]
    }

    /// Keeps the patch from the `old` document to the `new` one that replaces it.
    pub fn record_replacement(&mut self, old: Option<&Document>, new: &Document) {
        if let Some(old) = old {
            let patch = Patch::between(old.revision, &old.body, new.revision, &new.body);
            self.chains[new.kind as usize].push(patch);
        }
    }

    /// Returns the transfers that update a host from these revisions to those of `view`: patches
    /// where they are known and smaller than half of the document, else the full document.
    pub fn transfers(&self, view: &View, peer_revisions: &[KindRevision]) -> Vec<Transfer> {
        let outdated =
            peer_revisions.iter().filter(|theirs| theirs.revision < view.revision(theirs.kind));
        outdated.filter_map(|theirs| self.transfer(view, *theirs)).collect()
    }

    fn transfer(&self, view: &View, peer_revision: KindRevision) -> Option<Transfer> {
        let KindRevision { kind, revision } = peer_revision;
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

/// Returns the document of a transfer, or nothing if its patches do not apply to the current one.
pub fn document_from_transfer(transfer: Transfer, view: &View) -> Option<Document> {
    match transfer {
        Transfer::Full { kind, revision, body } => {
            Some(Document { kind, revision, body: body.into() })
        }
        Transfer::Patches { kind, patches } => {
            let mut document = view.document(kind)?.clone();
            let current = document.revision;
            for patch in patches.iter().skip_while(|patch| patch.base < current) {
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

/// Returns the revision of each current document, for messages.
pub fn revisions(view: &View) -> Vec<KindRevision> {
    let revision = |kind| KindRevision { kind, revision: view.revision(kind) };
    DocumentKind::ALL.into_iter().map(revision).collect()
}
