//! Authentication of peer messages and tickets by shared keys.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::settings::PeerKey;

/// Keys that authenticate peers. The first one signs; all of them verify, so that keys can be
/// replaced host by host.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Vec<PeerKey>,
}

impl KeyRing {
    /// Makes a ring of one or two keys.
    pub fn new(keys: Vec<PeerKey>) -> Self {
        Self { keys }
    }

    /// Signs a message for a purpose. A signature for one purpose is not valid for another.
    pub fn sign(&self, purpose: &str, message: &[u8]) -> String {
        let code = mac(&self.keys[0], purpose, message).finalize().into_bytes();
        code.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Whether any key signed the message for the purpose. Takes the same time for each wrong one.
    pub fn verify(&self, purpose: &str, message: &[u8], signature: &str) -> bool {
        let Some(code) = from_hex(signature) else { return false };
        self.keys.iter().any(|key| mac(key, purpose, message).verify_slice(&code).is_ok())
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
