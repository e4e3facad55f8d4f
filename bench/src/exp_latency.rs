//! Experiments on latency: overhead over direct fan-out, the tail under failures, the tail against
//! extra load, and overload.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jasmineusher_lib::answer::OutcomeKind;
use serde_json::Value;

use crate::bed::Bed;
use crate::experiment::BenchEnv;
use crate::experiment::EntryConfig;
use crate::experiment::Experiment;
use crate::fleet::Fleet;
use crate::load::Stream;
use crate::load::StreamResult;
use crate::load::milliseconds;
use crate::load::new_histogram;
use crate::load::run_streams;
use crate::measure::processor_time;
use crate::naive::NaiveFanOut;
use crate::report::Line;
use crate::report::Point;
use crate::report::Record;
use crate::report::Row;
use crate::report::TargetResult;
use crate::report::Titles;
use crate::report::plot;

/// Duration of the load before each measurement, whose values are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Timeout of one query of the naive baseline.
const NAIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Numbers of leaf calls, summed over the counters of all daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// First calls, which are neither hedges nor retries.
    pub first: f64,
    /// Extra calls: hedges and retries.
    pub extra: f64,
}

impl CallCounts {
    /// Reads the state dumps of all daemons and sums their counters.
    pub async fn read(bed: &Bed) -> Self {
        let mut counts = Self::default();
        for number in 0..bed.daemons.len() {
            let state = bed.state(number).await;
            let counter = |name: &str| state["counters"][name].as_f64().unwrap_or(0.0);
            counts.first += counter("first_calls");
            counts.extra += counter("hedges") + counter("retries");
        }
        counts
    }

    /// Returns the difference to an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self { first: self.first - earlier.first, extra: self.extra - earlier.extra }
    }

    /// Returns extra calls as a share of first calls (0.05 is 5%).
    pub fn extra_share(&self) -> f64 {
        self.extra / self.first.max(1.0)
    }
}

/// Creates a stream of queries of one entry to all daemons of a bed, at `rate` queries per second
/// in all.
pub fn stream_to_all(bed: &Bed, entry: &str, rate: f64) -> Stream {
    Stream {
        entry: entry.to_owned(),
        rate,
        latency_limit: Duration::from_secs(5),
        targets: bed.daemons.iter().map(|daemon| daemon.addr).collect(),
        params: "{\"text\":\"lifting\"}".to_owned(),
    }
}

/// Runs naive fan-outs as an open loop, as [`run_streams`] runs queries, and returns their
/// latencies.
async fn run_naive(fleet: &Fleet, rate: f64, time: Duration) -> Histogram<u64> {
    let naive = std::sync::Arc::new(NaiveFanOut::new(fleet, fleet.shape.index.clone()));
    let start = Instant::now();
    let mut queries = tokio::task::JoinSet::new();
    for n in 0.. {
        let scheduled = start + Duration::from_secs_f64(f64::from(n) / rate);
        if scheduled >= start + time {
            break;
        }
        tokio::time::sleep_until(scheduled.into()).await;
        let naive = naive.clone();
        queries.spawn(async move {
            naive.query(NAIVE_TIMEOUT).await;
            scheduled.elapsed()
        });
    }
    let mut latency = new_histogram();
    for elapsed in queries.join_all().await {
        latency.saturating_record(elapsed.as_micros() as u64);
    }
    latency
}

/// Measures the latency that the daemons add over direct fan-out, and their processor time per leaf
/// call, for each number of leafs.
pub async fn overhead(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let mut rows = Vec::new();
    for &leafs in &experiment.leafs {
        let catalogue = EntryConfig::unlimited("lookup").to_toml();
        let bed =
            bench_env.start_bed(experiment.shape(leafs), &catalogue, experiment.daemons).await;
        let rate = experiment.rate;
        run_streams(&[stream_to_all(&bed, "lookup", rate)], WARM_UP).await;
        let counts_before = CallCounts::read(&bed).await;
        let tier =
            run_streams(&[stream_to_all(&bed, "lookup", rate)], experiment.time()).await.remove(0);
        let calls = CallCounts::read(&bed).await.since(counts_before);
        run_naive(&bed.fleet, rate, WARM_UP).await;
        let naive = run_naive(&bed.fleet, rate, experiment.time()).await;
        // Processor time is measured at the same total rate of leaf calls for each number of leafs.
        let scaled_rate = experiment.processor_rate * 30.0 / f64::from(leafs);
        let processor_us = processor_per_call(&bed, scaled_rate, experiment.time()).await;
        let p50 = milliseconds(&tier.latency, 0.5);
        let naive_p50 = milliseconds(&naive, 0.5);
        rows.push(
            Row::new(format!("{leafs} leafs"))
                .with("tier p50 ms", p50)
                .with("naive p50 ms", naive_p50)
                .with("added p50 ms", p50 - naive_p50)
                .with("tier p99 ms", milliseconds(&tier.latency, 0.99))
                .with("naive p99 ms", milliseconds(&naive, 0.99))
                .with("us of processor per leaf call", processor_us)
                .with("extra calls %", calls.extra_share() * 100.0)
                .with("untruthful answers", tier.inconsistent as f64),
        );
    }
    let added = rows[0].get("added p50 ms").unwrap_or(f64::MAX);
    let per_call = rows[0].get("us of processor per leaf call").unwrap_or(f64::MAX);
    let inconsistent: f64 = rows.iter().filter_map(|row| row.get("untruthful answers")).sum();
    let target_results = vec![
        target_result(
            "B1: added at p50 over direct fan-out <= 1 ms",
            added <= 1.0,
            format!("{added:.2} ms"),
        ),
        target_result(
            "B1: processor time per leaf call <= 30 us",
            per_call <= 30.0,
            format!("{per_call:.1} us"),
        ),
        target_result(
            "B11: untruthful answers = 0",
            inconsistent == 0.0,
            format!("{inconsistent}"),
        ),
    ];
    make_record(experiment, rows, target_results)
}

/// Returns the processor time of the first daemon per leaf call at a rate of queries, in
/// microseconds.
async fn processor_per_call(bed: &Bed, rate: f64, time: Duration) -> f64 {
    let pid = bed.daemons[0].pid();
    let counts_before = CallCounts::read(bed).await;
    let cpu_before = processor_time(pid).unwrap_or_default();
    run_streams(&[stream_to_all(bed, "lookup", rate)], time).await;
    let cpu = processor_time(pid).unwrap_or_default() - cpu_before;
    let calls = CallCounts::read(bed).await.since(counts_before);
    cpu.as_secs_f64() * 1e6 / (calls.first + calls.extra).max(1.0)
}

/// Creates the result for a target, with the measured figure.
pub fn target_result(target: &str, met: bool, figure: String) -> TargetResult {
    TargetResult { target: target.to_owned(), met, figure }
}

/// Creates the record of an experiment.
pub fn make_record(
    experiment: &Experiment,
    rows: Vec<Row>,
    target_results: Vec<TargetResult>,
) -> Record {
    let setup = format!(
        "{} daemon(s), leafs with {} slots and {} connections, {} replicas, {} ms a call, \
         {} queries a second, {} s per measurement.",
        experiment.daemons,
        experiment.slots,
        experiment.connections,
        experiment.replicas,
        experiment.service_ms,
        experiment.rate,
        experiment.seconds,
    );
    let (id, title) = (experiment.id.clone(), experiment.title.clone());
    Record { id, title, setup, rows, verdicts: target_results }
}

/// Failure during a measurement of the tail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// Only the stragglers that the experiment's file sets.
    Stragglers,
    /// One leaf whose calls are all 50 times slower.
    StragglerLeaf,
    /// One leaf that is down.
    LostReplica,
    /// A third of the leafs that restart and are slow for their first 100 calls.
    ColdStarts,
}

impl Failure {
    const ALL: [Self; 4] =
        [Self::Stragglers, Self::StragglerLeaf, Self::LostReplica, Self::ColdStarts];

    fn name(self) -> &'static str {
        match self {
            Self::Stragglers => "1 in 100 calls slow",
            Self::StragglerLeaf => "a whole leaf slow",
            Self::LostReplica => "a leaf lost",
            Self::ColdStarts => "a third restarted cold",
        }
    }

    fn inject(self, fleet: &Fleet) {
        match self {
            Self::Stragglers => {}
            Self::StragglerLeaf => fleet.leafs[0].change_behaviour(|b| b.slow_factor = 50.0),
            Self::LostReplica => fleet.leafs[1].set_stopped(true),
            Self::ColdStarts => {
                for leaf in fleet.leafs.iter().step_by(3) {
                    leaf.change_behaviour(|b| {
                        b.cold_calls = 100;
                        b.restart_time = Duration::from_millis(500);
                    });
                    leaf.crash();
                }
            }
        }
    }
}

/// Measures the tail of the daemons and of the naive baseline, for each number of leafs and each
/// [`Failure`]. The targets apply to stragglers only.
pub async fn tail(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let mut rows = Vec::new();
    for &leafs in &experiment.leafs {
        for failure in Failure::ALL {
            let label = format!("{leafs} leafs, {}", failure.name());
            rows.push(tail_row(experiment, bench_env, leafs, failure, label).await);
        }
    }
    let rows_with_target = rows.iter().filter(|row| row.label.contains(Failure::Stragglers.name()));
    let target_results = rows_with_target
        .flat_map(|row| {
            let ratio = row.get("p99 tier / naive").unwrap_or(f64::MAX);
            let extra = row.get("extra calls %").unwrap_or(f64::MAX);
            [
                target_result(
                    &format!("B2: p99 hedged / naive <= 0.25 with {}", row.label),
                    ratio <= 0.25,
                    format!("{ratio:.3}"),
                ),
                target_result(
                    &format!("B2: extra calls <= 5% with {}", row.label),
                    extra <= 5.0,
                    format!("{extra:.2}%"),
                ),
            ]
        })
        .collect();
    make_record(experiment, rows, target_results)
}

async fn tail_row(
    experiment: &Experiment,
    bench_env: &BenchEnv,
    leafs: u32,
    failure: Failure,
    label: String,
) -> Row {
    let catalogue = EntryConfig::unlimited("lookup").to_toml();
    let bed = bench_env.start_bed(experiment.shape(leafs), &catalogue, experiment.daemons).await;
    // The total rate of leaf calls is the same for each number of leafs.
    let rate = experiment.rate * 30.0 / f64::from(leafs);
    run_streams(&[stream_to_all(&bed, "lookup", rate)], WARM_UP).await;
    failure.inject(&bed.fleet);
    let counts_before = CallCounts::read(&bed).await;
    let tier =
        run_streams(&[stream_to_all(&bed, "lookup", rate)], experiment.time()).await.remove(0);
    let calls = CallCounts::read(&bed).await.since(counts_before);
    let naive = run_naive(&bed.fleet, rate, experiment.time()).await;
    let (p99, naive_p99) = (milliseconds(&tier.latency, 0.99), milliseconds(&naive, 0.99));
    Row::new(label)
        .with("tier p50 ms", milliseconds(&tier.latency, 0.5))
        .with("tier p99 ms", p99)
        .with("naive p50 ms", milliseconds(&naive, 0.5))
        .with("naive p99 ms", naive_p99)
        .with("p99 tier / naive", p99 / naive_p99)
        .with("extra calls %", calls.extra_share() * 100.0)
        .with("mean coverage", tier.mean_coverage())
        .with("complete %", complete_share(&tier) * 100.0)
        .with("untruthful answers", tier.inconsistent as f64)
}

fn complete_share(result: &StreamResult) -> f64 {
    result.outcome(OutcomeKind::Complete) as f64 / result.sent.max(1) as f64
}

/// Measures the tail at several limits on extra load, and plots it.
pub async fn tradeoff(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let mut rows = Vec::new();
    for percent in [0.0, 0.5, 1.0, 2.0, 5.0, 10.0] {
        let entry = EntryConfig { extra_load: percent / 100.0, ..EntryConfig::unlimited("lookup") };
        let bed =
            bench_env.start_bed(experiment.shape(30), &entry.to_toml(), experiment.daemons).await;
        run_streams(&[stream_to_all(&bed, "lookup", experiment.rate)], WARM_UP).await;
        let counts_before = CallCounts::read(&bed).await;
        let tier =
            run_streams(&[stream_to_all(&bed, "lookup", experiment.rate)], experiment.time())
                .await
                .remove(0);
        let calls = CallCounts::read(&bed).await.since(counts_before);
        rows.push(
            Row::new(format!("{percent}% agreed"))
                .with("extra load agreed %", percent)
                .with("extra calls %", calls.extra_share() * 100.0)
                .with("p50 ms", milliseconds(&tier.latency, 0.5))
                .with("p99 ms", milliseconds(&tier.latency, 0.99))
                .with("complete %", complete_share(&tier) * 100.0),
        );
    }
    let line = |name: &str| Line {
        label: name.to_owned(),
        points: rows
            .iter()
            .filter_map(|row| Some(Point { x: row.get("extra load agreed %")?, y: row.get(name)? }))
            .collect(),
    };
    let titles = Titles {
        plot: "Extra load against the tail, 30 leafs, 1 in 100 calls 100x slow",
        x: "extra load agreed, % of first calls",
        y: "ms",
    };
    let path = bench_env.plots.join("tradeoff.svg");
    if let Err(e) = plot(&path, titles, &[line("p99 ms"), line("p50 ms")]) {
        eprintln!("bench: {e}");
    }
    let within_agreed = rows.iter().all(|row| {
        let (agreed, used) = (row.get("extra load agreed %"), row.get("extra calls %"));
        used <= agreed.map(|agreed| agreed + 0.3)
    });
    let target_results = vec![target_result(
        "Extra calls stay within what each entry agreed to (0.3 points for the initial credit)",
        within_agreed,
        format!("{within_agreed}"),
    )];
    make_record(experiment, rows, target_results)
}

/// Measures urgent queries at half the capacity beside ordinary queries, where both together are
/// once, twice and five times the capacity.
pub async fn overload(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let urgent_share = 0.5;
    let mut rows = Vec::new();
    for factor in [1.0, 2.0, 5.0] {
        let mut catalogue =
            EntryConfig { deadline_ms: 1_000, ..EntryConfig::unlimited("urgent") }.to_toml();
        catalogue += &EntryConfig {
            class: "ordinary",
            deadline_ms: 1_000,
            extra_load: 0.02,
            ..EntryConfig::unlimited("ordinary")
        }
        .to_toml();
        let bed = bench_env.start_bed(experiment.shape(30), &catalogue, experiment.daemons).await;
        // Each query makes one call to each of 30 shards, which 30 leafs hold, so a leaf gets one
        // call per query on average.
        let capacity = f64::from(experiment.slots) / experiment.service().as_secs_f64();
        let urgent_rate = capacity * urgent_share;
        let ordinary_rate = capacity * factor - urgent_rate;
        let latency_limit = Duration::from_secs(1);
        let mut streams = [
            stream_to_all(&bed, "urgent", urgent_rate),
            stream_to_all(&bed, "ordinary", ordinary_rate),
        ];
        streams.iter_mut().for_each(|stream| stream.latency_limit = latency_limit);
        run_streams(&streams, WARM_UP).await;
        let counts_before = CallCounts::read(&bed).await;
        let results = run_streams(&streams, experiment.time()).await;
        let calls = CallCounts::read(&bed).await.since(counts_before);
        let (urgent, ordinary) = (&results[0], &results[1]);
        let measured_capacity = f64::from(experiment.slots) / mean_effort(&bed.fleet).as_secs_f64();
        let remaining_capacity = (measured_capacity - urgent_rate) * experiment.seconds;
        rows.push(
            Row::new(format!("{factor}x capacity"))
                .with("urgent in time %", urgent.in_time as f64 / urgent.sent as f64 * 100.0)
                .with("urgent p99 ms", milliseconds(&urgent.latency, 0.99))
                .with("capacity by measured effort, queries a second", measured_capacity)
                .with("ordinary sent", ordinary.sent as f64)
                .with("ordinary in time", ordinary.in_time as f64)
                .with(
                    "ordinary goodput of what is left %",
                    ordinary.in_time as f64 / remaining_capacity * 100.0,
                )
                .with("ordinary not run", ordinary.outcome(OutcomeKind::NotRun) as f64)
                .with("ordinary partial", ordinary.outcome(OutcomeKind::Partial) as f64)
                .with("ordinary unknown", ordinary.outcome(OutcomeKind::Unknown) as f64)
                .with("extra calls %", calls.extra_share() * 100.0),
        );
    }
    let rows_with_target = rows[1..].iter();
    let target_results = rows_with_target
        .flat_map(|row| {
            let urgent = row.get("urgent in time %").unwrap_or(0.0);
            let goodput = row.get("ordinary goodput of what is left %").unwrap_or(0.0);
            [
                target_result(
                    &format!("B3: urgent answered in time >= 99% at {}", row.label),
                    urgent >= 99.0,
                    format!("{urgent:.2}%"),
                ),
                target_result(
                    &format!("B3: ordinary goodput >= 90% of what is left at {}", row.label),
                    goodput >= 90.0,
                    format!("{goodput:.1}%"),
                ),
            ]
        })
        .collect();
    make_record(experiment, rows, target_results)
}

/// Returns the mean effort per call, as the leafs measured it.
fn mean_effort(fleet: &Fleet) -> Duration {
    let totals = fleet.record.totals();
    let (effort_us, calls) =
        (totals.effort_us.values().sum::<u64>(), totals.calls_finished.values().sum::<u64>());
    Duration::from_micros(effort_us / calls.max(1))
}

/// Returns the number at a JSON pointer of a state dump, or 0 if there is none.
pub fn number_at(state: &Value, pointer: &str) -> f64 {
    state.pointer(pointer).and_then(Value::as_f64).unwrap_or(0.0)
}
