//! Experiments as their TOML files describe them, and the helpers that all of them use.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::bed::Bed;
use crate::fleet::FleetShape;
use crate::fleet::zones;
use crate::leaf::Behaviour;

/// Error of reading an experiment file.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("Experiment file \"{path}\" cannot be read")]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        #[source]
        source: std::io::Error,
    },
    /// The file is not valid TOML, lacks a key or has an unknown one.
    #[error("Experiment file \"{path}\" is invalid: {message}")]
    Syntax {
        /// Path of the file.
        path: String,
        /// Error message of the TOML parser, with the position.
        message: String,
    },
}

/// Result of reading an experiment file.
pub type Result<T> = std::result::Result<T, ExperimentError>;

/// Kind of an experiment, which selects the procedure that runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Measures the latency added over direct fan-out, and the processor time per leaf call.
    Overhead,
    /// Measures tail latency with stragglers and failures.
    Tail,
    /// Measures tail latency at several shares of extra load.
    Tradeoff,
    /// Measures admission of queries above capacity.
    Overload,
    /// Measures the time until a catalogue change is applied on all hosts.
    Change,
    /// Measures the time until a leaving leaf gets no more calls.
    Drain,
    /// Counts duplicate runs and false outcomes of ticketed requests under faults.
    Tickets,
    /// Compares charges with the effort that leafs measured, under faults.
    Charges,
    /// Measures the use of an entry's limit under skewed load and network partitions.
    Limits,
    /// Measures the cost of the control plane at several sizes of the fleet.
    Control,
    /// Counts the crashes that one poison request causes.
    Crash,
    /// Measures queries that go through relays because leafs accept too few connections for all
    /// daemons.
    Relays,
}

/// Experiment as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Short name, which is also that of the file and of the record.
    pub id: String,
    /// What the experiment measures.
    pub title: String,
    /// Procedure that runs.
    pub kind: Kind,
    /// Number of daemon processes.
    #[serde(default = "one")]
    pub daemons: usize,
    /// Sizes of the fleet, in leafs. Each size is measured in turn.
    #[serde(default = "default_leafs")]
    pub leafs: Vec<u32>,
    /// Number of replicas of each shard.
    #[serde(default = "three")]
    pub replicas: u32,
    /// Number of calls that each leaf runs at once.
    #[serde(default = "two")]
    pub slots: u32,
    /// Number of connections that each leaf accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Mean service time of a leaf call that is no straggler, in milliseconds.
    pub service_ms: f64,
    /// Probability (0 to 1) that a leaf call is a straggler.
    #[serde(default)]
    pub straggler_share: f64,
    /// Factor by which the service time of a straggler is multiplied.
    #[serde(default = "hundred")]
    pub straggler_factor: f64,
    /// Queries per second. For kind `tail`, the rate for a fleet of 30 leafs; for `limits`, the
    /// limit of the entry, to which twice as many queries are sent.
    #[serde(default = "hundred")]
    pub rate: f64,
    /// Queries per second while processor time is measured, for a fleet of 30 leafs.
    #[serde(default = "hundred")]
    pub processor_rate: f64,
    /// Duration of each measurement, in seconds.
    pub seconds: f64,
    /// Number of changes, ticketed requests or resends, depending on the kind; 0 if the kind needs
    /// none.
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

fn default_leafs() -> Vec<u32> {
    vec![30]
}

fn default_connections() -> u32 {
    25
}

impl Experiment {
    /// Reads an experiment file. Returns an error if it cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        let display_path = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Read { path: display_path.clone(), source })?;
        toml::from_str(&text)
            .map_err(|e| ExperimentError::Syntax { path: display_path, message: e.to_string() })
    }

    /// Returns the duration of each measurement.
    pub fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns the mean service time of a leaf call that is no straggler.
    pub fn service(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1_000.0)
    }

    /// Returns the shape of a fleet in three zones that has as many shards as leafs, so that each
    /// leaf holds the first replica of one shard.
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
                connect_delay: Duration::from_millis(5),
                ..Behaviour::default()
            },
            ..FleetShape::careline()
        }
    }

    /// Returns the same shape as [`Self::shape`] with all hosts in one zone.
    pub fn one_zone_shape(&self, leafs: u32) -> FleetShape {
        FleetShape { zones: zones(&["muc-a"]), ..self.shape(leafs) }
    }
}

/// Paths that experiments use.
#[derive(Clone, Debug)]
pub struct BenchEnv {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Folder that plots are written to.
    pub plots: PathBuf,
}

impl BenchEnv {
    /// Starts stand-ins for the platform and the leafs, and `daemons` daemon processes; see
    /// [`Bed::start`].
    pub async fn start_bed(&self, shape: FleetShape, catalogue: &str, daemons: usize) -> Bed {
        Bed::start(&self.daemon, shape, catalogue, daemons).await
    }
}

/// Settings of a catalogue entry of the index `careline`.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of the entry, which is also the kind of its requests.
    pub name: &'static str,
    /// Priority class: `urgent` or `ordinary`.
    pub class: &'static str,
    /// Whether requests may be hedged and retried without a ticket.
    pub idempotent: bool,
    /// Deadline of a query, from its arrival, in milliseconds.
    pub deadline_ms: u64,
    /// Limit on queries per second.
    pub queries_per_second: f64,
    /// Hedges and retries allowed, as a share of first calls.
    pub extra_load: f64,
}

impl EntryConfig {
    /// Creates an idempotent urgent entry whose limits are never reached, with a deadline of 5
    /// seconds and 5% of extra load.
    pub fn unlimited(name: &'static str) -> Self {
        Self {
            name,
            class: "urgent",
            idempotent: true,
            deadline_ms: 5_000,
            queries_per_second: 100_000.0,
            extra_load: 0.05,
        }
    }

    /// Formats the entry as TOML. Its limits on concurrency and effort are never reached.
    pub fn to_toml(&self) -> String {
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
