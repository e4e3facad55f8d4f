//! Experiments on latency: overhead, the tail, its trade against extra load, and overload.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jasmineusher_lib::answer::OutcomeKind;
use serde_json::Value;

use crate::bed::Bed;
use crate::experiment::EntryText;
use crate::experiment::Experiment;
use crate::experiment::Workshop;
use crate::fleet::Fleet;
use crate::load::Stream;
use crate::load::StreamResult;
use crate::load::milliseconds;
use crate::load::new_histogram;
use crate::load::run;
use crate::measure::processor_time;
use crate::naive::NaiveFanOut;
use crate::report::Line;
use crate::report::Point;
use crate::report::Record;
use crate::report::Row;
use crate::report::Titles;
use crate::report::Verdict;
use crate::report::plot;

/// Time that a measurement runs before its values count.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time allowed for one naive query.
const NAIVE_LIMIT: Duration = Duration::from_secs(20);

/// Values of a daemon's counters that experiments compare.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// First leaf calls.
    pub first: f64,
    /// Hedges and retries.
    pub extra: f64,
}

impl CallCounts {
    /// Sums the counters of all daemons.
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

    /// Returns the counts since an earlier reading.
    pub fn since(self, before: Self) -> Self {
        Self { first: self.first - before.first, extra: self.extra - before.extra }
    }

    /// Returns extra calls as a share of first calls.
    pub fn extra_share(&self) -> f64 {
        self.extra / self.first.max(1.0)
    }
}

/// Makes a stream of one entry to all daemons of a bed.
pub fn stream(bed: &Bed, entry: &str, rate: f64) -> Stream {
    Stream {
        entry: entry.to_owned(),
        rate,
        due: Duration::from_secs(5),
        targets: bed.daemons.iter().map(|daemon| daemon.addr).collect(),
        params: "{\"text\":\"lifting\"}".to_owned(),
    }
}

/// Runs naive fan-outs, open loop, and returns their latencies.
async fn run_naive(fleet: &Fleet, rate: f64, time: Duration) -> Histogram<u64> {
    let naive = std::sync::Arc::new(NaiveFanOut::new(fleet, fleet.shape.index.clone()));
    let began = Instant::now();
    let mut queries = tokio::task::JoinSet::new();
    for n in 0.. {
        let scheduled = began + Duration::from_secs_f64(f64::from(n) / rate);
        if scheduled >= began + time {
            break;
        }
        tokio::time::sleep_until(scheduled.into()).await;
        let naive = naive.clone();
        queries.spawn(async move {
            naive.query(NAIVE_LIMIT).await;
            scheduled.elapsed()
        });
    }
    let mut latency = new_histogram();
    for elapsed in queries.join_all().await {
        latency.saturating_record(elapsed.as_micros() as u64);
    }
    latency
}

/// Measures latency added over direct fan-out, and processor time per leaf call.
pub async fn overhead(experiment: &Experiment, workshop: &Workshop) -> Record {
    let mut rows = Vec::new();
    for &leafs in &experiment.leafs {
        let catalogue = EntryText::free("lookup").text();
        let bed = workshop.bed(experiment.shape(leafs), &catalogue, experiment.daemons).await;
        let rate = experiment.rate;
        run(&[stream(&bed, "lookup", rate)], WARM_UP).await;
        let before = CallCounts::read(&bed).await;
        let tier = run(&[stream(&bed, "lookup", rate)], experiment.time()).await.remove(0);
        let calls = CallCounts::read(&bed).await.since(before);
        run_naive(&bed.fleet, rate, WARM_UP).await;
        let naive = run_naive(&bed.fleet, rate, experiment.time()).await;
        // Where the processor time is measured, leafs are called at the same rate for each size.
        let busy_rate = experiment.processor_rate * 30.0 / f64::from(leafs);
        let busy = processor_per_call(&bed, busy_rate, experiment.time()).await;
        let p50 = milliseconds(&tier.latency, 0.5);
        let naive_p50 = milliseconds(&naive, 0.5);
        rows.push(
            Row::new(format!("{leafs} leafs"))
                .with("tier p50 ms", p50)
                .with("naive p50 ms", naive_p50)
                .with("added p50 ms", p50 - naive_p50)
                .with("tier p99 ms", milliseconds(&tier.latency, 0.99))
                .with("naive p99 ms", milliseconds(&naive, 0.99))
                .with("us of processor per leaf call", busy)
                .with("extra calls %", calls.extra_share() * 100.0)
                .with("untruthful answers", tier.untruthful as f64),
        );
    }
    let added = rows[0].get("added p50 ms").unwrap_or(f64::MAX);
    let per_call = rows[0].get("us of processor per leaf call").unwrap_or(f64::MAX);
    let untruthful: f64 = rows.iter().filter_map(|row| row.get("untruthful answers")).sum();
    let verdicts = vec![
        verdict(
            "B1: added at p50 over direct fan-out <= 1 ms",
            added <= 1.0,
            format!("{added:.2} ms"),
        ),
        verdict(
            "B1: processor time per leaf call <= 30 us",
            per_call <= 30.0,
            format!("{per_call:.1} us"),
        ),
        verdict("B11: untruthful answers = 0", untruthful == 0.0, format!("{untruthful}")),
    ];
    record(experiment, rows, verdicts)
}

/// Returns the processor time of the first daemon per leaf call at a rate of queries, in
/// microseconds.
async fn processor_per_call(bed: &Bed, rate: f64, time: Duration) -> f64 {
    let pid = bed.daemons[0].pid();
    let before = CallCounts::read(bed).await;
    let cpu_before = processor_time(pid).unwrap_or_default();
    run(&[stream(bed, "lookup", rate)], time).await;
    let cpu = processor_time(pid).unwrap_or_default() - cpu_before;
    let calls = CallCounts::read(bed).await.since(before);
    cpu.as_secs_f64() * 1e6 / (calls.first + calls.extra).max(1.0)
}

/// Makes a verdict.
pub fn verdict(target: &str, met: bool, figure: String) -> Verdict {
    Verdict { target: target.to_owned(), met, figure }
}

/// Makes the record of an experiment.
pub fn record(experiment: &Experiment, rows: Vec<Row>, verdicts: Vec<Verdict>) -> Record {
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
    Record { id, title, setup, rows, verdicts }
}

/// A failure that a tail measurement runs under.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    Stragglers,
    StragglerLeaf,
    LostReplica,
    ColdStarts,
}

impl Trouble {
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

    fn bring_about(self, fleet: &Fleet) {
        match self {
            Self::Stragglers => {}
            Self::StragglerLeaf => fleet.leafs[0].change_behaviour(|b| b.slow_factor = 50.0),
            Self::LostReplica => fleet.leafs[1].set_stopped(true),
            Self::ColdStarts => {
                for leaf in fleet.leafs.iter().step_by(3) {
                    leaf.change_behaviour(|b| {
                        b.cold_calls = 100;
                        b.restart = Duration::from_millis(500);
                    });
                    leaf.crash();
                }
            }
        }
    }
}

/// Measures the tail beside the naive baseline, under stragglers and failures.
pub async fn tail(experiment: &Experiment, workshop: &Workshop) -> Record {
    let mut rows = Vec::new();
    for &leafs in &experiment.leafs {
        for trouble in Trouble::ALL {
            let label = format!("{leafs} leafs, {}", trouble.name());
            rows.push(tail_row(experiment, workshop, leafs, trouble, label).await);
        }
    }
    let decisive = rows.iter().filter(|row| row.label.contains(Trouble::Stragglers.name()));
    let verdicts = decisive
        .flat_map(|row| {
            let ratio = row.get("p99 tier / naive").unwrap_or(f64::MAX);
            let extra = row.get("extra calls %").unwrap_or(f64::MAX);
            [
                verdict(
                    &format!("B2: p99 hedged / naive <= 0.25 with {}", row.label),
                    ratio <= 0.25,
                    format!("{ratio:.3}"),
                ),
                verdict(
                    &format!("B2: extra calls <= 5% with {}", row.label),
                    extra <= 5.0,
                    format!("{extra:.2}%"),
                ),
            ]
        })
        .collect();
    record(experiment, rows, verdicts)
}

async fn tail_row(
    experiment: &Experiment,
    workshop: &Workshop,
    leafs: u32,
    trouble: Trouble,
    label: String,
) -> Row {
    let catalogue = EntryText::free("lookup").text();
    let bed = workshop.bed(experiment.shape(leafs), &catalogue, experiment.daemons).await;
    // The same rate of leaf calls for each number of leafs.
    let rate = experiment.rate * 30.0 / f64::from(leafs);
    run(&[stream(&bed, "lookup", rate)], WARM_UP).await;
    trouble.bring_about(&bed.fleet);
    let before = CallCounts::read(&bed).await;
    let tier = run(&[stream(&bed, "lookup", rate)], experiment.time()).await.remove(0);
    let calls = CallCounts::read(&bed).await.since(before);
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
        .with("untruthful answers", tier.untruthful as f64)
}

fn complete_share(result: &StreamResult) -> f64 {
    result.outcome(OutcomeKind::Complete) as f64 / result.sent.max(1) as f64
}

/// Measures the tail at several shares of extra load, and plots it.
pub async fn tradeoff(experiment: &Experiment, workshop: &Workshop) -> Record {
    let mut rows = Vec::new();
    for percent in [0.0, 0.5, 1.0, 2.0, 5.0, 10.0] {
        let entry = EntryText { extra_load: percent / 100.0, ..EntryText::free("lookup") };
        let bed = workshop.bed(experiment.shape(30), &entry.text(), experiment.daemons).await;
        run(&[stream(&bed, "lookup", experiment.rate)], WARM_UP).await;
        let before = CallCounts::read(&bed).await;
        let tier =
            run(&[stream(&bed, "lookup", experiment.rate)], experiment.time()).await.remove(0);
        let calls = CallCounts::read(&bed).await.since(before);
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
    let path = workshop.plots.join("tradeoff.svg");
    if let Err(e) = plot(&path, titles, &[line("p99 ms"), line("p50 ms")]) {
        eprintln!("bench: {e}");
    }
    let within = rows.iter().all(|row| {
        let (agreed, used) = (row.get("extra load agreed %"), row.get("extra calls %"));
        used <= agreed.map(|agreed| agreed + 0.3)
    });
    let verdicts = vec![verdict(
        "Extra calls stay within what each entry agreed to (0.3 points for the initial credit)",
        within,
        format!("{within}"),
    )];
    record(experiment, rows, verdicts)
}

/// Measures urgent and ordinary queries above capacity.
pub async fn overload(experiment: &Experiment, workshop: &Workshop) -> Record {
    let urgent_share = 0.5;
    let mut rows = Vec::new();
    for factor in [1.0, 2.0, 5.0] {
        let mut catalogue = EntryText { deadline_ms: 1_000, ..EntryText::free("urgent") }.text();
        catalogue += &EntryText {
            class: "ordinary",
            deadline_ms: 1_000,
            extra_load: 0.02,
            ..EntryText::free("ordinary")
        }
        .text();
        let bed = workshop.bed(experiment.shape(30), &catalogue, experiment.daemons).await;
        // Each query takes one call of each of 30 shards.
        let capacity = f64::from(experiment.slots) / experiment.service().as_secs_f64();
        let urgent_rate = capacity * urgent_share;
        let ordinary_rate = capacity * factor - urgent_rate;
        let due = Duration::from_secs(1);
        let mut streams =
            [stream(&bed, "urgent", urgent_rate), stream(&bed, "ordinary", ordinary_rate)];
        streams.iter_mut().for_each(|stream| stream.due = due);
        run(&streams, WARM_UP).await;
        let before = CallCounts::read(&bed).await;
        let results = run(&streams, experiment.time()).await;
        let calls = CallCounts::read(&bed).await.since(before);
        let (urgent, ordinary) = (&results[0], &results[1]);
        let real_capacity = f64::from(experiment.slots) / mean_effort(&bed.fleet).as_secs_f64();
        let left = (real_capacity - urgent_rate) * experiment.seconds;
        rows.push(
            Row::new(format!("{factor}x capacity"))
                .with("urgent in time %", urgent.in_time as f64 / urgent.sent as f64 * 100.0)
                .with("urgent p99 ms", milliseconds(&urgent.latency, 0.99))
                .with("capacity by measured effort, queries a second", real_capacity)
                .with("ordinary sent", ordinary.sent as f64)
                .with("ordinary in time", ordinary.in_time as f64)
                .with("ordinary goodput of what is left %", ordinary.in_time as f64 / left * 100.0)
                .with("ordinary not run", ordinary.outcome(OutcomeKind::NotRun) as f64)
                .with("ordinary partial", ordinary.outcome(OutcomeKind::Partial) as f64)
                .with("ordinary unknown", ordinary.outcome(OutcomeKind::Unknown) as f64)
                .with("extra calls %", calls.extra_share() * 100.0),
        );
    }
    let decisive = rows[1..].iter();
    let verdicts = decisive
        .flat_map(|row| {
            let urgent = row.get("urgent in time %").unwrap_or(0.0);
            let goodput = row.get("ordinary goodput of what is left %").unwrap_or(0.0);
            [
                verdict(
                    &format!("B3: urgent answered in time >= 99% at {}", row.label),
                    urgent >= 99.0,
                    format!("{urgent:.2}%"),
                ),
                verdict(
                    &format!("B3: ordinary goodput >= 90% of what is left at {}", row.label),
                    goodput >= 90.0,
                    format!("{goodput:.1}%"),
                ),
            ]
        })
        .collect();
    record(experiment, rows, verdicts)
}

/// Returns the mean time that leafs took per call, as they measured it.
fn mean_effort(fleet: &Fleet) -> Duration {
    let sums = fleet.record.totals();
    let (effort_us, calls) =
        (sums.effort_us.values().sum::<u64>(), sums.calls_finished.values().sum::<u64>());
    Duration::from_micros(effort_us / calls.max(1))
}

/// Reads a number from a state dump.
pub fn number(state: &Value, pointer: &str) -> f64 {
    state.pointer(pointer).and_then(Value::as_f64).unwrap_or(0.0)
}
