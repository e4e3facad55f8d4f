//! Experiments as described in small files, and what they share.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::bed::Bed;
use crate::fleet::FleetShape;
use crate::fleet::zones;
use crate::leaf::Behaviour;

/// Why an experiment file is refused.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("Experiment file \"{path}\" cannot be read")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// The file does not parse.
    #[error("Experiment file \"{path}\" is refused: {message}")]
    Syntax {
        /// The file.
        path: String,
        /// The cause in words.
        message: String,
    },
}

/// Result of reading an experiment.
pub type Result<T> = std::result::Result<T, ExperimentError>;

/// The kinds of experiment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Latency added over direct fan-out, and processor time per leaf call.
    Overhead,
    /// The tail with stragglers and failures.
    Tail,
    /// The trade between extra load and the tail.
    Tradeoff,
    /// Admission above capacity.
    Overload,
    /// A catalogue change on its way to all hosts.
    Change,
    /// A leaf that leaves.
    Drain,
    /// Tickets under faults.
    Tickets,
    /// Charges under faults.
    Charges,
    /// Use of limits under skew and cuts.
    Limits,
    /// Control cost at several sizes.
    Control,
    /// A request that crashes leafs.
    Crash,
    /// More daemons than a leaf accepts connections.
    Relays,
}

/// One experiment, as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Short name; also the record's.
    pub id: String,
    /// What is measured.
    pub title: String,
    /// Which procedure runs.
    pub kind: Kind,
    /// Number of daemons.
    #[serde(default = "one")]
    pub daemons: usize,
    /// Numbers of leafs that are tried in turn.
    #[serde(default = "careline_leafs")]
    pub leafs: Vec<u32>,
    /// Replicas of each shard.
    #[serde(default = "three")]
    pub replicas: u32,
    /// Slots of each leaf.
    #[serde(default = "two")]
    pub slots: u32,
    /// Connections of each leaf.
    #[serde(default = "careline_connections")]
    pub connections: u32,
    /// Usual time of a leaf call, in milliseconds.
    pub service_ms: f64,
    /// Share of leaf calls that are stragglers.
    #[serde(default)]
    pub straggler_share: f64,
    /// Factor on the time of a straggler.
    #[serde(default = "hundred")]
    pub straggler_factor: f64,
    /// Queries a second.
    #[serde(default = "hundred")]
    pub rate: f64,
    /// Queries a second where processor time is measured.
    #[serde(default = "hundred")]
    pub processor_rate: f64,
    /// Time of each measurement, in seconds.
    pub seconds: f64,
    /// Number of whatever the kind counts: changes, tickets, resends.
    #[serde(default)]
    pub count: usize,
}

fn one() -> usize {
    1
}

fn two() -> u32 {
    2
}

fn three() -> u32 {
    3
}

fn hundred() -> f64 {
    100.0
}

fn careline_leafs() -> Vec<u32> {
    vec![30]
}

fn careline_connections() -> u32 {
    25
}

impl Experiment {
    /// Reads an experiment file.
    pub fn load(path: &Path) -> Result<Self> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Read { path: shown.clone(), source })?;
        toml::from_str(&text)
            .map_err(|e| ExperimentError::Syntax { path: shown, message: e.to_string() })
    }

    /// Returns the time of each measurement.
    pub fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns the usual time of a leaf call.
    pub fn service(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1_000.0)
    }

    /// Returns the shape of a fleet with this many leafs, each holding one shard first.
    pub fn shape(&self, leafs: u32) -> FleetShape {
        FleetShape {
            zones: zones(&["muc-a", "nue-a", "aug-a"]),
            shards: leafs as u16,
            leafs,
            replicas: self.replicas,
            slots: self.slots,
            connections: self.connections,
            behaviour: Behaviour {
                service: self.service(),
                straggler_share: self.straggler_share,
                straggler_factor: self.straggler_factor,
                connect: Duration::from_millis(5),
                ..Behaviour::default()
            },
            ..FleetShape::careline()
        }
    }

    /// Returns a fleet shape whose hosts are all in one zone.
    pub fn one_zone_shape(&self, leafs: u32) -> FleetShape {
        FleetShape { zones: zones(&["muc-a"]), ..self.shape(leafs) }
    }
}

/// Where an experiment finds the daemon and leaves its plots.
#[derive(Clone, Debug)]
pub struct Workshop {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Folder of plots.
    pub plots: PathBuf,
}

impl Workshop {
    /// Starts stand-ins and daemons.
    pub async fn bed(&self, shape: FleetShape, catalogue: &str, daemons: usize) -> Bed {
        Bed::start(&self.daemon, shape, catalogue, daemons).await
    }
}

/// Writes one catalogue entry.
#[derive(Clone, Debug)]
pub struct EntryText {
    /// Name and kind.
    pub name: &'static str,
    /// `urgent` or `ordinary`.
    pub class: &'static str,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Time from arrival to answer, in milliseconds.
    pub deadline_ms: u64,
    /// Queries a second.
    pub queries_per_second: f64,
    /// Share of hedges and retries.
    pub extra_load: f64,
}

impl EntryText {
    /// Makes an idempotent urgent entry whose limits do not bind.
    pub fn free(name: &'static str) -> Self {
        Self {
            name,
            class: "urgent",
            idempotent: true,
            deadline_ms: 5_000,
            queries_per_second: 100_000.0,
            extra_load: 0.05,
        }
    }

    /// Writes the entry as TOML.
    pub fn text(&self) -> String {
        let Self { name, class, idempotent, deadline_ms, queries_per_second, extra_load } = self;
        format!(
            "[[entry]]\nname = \"{name}\"\nkind = \"{name}\"\nowner = \"lidwerk\"\n\
             index = \"careline\"\nclass = \"{class}\"\nidempotent = {idempotent}\n\
             deadline_ms = {deadline_ms}\nminimum_coverage = 0.9\n\
             limits = {{ queries_per_second = {queries_per_second:.3}, concurrent = 60000, \
             effort_ms_per_second = 100000000.0, extra_load = {extra_load:.4} }}\n\n"
        )
    }
}
