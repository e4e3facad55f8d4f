//! Connections to a leaf while they are opened or used. Guards keep the pool's count of open
//! connections correct however a call ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::backend::BackendError;
use crate::backend::LeafConnection;
use crate::backend::OpenedConnection;
use crate::call_context::ANY_IDLE_TIME;
use crate::leaf::Leaf;
use crate::pool::Acquired;
use crate::tier::CONNECT_TIMEOUT;
use crate::tier::LossCause;
use crate::tier::Tier;

/// Opens a connection within `limit`, after the pool has reserved a slot for it. Releases the slot
/// if the connection cannot be opened or the future is dropped.
pub(crate) async fn open_connection(
    tier: &Tier,
    leaf: &Leaf,
    limit: Duration,
) -> Result<Box<dyn LeafConnection>, BackendError> {
    tier.counters.connects.increment();
    let opening = tier.backend.connect(leaf.host.addr, limit);
    // Keeps the count of open connections correct even when this future is dropped.
    let mut slot = SlotGuard { leaf, is_open: false };
    let result = opening.await;
    slot.is_open = result.is_ok();
    match result {
        Ok(OpenedConnection { conn, connect_time }) => {
            tier.zone_rtts.lock().unwrap().record(&leaf.host.zone, connect_time);
            tier.crash_detector.lock().unwrap().record_connected(leaf.key);
            tier.record_leaf_contact(Instant::now());
            Ok(conn)
        }
        Err(e) => {
            tier.counters.connect_failures.increment();
            tier.record_failed_connection(leaf.key, &e, Instant::now());
            if let Some(cause) = loss_cause(&e) {
                tier.record_lost_leaf(leaf.key, cause, Instant::now());
            }
            Err(e)
        }
    }
}

/// Returns how a failure to connect shows that a leaf is lost; nothing if it does not. A connection
/// that had less than the usual time does not show it.
fn loss_cause(error: &BackendError) -> Option<LossCause> {
    match error {
        BackendError::ConnectTimeout { limit, .. } if *limit >= CONNECT_TIMEOUT => {
            Some(LossCause::Unresponsive)
        }
        error => error.is_refused().then_some(LossCause::Refused),
    }
}

/// Connects to a leaf to find out whether it is lost, and closes the connection again.
pub(crate) async fn check_leaf(tier: &Tier, leaf: &Leaf) -> Result<(), BackendError> {
    tier.counters.leaf_checks.increment();
    let result = tier.backend.connect(leaf.host.addr, CONNECT_TIMEOUT).await;
    match &result {
        Ok(_) => {
            tier.crash_detector.lock().unwrap().record_connected(leaf.key);
            tier.record_leaf_contact(Instant::now());
        }
        Err(e) => {
            if let Some(cause) = loss_cause(e) {
                tier.record_lost_leaf(leaf.key, cause, Instant::now());
            }
        }
    }
    result.map(drop)
}

/// Opens a connection in advance of calls and puts it into the pool. Records a failure in the
/// leaf's estimates, by which a leaf that cannot be reached is ejected.
pub async fn prewarm(tier: Arc<Tier>, leaf: Arc<Leaf>) {
    if let Acquired::MayOpen = leaf.pool.acquire(ANY_IDLE_TIME, Instant::now()) {
        match open_connection(&tier, &leaf, CONNECT_TIMEOUT).await {
            Ok(conn) => leaf.pool.put_back(conn, Instant::now()),
            Err(e) if e.shows_connection_overflow() => {
                leaf.state().estimates.record_connection_overflow(Instant::now())
            }
            Err(e) if e.is_refused() => {
                leaf.state().record_refused_connection(Instant::now());
            }
            Err(_) => {
                leaf.state().record_loss(Instant::now());
            }
        }
    }
}

/// Releases the slot of a connection that is being opened, unless the opening succeeded.
struct SlotGuard<'a> {
    leaf: &'a Leaf,
    is_open: bool,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            self.leaf.pool.release_slot();
        }
    }
}

/// A connection in use. Dropping it closes the connection, unless [`HeldConnection::put_back`] was
/// called after an exchange that ended cleanly.
pub(crate) struct HeldConnection<'a> {
    pub(crate) leaf: &'a Leaf,
    pub(crate) conn: Option<Box<dyn LeafConnection>>,
}

impl HeldConnection<'_> {
    pub(crate) fn conn(&mut self) -> &mut Box<dyn LeafConnection> {
        self.conn.as_mut().expect("a connection is used only until it is put back")
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
            self.leaf.pool.release_slot();
        }
    }
}
