//! Differences between two revisions of a document, so that one changed entry costs its own size.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Revision;

/// The most patches kept for hosts that lag behind.
const MAX_PATCHES: usize = 16;

/// Replaces the middle of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// The revision that the patch applies to.
    pub base: Revision,
    /// The revision that it makes.
    pub revision: Revision,
    /// Bytes kept at the start.
    pub prefix: u64,
    /// Bytes kept at the end.
    pub suffix: u64,
    /// Bytes put between them.
    #[serde(with = "serde_bytes_vec")]
    pub middle: Vec<u8>,
    /// Digest of the whole new document.
    pub digest: u64,
}

/// A body of which a digest is taken.
pub fn digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}

impl Patch {
    /// Makes the patch from one body to the next.
    pub fn between(base: Revision, old: &[u8], revision: Revision, new: &[u8]) -> Self {
        let same = |(a, b): &(&u8, &u8)| a == b;
        let prefix = old.iter().zip(new).take_while(same).count();
        let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
        let suffix = old_rest.iter().rev().zip(new_rest.iter().rev()).take_while(same).count();
        Self {
            base,
            revision,
            prefix: prefix as u64,
            suffix: suffix as u64,
            middle: new_rest[..new_rest.len() - suffix].to_vec(),
            digest: digest(new),
        }
    }

    /// Applies the patch; nothing when it does not fit the body.
    pub fn apply(&self, old: &[u8]) -> Option<Bytes> {
        let prefix = usize::try_from(self.prefix).ok()?;
        let suffix = usize::try_from(self.suffix).ok()?;
        if prefix.checked_add(suffix)? > old.len() {
            return None;
        }
        let mut new = Vec::with_capacity(prefix + suffix + self.middle.len());
        new.extend_from_slice(&old[..prefix]);
        new.extend_from_slice(&self.middle);
        new.extend_from_slice(&old[old.len() - suffix..]);
        (digest(&new) == self.digest).then(|| new.into())
    }
}

/// The last patches of one document, each applying to the revision that the one before makes.
#[derive(Clone, Debug, Default)]
pub struct PatchChain {
    patches: Vec<Patch>,
}

impl PatchChain {
    /// Adds the newest patch and drops the oldest ones.
    pub fn push(&mut self, patch: Patch) {
        if self.patches.last().is_some_and(|last| last.revision != patch.base) {
            self.patches.clear();
        }
        self.patches.push(patch);
        if self.patches.len() > MAX_PATCHES {
            self.patches.remove(0);
        }
    }

    /// Returns the patches that lead from `base` to the newest revision.
    pub fn since(&self, base: Revision) -> Option<&[Patch]> {
        let start = self.patches.iter().position(|patch| patch.base == base)?;
        Some(&self.patches[start..])
    }
}

/// Encodes bytes as one string of bytes instead of a list of numbers.
pub mod serde_bytes_vec {
    use serde::Deserializer;
    use serde::Serializer;
    use serde_with::Bytes;
    use serde_with::DeserializeAs;
    use serde_with::SerializeAs;

    /// Writes the bytes.
    pub fn serialize<S: Serializer>(bytes: &Vec<u8>, serializer: S) -> Result<S::Ok, S::Error> {
        Bytes::serialize_as(bytes, serializer)
    }

    /// Reads the bytes.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        Bytes::deserialize_as(deserializer)
    }
}
