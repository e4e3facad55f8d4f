//! Authentication of peer messages and tickets by HMAC with shared keys.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::settings::PeerKey;

/// Shared keys of the hosts. The first key signs, and all keys verify, so that keys can be rotated
/// host by host.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Vec<PeerKey>,
}

impl KeyRing {
    /// Creates a ring of one or two keys. There must be a first key, as [`KeyRing::sign`] uses it.
    pub fn new(keys: Vec<PeerKey>) -> Self {
        Self { keys }
    }

    /// Returns the signature of a message for a purpose, in hexadecimal. A signature for one
    /// purpose is not valid for another, so that a signed message cannot be used as one of another
    /// kind.
    pub fn sign(&self, purpose: &str, message: &[u8]) -> String {
        let digest = mac(&self.keys[0], purpose, message).finalize().into_bytes();
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns whether any of the keys made this signature of the message for the purpose. The
    /// comparison takes the same time for every wrong signature, so that its duration reveals
    /// nothing about the right one.
    pub fn verify(&self, purpose: &str, message: &[u8], signature: &str) -> bool {
        let Some(digest) = from_hex(signature) else { return false };
        self.keys.iter().any(|key| mac(key, purpose, message).verify_slice(&digest).is_ok())
    }
}

fn mac(key: &PeerKey, purpose: &str, message: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC takes keys of any length");
    mac.update(purpose.as_bytes());
    mac.update(&[0]);
    mac.update(message);
    mac
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
