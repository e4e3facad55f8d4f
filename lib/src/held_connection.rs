//! Connections to a leaf while they are opened or used, so that the pool's count stays right however
//! a call ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::backend::BackendError;
use crate::backend::LeafConnection;
use crate::backend::Opened;
use crate::call_context::ANY_IDLE_TIME;
use crate::leaf::Leaf;
use crate::pool::Acquired;
use crate::tier::CONNECT_TIMEOUT;
use crate::tier::Tier;

/// Opens a connection for which the pool has given leave.
pub(crate) async fn open_connection(
    tier: &Tier,
    leaf: &Leaf,
    limit: Duration,
) -> Result<Box<dyn LeafConnection>, BackendError> {
    tier.counters.connects.increment();
    let opening = tier.backend.connect(leaf.host.addr, limit);
    // The count of open connections must be right even when this future is dropped.
    let mut opened = OpenGuard { leaf, kept: false };
    let result = opening.await;
    opened.kept = result.is_ok();
    match result {
        Ok(Opened { conn, took }) => {
            tier.zone_rtts.lock().unwrap().record(&leaf.host.zone, took);
            Ok(conn)
        }
        Err(e) => {
            tier.counters.connect_failures.increment();
            if e.is_refused() {
                tier.strike_recent_requests(leaf.key, Instant::now());
            }
            Err(e)
        }
    }
}

/// Opens a connection ahead of need. A leaf that cannot be reached is left out for a while.
pub async fn warm_up(tier: Arc<Tier>, leaf: Arc<Leaf>) {
    if let Acquired::MayOpen = leaf.pool.acquire(ANY_IDLE_TIME, Instant::now()) {
        match open_connection(&tier, &leaf, CONNECT_TIMEOUT).await {
            Ok(conn) => leaf.pool.put_back(conn, Instant::now()),
            Err(e) if e.shows_overflow() => {
                leaf.state().estimates.record_connection_overflow(Instant::now())
            }
            Err(e) if e.is_refused() => {
                leaf.state().estimates.record_refused_connection(Instant::now());
            }
            Err(_) => {
                leaf.state().estimates.record_loss(Instant::now());
            }
        }
    }
}

/// Counts a connection as closed unless it was kept.
struct OpenGuard<'a> {
    leaf: &'a Leaf,
    kept: bool,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        if !self.kept {
            self.leaf.pool.closed();
        }
    }
}

/// A connection in use. Closed when dropped, unless its exchange finished cleanly.
pub(crate) struct HeldConnection<'a> {
    pub(crate) leaf: &'a Leaf,
    pub(crate) conn: Option<Box<dyn LeafConnection>>,
}

impl HeldConnection<'_> {
    pub(crate) fn conn(&mut self) -> &mut Box<dyn LeafConnection> {
        self.conn.as_mut().expect("the connection is held until it is put back")
    }

    pub(crate) fn put_back(&mut self) {
        if let Some(conn) = self.conn.take() {
            self.leaf.pool.put_back(conn, Instant::now());
        }
    }
}

impl Drop for HeldConnection<'_> {
    fn drop(&mut self) {
        if self.conn.take().is_some() {
            self.leaf.pool.closed();
        }
    }
}
