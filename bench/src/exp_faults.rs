//! Experiments under faults: crashing requests, charges, draining leafs and tickets.

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
use crate::exp_latency::record;
use crate::exp_latency::stream;
use crate::exp_latency::verdict;
use crate::experiment::EntryText;
use crate::experiment::Experiment;
use crate::experiment::Workshop;
use crate::load::run;
use crate::proxy::Fault;
use crate::report::Record;
use crate::report::Row;

/// Seed of the faults.
const SEED: u64 = 17;
/// Ticketed requests in flight at once.
const IN_FLIGHT: usize = 128;
/// Sends of one ticketed request before its caller gives up.
const MOST_SENDS: usize = 4;

/// Counts leafs lost to one crashing request that is sent again and again through all hosts.
pub async fn crash(experiment: &Experiment, workshop: &Workshop) -> Record {
    let catalogue = EntryText::free("lookup").text();
    let bed = workshop.bed(experiment.shape(30), &catalogue, experiment.daemons).await;
    let crashing = json!({ "entry": "lookup", "params": { "crash": true } });
    let mut refused = 0;
    let mut untruthful = 0;
    for n in 0..experiment.count {
        let (_, answer) = bed.query(n % bed.daemons.len(), crashing.clone()).await;
        untruthful += u32::from(!crate::load::is_consistent(&answer));
        refused += usize::from(answer.refusal.map(|r| r.reason) == Some(Reason::Quarantined));
    }
    let lost = bed.fleet.record.totals().crashes;
    let innocent = run(&[stream(&bed, "lookup", 50.0)], Duration::from_secs(5)).await.remove(0);
    let first_fan_out = f64::from(bed.fleet.shape.shards);
    let rows = vec![
        Row::new(format!("{} resends", experiment.count))
            .with("leafs lost", lost as f64)
            .with("first fan-out", first_fan_out)
            .with("resends refused", refused as f64)
            .with("innocent queries after, complete %", {
                innocent.outcome(OutcomeKind::Complete) as f64 / innocent.sent as f64 * 100.0
            })
            .with("untruthful answers", f64::from(untruthful) + innocent.untruthful as f64),
    ];
    let verdicts = vec![verdict(
        "B10: leafs lost to one crashing request <= its first fan-out + 2",
        lost as f64 <= first_fan_out + 2.0,
        format!("{lost} of {first_fan_out} + 2"),
    )];
    record(experiment, rows, verdicts)
}

/// Compares charges with the effort that the leafs measured, under all faults together.
pub async fn charges(experiment: &Experiment, workshop: &Workshop) -> Record {
    let catalogue = EntryText::free("lookup").text()
        + &EntryText { class: "ordinary", ..EntryText::free("table") }.text();
    let bed = Arc::new(workshop.bed(experiment.shape(30), &catalogue, experiment.daemons).await);
    let faults = tokio::spawn(disturb_leafs(bed.clone(), experiment.time()));
    let streams =
        [stream(&bed, "lookup", experiment.rate), stream(&bed, "table", experiment.rate / 2.0)];
    let results = run(&streams, experiment.time()).await;
    // The loop of faults ends by itself; a panic in it would be a fault of the bench.
    faults.await.expect("the loop of faults ends");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let charged = sum_charges(&bed).await;
    let sums = bed.fleet.record.totals();
    let mut rows = Vec::new();
    let mut worst: f64 = 0.0;
    for name in ["lookup", "table"] {
        let Charged { reported_us, estimated_us } = charged.get(name).copied().unwrap_or_default();
        let measured = sums.effort_us.get(name).copied().unwrap_or(0) as f64;
        let error = ((reported_us + estimated_us) - measured) / measured * 100.0;
        worst = worst.max(error.abs());
        rows.push(
            Row::new(name)
                .with("measured by leafs, s", measured / 1e6)
                .with("charged as reported, s", reported_us / 1e6)
                .with("charged as estimated, s", estimated_us / 1e6)
                .with("error %", error)
                .with("leaf crashes", sums.crashes as f64),
        );
    }
    let untruthful: u64 = results.iter().map(|result| result.untruthful).sum();
    let verdicts = vec![
        verdict(
            "B7: charges within 1% of the measured effort",
            worst <= 1.0,
            format!("{worst:.2}%"),
        ),
        verdict("B11: untruthful answers = 0", untruthful == 0, format!("{untruthful}")),
    ];
    record(experiment, rows, verdicts)
}

#[derive(Clone, Copy, Debug, Default)]
struct Charged {
    reported_us: f64,
    estimated_us: f64,
}

async fn sum_charges(bed: &Bed) -> HashMap<String, Charged> {
    let mut sums: HashMap<String, Charged> = HashMap::new();
    for daemon in &bed.daemons {
        let reply = bed.get(daemon.addr, CHARGES_PATH).await.expect("charges are read");
        let lines: Vec<ChargeLine> = serde_json::from_slice(&reply.body).expect("typed charges");
        for line in lines {
            let sum = sums.entry(line.entry.to_string()).or_default();
            sum.reported_us += line.account.reported_us as f64;
            sum.estimated_us += line.account.estimated_us as f64;
        }
    }
    sums
}

async fn disturb_leafs(bed: Arc<Bed>, time: Duration) {
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

/// Measures the time from a leaf's first sign of leaving to the last new call to it.
pub async fn drain(experiment: &Experiment, workshop: &Workshop) -> Record {
    let catalogue = EntryText::free("lookup").text();
    let mut rows = Vec::new();
    for (label, listed, says_so) in [
        ("the leaf says so, the host list lags", false, true),
        ("the host list says so, the leaf does not", true, false),
    ] {
        let bed = workshop.bed(experiment.shape(30), &catalogue, experiment.daemons).await;
        let leaf = bed.fleet.leafs[0].clone();
        let start = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            leaf.begin_to_leave(says_so);
            if listed {
                bed.fleet.publish_hosts();
            }
        };
        let streams = [stream(&bed, "lookup", experiment.rate)];
        let (results, ()) = tokio::join!(run(&streams, experiment.time()), start);
        let last = leaf.last_new_call_after_leaving().unwrap_or_default();
        rows.push(
            Row::new(label)
                .with("last new call, s after the sign", last.as_secs_f64())
                .with("calls after the sign", bed.fleet.record.totals().calls_while_leaving as f64)
                .with("complete %", {
                    results[0].outcome(OutcomeKind::Complete) as f64 / results[0].sent as f64
                        * 100.0
                }),
        );
    }
    let name = "last new call, s after the sign";
    let last = rows.iter().filter_map(|row| row.get(name)).fold(0.0, f64::max);
    let verdicts = vec![verdict(
        "B5: last new call to a leaving leaf <= 3 s after its sign",
        last <= 3.0,
        format!("{last:.2} s"),
    )];
    record(experiment, rows, verdicts)
}

/// What became of ticketed requests.
#[derive(Clone, Copy, Debug, Default)]
struct TicketCounts {
    complete: u64,
    not_run: u64,
    unknown: u64,
    no_ticket: u64,
    false_not_run: u64,
    sends: u64,
}

/// Sends ticketed requests under kills, cuts, pauses and lost answers, with resends.
pub async fn tickets(experiment: &Experiment, workshop: &Workshop) -> Record {
    let entry = EntryText {
        idempotent: false,
        extra_load: 0.0,
        deadline_ms: 2_000,
        ..EntryText::free("send")
    };
    let shape = crate::fleet::FleetShape { shards: 3, leafs: 3, ..experiment.one_zone_shape(3) };
    let bed = workshop.bed(shape, &entry.text(), experiment.daemons).await;
    let bed = Arc::new(tokio::sync::RwLock::new(bed));
    let stop = Arc::new(tokio::sync::Notify::new());
    let faults = tokio::spawn(disturb_hosts(bed.clone(), stop.clone()));
    let began = Instant::now();
    let outcomes = send_all(&bed, experiment.count, experiment.daemons).await;
    let took = began.elapsed();
    stop.notify_one();
    let counts_of_faults = faults.await.expect("the loop of faults ends");
    let bed = bed.read().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sums = bed.fleet.record.totals();
    let mut counts = TicketCounts::default();
    for outcome in outcomes {
        counts.sends += outcome.sends;
        let ran = (0..3).any(|shard| {
            sums.runs.contains_key(&crate::work::RunKey { run: outcome.run.clone(), shard })
        });
        match outcome.last {
            None => counts.no_ticket += 1,
            Some(OutcomeKind::Complete | OutcomeKind::Partial) => counts.complete += 1,
            Some(OutcomeKind::NotRun) => {
                counts.not_run += 1;
                counts.false_not_run += u64::from(ran);
            }
            Some(OutcomeKind::Unknown) => counts.unknown += 1,
        }
    }
    let doubled = bed.fleet.record.duplicate_runs() as f64;
    let share = |n: u64| n as f64 / experiment.count as f64 * 100.0;
    let rows = vec![
        Row::new(format!("{} requests", experiment.count))
            .with("doubled runs", doubled)
            .with("false \"not run\"", counts.false_not_run as f64)
            .with("complete %", share(counts.complete))
            .with("not run %", share(counts.not_run))
            .with("unknown %", share(counts.unknown))
            .with("no ticket %", share(counts.no_ticket))
            .with("sends per request", counts.sends as f64 / experiment.count as f64)
            .with("faults", counts_of_faults as f64)
            .with("requests a second", experiment.count as f64 / took.as_secs_f64()),
    ];
    let verdicts = vec![
        verdict("B6: doubled runs = 0", doubled == 0.0, format!("{doubled}")),
        verdict(
            "B6: false \"not run\" = 0",
            counts.false_not_run == 0,
            format!("{}", counts.false_not_run),
        ),
    ];
    record(experiment, rows, verdicts)
}

#[derive(Clone, Debug)]
struct TicketOutcome {
    run: String,
    last: Option<OutcomeKind>,
    sends: u64,
}

type SharedBed = Arc<tokio::sync::RwLock<Bed>>;

async fn send_all(bed: &SharedBed, count: usize, daemons: usize) -> Vec<TicketOutcome> {
    let permits = Arc::new(Semaphore::new(IN_FLIGHT));
    let mut requests = JoinSet::new();
    let mut outcomes = Vec::with_capacity(count);
    for n in 0..count {
        let permit = permits.clone().acquire_owned().await.expect("the semaphore stays open");
        let bed = bed.clone();
        requests.spawn(async move {
            let outcome = send_one(&bed, n, daemons).await;
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

/// Sends one request like a careful caller: it resends on `unknown` and on a lost answer, through
/// other hosts, and now and then resends what was answered.
async fn send_one(bed: &SharedBed, n: usize, daemons: usize) -> TicketOutcome {
    let run = format!("run-{n}");
    let mut rng = StdRng::seed_from_u64(SEED.wrapping_add(n as u64));
    let mut outcome = TicketOutcome { run: run.clone(), last: None, sends: 0 };
    let Some(ticket) = get_ticket(bed, rng.random_range(0..daemons)).await else { return outcome };
    let body = json!({ "entry": "send", "params": { "run": run }, "ticket": ticket });
    let body = Bytes::from(body.to_string());
    for _ in 0..MOST_SENDS {
        outcome.sends += 1;
        let answer = send_ticketed(bed, rng.random_range(0..daemons), body.clone()).await;
        outcome.last = Some(merge(outcome.last, answer));
        let is_final = matches!(outcome.last, Some(OutcomeKind::Complete | OutcomeKind::Partial));
        if is_final && !rng.random_bool(0.05) {
            break;
        }
    }
    outcome
}

/// What a caller knows after another answer: a run that was told of stays so; "not run" counts only
/// when nothing before was unknown.
fn merge(before: Option<OutcomeKind>, now: OutcomeKind) -> OutcomeKind {
    match (before, now) {
        (Some(OutcomeKind::Complete), _) => OutcomeKind::Complete,
        (Some(OutcomeKind::Unknown), OutcomeKind::NotRun) => OutcomeKind::Unknown,
        (_, now) => now,
    }
}

async fn get_ticket(bed: &SharedBed, daemon: usize) -> Option<String> {
    for n in 0..MOST_SENDS {
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

async fn disturb_hosts(bed: SharedBed, stop: Arc<tokio::sync::Notify>) -> u32 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut faults = 0;
    loop {
        let pause = Duration::from_millis(rng.random_range(300..900));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.notified() => break,
        }
        faults += 1;
        disturb_once(&bed, &mut rng).await;
    }
    bed.read().await.network.clear_faults();
    faults
}

async fn disturb_once(bed: &SharedBed, rng: &mut StdRng) {
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
        2 => fault_for(bed, host, other, Fault::Cut, time).await,
        3 => fault_for(bed, host, other, Fault::AnswersCut, time).await,
        4 => fault_for(bed, host, other, Fault::Delay(time / 4), time).await,
        5 => {
            bed.read().await.fleet.leafs[leaf].change_behaviour(|b| b.mute = true);
            tokio::time::sleep(time).await;
            bed.read().await.fleet.leafs[leaf].change_behaviour(|b| b.mute = false);
        }
        _ => bed.read().await.fleet.leafs[leaf].crash(),
    }
}

async fn fault_for(bed: &SharedBed, from: usize, to: usize, fault: Fault, time: Duration) {
    bed.read().await.fault_between(from, to, fault);
    tokio::time::sleep(time).await;
    bed.read().await.network.clear_faults();
}
