//! What one process knows through its peers, and its shares of limits.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

use tokio::runtime::Handle;

use crate::distribution::Archive;
use crate::distribution::PlatformContact;
use crate::http_client::HttpClient;
use crate::ids::HostName;
use crate::membership::Membership;
use crate::peer_protocol::PeerRecord;
use crate::settings::Settings;
use crate::shares::FENCE_TIMEOUT;
use crate::shares::ShareTable;
use crate::signature::KeyRing;

/// What this process knows through its peers.
///
/// Lock order: `membership`, `contact`, `archive`, `awaited`, `shares`; all of them before the tier's tables.
pub struct Peers {
    /// The peers.
    pub membership: Mutex<Membership>,
    /// When the platform was heard.
    pub contact: Mutex<PlatformContact>,
    /// Patches and revisions seen.
    pub archive: Mutex<Archive>,
    /// Shares of limits.
    pub shares: Mutex<ShareTable>,
    /// Keys that authenticate messages.
    pub keys: KeyRing,
    /// Calls peers.
    pub client: HttpClient,
    /// Hosts asked for a loan whose answer is still awaited.
    awaited: Mutex<Vec<HostName>>,
    /// The runtime of the control loops.
    pub runtime: OnceLock<Handle>,
    /// Where peers reach this process.
    pub own_addr: OnceLock<SocketAddr>,
}

impl Peers {
    /// Starts with no peers.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            membership: Mutex::new(Membership::new(settings.host.clone(), settings.zone.clone())),
            contact: Mutex::new(PlatformContact::new(now)),
            archive: Mutex::default(),
            shares: Mutex::new(ShareTable::new(now)),
            keys: KeyRing::new(settings.peer_keys.clone()),
            client: HttpClient::with_local_address(settings.local_ip()),
            awaited: Mutex::default(),
            runtime: OnceLock::new(),
            own_addr: OnceLock::new(),
        }
    }

    /// Whether this host has lost both the platform and most of its zone, so that others may take
    /// over its share.
    pub fn is_fenced(&self, zone_hosts: usize, now: Instant) -> bool {
        let heard = self.membership.lock().unwrap().zone_heard(FENCE_TIMEOUT, now);
        if (heard + 1) * 2 > zone_hosts {
            return false;
        }
        self.contact.lock().unwrap().age(now).is_none_or(|age| age > FENCE_TIMEOUT)
    }

    /// Notes that an answer with a loan of `giver` may arrive, until the guard is dropped.
    pub fn await_loan(&self, giver: Option<&HostName>) -> AwaitedLoan<'_> {
        let giver = giver.cloned();
        self.awaited.lock().unwrap().extend(giver.clone());
        AwaitedLoan { peers: self, giver }
    }

    /// Whether a loan of an earlier run of `giver` is held or may still arrive.
    pub fn may_hold_loan_of(&self, giver: &PeerRecord, now: Instant) -> bool {
        if self.awaited.lock().unwrap().contains(&giver.host) {
            return true;
        }
        let shares = self.shares.lock().unwrap();
        shares.holds_loan_of(&giver.host, giver.incarnation, now)
    }

    /// Forgets what was heard, after a pause.
    pub fn reset_contacts(&self) {
        self.membership.lock().unwrap().reset_contacts();
        self.contact.lock().unwrap().forget();
    }
}

/// Ends the wait for a loan when dropped.
pub struct AwaitedLoan<'a> {
    peers: &'a Peers,
    giver: Option<HostName>,
}

impl Drop for AwaitedLoan<'_> {
    fn drop(&mut self) {
        let mut awaited = self.peers.awaited.lock().unwrap();
        let place = self.giver.as_ref().and_then(|giver| awaited.iter().position(|g| g == giver));
        place.map(|place| awaited.swap_remove(place));
    }
}
