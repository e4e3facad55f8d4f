//! Control loops of a daemon: platform, peers, heartbeat, shares and metrics.

use std::collections::HashSet;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::StatsdClient;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::counters::CounterValues;
use crate::daemon::Daemon;
use crate::distribution::is_watcher;
use crate::documents::DocumentKind;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::exchange::PeerAddr;
use crate::ids::HostName;

/// Time between two beats of the control loop.
const BEAT: Duration = Duration::from_millis(200);
/// Beats between two visits of all used entries.
const REFRESH_BEATS: u64 = 5;
/// Mean time between two exchanges with peers.
const EXCHANGE_EVERY: Duration = Duration::from_millis(1_000);
/// Time between two rounds of borrowing.
const BORROW_EVERY: Duration = Duration::from_millis(400);
/// Zone peers asked in one round of borrowing.
const BORROW_FROM: usize = 8;
/// One exchange in so many goes to another zone.
const OTHER_ZONE_EVERY: u64 = 4;
/// Time between two looks at the duty to watch the platform.
const DUTY_CHECK: Duration = Duration::from_millis(500);
/// Shortest wait after the platform failed or gave nothing new; the longest is twice this.
const RETRY_READ: Duration = Duration::from_millis(500);
/// Time for seeds to answer before the platform is read.
const SEED_TIME: Duration = Duration::from_millis(300);
/// Seeds asked at the start.
const SEEDS_ASKED: usize = 3;
/// Time between two flushes of metrics.
const METRICS_EVERY: Duration = Duration::from_secs(1);

/// Starts all control loops.
pub fn start(daemon: &Arc<Daemon>, runtime: &tokio::runtime::Handle) {
    let daemon = daemon.clone();
    runtime.clone().spawn(async move {
        ask_seeds(&daemon).await;
        for kind in DocumentKind::ALL {
            tokio::spawn(follow_platform(daemon.clone(), kind));
        }
        tokio::spawn(beat(daemon.clone()));
        tokio::spawn(gossip(daemon.clone()));
        tokio::spawn(borrow(daemon.clone()));
        tokio::spawn(settle(daemon.clone()));
        tokio::spawn(flush_metrics(daemon));
    });
}

async fn ask_seeds(daemon: &Daemon) {
    let seeds = &daemon.settings.seeds;
    let asked: Vec<_> = {
        let mut rng = rand::rng();
        seeds.choose_multiple(&mut rng, SEEDS_ASKED).copied().collect()
    };
    let exchanges = asked.into_iter().map(|addr| async move {
        let seed = PeerAddr { host: None, addr };
        // A seed may be down; the platform is read then.
        let _ = tokio::time::timeout(SEED_TIME, daemon.exchange(&seed, Vec::new(), true)).await;
    });
    futures_util::future::join_all(exchanges).await;
}

async fn follow_platform(daemon: Arc<Daemon>, kind: DocumentKind) {
    let mut silent = false;
    loop {
        match next_read(&daemon, kind) {
            Read::Watch => read_platform(&daemon, kind, true, &mut silent).await,
            Read::Once => read_platform(&daemon, kind, false, &mut silent).await,
            Read::None => tokio::time::sleep(DUTY_CHECK).await,
        }
    }
}

enum Read {
    Watch,
    Once,
    None,
}

fn next_read(daemon: &Daemon, kind: DocumentKind) -> Read {
    let now = Instant::now();
    if daemon.tier.view().document(kind).is_none() {
        return Read::Watch;
    }
    {
        let membership = daemon.peers.membership.lock().unwrap();
        let candidates = membership.zone_candidates(now);
        if is_watcher(&daemon.settings.host, kind, &candidates) {
            return Read::Watch;
        }
    }
    let mut contact = daemon.peers.contact.lock().unwrap();
    if contact.should_read(now, &mut rand::rng()) { Read::Once } else { Read::None }
}

async fn read_platform(daemon: &Arc<Daemon>, kind: DocumentKind, watch: bool, silent: &mut bool) {
    let asked_at = Instant::now();
    daemon.tier.counters.platform_reads.increment();
    let after = daemon.peers.archive.lock().unwrap().highest_seen(kind);
    let result = if watch {
        daemon.platform.watch(kind, after).await
    } else {
        daemon.platform.read(kind, after).await
    };
    match result {
        Ok(document) => {
            if std::mem::take(silent) {
                Event::PlatformReachable.info(kind.name());
            }
            daemon.peers.contact.lock().unwrap().record_answer(Instant::now());
            let is_stale = document.as_ref().is_some_and(|d| d.revision <= after);
            document.into_iter().for_each(|document| daemon.apply_document(document));
            daemon.check_readiness(asked_at);
            if is_stale {
                pause_after_failure().await;
            }
        }
        Err(e) => {
            daemon.tier.counters.platform_failures.increment();
            if !std::mem::replace(silent, true) {
                Event::PlatformUnreachable.warn(&with_sources(&e));
            }
            pause_after_failure().await;
        }
    }
}

async fn pause_after_failure() {
    let jitter = rand::rng().random_range(1.0..2.0);
    tokio::time::sleep(RETRY_READ.mul_f64(jitter)).await;
}

async fn beat(daemon: Arc<Daemon>) {
    let mut measured_at = Instant::now();
    for beat in 1_u64.. {
        let now = Instant::now();
        if let Some(gap) = daemon.lifecycle.record_heartbeat(now) {
            Event::Paused.warn(&format!("for {} ms", gap.as_millis()));
            daemon.peers.reset_contacts();
        }
        daemon.measure_demand(now.saturating_duration_since(measured_at));
        measured_at = now;
        if beat.is_multiple_of(REFRESH_BEATS) {
            daemon.peers.shares.lock().unwrap().refresh();
        }
        daemon.apply_shares(now);
        tokio::time::sleep(BEAT).await;
    }
}

async fn gossip(daemon: Arc<Daemon>) {
    for round in 1_u64.. {
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(EXCHANGE_EVERY.mul_f64(jitter)).await;
        let in_zone = !round.is_multiple_of(OTHER_ZONE_EVERY);
        let peer = {
            let membership = daemon.peers.membership.lock().unwrap();
            let mut rng = rand::rng();
            let peer = membership.random_peer(&mut rng, in_zone);
            peer.or_else(|| membership.random_peer(&mut rng, !in_zone))
        };
        if let Some(peer) = peer {
            // Failures are counted by the exchange.
            let _ = daemon.exchange(&peer.into(), Vec::new(), false).await;
        }
    }
}

/// Borrows from zone peers while demand exceeds the share, and renews what is held.
async fn borrow(daemon: Arc<Daemon>) {
    loop {
        tokio::time::sleep(BORROW_EVERY).await;
        let mut peers = daemon.peers.membership.lock().unwrap().zone_peers();
        if peers.len() > BORROW_FROM {
            let mut rng = rand::rng();
            peers = peers.choose_multiple(&mut rng, BORROW_FROM).cloned().collect();
        }
        for peer in peers {
            let deficits = daemon.deficits();
            if deficits.is_empty() {
                break;
            }
            let wants = daemon.share_requests_to(&peer.0, &deficits, Instant::now());
            if !wants.is_empty() {
                // A giver that cannot be heard lends nothing.
                let _ = daemon.exchange(&peer.into(), wants, false).await;
                daemon.apply_shares(Instant::now());
            }
        }
    }
}

/// Asks the hosts of the zone whether they hold loans of an earlier run of this host. When all
/// listed ones say no, the own share counts at once.
async fn settle(daemon: Arc<Daemon>) {
    let mut cleared: HashSet<HostName> = HashSet::new();
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = Instant::now();
        if daemon.peers.shares.lock().unwrap().is_settled(now) {
            return daemon.check_readiness(now);
        }
        if daemon.tier.view().document(DocumentKind::Hosts).is_none() {
            continue;
        }
        let peers = daemon.peers.membership.lock().unwrap().zone_peers();
        let mut all_cleared = true;
        for (host, addr) in peers {
            if cleared.contains(&host) {
                continue;
            }
            let peer = PeerAddr { host: Some(host.clone()), addr };
            match daemon.exchange(&peer, Vec::new(), true).await {
                Ok(reply) if !reply.holds_your_loan => {
                    cleared.insert(host);
                }
                _ => all_cleared = false,
            }
        }
        if all_cleared {
            daemon.peers.shares.lock().unwrap().end_startup_hold(Instant::now());
        }
    }
}

async fn flush_metrics(daemon: Arc<Daemon>) {
    let Some(addr) = daemon.settings.statsd else { return };
    let socket = UdpSocket::bind("0.0.0.0:0").and_then(|socket| {
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    let sink = socket.ok().and_then(|socket| BufferedUdpMetricSink::from(addr, socket).ok());
    let Some(sink) = sink else { return };
    let client = StatsdClient::from_sink("jasmineusher", sink);
    let mut last = CounterValues::default();
    loop {
        tokio::time::sleep(METRICS_EVERY).await;
        let values = daemon.tier.counters.values();
        for ((name, value), (_, before)) in
            values.named_values().into_iter().zip(last.named_values())
        {
            if value > before {
                // Metrics are best effort.
                let _ = client.count(name, value - before);
            }
        }
        let _ = client.flush();
        last = values;
    }
}
