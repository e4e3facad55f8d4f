//! The state dump of one process.

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
use crate::ledger::ChargeLine;
use crate::limits::HostShare;
use crate::membership::MemberDump;
use crate::quarantine::SuspectReport;
use crate::relay::Route;
use crate::tier::EntryState;
use crate::tier::Identity;
use crate::tier::Tier;

/// The revisions in force; 0 where there is none.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Revisions {
    /// Of the catalogue.
    pub catalogue: Revision,
    /// Of the index layout.
    pub layout: Revision,
    /// Of the host list.
    pub hosts: Revision,
}

/// One leaf as this process knows it.
#[derive(Clone, Debug, Serialize)]
pub struct LeafDump {
    /// Whether it may be called.
    pub usability: Usability,
    /// Expected time per call, in microseconds.
    pub service_us: u64,
    /// How this host reaches it.
    pub route: Route,
    /// Calls in flight from this host.
    pub in_flight: u32,
    /// Calls that wait on this host.
    pub queued: usize,
    /// Calls that may be in flight from this host.
    pub window: u32,
    /// Open connections from this host.
    pub connections: u32,
    /// This host's share of the leaf's connections.
    pub connection_share: u32,
    /// Calls that the leaf shed.
    pub sheds: u64,
    /// Calls lost at the leaf.
    pub losses: u64,
}

/// One entry's use of its limits on this host.
#[derive(Clone, Debug, Serialize)]
pub struct EntryDump {
    /// This host's share of the limits.
    pub share: HostShare,
    /// Queries in progress.
    pub in_progress: u32,
    /// Queries admitted.
    pub admitted: u64,
    /// Queries over a limit.
    pub refused: u64,
    /// Credit for hedges and retries, in calls.
    pub extra_load_saved: f64,
    /// First calls counted for the extra-load share.
    pub first_calls: u64,
    /// Hedges and retries that used it.
    pub extra_calls: u64,
}

/// Everything that one process knows, as `GET /state` shows it.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// The process.
    pub identity: Identity,
    /// `starting`, `ready` or `leaving`.
    pub lifecycle: &'static str,
    /// The revisions in force.
    pub revisions: Revisions,
    /// The last document that was refused as invalid, with the reason.
    pub last_refusal: Option<String>,
    /// Index versions that can be queried, newest first.
    pub indexes: BTreeMap<IndexName, Vec<IndexVersion>>,
    /// Counters.
    pub counters: CounterValues,
    /// Entries that were used.
    pub entries: BTreeMap<EntryName, EntryDump>,
    /// Leafs by name.
    pub leafs: BTreeMap<String, LeafDump>,
    /// Peers.
    pub members: BTreeMap<HostName, MemberDump>,
    /// Time since the platform was heard by this host or one that told it, in milliseconds.
    pub platform_ms_ago: Option<u64>,
    /// Fractions of limits borrowed; negative when lent.
    pub loans: BTreeMap<EntryName, f64>,
    /// Tickets with a record.
    pub tickets: usize,
    /// Suspected and condemned requests.
    pub quarantine: Vec<SuspectReport>,
    /// Charges.
    pub charges: Vec<ChargeLine>,
}

impl Revisions {
    /// Reads the revisions of a view.
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
        let state = leaf.state();
        Self {
            usability: state.estimates.usability(now),
            service_us: state.estimates.median_latency().as_micros() as u64,
            route: state.route.clone(),
            in_flight: state.admission_queue.in_flight(),
            queued: state.admission_queue.queued(),
            window: state.admission_queue.window(),
            connections: leaf.pool.open_count(),
            connection_share: leaf.pool.limit(),
            sheds: state.estimates.sheds(),
            losses: state.estimates.losses(),
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
    /// Dumps the shared tables.
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
