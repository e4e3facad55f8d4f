//! Starts and shuts down one `jasmineusherd` process: shared state, control loops and server.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use crate::control;
use crate::daemon::Daemon;
use crate::daemon::DaemonShares;
use crate::events::Event;
use crate::exchange::PeerStrikeBroadcaster;
use crate::server;
use crate::settings::Settings;

/// Time after the last request during which a leaving daemon still refuses queries and readiness
/// checks, so that the checks of the load balancer in front of it find it not ready.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Longest time after [`REFUSAL_TIME`] that callers have to close their connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which the requests that are still in progress at the end are answered.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Interval at which a leaving daemon checks whether its requests have finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why a daemon could not start. Names the step that failed and, for the server, its
/// address.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The address cannot be bound, for example because another process listens on it.
    #[error("Listening on {addr} failed")]
    Listen {
        /// Address from the `listen` setting.
        addr: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The server's threads could not start.
    #[error("Starting the server on {addr} failed")]
    Serve {
        /// Address that the server listens on.
        addr: SocketAddr,
        /// Error of the server.
        #[source]
        source: io::Error,
    },
    /// The runtime of the control loops could not be created.
    #[error("Starting the control threads failed")]
    Control(#[source] io::Error),
}

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;

fn wait_while(deadline: Instant, condition: impl Fn() -> bool) {
    while condition() && Instant::now() < deadline {
        std::thread::sleep(DRAIN_CHECK_INTERVAL);
    }
}

/// Daemon that runs in threads of this process. Dropping it stops the threads without waiting for
/// requests.
pub struct RunningDaemon {
    /// State of the daemon that its threads share.
    pub daemon: Arc<Daemon>,
    /// Address that it listens on. If the setting's port is 0, the operating system chose the port.
    pub addr: SocketAddr,
    control: Option<tokio::runtime::Runtime>,
    handle: xitca_server::ServerHandle,
    server: Option<JoinHandle<io::Result<()>>>,
}

impl RunningDaemon {
    /// Starts a daemon and returns once it listens. Returns an error if it cannot listen or its
    /// threads cannot be started. Must be called outside of an async runtime.
    pub fn start(settings: Settings) -> Result<Self> {
        let addr = settings.listen;
        let listener =
            TcpListener::bind(addr).map_err(|source| DaemonError::Listen { addr, source })?;
        let addr = listener.local_addr().unwrap_or(addr);
        let daemon = Daemon::new(
            settings,
            |daemon| Arc::new(PeerStrikeBroadcaster { daemon }),
            Instant::now(),
        );
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
        Event::Listening.info(&format!("Host {} listens on {addr}", daemon.settings.host));
        // Setting these cannot fail, as nothing else sets them.
        let shares = DaemonShares(Arc::downgrade(&daemon));
        let _ = daemon.tier.share_source.set(Box::new(shares));
        let _ = daemon.peers.own_addr.set(daemon.settings.advertise.unwrap_or(addr));
        let _ = daemon.peers.runtime.set(control.handle().clone());
        control::start(&daemon, control.handle());
        Ok(Self { daemon, addr, control: Some(control), handle, server: Some(server) })
    }

    /// Shuts down gracefully: refuses new queries, waits up to the `shutdown` setting for the
    /// queries and relayed calls in progress, answers those that take longer with what there is,
    /// gives callers time to detect the refusals and to close their connections, then stops the
    /// threads. Blocks until then.
    pub fn stop(&mut self) {
        self.daemon.lifecycle.start_leaving();
        self.daemon.announce_leaving();
        Event::Leaving.info(&format!("Host {} shuts down", self.daemon.settings.host));
        let deadline = Instant::now() + self.daemon.settings.shutdown;
        self.daemon.tier.shutdown.start(deadline);
        wait_while(deadline + FINAL_ANSWER_TIME, || {
            self.daemon.lifecycle.in_progress() > 0 || !self.daemon.relayed.is_empty()
        });
        std::thread::sleep(REFUSAL_TIME);
        wait_while(Instant::now() + CLOSE_TIMEOUT, || self.daemon.callers.open_count() > 0);
        self.stop_threads();
        Event::Stopped.info(&format!("Host {} has shut down", self.daemon.settings.host));
    }

    fn stop_threads(&mut self) {
        // After a graceful shutdown, requests have finished or used up their time, and only idle
        // connections are left.
        self.handle.stop(false);
        if let Some(server) = self.server.take() {
            // An error of the server has no consequence, as it stops anyway.
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
            self.stop_threads();
        }
    }
}
