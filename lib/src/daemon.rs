//! The parts of one `jasmineusherd` process, below all that run on them.

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
use crate::catalogue::Entry;
use crate::client_watch::ClientWatch;
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

/// The parts of one process.
pub struct Daemon {
    /// Its settings.
    pub settings: Settings,
    /// The shared tables.
    pub tier: Arc<Tier>,
    /// Whether it takes queries.
    pub lifecycle: Lifecycle,
    /// Open connections of callers.
    pub clients: ClientWatch,
    /// The platform.
    pub platform: Box<dyn Platform>,
    /// What is known through peers.
    pub peers: Peers,
    /// Leaf calls that this process runs for other hosts.
    pub relayed: RelayedCalls,
    /// Tickets that this process issued.
    pub tickets: Mutex<TicketTable>,
    coordinator: Coordinator,
    last_refusal: Mutex<Option<String>>,
    this: Weak<Self>,
}

impl Daemon {
    /// Makes the parts. `teller` makes what tells other hosts of suspected requests.
    pub fn new(
        settings: Settings,
        teller: impl FnOnce(Weak<Self>) -> Arc<dyn StrikeBroadcaster>,
        now: Instant,
    ) -> Arc<Self> {
        let identity = Identity {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation: Tier::new_incarnation(),
        };
        let tickets = TicketTable::new(identity.host.clone(), identity.incarnation, now);
        let backend = Box::new(HttpLeafBackend { local: settings.local_ip() });
        let relay_client = HttpClient::with_local_address(settings.local_ip());
        let relays = RelayLinks::new(relay_client, KeyRing::new(settings.peer_keys.clone()));
        let tier = Arc::new(Tier::new(identity, backend, Arc::new(relays)));
        Arc::new_cyclic(|this| Self {
            coordinator: Coordinator::new(tier.clone())
                .with_strike_broadcaster(teller(this.clone())),
            platform: Box::new(HttpPlatform::new(
                settings.platform,
                HttpClient::with_local_address(settings.local_ip()),
            )),
            peers: Peers::new(&settings, now),
            relayed: RelayedCalls::default(),
            tickets: Mutex::new(tickets),
            tier,
            lifecycle: Lifecycle::new(now),
            clients: ClientWatch::default(),
            settings,
            last_refusal: Mutex::default(),
            this: this.clone(),
        })
    }

    /// Returns a counted reference to this daemon.
    pub fn self_ref(&self) -> Option<Arc<Self>> {
        self.this.upgrade()
    }

    /// Returns what answers queries without tickets.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// Answers one request.
    pub async fn answer(
        self: &Arc<Self>,
        req: &QueryRequest,
        arrived: Instant,
        gone: impl Future<Output = ()>,
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
        self.coordinator.answer(req, arrived, gone).await
    }

    /// Puts a published document in force, or refuses it and says why.
    pub fn apply_document(&self, document: Document) {
        let counters = &self.tier.counters;
        let (kind, revision) = (document.kind, document.revision);
        let old = self.tier.view().document(kind).cloned();
        let is_newest = self.peers.archive.lock().unwrap().record_revision(kind, revision);
        match self.tier.apply_document(document.clone()) {
            Ok(view) => {
                Event::DocumentApplied.info(&format!("{} revision {revision}", kind.name()));
                self.peers.archive.lock().unwrap().record_replacement(old.as_ref(), &document);
                if kind == DocumentKind::Hosts {
                    self.take_hosts(&view, Instant::now());
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

    fn take_hosts(&self, view: &View, now: Instant) {
        self.peers.membership.lock().unwrap().apply_host_list(&view.hosts);
        let seat = seat_of(&self.settings, view);
        self.peers.shares.lock().unwrap().set_position(seat, now);
    }

    /// Takes queries if all documents are in force and the own share counts, because of news asked
    /// for at `asked_at`.
    pub fn check_readiness(&self, asked_at: Instant) {
        let now = Instant::now();
        let settled = self.peers.shares.lock().unwrap().is_settled(now);
        if !settled || !self.tier.view().is_complete() || self.lifecycle.phase() != Phase::Starting
        {
            return;
        }
        self.apply_shares(now);
        if self.lifecycle.mark_ready(asked_at) {
            Event::Ready.info(&format!("host {}", self.settings.host));
        }
    }

    /// Measures the demand for each used entry since the last call.
    pub fn measure_demand(&self, passed: Duration) {
        self.tier.for_each_entry(|_, state| {
            state.limits.lock().unwrap().measure(passed);
        });
    }

    /// Gives used entries this host's present share of their limits: all of them if the seat, the
    /// contact or the catalogue changed, else those with loans.
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

    /// Whether this host has lost both the platform and most of its zone.
    pub fn is_fenced(&self, view: &View, now: Instant) -> bool {
        let zone_hosts = view.hosts.zone_daemons(&self.settings.zone).count();
        self.peers.is_fenced(zone_hosts, now)
    }

    /// Dumps the state.
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

/// Decides shares for entries on their first use.
pub(crate) struct DaemonShares(pub(crate) Weak<Daemon>);

impl ShareSource for DaemonShares {
    fn share(&self, entry: &Entry, now: Instant) -> HostShare {
        let Some(daemon) = self.0.upgrade() else { return HostShare::of(&entry.limits, 0.0) };
        let fenced = daemon.is_fenced(&daemon.tier.view(), now);
        daemon.peers.shares.lock().unwrap().share(&entry.name, &entry.limits, fenced, now)
    }
}

/// Finds this host's place in a host list; nothing when it is not listed.
fn seat_of(settings: &Settings, view: &View) -> Option<HostPosition> {
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
