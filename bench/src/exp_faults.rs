//! Experiments under faults: poison requests, charges, leaving leafs and tickets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::answer::Reason;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::ledger::ChargeLine;
use jasmineusher_lib::server::CHARGES_PATH;
use jasmineusher_lib::server::QUERY_PATH;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::bed::Bed;
use crate::exp_latency::make_record;
use crate::exp_latency::stream_to_all;
use crate::exp_latency::target_result;
use crate::experiment::BenchEnv;
use crate::experiment::EntryConfig;
use crate::experiment::Experiment;
use crate::load::run_streams;
use crate::proxy::Fault;
use crate::report::Record;
use crate::report::Row;

/// Seed of the random faults and of the random choices of callers.
const SEED: u64 = 17;
/// Maximum number of ticketed requests in flight.
const IN_FLIGHT: usize = 128;
/// Maximum number of sends of one ticketed request, and of attempts to get its ticket.
const MAX_SENDS: usize = 4;

/// Counts the leafs that one poison request crashes when it is resent through all hosts in turn.
pub async fn crash(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let catalogue = EntryConfig::unlimited("lookup").to_toml();
    let bed = bench_env.start_bed(experiment.shape(30), &catalogue, experiment.daemons).await;
    let crashing = json!({ "entry": "lookup", "params": { "crash": true } });
    let mut refused = 0;
    let mut inconsistent = 0;
    for n in 0..experiment.count {
        let (_, answer) = bed.query(n % bed.daemons.len(), crashing.clone()).await;
        inconsistent += u32::from(!crate::load::is_consistent(&answer));
        refused += usize::from(answer.refusal.map(|r| r.reason) == Some(Reason::Quarantined));
    }
    let lost = bed.fleet.record.totals().crashes;
    let other_queries =
        run_streams(&[stream_to_all(&bed, "lookup", 50.0)], Duration::from_secs(5)).await.remove(0);
    let first_fan_out = f64::from(bed.fleet.shape.shards);
    let rows = vec![
        Row::new(format!("{} resends", experiment.count))
            .with("leafs lost", lost as f64)
            .with("first fan-out", first_fan_out)
            .with("resends refused", refused as f64)
            .with("innocent queries after, complete %", {
                other_queries.outcome(OutcomeKind::Complete) as f64 / other_queries.sent as f64
                    * 100.0
            })
            .with(
                "untruthful answers",
                f64::from(inconsistent) + other_queries.inconsistent as f64,
            ),
    ];
    let target_results = vec![target_result(
        "B10: leafs lost to one crashing request <= its first fan-out + 2",
        lost as f64 <= first_fan_out + 2.0,
        format!("{lost} of {first_fan_out} + 2"),
    )];
    make_record(experiment, rows, target_results)
}

/// Compares charges with the effort that the leafs measured, while leafs crash, slow down, drain
/// and answer with a wrong identity.
pub async fn charges(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let catalogue = EntryConfig::unlimited("lookup").to_toml()
        + &EntryConfig { class: "ordinary", ..EntryConfig::unlimited("table") }.to_toml();
    let bed =
        Arc::new(bench_env.start_bed(experiment.shape(30), &catalogue, experiment.daemons).await);
    let faults = tokio::spawn(inject_leaf_faults(bed.clone(), experiment.time()));
    let streams = [
        stream_to_all(&bed, "lookup", experiment.rate),
        stream_to_all(&bed, "table", experiment.rate / 2.0),
    ];
    let results = run_streams(&streams, experiment.time()).await;
    // The loop of faults ends after the same time; a panic in it is a bug of the bench.
    faults.await.expect("the loop of faults ends");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let charged = sum_charges(&bed).await;
    let leaf_work = bed.fleet.record.totals();
    let mut rows = Vec::new();
    let mut largest_error: f64 = 0.0;
    for name in ["lookup", "table"] {
        let Charged { reported_us, estimated_us } = charged.get(name).copied().unwrap_or_default();
        let measured = leaf_work.effort_us.get(name).copied().unwrap_or(0) as f64;
        let error = ((reported_us + estimated_us) - measured) / measured * 100.0;
        largest_error = largest_error.max(error.abs());
        rows.push(
            Row::new(name)
                .with("measured by leafs, s", measured / 1e6)
                .with("charged as reported, s", reported_us / 1e6)
                .with("charged as estimated, s", estimated_us / 1e6)
                .with("error %", error)
                .with("leaf crashes", leaf_work.crashes as f64),
        );
    }
    let inconsistent: u64 = results.iter().map(|result| result.inconsistent).sum();
    let target_results = vec![
        target_result(
            "B7: charges within 1% of the measured effort",
            largest_error <= 1.0,
            format!("{largest_error:.2}%"),
        ),
        target_result("B11: untruthful answers = 0", inconsistent == 0, format!("{inconsistent}")),
    ];
    make_record(experiment, rows, target_results)
}

/// Charges of one entry in microseconds of effort, summed over all daemons.
#[derive(Clone, Copy, Debug, Default)]
struct Charged {
    reported_us: f64,
    estimated_us: f64,
}

async fn sum_charges(bed: &Bed) -> HashMap<String, Charged> {
    let mut charges_by_entry: HashMap<String, Charged> = HashMap::new();
    for daemon in &bed.daemons {
        let reply = bed.get(daemon.addr, CHARGES_PATH).await.expect("the charges can be read");
        let lines: Vec<ChargeLine> =
            serde_json::from_slice(&reply.body).expect("the charges are in JSON");
        for line in lines {
            let sum = charges_by_entry.entry(line.entry.to_string()).or_default();
            sum.reported_us += line.account.reported_us as f64;
            sum.estimated_us += line.account.estimated_us as f64;
        }
    }
    charges_by_entry
}

/// Injects a random fault into a random leaf, one after another, until `time` has passed.
async fn inject_leaf_faults(bed: Arc<Bed>, time: Duration) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let end = Instant::now() + time;
    while Instant::now() < end {
        let leaf = &bed.fleet.leafs[rng.random_range(0..bed.fleet.leafs.len())];
        match rng.random_range(0..4) {
            0 => leaf.crash(),
            1 => leaf.change_behaviour(|b| b.slow_factor = 20.0),
            2 => leaf.change_behaviour(|b| b.draining = true),
            _ => leaf.change_behaviour(|b| b.wrong_identity = true),
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        leaf.change_behaviour(|b| {
            b.slow_factor = 1.0;
            b.draining = false;
            b.wrong_identity = false;
        });
    }
}

/// Measures the time from a leaf's first sign of leaving to the last new call to it, where the sign
/// is either the status of its answers or its state in the host list.
pub async fn drain(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let catalogue = EntryConfig::unlimited("lookup").to_toml();
    let mut rows = Vec::new();
    for (label, listed_leaving, refuses_calls) in [
        ("the leaf says so, the host list lags", false, true),
        ("the host list says so, the leaf does not", true, false),
    ] {
        let bed = bench_env.start_bed(experiment.shape(30), &catalogue, experiment.daemons).await;
        let leaf = bed.fleet.leafs[0].clone();
        let start = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            leaf.start_leaving(refuses_calls);
            if listed_leaving {
                bed.fleet.publish_hosts();
            }
        };
        let streams = [stream_to_all(&bed, "lookup", experiment.rate)];
        let (results, ()) = tokio::join!(run_streams(&streams, experiment.time()), start);
        let last_call = leaf.last_new_call_after_leaving().unwrap_or_default();
        rows.push(
            Row::new(label)
                .with("last new call, s after the sign", last_call.as_secs_f64())
                .with("calls after the sign", bed.fleet.record.totals().calls_while_leaving as f64)
                .with("complete %", {
                    results[0].outcome(OutcomeKind::Complete) as f64 / results[0].sent as f64
                        * 100.0
                }),
        );
    }
    let name = "last new call, s after the sign";
    let last_call_s = rows.iter().filter_map(|row| row.get(name)).fold(0.0, f64::max);
    let target_results = vec![target_result(
        "B5: last new call to a leaving leaf <= 3 s after its sign",
        last_call_s <= 3.0,
        format!("{last_call_s:.2} s"),
    )];
    make_record(experiment, rows, target_results)
}

/// Numbers of ticketed requests by the outcome that their callers concluded.
#[derive(Clone, Copy, Debug, Default)]
struct TicketCounts {
    complete: u64,
    not_run: u64,
    unknown: u64,
    /// Requests whose callers got no ticket.
    no_ticket: u64,
    /// Requests that ran although their callers were answered "not run".
    false_not_run: u64,
    /// Sends of all requests together.
    sends: u64,
}

/// Sends ticketed requests, with resends, while daemons are killed and paused, links are cut and
/// delayed, leafs crash and answers are lost. Counts duplicate runs, and requests that ran although
/// the caller was answered "not run".
pub async fn tickets(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let entry = EntryConfig {
        idempotent: false,
        extra_load: 0.0,
        deadline_ms: 2_000,
        ..EntryConfig::unlimited("send")
    };
    let shape = crate::fleet::FleetShape { shards: 3, leafs: 3, ..experiment.one_zone_shape(3) };
    let bed = bench_env.start_bed(shape, &entry.to_toml(), experiment.daemons).await;
    let bed = Arc::new(tokio::sync::RwLock::new(bed));
    let stop = Arc::new(tokio::sync::Notify::new());
    let faults = tokio::spawn(inject_host_faults(bed.clone(), stop.clone()));
    let start_time = Instant::now();
    let outcomes = send_requests(&bed, experiment.count, experiment.daemons).await;
    let elapsed_total = start_time.elapsed();
    stop.notify_one();
    let fault_count = faults.await.expect("the loop of faults ends");
    let bed = bed.read().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let leaf_work = bed.fleet.record.totals();
    let mut counts = TicketCounts::default();
    for outcome in outcomes {
        counts.sends += outcome.sends;
        let has_run = (0..3).any(|shard| {
            leaf_work.runs.contains_key(&crate::work::RunKey { run: outcome.run.clone(), shard })
        });
        match outcome.combined {
            None => counts.no_ticket += 1,
            Some(OutcomeKind::Complete | OutcomeKind::Partial) => counts.complete += 1,
            Some(OutcomeKind::NotRun) => {
                counts.not_run += 1;
                counts.false_not_run += u64::from(has_run);
            }
            Some(OutcomeKind::Unknown) => counts.unknown += 1,
        }
    }
    let duplicate_run_count = bed.fleet.record.duplicate_runs() as f64;
    let share = |n: u64| n as f64 / experiment.count as f64 * 100.0;
    let rows = vec![
        Row::new(format!("{} requests", experiment.count))
            .with("doubled runs", duplicate_run_count)
            .with("false \"not run\"", counts.false_not_run as f64)
            .with("complete %", share(counts.complete))
            .with("not run %", share(counts.not_run))
            .with("unknown %", share(counts.unknown))
            .with("no ticket %", share(counts.no_ticket))
            .with("sends per request", counts.sends as f64 / experiment.count as f64)
            .with("faults", fault_count as f64)
            .with("requests a second", experiment.count as f64 / elapsed_total.as_secs_f64()),
    ];
    let target_results = vec![
        target_result(
            "B6: doubled runs = 0",
            duplicate_run_count == 0.0,
            format!("{duplicate_run_count}"),
        ),
        target_result(
            "B6: false \"not run\" = 0",
            counts.false_not_run == 0,
            format!("{}", counts.false_not_run),
        ),
    ];
    make_record(experiment, rows, target_results)
}

#[derive(Clone, Debug)]
struct TicketOutcome {
    run: String,
    /// Outcome that follows from all answers; `None` if the caller got no ticket.
    combined: Option<OutcomeKind>,
    sends: u64,
}

type SharedBed = Arc<tokio::sync::RwLock<Bed>>;

async fn send_requests(bed: &SharedBed, count: usize, daemons: usize) -> Vec<TicketOutcome> {
    let permits = Arc::new(Semaphore::new(IN_FLIGHT));
    let mut requests = JoinSet::new();
    let mut outcomes = Vec::with_capacity(count);
    for n in 0..count {
        let permit = permits.clone().acquire_owned().await.expect("the semaphore stays open");
        let bed = bed.clone();
        requests.spawn(async move {
            let outcome = send_request(&bed, n, daemons).await;
            drop(permit);
            outcome
        });
        while let Some(Ok(outcome)) = requests.try_join_next() {
            outcomes.push(outcome);
        }
    }
    outcomes.extend(requests.join_all().await);
    outcomes
}

/// Sends one request as a careful caller does: sends it up to [`MAX_SENDS`] times through random
/// hosts, until it is complete or partial. After such an answer it is sent again with a probability
/// of 5%.
async fn send_request(bed: &SharedBed, n: usize, daemons: usize) -> TicketOutcome {
    let run = format!("run-{n}");
    let mut rng = StdRng::seed_from_u64(SEED.wrapping_add(n as u64));
    let mut outcome = TicketOutcome { run: run.clone(), combined: None, sends: 0 };
    let Some(ticket) = get_ticket(bed, rng.random_range(0..daemons)).await else { return outcome };
    let body = json!({ "entry": "send", "params": { "run": run }, "ticket": ticket });
    let body = Bytes::from(body.to_string());
    for _ in 0..MAX_SENDS {
        outcome.sends += 1;
        let answer = send_ticketed(bed, rng.random_range(0..daemons), body.clone()).await;
        outcome.combined = Some(combine_outcomes(outcome.combined, answer));
        let is_final =
            matches!(outcome.combined, Some(OutcomeKind::Complete | OutcomeKind::Partial));
        if is_final && !rng.random_bool(0.05) {
            break;
        }
    }
    outcome
}

/// Returns the outcome that a caller concludes from the outcome so far and another answer. A
/// complete outcome stays complete, and "not run" after an unknown outcome stays unknown, as the
/// earlier send may have run.
fn combine_outcomes(before: Option<OutcomeKind>, now: OutcomeKind) -> OutcomeKind {
    match (before, now) {
        (Some(OutcomeKind::Complete), _) => OutcomeKind::Complete,
        (Some(OutcomeKind::Unknown), OutcomeKind::NotRun) => OutcomeKind::Unknown,
        (_, now) => now,
    }
}

async fn get_ticket(bed: &SharedBed, daemon: usize) -> Option<String> {
    for n in 0..MAX_SENDS {
        let bed = bed.read().await;
        let ticket = bed.ticket((daemon + n) % bed.daemons.len()).await;
        if ticket.is_some() {
            return ticket;
        }
    }
    None
}

async fn send_ticketed(bed: &SharedBed, daemon: usize, body: Bytes) -> OutcomeKind {
    let (client, addr) = {
        let bed = bed.read().await;
        (bed.client.clone(), bed.daemon_configs[daemon].addr)
    };
    let call = HttpCall::post(addr, QUERY_PATH, body, Duration::from_millis(2_500));
    let Ok(reply) = client.call(call).await else { return OutcomeKind::Unknown };
    let answer = serde_json::from_slice::<QueryAnswer>(&reply.body);
    answer.map_or(OutcomeKind::Unknown, |answer| answer.outcome)
}

/// Injects random faults, with random pauses, until `stop` is notified. Then clears the faults of
/// the network and returns the number of injected faults.
async fn inject_host_faults(bed: SharedBed, stop: Arc<tokio::sync::Notify>) -> u32 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut faults = 0;
    loop {
        let pause = Duration::from_millis(rng.random_range(300..900));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.notified() => break,
        }
        faults += 1;
        inject_host_fault(&bed, &mut rng).await;
    }
    bed.read().await.network.clear_faults();
    faults
}

/// Injects one random fault of a daemon, a link or a leaf. Pauses, cuts, delays and lost answers
/// end after a random time.
async fn inject_host_fault(bed: &SharedBed, rng: &mut StdRng) {
    let (count, leafs) = {
        let bed = bed.read().await;
        (bed.daemons.len(), bed.fleet.leafs.len())
    };
    let host = rng.random_range(0..count);
    let other = rng.random_range(0..count);
    let leaf = rng.random_range(0..leafs);
    let time = Duration::from_millis(rng.random_range(200..1_500));
    match rng.random_range(0..7) {
        0 => bed.write().await.restart(host),
        1 => {
            bed.read().await.daemons[host].signal("STOP");
            tokio::time::sleep(time + Duration::from_secs(2)).await;
            bed.read().await.daemons[host].signal("CONT");
        }
        2 => apply_fault_for(bed, host, other, Fault::Cut, time).await,
        3 => apply_fault_for(bed, host, other, Fault::AnswersCut, time).await,
        4 => apply_fault_for(bed, host, other, Fault::Delay(time / 4), time).await,
        5 => {
            bed.read().await.fleet.leafs[leaf].change_behaviour(|b| b.drops_answers = true);
            tokio::time::sleep(time).await;
            bed.read().await.fleet.leafs[leaf].change_behaviour(|b| b.drops_answers = false);
        }
        _ => bed.read().await.fleet.leafs[leaf].crash(),
    }
}

async fn apply_fault_for(bed: &SharedBed, from: usize, to: usize, fault: Fault, time: Duration) {
    bed.read().await.fault_between(from, to, fault);
    tokio::time::sleep(time).await;
    bed.read().await.network.clear_faults();
}
