//! Wires one `jasmineusherd` process: shared tables, control loops, server and shutdown.

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

/// Time after the last request during which a leaving daemon still answers refusals, so that the
/// balancer in front of it learns that it is not ready.
const LINGER: Duration = Duration::from_millis(500);
/// Longest time for callers to close their connections after that.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);
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

fn wait_while(give_up: Instant, condition: impl Fn() -> bool) {
    while condition() && Instant::now() < give_up {
        std::thread::sleep(DRAIN_CHECK);
    }
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
        Event::Listening.info(&format!("host {} on {addr}", daemon.settings.host));
        // Nobody else sets these.
        let shares = DaemonShares(Arc::downgrade(&daemon));
        let _ = daemon.tier.share_source.set(Box::new(shares));
        let _ = daemon.peers.own_addr.set(daemon.settings.advertise.unwrap_or(addr));
        let _ = daemon.peers.runtime.set(control.handle().clone());
        control::start(&daemon, control.handle());
        Ok(Self { daemon, addr, control: Some(control), handle, server: Some(server) })
    }

    /// Shuts down gracefully: takes nothing new, finishes what is in progress, then ends.
    pub fn stop(&mut self) {
        self.daemon.lifecycle.start_leaving();
        self.daemon.announce_leaving();
        Event::Leaving.info(&format!("host {}", self.daemon.settings.host));
        let give_up = Instant::now() + self.daemon.settings.shutdown;
        wait_while(give_up, || {
            self.daemon.lifecycle.in_progress() > 0 || !self.daemon.relayed.is_empty()
        });
        std::thread::sleep(LINGER);
        wait_while(Instant::now() + CLOSE_LIMIT, || self.daemon.clients.open() > 0);
        self.end();
        Event::Stopped.info(&format!("host {}", self.daemon.settings.host));
    }

    fn end(&mut self) {
        // Requests are finished by now; only idle connections are left.
        self.handle.stop(false);
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
