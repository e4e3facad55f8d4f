//! State of one `jasmineusherd` process, and the decisions that need several parts of it.
//!
//! The server, the exchanges with peers and the control loops work on this state.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::caller_connections::CallerConnections;
use crate::catalogue::Entry;
use crate::coordinator::Coordinator;
use crate::coordinator::StrikeBroadcaster;
use crate::documents::Document;
use crate::documents::DocumentError;
use crate::documents::DocumentKind;
use crate::documents::View;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::http_client::HttpClient;
use crate::http_leaf::HttpLeafBackend;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Phase;
use crate::limits::HostShare;
use crate::peers::Peers;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::relay_link::RelayLinks;
use crate::relayed_calls::RelayedCalls;
use crate::settings::Settings;
use crate::shares::HostPosition;
use crate::signature::KeyRing;
use crate::state::StateDump;
use crate::ticket::TicketTable;
use crate::tier::Identity;
use crate::tier::ShareSource;
use crate::tier::Tier;

/// State and services of one `jasmineusherd` process.
pub struct Daemon {
    /// Checked settings of the process.
    pub settings: Settings,
    /// State that the workers share.
    pub tier: Arc<Tier>,
    /// Whether the process accepts queries, and how many are in progress.
    pub lifecycle: Lifecycle,
    /// Open connections of callers.
    pub callers: CallerConnections,
    /// Reads and watches the documents that the platform publishes.
    pub platform: Box<dyn Platform>,
    /// State exchanged with other hosts.
    pub peers: Peers,
    /// Leaf calls that this process runs for other hosts.
    pub relayed: RelayedCalls,
    /// Tickets that this process issued, with the outcomes of those used.
    pub tickets: Mutex<TicketTable>,
    coordinator: Coordinator,
    /// The last invalid document that was refused, with the reason.
    last_refusal: Mutex<Option<String>>,
    weak_self: Weak<Self>,
}

impl Daemon {
    /// Creates a daemon that has no documents and accepts no queries yet.
    ///
    /// `make_broadcaster` creates the part that reports suspected requests to other hosts.
    pub fn new(
        settings: Settings,
        make_broadcaster: impl FnOnce(Weak<Self>) -> Arc<dyn StrikeBroadcaster>,
        now: Instant,
    ) -> Arc<Self> {
        let identity = Identity {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation: Tier::new_incarnation(),
        };
        let tickets = TicketTable::new(identity.host.clone(), identity.incarnation, now);
        let backend = Box::new(HttpLeafBackend::with_local_address(settings.local_ip()));
        let relay_client = HttpClient::with_local_address(settings.local_ip());
        let relays = RelayLinks::new(relay_client, KeyRing::new(settings.peer_keys.clone()));
        let tier = Arc::new(Tier::new(identity, backend, Arc::new(relays)));
        Arc::new_cyclic(|weak_self| Self {
            coordinator: Coordinator::new(tier.clone())
                .with_strike_broadcaster(make_broadcaster(weak_self.clone())),
            platform: Box::new(HttpPlatform::new(
                settings.platform,
                HttpClient::with_local_address(settings.local_ip()),
            )),
            peers: Peers::new(&settings, now),
            relayed: RelayedCalls::default(),
            tickets: Mutex::new(tickets),
            tier,
            lifecycle: Lifecycle::new(now),
            callers: CallerConnections::default(),
            settings,
            last_refusal: Mutex::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns an owning reference to this daemon, or `None` while it is being created or dropped.
    pub fn self_ref(&self) -> Option<Arc<Self>> {
        self.weak_self.upgrade()
    }

    /// Returns the coordinator, which answers queries without checking their tickets.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// Answers a query, which arrived at `arrived`. Without a ticket, its calls are cancelled when
    /// `disconnected` completes.
    ///
    /// A query with a ticket is answered from the ticket's record if there is one. A query without
    /// a ticket to an entry that is not idempotent is refused.
    pub async fn answer(
        self: &Arc<Self>,
        req: &QueryRequest,
        arrived: Instant,
        disconnected: impl Future<Output = ()>,
    ) -> QueryAnswer {
        if let Some(ticket) = &req.ticket {
            return self.answer_ticketed(req, ticket, arrived).await;
        }
        let view = self.tier.view();
        if view.catalogue.entry(&req.entry).is_some_and(|entry| !entry.idempotent) {
            let message = format!(
                "Entry \"{}\" is not idempotent: get a ticket with POST /ticket and send it along",
                req.entry
            );
            return Refusal::new(Reason::TicketRequired, message, None).into();
        }
        self.coordinator.answer(req, arrived, disconnected).await
    }

    /// Applies a published document, or refuses it, counts the refusal and logs the reason.
    ///
    /// A document that is not newer than the one in force counts as stale. So does an invalid one
    /// that is not the newest known of its kind, which is not logged.
    pub fn apply_document(&self, document: Document) {
        let counters = &self.tier.counters;
        let (kind, revision) = (document.kind, document.revision);
        let old = self.tier.view().document(kind).cloned();
        let is_newest = self.peers.archive.lock().unwrap().record_revision(kind, revision);
        match self.tier.apply_document(document.clone(), Instant::now()) {
            Ok(view) => {
                Event::DocumentApplied
                    .info(&format!("Applied {} revision {revision}", kind.name()));
                self.peers.archive.lock().unwrap().record_replacement(old.as_ref(), &document);
                if kind == DocumentKind::Hosts {
                    self.apply_host_list(&view, Instant::now());
                }
                self.apply_shares(Instant::now());
                self.announce_change();
            }
            Err(e @ DocumentError::NotNewer { .. }) => {
                counters.stale_documents.increment();
                tracing::debug!(event = Event::DocumentStale.number(), "{e}");
            }
            Err(_) if !is_newest => counters.stale_documents.increment(),
            Err(e) => {
                counters.invalid_documents.increment();
                let text = format!("{} revision {revision}: {}", kind.name(), with_sources(&e));
                Event::DocumentInvalid.warn(&text);
                *self.last_refusal.lock().unwrap() = Some(text);
            }
        }
    }

    fn apply_host_list(&self, view: &View, now: Instant) {
        self.peers.membership.lock().unwrap().apply_host_list(&view.hosts);
        let own_position = host_position(&self.settings, view);
        self.peers.shares.lock().unwrap().set_position(own_position, now);
    }

    /// Starts to accept queries if all documents are in force and this host's share of the limits
    /// is settled.
    ///
    /// `requested_at` is the time at which the answer that prompted this check was requested. An
    /// answer requested before a pause of the process does not make it ready.
    pub fn check_readiness(&self, requested_at: Instant) {
        let now = Instant::now();
        let settled = self.peers.shares.lock().unwrap().is_settled(now);
        if !settled || !self.tier.view().is_complete() || self.lifecycle.phase() != Phase::Starting
        {
            return;
        }
        self.apply_shares(now);
        if self.lifecycle.mark_ready(requested_at) {
            Event::Ready.info(&format!("Host {} accepts queries", self.settings.host));
        }
    }

    /// Updates the measured demand of each used entry; `passed` is the time since the last call.
    pub fn measure_demand(&self, passed: Duration) {
        self.tier.for_each_entry(|_, state| {
            state.limits.lock().unwrap().measure_demand(passed);
        });
    }

    /// Sets the limits of used entries to this host's current share of them. Covers all used
    /// entries if an input of the share has changed since the last call (this host's position, its
    /// contact with the platform and other hosts, the end of its startup hold, the catalogue),
    /// otherwise only those that have or had loans.
    pub fn apply_shares(&self, now: Instant) {
        let view = self.tier.view();
        let fenced = self.is_fenced(&view, now);
        let mut shares = self.peers.shares.lock().unwrap();
        let catalogue = view.revision(DocumentKind::Catalogue);
        let changed = shares.tick(!fenced, catalogue, now);
        self.tier.for_each_entry(|name, state| {
            if !changed.includes(name) {
                return;
            }
            let Some(entry) = view.catalogue.entry(name.as_str()) else { return };
            let share = shares.share(name, &entry.limits, fenced, now);
            let mut limits = state.limits.lock().unwrap();
            limits.set_share(entry.limits, share, now);
            limits.set_borrowing(shares.is_borrowing(name));
        });
    }

    /// Returns whether this host is fenced: it has lost contact with both the platform and most
    /// hosts of its zone, so that it must not use its own share of the limits.
    pub fn is_fenced(&self, view: &View, now: Instant) -> bool {
        let zone_hosts = view.hosts.zone_daemons(&self.settings.zone).count();
        self.peers.is_fenced(zone_hosts, now)
    }

    /// Returns the state of the process for `GET /state`.
    pub fn dump(&self, now: Instant) -> StateDump {
        let last_refusal = self.last_refusal.lock().unwrap().clone();
        let dump = StateDump::of(&self.tier, self.lifecycle.phase().name(), last_refusal, now);
        StateDump {
            members: self.peers.membership.lock().unwrap().dump(now),
            platform_ms_ago: self
                .peers
                .contact
                .lock()
                .unwrap()
                .age(now)
                .map(|a| a.as_millis() as u64),
            loans: self.peers.shares.lock().unwrap().balances(now).into_iter().collect(),
            tickets: self.tickets.lock().unwrap().records(),
            ..dump
        }
    }
}

/// Source of this host's share of an entry's limits, called on the entry's first use. The share is
/// 0 while the daemon is being dropped.
pub(crate) struct DaemonShares(pub(crate) Weak<Daemon>);

impl ShareSource for DaemonShares {
    fn share(&self, entry: &Entry, now: Instant) -> HostShare {
        let Some(daemon) = self.0.upgrade() else { return HostShare::of(&entry.limits, 0.0) };
        let fenced = daemon.is_fenced(&daemon.tier.view(), now);
        daemon.peers.shares.lock().unwrap().share(&entry.name, &entry.limits, fenced, now)
    }
}

/// Returns the position of this host among the zones and the hosts of its zone, on which its share
/// of the limits depends; `None` if it is not listed.
fn host_position(settings: &Settings, view: &View) -> Option<HostPosition> {
    let zones = view.hosts.zones();
    let zone_rank = zones.iter().position(|zone| **zone == settings.zone)?;
    let hosts: Vec<_> = view.hosts.zone_daemons(&settings.zone).collect();
    let host_rank = hosts.iter().position(|host| host.name == settings.host)?;
    Some(HostPosition {
        zone_rank: zone_rank as u32,
        zones: zones.len() as u32,
        host_rank: host_rank as u32,
        hosts: hosts.len() as u32,
    })
}
