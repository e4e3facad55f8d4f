//! Patches between revisions of a document, so that a small change needs only a small transfer.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Revision;

/// Maximum number of patches that are kept for hosts that are behind.
const MAX_PATCHES: usize = 16;

/// Patch that replaces the middle of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Revision to which the patch applies.
    pub base: Revision,
    /// Revision of the result.
    pub revision: Revision,
    /// Number of bytes kept at the start.
    pub prefix: u64,
    /// Number of bytes kept at the end.
    pub suffix: u64,
    /// Bytes inserted between the kept ones.
    #[serde(with = "serde_bytes_vec")]
    pub middle: Vec<u8>,
    /// Digest of the resulting document.
    pub digest: u64,
}

/// Returns the 64-bit xxh3 hash of a document's body, which shows whether a patch gave the expected
/// result.
pub fn digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}

impl Patch {
    /// Returns the patch from the body `old` of revision `base` to the body `new` of `revision`.
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

    /// Applies the patch to a body. Returns nothing if the body is too short or the result does not
    /// match the digest.
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

/// Latest patches of one document, each of which applies to the result of the one before.
#[derive(Clone, Debug, Default)]
pub struct PatchChain {
    patches: Vec<Patch>,
}

impl PatchChain {
    /// Appends `patch` as the newest one, and drops the oldest one if there are too many. Drops all
    /// earlier patches if `patch` does not apply to the result of the last of them.
    pub fn push(&mut self, patch: Patch) {
        if self.patches.last().is_some_and(|last| last.revision != patch.base) {
            self.patches.clear();
        }
        self.patches.push(patch);
        if self.patches.len() > MAX_PATCHES {
            self.patches.remove(0);
        }
    }

    /// Returns the patches from the revision `base` to the newest one, or nothing if no kept
    /// patch applies to `base`.
    pub fn since(&self, base: Revision) -> Option<&[Patch]> {
        let start = self.patches.iter().position(|patch| patch.base == base)?;
        Some(&self.patches[start..])
    }
}

/// Serde adapter that encodes a `Vec<u8>` as a byte string instead of a list of numbers.
pub mod serde_bytes_vec {
    use serde::Deserializer;
    use serde::Serializer;
    use serde_with::Bytes;
    use serde_with::DeserializeAs;
    use serde_with::SerializeAs;

    /// Serialises the bytes as one byte string.
    pub fn serialize<S: Serializer>(bytes: &Vec<u8>, serializer: S) -> Result<S::Ok, S::Error> {
        Bytes::serialize_as(bytes, serializer)
    }

    /// Deserialises the bytes from one byte string.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        Bytes::deserialize_as(deserializer)
    }
}
