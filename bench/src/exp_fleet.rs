//! Experiments on many daemons: spread of catalogue changes, relayed calls, and limits under skewed
//! load and network partitions.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jasmineusher_lib::answer::OutcomeKind;

use crate::bed::Bed;
use crate::exp_latency::CallCounts;
use crate::exp_latency::make_record;
use crate::exp_latency::stream_to_all;
use crate::exp_latency::target_result;
use crate::experiment::BenchEnv;
use crate::experiment::EntryConfig;
use crate::experiment::Experiment;
use crate::load::Stream;
use crate::load::StreamResult;
use crate::load::milliseconds;
use crate::load::new_histogram;
use crate::load::run_streams;
use crate::measure::processor_time;
use crate::report::Record;
use crate::report::Row;

/// Time after which the experiment stops waiting for daemons that have not applied a change. Such a
/// change is recorded as having taken the time waited, which is at least this timeout.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Capacity of the token buckets of all hosts together, as the time in seconds that they take to
/// refill at the limit's rate.
const BURST_SECONDS: f64 = 0.5;

/// Measures the time from the publication of a change until all daemons have applied it, and the
/// platform's calls per change.
pub async fn change(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let catalogue = EntryConfig::unlimited("lookup").to_toml();
    let mut rows = Vec::new();
    for daemons in [9, experiment.daemons] {
        let bed = bench_env.start_bed(experiment.shape(6), &catalogue, daemons).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let calls_before = bed.fleet.platform.calls();
        let start = Instant::now();
        let mut latency = new_histogram();
        for n in 0..experiment.count {
            let revision = bed.fleet.publish_catalogue(&format!("# change {n}\n{catalogue}"));
            wait_until_applied(&bed, revision, &mut latency).await;
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
        let calls = (bed.fleet.platform.calls() - calls_before) as f64;
        rows.push(
            Row::new(format!("{daemons} daemons, 3 zones"))
                .with("p50 ms to all", milliseconds(&latency, 0.5))
                .with("p99 ms to all", milliseconds(&latency, 0.99))
                .with("platform calls per change", calls / experiment.count as f64)
                .with("platform calls a second", calls / start.elapsed().as_secs_f64()),
        );
    }
    let p99 = rows[1].get("p99 ms to all").unwrap_or(f64::MAX);
    let calls: Vec<_> = rows.iter().filter_map(|r| r.get("platform calls per change")).collect();
    let target_results = vec![
        target_result(
            "B4: change in force in all daemons <= 2 s at p99",
            p99 <= 2_000.0,
            format!("{p99:.0} ms"),
        ),
        target_result(
            "B4: platform calls per change bounded by zones (2 watchers in each of 3), not hosts",
            calls.iter().all(|&calls| calls <= 6.0 * 1.5),
            format!("{:.1} and {:.1}", calls[0], calls[1]),
        ),
    ];
    make_record(experiment, rows, target_results)
}

/// Waits until all daemons have applied a catalogue revision, or until [`CHANGE_TIMEOUT`], and
/// records how long that took.
async fn wait_until_applied(bed: &Bed, revision: u64, latency: &mut Histogram<u64>) {
    let start = Instant::now();
    let mut pending: Vec<usize> = (0..bed.daemons.len()).collect();
    while !pending.is_empty() && start.elapsed() < CHANGE_TIMEOUT {
        let mut still_pending = Vec::new();
        for number in pending {
            let state = bed.state(number).await;
            if state["revisions"]["catalogue"].as_u64() < Some(revision) {
                still_pending.push(number);
            }
        }
        pending = still_pending;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    latency.saturating_record(start.elapsed().as_micros() as u64);
}

/// Measures queries with leafs that accept enough connections for all daemons, and with leafs that
/// accept so few that calls go through relays. Then kills and unlists a daemon, and counts the
/// connections that leafs refuse.
pub async fn relays(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let catalogue = EntryConfig::unlimited("lookup").to_toml();
    let mut rows = Vec::new();
    for connections in [experiment.daemons as u32 * 2, experiment.connections] {
        let shape = crate::fleet::FleetShape { connections, ..experiment.shape(30) };
        let mut bed = bench_env.start_bed(shape, &catalogue, experiment.daemons).await;
        run_streams(&[stream_to_all(&bed, "lookup", experiment.rate)], Duration::from_secs(2))
            .await;
        let cpu_before = total_processor_time(&bed);
        let counts = CallCounts::read(&bed).await;
        let steady =
            run_streams(&[stream_to_all(&bed, "lookup", experiment.rate)], experiment.time())
                .await
                .remove(0);
        let calls = CallCounts::read(&bed).await.since(counts);
        let cpu = total_processor_time(&bed) - cpu_before;
        let refused_before = bed.fleet.record.totals().refused_connections;
        let last = bed.daemons.len() - 1;
        bed.daemons[last].kill();
        bed.fleet.unlist_daemon(&format!("host-{last}"));
        bed.fleet.publish_hosts();
        bed.daemons.pop();
        run_streams(&[stream_to_all(&bed, "lookup", experiment.rate)], Duration::from_secs(5))
            .await;
        let refused_after_5_s = bed.fleet.record.totals().refused_connections;
        let after =
            run_streams(&[stream_to_all(&bed, "lookup", experiment.rate)], experiment.time())
                .await
                .remove(0);
        let refused_at_end = bed.fleet.record.totals().refused_connections;
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
                    (refused_after_5_s - refused_before) as f64
                })
                .with("refused later", (refused_at_end - refused_after_5_s) as f64)
                .with("complete % after", complete(&after))
                .with("untruthful answers", (steady.inconsistent + after.inconsistent) as f64),
        );
    }
    let refused_late_total: f64 = rows.iter().filter_map(|row| row.get("refused later")).sum();
    let target_results = vec![target_result(
        "No leaf refuses a connection for more than 5 s after a change of hosts",
        refused_late_total == 0.0,
        format!("{refused_late_total} refused later"),
    )];
    make_record(experiment, rows, target_results)
}

fn total_processor_time(bed: &Bed) -> Duration {
    let time =
        |daemon: &crate::bed::DaemonProcess| processor_time(daemon.pid()).unwrap_or_default();
    bed.daemons.iter().map(time).sum()
}

/// Measures the use of an entry's limit when one host gets ten times the queries of all others
/// together, and admissions over the limit while that host is cut off.
pub async fn limits(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let limit = experiment.rate;
    let entry = EntryConfig { queries_per_second: limit, ..EntryConfig::unlimited("lookup") };
    let shape = experiment.one_zone_shape(6);
    let bed = bench_env.start_bed(shape, &entry.to_toml(), experiment.daemons).await;
    let mut rows = Vec::new();
    run_streams(&skewed_streams(&bed, limit), Duration::from_secs(5)).await;
    rows.push(measure_limit_use(&bed, limit, experiment, "10:1 skew").await);
    bed.isolate(&[0], true);
    rows.push(measure_limit_use(&bed, limit, experiment, "the loaded host cut off").await);
    bed.network.clear_faults();
    run_streams(&skewed_streams(&bed, limit), Duration::from_secs(8)).await;
    rows.push(measure_limit_use(&bed, limit, experiment, "after healing").await);
    let (use_name, over_name) = ("use of the limit %", "admitted over limit and burst");
    let used = rows[0].get(use_name).unwrap_or(0.0);
    let over = rows.iter().filter_map(|row| row.get(over_name)).fold(0.0, f64::max);
    let target_results = vec![
        target_result(
            "B8: use of the limit at 10:1 skew >= 95%",
            used >= 95.0,
            format!("{used:.1}%"),
        ),
        target_result("B8: over-admission in a cut = 0", over == 0.0, format!("{over:.0} queries")),
    ];
    make_record(experiment, rows, target_results)
}

/// Creates two streams that together send twice the limit: 10/11 of it to the first host, and the
/// rest to all others.
fn skewed_streams(bed: &Bed, limit: f64) -> Vec<Stream> {
    let hosts: Vec<_> = bed.daemons.iter().map(|daemon| daemon.addr).collect();
    let stream_to = |targets: &[std::net::SocketAddr], share: f64| Stream {
        targets: targets.to_vec(),
        ..stream_to_all(bed, "lookup", limit * 2.0 * share)
    };
    vec![stream_to(&hosts[..1], 10.0 / 11.0), stream_to(&hosts[1..], 1.0 / 11.0)]
}

/// Sends the skewed streams for the time of one measurement. Returns a row with the share of the
/// limit that was admitted, and the queries admitted beyond the limit and one burst.
async fn measure_limit_use(bed: &Bed, limit: f64, experiment: &Experiment, label: &str) -> Row {
    let results = run_streams(&skewed_streams(bed, limit), experiment.time()).await;
    let count_outcome = |outcome| results.iter().map(|r| r.outcome(outcome)).sum::<u64>() as f64;
    let admitted = count_outcome(OutcomeKind::Complete)
        + count_outcome(OutcomeKind::Partial)
        + count_outcome(OutcomeKind::Unknown);
    let allowed = limit * experiment.seconds;
    let over = (admitted - allowed - limit * BURST_SECONDS).max(0.0);
    Row::new(label)
        .with("use of the limit %", admitted / allowed * 100.0)
        .with("admitted", admitted)
        .with("allowed", allowed)
        .with("admitted over limit and burst", over)
        .with("refused", count_outcome(OutcomeKind::NotRun))
}
