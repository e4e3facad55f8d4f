//! State dump of one process, as `GET /state` returns it.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use crate::counters::CounterValues;
use crate::documents::DocumentKind;
use crate::documents::View;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::Revision;
use crate::leaf::Leaf;
use crate::leaf_estimates::Usability;
use crate::leaf_load::LoadDump;
use crate::ledger::ChargeLine;
use crate::limits::HostShare;
use crate::membership::MemberDump;
use crate::relay::Route;
use crate::suspect_report::SuspectReport;
use crate::tier::EntryState;
use crate::tier::Identity;
use crate::tier::Tier;

/// Revisions of the documents in force; 0 for a document of which none was applied yet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Revisions {
    /// Revision of the catalogue.
    pub catalogue: Revision,
    /// Revision of the index layout.
    pub layout: Revision,
    /// Revision of the host list.
    pub hosts: Revision,
}

/// State of one leaf as this process has recorded it.
#[derive(Clone, Debug, Serialize)]
pub struct LeafDump {
    /// Whether the leaf may be called, or why not.
    pub usability: Usability,
    /// Median latency of the last five measured calls, in microseconds; 0 before the first.
    pub service_us: u64,
    /// How this host reaches the leaf: directly, or through other hosts.
    pub route: Route,
    /// Number of calls from this host that are in flight.
    pub in_flight: u32,
    /// Number of calls in this host's admission queue, which wait until they may be sent.
    pub queued: usize,
    /// Present limit on `in_flight`; grows with answered calls and shrinks when the leaf sheds one.
    pub window: u32,
    /// Number of open connections from this host.
    pub connections: u32,
    /// Number of connections that this host may open: its share of those that the leaf accepts.
    pub connection_share: u32,
    /// Number of calls that the leaf refused because of overload.
    pub sheds: u64,
    /// Number of lost calls and failed connections.
    pub losses: u64,
    /// Load that the leaf stated last; absent if it stated none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadDump>,
}

/// Use of one entry's limits on this host.
#[derive(Clone, Debug, Serialize)]
pub struct EntryDump {
    /// This host's present share of the entry's limits.
    pub share: HostShare,
    /// Number of queries in progress.
    pub in_progress: u32,
    /// Number of queries admitted since the start of the process.
    pub admitted: u64,
    /// Number of queries refused because they exceeded a limit.
    pub refused: u64,
    /// Unused credit for hedges and retries, in calls.
    pub extra_load_saved: f64,
    /// Number of first calls, which earn credit for hedges and retries.
    pub first_calls: u64,
    /// Number of hedges and retries, which use up credit.
    pub extra_calls: u64,
}

/// State of one process, as `GET /state` returns it.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Host, zone and incarnation of the process.
    pub identity: Identity,
    /// Phase of the process: `starting`, `ready` or `leaving`.
    pub lifecycle: &'static str,
    /// Revisions of the documents in force.
    pub revisions: Revisions,
    /// Kind and revision of the last document that was refused as invalid, with the reason; absent
    /// if there was none since the start.
    pub last_refusal: Option<String>,
    /// Versions of each index that can be queried, newest first.
    pub indexes: BTreeMap<IndexName, Vec<IndexVersion>>,
    /// Counters since the start of the process.
    pub counters: CounterValues,
    /// Entries that were used since the start of the process.
    pub entries: BTreeMap<EntryName, EntryDump>,
    /// Leafs of the host list, by name.
    pub leafs: BTreeMap<String, LeafDump>,
    /// Other hosts of the host list, by name.
    pub members: BTreeMap<HostName, MemberDump>,
    /// Time since this host, or a peer that reported it, last read the platform, in milliseconds;
    /// absent before the first time and after a pause of the process.
    pub platform_ms_ago: Option<u64>,
    /// Balance of loans per entry, as a fraction of its limits: positive if more is borrowed from
    /// other hosts than lent to them, negative if less.
    pub loans: BTreeMap<EntryName, f64>,
    /// Number of redeemed tickets whose record is kept.
    pub tickets: usize,
    /// Suspected and blocked requests.
    pub quarantine: Vec<SuspectReport>,
    /// Effort charged to each owner and entry.
    pub charges: Vec<ChargeLine>,
}

impl Revisions {
    /// Returns the revisions of the documents that a view is made of.
    pub fn of(view: &View) -> Self {
        Self {
            catalogue: view.revision(DocumentKind::Catalogue),
            layout: view.revision(DocumentKind::Layout),
            hosts: view.revision(DocumentKind::Hosts),
        }
    }
}

impl LeafDump {
    fn of(leaf: &Leaf, now: Instant) -> Self {
        let usability = leaf.usability(now);
        let state = leaf.state();
        Self {
            usability,
            service_us: state.estimates.median_latency().as_micros() as u64,
            route: state.route.clone(),
            in_flight: state.admission_queue.in_flight(),
            queued: state.admission_queue.queued(),
            window: state.admission_queue.window(),
            connections: leaf.pool.open_count(),
            connection_share: leaf.pool.limit(),
            sheds: state.estimates.sheds(),
            losses: state.estimates.losses(),
            load: state.load.dump(now),
        }
    }
}

impl EntryDump {
    fn of(state: &EntryState) -> Self {
        let limits = state.limits.lock().unwrap().clone();
        let extra_load = state.extra_load.lock().unwrap().clone();
        Self {
            share: limits.share(),
            in_progress: limits.in_progress(),
            admitted: limits.admitted(),
            refused: limits.refused(),
            extra_load_saved: extra_load.balance(),
            first_calls: extra_load.first_calls(),
            extra_calls: extra_load.extra_calls(),
        }
    }
}

impl StateDump {
    /// Collects the state that the tier holds. The fields on peers, the platform, loans and tickets
    /// stay empty, as other parts of the process hold them.
    pub fn of(
        tier: &Tier,
        lifecycle: &'static str,
        last_refusal: Option<String>,
        now: Instant,
    ) -> Self {
        let view = tier.view();
        let versions = |name: &&IndexName| {
            let versions = view.layout.versions(name).iter().map(|v| v.version).collect();
            ((*name).clone(), versions)
        };
        let entries = tier.entry_states().into_iter();
        Self {
            identity: tier.identity.clone(),
            lifecycle,
            revisions: Revisions::of(&view),
            last_refusal,
            indexes: view.layout.index_names().iter().map(versions).collect(),
            counters: tier.counters.values(),
            entries: entries.map(|(name, state)| (name, EntryDump::of(&state))).collect(),
            leafs: view
                .leafs
                .iter()
                .map(|leaf| (leaf.host.name.to_string(), LeafDump::of(leaf, now)))
                .collect(),
            members: BTreeMap::new(),
            platform_ms_ago: None,
            loans: BTreeMap::new(),
            tickets: 0,
            quarantine: tier.quarantine.lock().unwrap().reports(now),
            charges: tier.ledger.lock().unwrap().lines(),
        }
    }
}
