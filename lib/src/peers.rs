//! Shared state of a daemon's exchanges with its peers, and its shares of limits.

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

/// State that a daemon receives from its peers or uses to call them, and its shares of limits.
///
/// Lock order: `membership`, `contact`, `archive`, `pending_lenders`, `shares`; all of them before
/// the tier's tables.
pub struct Peers {
    /// Membership table.
    pub membership: Mutex<Membership>,
    /// Last contact with the platform, direct or through peers.
    pub contact: Mutex<PlatformContact>,
    /// Latest revisions of the documents, and patches for peers that have older ones.
    pub archive: Mutex<Archive>,
    /// This host's shares of the entries' limits, and its loans.
    pub shares: Mutex<ShareTable>,
    /// Keys that sign and verify messages between daemons.
    pub keys: KeyRing,
    /// HTTP client for calls to peers.
    pub client: HttpClient,
    /// Hosts that were sent a loan request whose reply is outstanding; one item per request.
    pending_lenders: Mutex<Vec<HostName>>,
    /// Runtime of the control loops; set when they start.
    pub runtime: OnceLock<Handle>,
    /// Address at which peers reach this process; set when it listens.
    pub own_addr: OnceLock<SocketAddr>,
}

impl Peers {
    /// Creates the state of a daemon that has no peers yet.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            membership: Mutex::new(Membership::new(settings.host.clone(), settings.zone.clone())),
            contact: Mutex::new(PlatformContact::new(now)),
            archive: Mutex::default(),
            shares: Mutex::new(ShareTable::new(now)),
            keys: KeyRing::new(settings.peer_keys.clone()),
            client: HttpClient::with_local_address(settings.local_ip()),
            pending_lenders: Mutex::default(),
            runtime: OnceLock::new(),
            own_addr: OnceLock::new(),
        }
    }

    /// Returns whether this host has lost contact with both the platform and at least half of the
    /// `zone_hosts` hosts of its zone, which include itself, so that others may take over its
    /// share.
    pub fn is_fenced(&self, zone_hosts: usize, now: Instant) -> bool {
        let in_contact = self.membership.lock().unwrap().zone_peers_in_contact(FENCE_TIMEOUT, now);
        if (in_contact + 1) * 2 > zone_hosts {
            return false;
        }
        self.contact.lock().unwrap().age(now).is_none_or(|age| age > FENCE_TIMEOUT)
    }

    /// Records that a reply with a loan of `lender` may arrive, until the guard is dropped.
    pub fn await_loan(&self, lender: Option<&HostName>) -> AwaitedLoan<'_> {
        let lender = lender.cloned();
        self.pending_lenders.lock().unwrap().extend(lender.clone());
        AwaitedLoan { peers: self, lender }
    }

    /// Returns whether a loan of an earlier incarnation of `lender` is held or may still arrive.
    pub fn may_hold_loan_of(&self, lender: &PeerRecord, now: Instant) -> bool {
        if self.pending_lenders.lock().unwrap().contains(&lender.host) {
            return true;
        }
        let shares = self.shares.lock().unwrap();
        shares.holds_loan_of(&lender.host, lender.incarnation, now)
    }

    /// Resets the contact with peers and the platform, after a pause of this process.
    pub fn reset_contacts(&self) {
        self.membership.lock().unwrap().reset_contacts();
        self.contact.lock().unwrap().reset();
    }
}

/// Guard of an outstanding loan request; dropping it records that no reply will come any more.
pub struct AwaitedLoan<'a> {
    peers: &'a Peers,
    lender: Option<HostName>,
}

impl Drop for AwaitedLoan<'_> {
    fn drop(&mut self) {
        let mut pending_lenders = self.peers.pending_lenders.lock().unwrap();
        let index = self
            .lender
            .as_ref()
            .and_then(|lender| pending_lenders.iter().position(|pending| pending == lender));
        index.map(|index| pending_lenders.swap_remove(index));
    }
}
