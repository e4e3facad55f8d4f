//! One `jasmineusherd` process: shared tables, control loops, server and shutdown.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use crate::answer::QueryAnswer;
use crate::answer::QueryRequest;
use crate::client_watch::ClientWatch;
use crate::control;
use crate::events::Event;
use crate::front::Front;
use crate::http_leaf::HttpLeafBackend;
use crate::lifecycle::Lifecycle;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::publication::Document;
use crate::publication::PublicationError;
use crate::server;
use crate::settings::Settings;
use crate::state::StateDump;
use crate::tier::Identity;
use crate::tier::Tier;

/// Time after the last request during which a leaving daemon still answers refusals.
const LINGER: Duration = Duration::from_millis(500);
/// How often a leaving daemon looks whether its requests are finished.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Why a daemon could not start. Names the step and the address.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The address is not available.
    #[error("Listening on {addr} failed")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The server could not start.
    #[error("Starting the server on {addr} failed")]
    Serve {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The control threads could not start.
    #[error("Starting the control threads failed")]
    Control(#[source] io::Error),
}

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;

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
    front: Front,
    last_refusal: Mutex<Option<String>>,
}

impl Daemon {
    fn new(settings: Settings, now: Instant) -> Self {
        let identity = Identity {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation: Tier::new_incarnation(),
        };
        let tier = Arc::new(Tier::new(identity, Box::new(HttpLeafBackend)));
        Self {
            front: Front::new(tier.clone()),
            platform: Box::new(HttpPlatform::new(settings.platform)),
            tier,
            lifecycle: Lifecycle::new(now),
            clients: ClientWatch::default(),
            settings,
            last_refusal: Mutex::default(),
        }
    }

    /// Answers one request.
    pub async fn answer(
        &self,
        req: &QueryRequest,
        arrived: Instant,
        gone: impl Future<Output = ()>,
    ) -> QueryAnswer {
        self.front.answer(req, arrived, gone).await
    }

    /// Puts a published document in force, or refuses it and says why.
    pub fn publish(&self, document: Document) {
        let counters = &self.tier.counters;
        let (kind, revision) = (document.kind, document.revision);
        match self.tier.publish(document) {
            Ok(view) => {
                Event::DocumentInForce.info(&format!("{} revision {revision}", kind.name()));
                control::share_limits(&self.tier, &view, Instant::now());
                if view.is_whole() && self.lifecycle.ready() {
                    Event::Ready.info(&format!("host {}", self.settings.host));
                }
            }
            Err(e @ PublicationError::NotNewer { .. }) => {
                counters.stale_documents.increment();
                tracing::debug!(event = Event::DocumentStale.number(), "{e}");
            }
            Err(e) => {
                counters.invalid_documents.increment();
                let text = format!("{} revision {revision}: {}", kind.name(), with_sources(&e));
                Event::DocumentInvalid.warn(&text);
                *self.last_refusal.lock().unwrap() = Some(text);
            }
        }
    }

    /// Dumps the state.
    pub fn dump(&self, now: Instant) -> StateDump {
        let last_refusal = self.last_refusal.lock().unwrap().clone();
        StateDump::of(&self.tier, self.lifecycle.phase().name(), last_refusal, now)
    }
}

/// Writes an error with its causes on one line.
pub fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// A daemon that runs in threads of this process.
pub struct RunningDaemon {
    /// Its parts.
    pub daemon: Arc<Daemon>,
    /// Where it listens.
    pub addr: SocketAddr,
    control: Option<tokio::runtime::Runtime>,
    handle: xitca_server::ServerHandle,
    server: Option<JoinHandle<io::Result<()>>>,
}

impl RunningDaemon {
    /// Starts a daemon. Must be called outside of an async runtime.
    pub fn start(settings: Settings) -> Result<Self> {
        let addr = settings.listen;
        let listener =
            TcpListener::bind(addr).map_err(|source| DaemonError::Listen { addr, source })?;
        let addr = listener.local_addr().unwrap_or(addr);
        let daemon = Arc::new(Daemon::new(settings, Instant::now()));
        let control = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("control")
            .enable_all()
            .build()
            .map_err(DaemonError::Control)?;
        let mut server = server::serve(daemon.clone(), listener)
            .map_err(|source| DaemonError::Serve { addr, source })?;
        let handle = server.handle().map_err(|source| DaemonError::Serve { addr, source })?;
        let server = std::thread::spawn(move || server.wait());
        Event::Listening.info(&format!("host {} on {addr}", daemon.settings.host));
        control::start(&daemon, control.handle());
        Ok(Self { daemon, addr, control: Some(control), handle, server: Some(server) })
    }

    /// Shuts down gracefully: takes nothing new, finishes what is in progress, then ends.
    pub fn stop(&mut self) {
        self.daemon.lifecycle.leave();
        Event::Leaving.info(&format!("host {}", self.daemon.settings.host));
        let give_up = Instant::now() + self.daemon.settings.shutdown;
        while self.daemon.lifecycle.in_progress() > 0 && Instant::now() < give_up {
            std::thread::sleep(DRAIN_CHECK);
        }
        std::thread::sleep(LINGER);
        self.end();
        Event::Stopped.info(&format!("host {}", self.daemon.settings.host));
    }

    fn end(&mut self) {
        self.handle.stop(true);
        if let Some(server) = self.server.take() {
            // The server's own errors are of no use once it has to end.
            let _ = server.join();
        }
        if let Some(control) = self.control.take() {
            control.shutdown_background();
        }
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        if self.server.is_some() {
            self.end();
        }
    }
}
