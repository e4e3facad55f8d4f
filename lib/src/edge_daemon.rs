//! Starts a process that serves opaque requests, and shuts it down gracefully.

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

use crate::budget_link::BudgetLink;
use crate::call_report_link::CallReportLink;
use crate::caller_codec::CallerCodec;
use crate::cluster_state::ClusterState;
use crate::cold_limit::ColdAllowance;
use crate::connection_manager::ConnectionManager;
use crate::crash_verifier;
use crate::edge::Edge;
use crate::edge_control::EdgeControl;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::Fleet;
use crate::fleet::HostRecord;
use crate::fleet_budget::FleetLimits;
use crate::fleet_link::FleetLink;
use crate::host_room::HostCapacity;
use crate::http_client::HttpClient;
use crate::http_leaf::HttpLeafBackend;
use crate::ids::HostName;
use crate::ids::Zone;
use crate::limit_link::LimitLink;
use crate::log_event;
use crate::metrics::Metrics;
use crate::opaque_coordinator::CodecFactory;
use crate::opaque_coordinator::OpaqueCoordinator;
use crate::opaque_view::ViewCell;
use crate::outage::OutageTracker;
use crate::pace_records;
use crate::pause_detector::PauseDetector;
use crate::pause_detector::SuspensionClock;
use crate::platform_store::Decoder;
use crate::platform_store::PlatformStore;
use crate::quarantine::Quarantine;
use crate::reach_monitor;
use crate::read_schedule::ReadSchedule;
use crate::relay_link::RelayLinks;
use crate::request_forwarder::FleetForwarder;
use crate::room_forwarding::ZoneForwarder;
use crate::room_link::RoomLink;
use crate::shared_budget::SharedFleetBudget;
use crate::signature::KeyRing;
use crate::subscriber::Subscriber;
use crate::subscription::Subscription;
use crate::suspect_link::SuspectLink;
use crate::tier::Identity;
use crate::tier::Tier;
use crate::zone_rtt::ZoneRtts;

/// Time after the start of the shutdown in which idle connections stay open, so that requests are
/// served until the load balancer can detect that the process is not ready.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_500);
/// Part of the time allowed for the shutdown that is reserved for exiting.
const EXIT_MARGIN: Duration = Duration::from_millis(900);
/// Part of that time in which requests that are still in progress are answered.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Interval at which a leaving process checks whether its connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the process checks whether it was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of leafs that a request must have crashed to be blocked.
const BLOCKING_CRASHES: usize = 3;

/// Checked settings of a process that serves opaque requests.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Name of this host, unique among the hosts.
    pub host: HostName,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Region of each zone, by the zone's name.
    pub regions: BTreeMap<String, String>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address on which other hosts connect, which also serves metrics and the state dump.
    pub control: SocketAddr,
    /// Additional port for metrics on the IP address of `control`, or `None` if metrics are read on
    /// `control` only.
    pub metrics_port: Option<u16>,
    /// Control addresses of hosts that are contacted first after a start.
    pub seeds: Vec<SocketAddr>,
    /// Limits for hedges and retries, for all hosts together.
    pub fleet_limits: FleetLimits,
    /// Capacity of this host; absent if it is not known.
    pub capacity: Option<HostCapacity>,
    /// Time allowed for a graceful shutdown, from its start to the end of the process.
    pub grace: Duration,
    /// Waits by which changes of the platform are applied in time.
    pub read_schedule: ReadSchedule,
    /// By how much calls to a cold leaf may exceed what it tolerates.
    pub cold_allowance: ColdAllowance,
}

/// The parts of a process that depend on the platform's protocols.
pub struct PlatformParts {
    /// Reads configurations and the entries of leafs from the platform.
    pub platform_store: Box<dyn PlatformStore>,
    /// Decodes the platform's formats.
    pub decoder: Box<dyn Decoder>,
    /// Decodes requests of callers and encodes answers.
    pub caller_codec: Box<dyn CallerCodec>,
    /// Creates the codec for the leaf calls of each request.
    pub leaf_codecs: Box<dyn CodecFactory>,
    /// HTTP path of the readiness check.
    pub ready_path: &'static str,
}

/// Reason why a process could not start. Names the step and the address.
#[derive(Debug, Error)]
pub enum EdgeDaemonError {
    /// The address cannot be bound, for example because another process listens on it.
    #[error("Listening on {addr} for {step} failed")]
    Listen {
        /// What the address is for: `callers`, `readiness`, `control` or `metrics`.
        step: &'static str,
        /// Address from the settings.
        addr: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
}

/// Result of starting a process.
pub type Result<T> = std::result::Result<T, EdgeDaemonError>;

/// Running process that serves opaque requests.
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
    /// Starts a process: binds its addresses, then spawns the tasks that serve and update it. Must
    /// be called within a Tokio runtime. Returns an error if an address cannot be bound, other than
    /// the additional one for metrics.
    pub async fn start(settings: EdgeSettings, parts: PlatformParts) -> Result<Self> {
        let now = Instant::now();
        let callers = listen("callers", settings.callers).await?;
        let ready = listen("readiness", settings.ready).await?;
        let control = listen("control", settings.control).await?;
        let tier = make_tier(&settings);
        let fleet = make_fleet(&settings, &tier);
        let hosts = fleet.assumed_count(now);
        let budget = SharedFleetBudget::new(settings.fleet_limits, hosts, rand::random());
        let budget = Arc::new(budget);
        let views = Arc::new(ViewCell::new(now));
        let metrics = Arc::new(Metrics::default());
        let mut subscription = Subscription::new(parts.decoder, settings.host.clone(), now)
            .with_zones(settings.regions.clone());
        subscription.set_cold_allowance(settings.cold_allowance);
        let cluster_state = Arc::new(ClusterState {
            subscription: Mutex::new(subscription),
            outage: Mutex::new(OutageTracker::new(now)),
            clock: SuspensionClock::new(),
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
        let edge = Arc::new(Edge::new(coordinator, views.clone(), parts.caller_codec));
        let client = HttpClient::with_local_address(Some(settings.control.ip()));
        let link = FleetLink::new(cluster_state.clone(), tier.clone(), client);
        let link = Arc::new(link.with_schedule(settings.read_schedule));
        let forwarder = FleetForwarder::new(cluster_state.clone(), tier.clone(), link.clone());
        let forwarder = Arc::new(forwarder);
        edge.set_forwarder(Box::new(forwarder.clone()));
        let room =
            RoomLink::new(cluster_state.clone(), tier.clone(), link.clone(), settings.capacity);
        let room = Arc::new(room);
        edge.set_room_forwarder(Box::new(ZoneForwarder::new(
            tier.clone(),
            room.clone(),
            forwarder.clone(),
        )));
        let call_reports = CallReportLink::new(cluster_state.clone(), tier.clone(), link.clone());
        let call_reports = Arc::new(call_reports);
        let suspects = SuspectLink::new(cluster_state.clone(), tier.clone(), link.clone());
        let suspects = Arc::new(suspects);
        let limits = LimitLink::new(cluster_state.clone(), tier.clone(), link.clone());
        let limits = Arc::new(limits);
        let loans = BudgetLink::new(cluster_state.clone(), tier.clone(), link.clone());
        let loans = Arc::new(loans);
        // Nothing else sets it, as the tier was made here.
        let _ = tier.host_ranking.set(Box::new(cluster_state.clone()));
        let control_service = Arc::new(EdgeControl {
            link: link.clone(),
            call_reports: call_reports.clone(),
            suspects: suspects.clone(),
            limits: limits.clone(),
            loans: loans.clone(),
            room: room.clone(),
            cluster_state: cluster_state.clone(),
            edge: edge.clone(),
            metrics,
            tier: tier.clone(),
            ready_path: parts.ready_path,
        });
        let subscriber = Subscriber::new(cluster_state.clone(), parts.platform_store, link.clone());
        let subscriber = subscriber.with_schedule(settings.read_schedule);
        let interrupt = subscriber.interrupt.clone();
        tokio::spawn(refresh_after_pauses(cluster_state.clone(), interrupt));
        tokio::spawn(subscriber.run());
        tokio::spawn(cluster_state.clone().run_expiry());
        tokio::spawn(ConnectionManager::new(cluster_state.clone(), tier.clone()).run());
        tokio::spawn(link.run());
        tokio::spawn(call_reports.run());
        tokio::spawn(suspects.run());
        tokio::spawn(limits.run());
        tokio::spawn(loans.clone().run());
        tokio::spawn(loans.run_reports());
        tokio::spawn(forwarder.run());
        tokio::spawn(room.run());
        tokio::spawn(crash_verifier::run(tier.clone(), views.clone()));
        tokio::spawn(pace_records::run(tier.clone(), views.clone()));
        tokio::spawn(reach_monitor::run(tier.clone(), views.clone()));
        tokio::spawn(edge.clone().accept(callers));
        tokio::spawn(control_service.clone().accept(ready));
        if let Some(port) = settings.metrics_port {
            let addr = SocketAddr::new(settings.control.ip(), port);
            match listen("metrics", addr).await {
                Ok(metrics) => drop(tokio::spawn(control_service.clone().accept(metrics))),
                // Not fatal, as metrics can be read on the control address too.
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

    /// Applies the seeds of changed settings. All other settings take effect after a restart only.
    pub fn reload(&self, settings: &EdgeSettings) {
        self.cluster_state.fleet.lock().unwrap().set_seeds(settings.seeds.iter().copied());
        log_event!(info, Event::SettingsRead, seeds = settings.seeds.len());
    }

    /// Shuts down gracefully: keeps idle connections open until the load balancer can have detected
    /// the shutdown, then closes them and waits until all connections are closed, which lets
    /// requests in progress finish. Requests that take longer are answered with what there is, and
    /// those that cannot finish are refused when they arrive.
    /// Returns after at most `EdgeSettings::grace`, less a margin for exiting.
    pub async fn shut_down(self) {
        let started = Instant::now();
        let deadline = started + self.settings.grace.saturating_sub(EXIT_MARGIN);
        self.edge.start_leaving(deadline);
        self.cluster_state.fleet.lock().unwrap().mark_leaving();
        let (connections, in_progress) = (self.edge.connections(), self.edge.in_progress());
        log_event!(info, Event::Leaving, connections, in_progress);
        tokio::time::sleep_until((started + BALANCER_DETECTION_TIME).min(deadline).into()).await;
        self.edge.close_idle_connections();
        self.wait_for_connections(deadline + FINAL_ANSWER_TIME).await;
        let (connections, in_progress) = (self.edge.connections(), self.edge.in_progress());
        let took_ms = started.elapsed().as_millis() as u64;
        log_event!(info, Event::Stopped, connections, in_progress, took_ms);
    }

    /// Waits until all connections of callers are closed and the requests of other hosts are
    /// answered, at most until `deadline`.
    async fn wait_for_connections(&self, deadline: Instant) {
        let is_busy = || self.edge.connections() > 0 || self.edge.in_progress() > 0;
        while is_busy() && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

fn make_tier(settings: &EdgeSettings) -> Arc<Tier> {
    let identity = Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: Tier::new_incarnation(),
    };
    let backend = Box::new(HttpLeafBackend::with_local_address(Some(settings.callers.ip())));
    // Calls go to leafs directly, so that no relays are needed.
    let relays = RelayLinks::new(HttpClient::default(), KeyRing::new(Vec::new()));
    let mut tier = Tier::new(identity, backend, Arc::new(relays));
    tier.quarantine = Mutex::new(Quarantine::new(BLOCKING_CRASHES));
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

/// Checks for pauses of the process and suspensions of its host. Logs each one and makes the
/// subscriber read from the platform again at once.
async fn refresh_after_pauses(cluster_state: Arc<ClusterState>, interrupt: Arc<Notify>) {
    let mut detector = PauseDetector::new();
    loop {
        tokio::time::sleep(PAUSE_CHECK_INTERVAL).await;
        if let Some(pause) = detector.detect_pause() {
            log_event!(warn, Event::Paused, paused_ms = pause.as_millis() as u64);
            cluster_state.outage.lock().unwrap().forget_confirmation();
            interrupt.notify_one();
        }
    }
}
