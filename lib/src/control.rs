//! Control loops of a daemon: platform watches, the heartbeat and metrics.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::runtime::Handle;

use crate::daemon::Daemon;
use crate::daemon::with_sources;
use crate::events::Event;
use crate::limits::HostShare;
use crate::publication::DocumentKind;
use crate::publication::View;
use crate::tier::Tier;

/// Time between two beats of the control loop.
const BEAT: Duration = Duration::from_millis(200);
/// Shortest time between two reads after a failure; the longest is twice this.
const RETRY_READ: Duration = Duration::from_millis(500);

/// Starts all control loops.
pub fn start(daemon: &Arc<Daemon>, runtime: &Handle) {
    for kind in DocumentKind::ALL {
        runtime.spawn(watch(daemon.clone(), kind));
    }
    runtime.spawn(beat(daemon.clone()));
}

async fn watch(daemon: Arc<Daemon>, kind: DocumentKind) {
    let mut silent = false;
    loop {
        daemon.tier.counters.platform_reads.increment();
        let after = daemon.tier.view().revision(kind);
        match daemon.platform.watch(kind, after).await {
            Ok(document) => {
                if std::mem::take(&mut silent) {
                    Event::PlatformHeard.info(kind.name());
                }
                document.into_iter().for_each(|document| daemon.publish(document));
            }
            Err(e) => {
                daemon.tier.counters.platform_failures.increment();
                if !std::mem::replace(&mut silent, true) {
                    Event::PlatformSilent.warn(&with_sources(&e));
                }
                let jitter = rand::rng().random_range(1.0..2.0);
                tokio::time::sleep(RETRY_READ.mul_f64(jitter)).await;
            }
        }
    }
}

async fn beat(daemon: Arc<Daemon>) {
    loop {
        if let Some(gap) = daemon.lifecycle.beat(Instant::now()) {
            Event::Paused.warn(&format!("for {} ms", gap.as_millis()));
        }
        tokio::time::sleep(BEAT).await;
    }
}

/// Gives each entry this host's even share of its limits.
pub fn share_limits(tier: &Tier, view: &View, now: Instant) {
    let zone = &tier.identity.zone;
    let zones = view.hosts.zones().len().max(1) as f64;
    let hosts = view.hosts.zone_daemons(zone).count().max(1) as f64;
    for entry in view.catalogue.entries() {
        let state = tier.entry_state(entry, now);
        let share = HostShare::of(&entry.limits, 1.0 / (zones * hosts));
        state.limits.lock().unwrap().set_share(share, now);
    }
}
