//! Open-loop load: queries start on schedule, whether or not earlier ones are answered, and latency
//! counts from the scheduled time, so that a backlog in the load generator counts too.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::server::QUERY_PATH;
use tokio::task::JoinSet;

/// Timeout of one query, above the longest deadline of any entry.
const QUERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Stream of queries of one catalogue entry at a constant rate.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Name of the catalogue entry.
    pub entry: String,
    /// Queries per second.
    pub rate: f64,
    /// Latency up to which a complete answer counts as in time, from the scheduled start.
    pub latency_limit: Duration,
    /// Addresses of the daemons; queries go to them round-robin.
    pub targets: Vec<SocketAddr>,
    /// Parameters of each query, in JSON.
    pub params: String,
}

/// Outcomes and latencies of the queries of one stream.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// Latency of complete and partial answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of queries sent.
    pub sent: u64,
    /// Number of complete answers within the stream's latency limit.
    pub in_time: u64,
    /// Number of answers by the name of their [`OutcomeKind`].
    pub outcomes: HashMap<String, u64>,
    /// Sum of the coverage (0 to 1 each) of complete and partial answers.
    pub coverage_sum: f64,
    /// Number of answers that are not consistent, see [`is_consistent`].
    pub inconsistent: u64,
    /// Number of queries whose call failed or whose response could not be parsed.
    pub failed: u64,
}

impl Default for StreamResult {
    fn default() -> Self {
        Self {
            latency: new_histogram(),
            sent: 0,
            in_time: 0,
            outcomes: HashMap::new(),
            coverage_sum: 0.0,
            inconsistent: 0,
            failed: 0,
        }
    }
}

/// Creates an empty histogram of microseconds, up to 100 seconds with 3 significant digits.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("constant bounds are valid")
}

/// Returns a quantile (0 to 1) of a histogram of microseconds, in milliseconds.
pub fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

impl StreamResult {
    /// Returns the number of answers with an outcome.
    pub fn outcome(&self, outcome: OutcomeKind) -> u64 {
        self.outcomes.get(&format!("{outcome:?}")).copied().unwrap_or(0)
    }

    /// Returns the mean coverage (0 to 1) of complete and partial answers, or 0 if there are none.
    pub fn mean_coverage(&self) -> f64 {
        let answers = self.outcome(OutcomeKind::Complete) + self.outcome(OutcomeKind::Partial);
        self.coverage_sum / answers.max(1) as f64
    }

    /// Counts one query; `answer` is `None` if it failed.
    fn record_answer(
        &mut self,
        answer: Option<&QueryAnswer>,
        latency: Duration,
        latency_limit: Duration,
    ) {
        let Some(answer) = answer else {
            self.failed += 1;
            return;
        };
        *self.outcomes.entry(format!("{:?}", answer.outcome)).or_default() += 1;
        self.inconsistent += u64::from(!is_consistent(answer));
        if matches!(answer.outcome, OutcomeKind::Complete | OutcomeKind::Partial) {
            self.latency.saturating_record(latency.as_micros() as u64);
            self.coverage_sum += answer.coverage.share();
        }
        if answer.outcome == OutcomeKind::Complete && latency <= latency_limit {
            self.in_time += 1;
        }
    }
}

/// Returns whether an answer is consistent: each hit belongs to the answer's version and to a shard
/// that contributed, and each shard either contributed or is missing.
pub fn is_consistent(answer: &QueryAnswer) -> bool {
    let coverage = &answer.coverage;
    let covers_all_shards = coverage.contributed.len() + coverage.missing.len() == coverage.shards;
    let is_consistent_hit = |id: &str| {
        let Some(version) = answer.version else { return false };
        coverage.contributed.iter().any(|shard| id.starts_with(&format!("v{version}-s{shard}-")))
    };
    covers_all_shards && answer.hits.iter().all(|hit| is_consistent_hit(&hit.id))
}

/// Runs streams concurrently for `time`, waits for all answers and returns the results in the order
/// of the streams.
pub async fn run_streams(streams: &[Stream], time: Duration) -> Vec<StreamResult> {
    let client = HttpClient::default();
    let stream_runs = streams.iter().map(|stream| run_stream(stream.clone(), client.clone(), time));
    futures_util::future::join_all(stream_runs).await
}

async fn run_stream(stream: Stream, client: HttpClient, time: Duration) -> StreamResult {
    let result = Arc::new(Mutex::new(StreamResult::default()));
    let body = format!(r#"{{"entry":"{}","params":{}}}"#, stream.entry, stream.params);
    let body = bytes::Bytes::from(body);
    let start = Instant::now();
    let mut queries = JoinSet::new();
    for n in 0.. {
        let scheduled = start + Duration::from_secs_f64(f64::from(n) / stream.rate);
        if scheduled >= start + time {
            break;
        }
        tokio::time::sleep_until(scheduled.into()).await;
        let target = stream.targets[n as usize % stream.targets.len()];
        let call = HttpCall::post(target, QUERY_PATH, body.clone(), QUERY_TIMEOUT);
        result.lock().unwrap().sent += 1;
        let (client, result, latency_limit) =
            (client.clone(), result.clone(), stream.latency_limit);
        queries.spawn(async move {
            let answer = query(&client, call).await;
            result.lock().unwrap().record_answer(
                answer.as_ref(),
                scheduled.elapsed(),
                latency_limit,
            );
        });
    }
    queries.join_all().await;
    let result = result.lock().unwrap();
    result.clone()
}

async fn query(client: &HttpClient, call: HttpCall) -> Option<QueryAnswer> {
    let reply = client.call(call).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
