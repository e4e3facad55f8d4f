//! Control loops of a daemon: reading the platform, gossip, heartbeat, borrowing and metrics.

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

/// Interval of the heartbeat, which detects pauses of the process and applies shares of limits.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of heartbeats after which the shares of all used entries are applied again, for entries
/// that came into use during a change.
const HEARTBEATS_PER_REFRESH: u64 = 5;
/// Mean interval between two gossip exchanges with peers.
const MEAN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two rounds of borrowing shares of limits.
const BORROW_INTERVAL: Duration = Duration::from_millis(400);
/// Largest number of peers in the zone that get requests for loans in one round.
const MAX_LENDERS_PER_ROUND: usize = 8;
/// One gossip exchange in this many goes to another zone.
const EXCHANGES_PER_OTHER_ZONE: u64 = 4;
/// Interval at which a host that need not read the platform checks whether it must watch it.
const WATCH_DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest wait after a read of the platform failed or returned an old revision; the longest wait
/// is twice this.
const MIN_READ_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time that seeds have to answer before the platform is read.
const SEED_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of seeds contacted at the start.
const MAX_SEEDS_CONTACTED: usize = 3;
/// Interval at which metrics are sent to the statsd server.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Starts all control loops on `runtime`. Contacts the seeds first, so that documents received from
/// peers save reads of the platform.
pub fn start(daemon: &Arc<Daemon>, runtime: &tokio::runtime::Handle) {
    let daemon = daemon.clone();
    runtime.clone().spawn(async move {
        contact_seeds(&daemon).await;
        for kind in DocumentKind::ALL {
            tokio::spawn(run_platform_reads(daemon.clone(), kind));
        }
        tokio::spawn(run_heartbeat(daemon.clone()));
        tokio::spawn(run_gossip(daemon.clone()));
        tokio::spawn(run_borrowing(daemon.clone()));
        tokio::spawn(confirm_no_old_loans(daemon.clone()));
        tokio::spawn(run_metrics_export(daemon));
    });
}

async fn contact_seeds(daemon: &Daemon) {
    let seeds = &daemon.settings.seeds;
    let contacted: Vec<_> = {
        let mut rng = rand::rng();
        seeds.choose_multiple(&mut rng, MAX_SEEDS_CONTACTED).copied().collect()
    };
    let exchanges = contacted.into_iter().map(|addr| async move {
        let seed = PeerAddr { host: None, addr };
        // A seed may be down. Without an answer, the documents are read from the platform.
        let _ = tokio::time::timeout(SEED_TIMEOUT, daemon.exchange(&seed, Vec::new(), true)).await;
    });
    futures_util::future::join_all(exchanges).await;
}

async fn run_platform_reads(daemon: Arc<Daemon>, kind: DocumentKind) {
    let mut is_unreachable = false;
    loop {
        match next_read_mode(&daemon, kind) {
            ReadMode::Watch => read_platform(&daemon, kind, true, &mut is_unreachable).await,
            ReadMode::Once => read_platform(&daemon, kind, false, &mut is_unreachable).await,
            ReadMode::None => tokio::time::sleep(WATCH_DUTY_CHECK_INTERVAL).await,
        }
    }
}

enum ReadMode {
    Watch,
    Once,
    None,
}

fn next_read_mode(daemon: &Daemon, kind: DocumentKind) -> ReadMode {
    let now = Instant::now();
    if daemon.tier.view().document(kind).is_none() {
        return ReadMode::Watch;
    }
    {
        let membership = daemon.peers.membership.lock().unwrap();
        let candidates = membership.zone_candidates(now);
        if is_watcher(&daemon.settings.host, kind, &candidates) {
            return ReadMode::Watch;
        }
    }
    let mut contact = daemon.peers.contact.lock().unwrap();
    if contact.should_read(now, &mut rand::rng()) { ReadMode::Once } else { ReadMode::None }
}

async fn read_platform(
    daemon: &Arc<Daemon>,
    kind: DocumentKind,
    watch: bool,
    is_unreachable: &mut bool,
) {
    let requested_at = Instant::now();
    daemon.tier.counters.platform_reads.increment();
    let after = daemon.peers.archive.lock().unwrap().highest_revision(kind);
    let result = if watch {
        daemon.platform.watch(kind, after).await
    } else {
        daemon.platform.read(kind, after).await
    };
    match result {
        Ok(document) => {
            if std::mem::take(is_unreachable) {
                Event::PlatformReachable.info(kind.name());
            }
            daemon.peers.contact.lock().unwrap().record_answer(Instant::now());
            let is_stale = document.as_ref().is_some_and(|d| d.revision <= after);
            document.into_iter().for_each(|document| daemon.apply_document(document));
            daemon.check_readiness(requested_at);
            if is_stale {
                back_off().await;
            }
        }
        Err(e) => {
            daemon.tier.counters.platform_failures.increment();
            if !std::mem::replace(is_unreachable, true) {
                Event::PlatformUnreachable.warn(&with_sources(&e));
            }
            back_off().await;
        }
    }
}

async fn back_off() {
    let jitter = rand::rng().random_range(1.0..2.0);
    tokio::time::sleep(MIN_READ_BACKOFF.mul_f64(jitter)).await;
}

async fn run_heartbeat(daemon: Arc<Daemon>) {
    let mut measured_at = Instant::now();
    for heartbeat in 1_u64.. {
        let now = Instant::now();
        if let Some(gap) = daemon.lifecycle.record_heartbeat(now) {
            Event::Paused.warn(&format!("The process was paused for {} ms", gap.as_millis()));
            daemon.peers.reset_contacts();
        }
        daemon.measure_demand(now.saturating_duration_since(measured_at));
        measured_at = now;
        if heartbeat.is_multiple_of(HEARTBEATS_PER_REFRESH) {
            daemon.peers.shares.lock().unwrap().refresh();
        }
        daemon.apply_shares(now);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn run_gossip(daemon: Arc<Daemon>) {
    for round in 1_u64.. {
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(MEAN_EXCHANGE_INTERVAL.mul_f64(jitter)).await;
        let in_zone = !round.is_multiple_of(EXCHANGES_PER_OTHER_ZONE);
        let peer = {
            let membership = daemon.peers.membership.lock().unwrap();
            let mut rng = rand::rng();
            let peer = membership.random_peer(&mut rng, in_zone);
            peer.or_else(|| membership.random_peer(&mut rng, !in_zone))
        };
        if let Some(peer) = peer {
            // A failure is counted by the exchange itself.
            let _ = daemon.exchange(&peer.into(), Vec::new(), false).await;
        }
    }
}

/// Borrows shares of limits from peers in the zone while demand exceeds this host's share, and
/// renews its loans.
async fn run_borrowing(daemon: Arc<Daemon>) {
    loop {
        tokio::time::sleep(BORROW_INTERVAL).await;
        let mut peers = daemon.peers.membership.lock().unwrap().zone_peers();
        if peers.len() > MAX_LENDERS_PER_ROUND {
            let mut rng = rand::rng();
            peers = peers.choose_multiple(&mut rng, MAX_LENDERS_PER_ROUND).cloned().collect();
        }
        for peer in peers {
            let deficits = daemon.deficits();
            if deficits.is_empty() {
                break;
            }
            let requests = daemon.share_requests_to(&peer.0, &deficits, Instant::now());
            if !requests.is_empty() {
                // A lender that cannot be reached lends nothing.
                let _ = daemon.exchange(&peer.into(), requests, false).await;
                daemon.apply_shares(Instant::now());
            }
        }
    }
}

/// Checks with each listed host of the zone whether it still holds a loan that an earlier
/// incarnation of this host granted. If none does, this host's share of the limits counts at once
/// instead of after the longest lease.
async fn confirm_no_old_loans(daemon: Arc<Daemon>) {
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

async fn run_metrics_export(daemon: Arc<Daemon>) {
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
        tokio::time::sleep(METRICS_INTERVAL).await;
        let values = daemon.tier.counters.values();
        for ((name, value), (_, before)) in
            values.named_values().into_iter().zip(last.named_values())
        {
            if value > before {
                // Metrics are sent on a best-effort basis.
                let _ = client.count(name, value - before);
            }
        }
        let _ = client.flush();
        last = values;
    }
}
