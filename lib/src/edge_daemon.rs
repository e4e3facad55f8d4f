//! One process that serves opaque requests: wires its parts, and leaves gracefully.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::call_report_link::CallReportLink;
use crate::caller_codec::CallerCodec;
use crate::cluster_state::ClusterState;
use crate::connection_manager::ConnectionManager;
use crate::edge::Edge;
use crate::edge_control::EdgeControl;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::Fleet;
use crate::fleet::HostRecord;
use crate::fleet_budget::FleetBudget;
use crate::fleet_budget::FleetLimits;
use crate::fleet_link::FleetLink;
use crate::http_client::HttpClient;
use crate::http_leaf::HttpLeafBackend;
use crate::ids::HostName;
use crate::ids::Zone;
use crate::log_event;
use crate::metrics::Metrics;
use crate::opaque_coordinator::CodecMaker;
use crate::opaque_coordinator::OpaqueCoordinator;
use crate::opaque_view::ViewCell;
use crate::outage::OutageTracker;
use crate::platform_store::Decoder;
use crate::platform_store::PlatformStore;
use crate::relay_link::RelayLinks;
use crate::signature::KeyRing;
use crate::steady_clock::PauseWatch;
use crate::subscriber::Subscriber;
use crate::subscription::Subscription;
use crate::tier::Identity;
use crate::tier::Tier;
use crate::zone_rtt::ZoneRtts;

/// Time after the signal to leave in which new connections still come, until the balancer has
/// noticed.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Time kept free at the end of the time allowed for leaving.
const EXIT_MARGIN: Duration = Duration::from_millis(900);
/// How often a leaving process looks whether it is finished.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// How often a process looks whether it was paused.
const PAUSE_CHECK: Duration = Duration::from_millis(250);

/// Checked settings of a process that serves opaque requests.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Name of this host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: Zone,
    /// The region of each zone.
    pub regions: BTreeMap<String, String>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this process is ready.
    pub ready: SocketAddr,
    /// Where other hosts of the fleet connect.
    pub control: SocketAddr,
    /// Port at which metrics are read, beside the control address.
    pub metrics_port: Option<u16>,
    /// Control addresses of some hosts.
    pub seeds: Vec<SocketAddr>,
    /// Limits for extra calls over the fleet.
    pub fleet_limits: FleetLimits,
    /// Time allowed for leaving.
    pub grace: Duration,
}

/// The platform's side of a process.
pub struct PlatformParts {
    /// Reads what is published.
    pub platform_store: Box<dyn PlatformStore>,
    /// Reads its formats.
    pub decoder: Box<dyn Decoder>,
    /// Speaks with callers.
    pub caller_codec: Box<dyn CallerCodec>,
    /// Speaks with leafs.
    pub leaf_codecs: Box<dyn CodecMaker>,
    /// Path at which readiness is asked.
    pub ready_path: &'static str,
}

/// Why a process could not start. Names the step and the address.
#[derive(Debug, Error)]
pub enum EdgeDaemonError {
    /// The address is not available.
    #[error("Listening on {addr} for {step} failed")]
    Listen {
        /// What listens there.
        step: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
}

/// Result of starting a process.
pub type Result<T> = std::result::Result<T, EdgeDaemonError>;

/// A running process.
pub struct EdgeDaemon {
    settings: EdgeSettings,
    edge: Arc<Edge>,
    cluster_state: Arc<ClusterState>,
}

async fn listen(step: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|source| EdgeDaemonError::Listen { step, addr, source })
}

impl EdgeDaemon {
    /// Starts a process. Must be called within a runtime.
    pub async fn start(settings: EdgeSettings, parts: PlatformParts) -> Result<Self> {
        let now = Instant::now();
        let callers = listen("callers", settings.callers).await?;
        let ready = listen("readiness", settings.ready).await?;
        let control = listen("control", settings.control).await?;
        let tier = make_tier(&settings);
        let fleet = make_fleet(&settings, &tier);
        let hosts = fleet.assumed_count(now);
        let budget = FleetBudget::new(settings.fleet_limits, hosts, rand::random(), now);
        let budget = Arc::new(Mutex::new(budget));
        let views = Arc::new(ViewCell::new(now));
        let metrics = Arc::new(Metrics::default());
        let cluster_state = Arc::new(ClusterState {
            subscription: Mutex::new(Subscription::new(parts.decoder, settings.host.clone(), now)),
            outage: Mutex::new(OutageTracker::new(now)),
            fleet: Mutex::new(fleet),
            regions: settings.regions.clone(),
            budget: budget.clone(),
            views: views.clone(),
            changed: Notify::new(),
        });
        let coordinator = OpaqueCoordinator::new(
            tier.clone(),
            views.clone(),
            parts.leaf_codecs,
            budget,
            metrics.clone(),
        );
        let edge = Arc::new(Edge::new(coordinator, views, parts.caller_codec));
        let client = HttpClient::with_local_address(Some(settings.control.ip()));
        let link = Arc::new(FleetLink::new(cluster_state.clone(), tier.clone(), client));
        let call_reports = CallReportLink::new(cluster_state.clone(), tier.clone(), link.clone());
        let call_reports = Arc::new(call_reports);
        let control_service = Arc::new(EdgeControl {
            link: link.clone(),
            call_reports: call_reports.clone(),
            cluster_state: cluster_state.clone(),
            edge: edge.clone(),
            metrics,
            tier: tier.clone(),
            ready_path: parts.ready_path,
        });
        let subscriber = Subscriber::new(cluster_state.clone(), parts.platform_store, link.clone());
        tokio::spawn(watch_for_pauses(subscriber.interrupt.clone()));
        tokio::spawn(subscriber.run());
        tokio::spawn(cluster_state.clone().run_expiry());
        tokio::spawn(ConnectionManager::new(cluster_state.clone(), tier.clone()).run());
        tokio::spawn(link.run());
        tokio::spawn(call_reports.run());
        tokio::spawn(edge.clone().accept(callers));
        tokio::spawn(control_service.clone().accept(ready));
        if let Some(port) = settings.metrics_port {
            let addr = SocketAddr::new(settings.control.ip(), port);
            match listen("metrics", addr).await {
                Ok(metrics) => drop(tokio::spawn(control_service.clone().accept(metrics))),
                // They can be read on the control address too.
                Err(e) => log_event!(warn, Event::SettingsUnusable, cause = with_sources(&e)),
            }
        }
        tokio::spawn(control_service.accept(control));
        log_event!(
            info,
            Event::Listening,
            host = settings.host.as_str(),
            zone = settings.zone.as_str(),
            callers = %settings.callers,
            control = %settings.control,
            metrics_port = settings.metrics_port
        );
        Ok(Self { settings, edge, cluster_state })
    }

    /// Takes the seeds of new settings. All others need a new process.
    pub fn reload(&self, settings: &EdgeSettings) {
        self.cluster_state.fleet.lock().unwrap().set_seeds(settings.seeds.iter().copied());
        log_event!(info, Event::SettingsRead, seeds = settings.seeds.len());
    }

    /// Leaves: serves what comes until the balancer has noticed, then finishes what is in progress.
    pub async fn shut_down(self) {
        let started = Instant::now();
        self.edge.leave();
        self.cluster_state.fleet.lock().unwrap().leave();
        let (connections, in_progress) = (self.edge.connections(), self.edge.in_progress());
        log_event!(info, Event::Leaving, connections, in_progress);
        let ends_at = started + self.settings.grace.saturating_sub(EXIT_MARGIN);
        tokio::time::sleep_until((started + NOTICE_TIME).min(ends_at).into()).await;
        self.edge.close_idle();
        while self.edge.connections() > 0 && Instant::now() < ends_at {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
        let (connections, in_progress) = (self.edge.connections(), self.edge.in_progress());
        let took_ms = started.elapsed().as_millis() as u64;
        log_event!(info, Event::Stopped, connections, in_progress, took_ms);
    }
}

fn make_tier(settings: &EdgeSettings) -> Arc<Tier> {
    let identity = Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: Tier::new_incarnation(),
    };
    let backend = Box::new(HttpLeafBackend { local: Some(settings.callers.ip()) });
    // Calls always go to leafs directly here.
    let relays = RelayLinks::new(HttpClient::default(), KeyRing::new(Vec::new()));
    let tier = Tier::new(identity, backend, Arc::new(relays));
    let regions = settings
        .regions
        .iter()
        .filter_map(|(zone, region)| Some((Zone::try_from(zone.as_str()).ok()?, region.clone())));
    *tier.zone_rtts.lock().unwrap() = ZoneRtts::new(settings.zone.clone(), regions.collect());
    Arc::new(tier)
}

fn make_fleet(settings: &EdgeSettings, tier: &Tier) -> Fleet {
    let own = HostRecord {
        name: settings.host.to_string(),
        addr: settings.control,
        zone: settings.zone.to_string(),
        incarnation: tier.identity.incarnation,
        leaving: false,
        blind: false,
    };
    Fleet::new(own, settings.seeds.iter().copied(), Instant::now())
}

/// Looks whether the process was paused or its host suspended, and lets the platform be read anew.
async fn watch_for_pauses(interrupt: Arc<Notify>) {
    let mut watch = PauseWatch::new();
    loop {
        tokio::time::sleep(PAUSE_CHECK).await;
        if let Some(pause) = watch.look() {
            log_event!(warn, Event::Paused, paused_ms = pause.as_millis() as u64);
            interrupt.notify_one();
        }
    }
}
