//! Experiments on many daemons: catalogue changes on their way, and limits under skew and cuts.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jasmineusher_lib::answer::OutcomeKind;

use crate::bed::Bed;
use crate::exp_latency::CallCounts;
use crate::exp_latency::record;
use crate::exp_latency::stream;
use crate::exp_latency::verdict;
use crate::experiment::EntryText;
use crate::experiment::Experiment;
use crate::experiment::Workshop;
use crate::load::Stream;
use crate::load::StreamResult;
use crate::load::milliseconds;
use crate::load::new_histogram;
use crate::load::run;
use crate::measure::processor_time;
use crate::report::Record;
use crate::report::Row;

/// Time after which a change that is not in force everywhere counts as lost.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);
/// Time between two changes.
const CHANGE_EVERY: Duration = Duration::from_millis(300);
/// Admissions that buckets may save up: half a second of the limit.
const BURST_SECONDS: f64 = 0.5;

/// Measures the time from a published change to its being in force in all daemons.
pub async fn change(experiment: &Experiment, workshop: &Workshop) -> Record {
    let catalogue = EntryText::free("lookup").text();
    let mut rows = Vec::new();
    for daemons in [9, experiment.daemons] {
        let bed = workshop.bed(experiment.shape(6), &catalogue, daemons).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let calls_before = bed.fleet.platform.calls();
        let began = Instant::now();
        let mut latency = new_histogram();
        for n in 0..experiment.count {
            let revision = bed.fleet.publish_catalogue(&format!("# change {n}\n{catalogue}"));
            wait_everywhere(&bed, revision, &mut latency).await;
            tokio::time::sleep(CHANGE_EVERY).await;
        }
        let calls = (bed.fleet.platform.calls() - calls_before) as f64;
        rows.push(
            Row::new(format!("{daemons} daemons, 3 zones"))
                .with("p50 ms to all", milliseconds(&latency, 0.5))
                .with("p99 ms to all", milliseconds(&latency, 0.99))
                .with("platform calls per change", calls / experiment.count as f64)
                .with("platform calls a second", calls / began.elapsed().as_secs_f64()),
        );
    }
    let p99 = rows[1].get("p99 ms to all").unwrap_or(f64::MAX);
    let calls: Vec<_> = rows.iter().filter_map(|r| r.get("platform calls per change")).collect();
    let verdicts = vec![
        verdict(
            "B4: change in force in all daemons <= 2 s at p99",
            p99 <= 2_000.0,
            format!("{p99:.0} ms"),
        ),
        verdict(
            "B4: platform calls per change bounded by zones (2 watchers in each of 3), not hosts",
            calls.iter().all(|&calls| calls <= 6.0 * 1.5),
            format!("{:.1} and {:.1}", calls[0], calls[1]),
        ),
    ];
    record(experiment, rows, verdicts)
}

async fn wait_everywhere(bed: &Bed, revision: u64, latency: &mut Histogram<u64>) {
    let began = Instant::now();
    let mut missing: Vec<usize> = (0..bed.daemons.len()).collect();
    while !missing.is_empty() && began.elapsed() < CHANGE_LIMIT {
        let mut still = Vec::new();
        for number in missing {
            let state = bed.state(number).await;
            if state["revisions"]["catalogue"].as_u64() < Some(revision) {
                still.push(number);
            }
        }
        missing = still;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    latency.saturating_record(began.elapsed().as_micros() as u64);
}

/// Measures queries through relays beside direct ones, and connections that leafs refuse after a host
/// is lost and unlisted.
pub async fn relays(experiment: &Experiment, workshop: &Workshop) -> Record {
    let catalogue = EntryText::free("lookup").text();
    let mut rows = Vec::new();
    for connections in [experiment.daemons as u32 * 2, experiment.connections] {
        let shape = crate::fleet::FleetShape { connections, ..experiment.shape(30) };
        let mut bed = workshop.bed(shape, &catalogue, experiment.daemons).await;
        run(&[stream(&bed, "lookup", experiment.rate)], Duration::from_secs(2)).await;
        let cpu_before = total_processor(&bed);
        let counts = CallCounts::read(&bed).await;
        let steady =
            run(&[stream(&bed, "lookup", experiment.rate)], experiment.time()).await.remove(0);
        let calls = CallCounts::read(&bed).await.since(counts);
        let cpu = total_processor(&bed) - cpu_before;
        let refused_before = bed.fleet.record.totals().refused_connections;
        let last = bed.daemons.len() - 1;
        bed.daemons[last].kill();
        bed.fleet.unlist_daemon(&format!("host-{last}"));
        bed.fleet.publish_hosts();
        bed.daemons.pop();
        run(&[stream(&bed, "lookup", experiment.rate)], Duration::from_secs(5)).await;
        let refused_early = bed.fleet.record.totals().refused_connections;
        let after =
            run(&[stream(&bed, "lookup", experiment.rate)], experiment.time()).await.remove(0);
        let refused_late = bed.fleet.record.totals().refused_connections;
        let complete = |result: &StreamResult| {
            result.outcome(OutcomeKind::Complete) as f64 / result.sent as f64 * 100.0
        };
        rows.push(
            Row::new(format!("leafs accept {connections} connections"))
                .with("p50 ms", milliseconds(&steady.latency, 0.5))
                .with("p99 ms", milliseconds(&steady.latency, 0.99))
                .with("complete %", complete(&steady))
                .with("us of processor per leaf call, all daemons", {
                    cpu.as_secs_f64() * 1e6 / (calls.first + calls.extra).max(1.0)
                })
                .with("connections refused in 5 s after a host is lost", {
                    (refused_early - refused_before) as f64
                })
                .with("refused later", (refused_late - refused_early) as f64)
                .with("complete % after", complete(&after))
                .with("untruthful answers", (steady.untruthful + after.untruthful) as f64),
        );
    }
    let late: f64 = rows.iter().filter_map(|row| row.get("refused later")).sum();
    let verdicts = vec![verdict(
        "No leaf refuses a connection for more than 5 s after a change of hosts",
        late == 0.0,
        format!("{late} refused later"),
    )];
    record(experiment, rows, verdicts)
}

fn total_processor(bed: &Bed) -> Duration {
    let time =
        |daemon: &crate::bed::DaemonProcess| processor_time(daemon.pid()).unwrap_or_default();
    bed.daemons.iter().map(time).sum()
}

/// Measures the use of an entry's limit when one host gets ten times the others' queries, and
/// admissions over the limit when the network is cut.
pub async fn limits(experiment: &Experiment, workshop: &Workshop) -> Record {
    let limit = experiment.rate;
    let entry = EntryText { queries_per_second: limit, ..EntryText::free("lookup") };
    let shape = experiment.one_zone_shape(6);
    let bed = workshop.bed(shape, &entry.text(), experiment.daemons).await;
    let mut rows = Vec::new();
    run(&skewed(&bed, limit), Duration::from_secs(5)).await;
    rows.push(measure(&bed, limit, experiment, "10:1 skew").await);
    bed.isolate(&[0], true);
    rows.push(measure(&bed, limit, experiment, "the loaded host cut off").await);
    bed.network.clear_faults();
    run(&skewed(&bed, limit), Duration::from_secs(8)).await;
    rows.push(measure(&bed, limit, experiment, "after healing").await);
    let (use_name, over_name) = ("use of the limit %", "admitted over limit and burst");
    let used = rows[0].get(use_name).unwrap_or(0.0);
    let over = rows.iter().filter_map(|row| row.get(over_name)).fold(0.0, f64::max);
    let verdicts = vec![
        verdict("B8: use of the limit at 10:1 skew >= 95%", used >= 95.0, format!("{used:.1}%")),
        verdict("B8: over-admission in a cut = 0", over == 0.0, format!("{over:.0} queries")),
    ];
    record(experiment, rows, verdicts)
}

/// Sends twice the limit in all, ten of eleven parts to the first host.
fn skewed(bed: &Bed, limit: f64) -> Vec<Stream> {
    let hosts: Vec<_> = bed.daemons.iter().map(|daemon| daemon.addr).collect();
    let to = |targets: &[std::net::SocketAddr], part: f64| Stream {
        targets: targets.to_vec(),
        ..stream(bed, "lookup", limit * 2.0 * part)
    };
    vec![to(&hosts[..1], 10.0 / 11.0), to(&hosts[1..], 1.0 / 11.0)]
}

async fn measure(bed: &Bed, limit: f64, experiment: &Experiment, label: &str) -> Row {
    let results = run(&skewed(bed, limit), experiment.time()).await;
    let ran = |outcome| results.iter().map(|r| r.outcome(outcome)).sum::<u64>() as f64;
    let admitted =
        ran(OutcomeKind::Complete) + ran(OutcomeKind::Partial) + ran(OutcomeKind::Unknown);
    let allowed = limit * experiment.seconds;
    let over = (admitted - allowed - limit * BURST_SECONDS).max(0.0);
    Row::new(label)
        .with("use of the limit %", admitted / allowed * 100.0)
        .with("admitted", admitted)
        .with("allowed", allowed)
        .with("admitted over limit and burst", over)
        .with("refused", ran(OutcomeKind::NotRun))
}
