//! Open-loop load: queries start on schedule, and latency counts from the scheduled time.

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

/// Time allowed beyond the longest deadline of an entry.
const QUERY_LIMIT: Duration = Duration::from_secs(20);

/// One stream of queries.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The catalogue entry.
    pub entry: String,
    /// Queries a second.
    pub rate: f64,
    /// When an answer is in time, counted from the scheduled start.
    pub due: Duration,
    /// The daemons; queries go to them in turn.
    pub targets: Vec<SocketAddr>,
    /// The parameters, in JSON.
    pub params: String,
}

/// What became of a stream.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// Latency of complete and partial answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Queries sent.
    pub sent: u64,
    /// Complete answers in time.
    pub in_time: u64,
    /// Answers by outcome.
    pub outcomes: HashMap<String, u64>,
    /// Sum of coverage over all answers that have hits.
    pub coverage_sum: f64,
    /// Answers with a hit that does not belong to their version or coverage.
    pub untruthful: u64,
    /// Queries without a typed answer.
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
            untruthful: 0,
            failed: 0,
        }
    }
}

/// Makes an empty histogram of microseconds.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("constant bounds are valid")
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
pub fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

impl StreamResult {
    /// Returns the answers of an outcome.
    pub fn outcome(&self, outcome: OutcomeKind) -> u64 {
        self.outcomes.get(&format!("{outcome:?}")).copied().unwrap_or(0)
    }

    /// Returns the mean coverage of answers that have hits.
    pub fn mean_coverage(&self) -> f64 {
        let answers = self.outcome(OutcomeKind::Complete) + self.outcome(OutcomeKind::Partial);
        self.coverage_sum / answers.max(1) as f64
    }

    fn take(&mut self, answer: Option<&QueryAnswer>, latency: Duration, due: Duration) {
        let Some(answer) = answer else {
            self.failed += 1;
            return;
        };
        *self.outcomes.entry(format!("{:?}", answer.outcome)).or_default() += 1;
        self.untruthful += u64::from(!is_consistent(answer));
        if matches!(answer.outcome, OutcomeKind::Complete | OutcomeKind::Partial) {
            self.latency.saturating_record(latency.as_micros() as u64);
            self.coverage_sum += answer.coverage.share();
        }
        if answer.outcome == OutcomeKind::Complete && latency <= due {
            self.in_time += 1;
        }
    }
}

/// Whether each hit of an answer belongs to the pinned version and to a covered shard.
pub fn is_consistent(answer: &QueryAnswer) -> bool {
    let coverage = &answer.coverage;
    let whole = coverage.contributed.len() + coverage.missing.len() == coverage.shards;
    let sound = |id: &str| {
        let Some(version) = answer.version else { return false };
        coverage.contributed.iter().any(|shard| id.starts_with(&format!("v{version}-s{shard}-")))
    };
    whole && answer.hits.iter().all(|hit| sound(&hit.id))
}

/// Runs streams side by side for a time and returns their results in the same order.
pub async fn run(streams: &[Stream], time: Duration) -> Vec<StreamResult> {
    let client = HttpClient::default();
    let runs = streams.iter().map(|stream| run_stream(stream.clone(), client.clone(), time));
    futures_util::future::join_all(runs).await
}

async fn run_stream(stream: Stream, client: HttpClient, time: Duration) -> StreamResult {
    let result = Arc::new(Mutex::new(StreamResult::default()));
    let body = format!(r#"{{"entry":"{}","params":{}}}"#, stream.entry, stream.params);
    let body = bytes::Bytes::from(body);
    let began = Instant::now();
    let mut queries = JoinSet::new();
    for n in 0.. {
        let scheduled = began + Duration::from_secs_f64(f64::from(n) / stream.rate);
        if scheduled >= began + time {
            break;
        }
        tokio::time::sleep_until(scheduled.into()).await;
        let target = stream.targets[n as usize % stream.targets.len()];
        let call = HttpCall::post(target, QUERY_PATH, body.clone(), QUERY_LIMIT);
        result.lock().unwrap().sent += 1;
        let (client, result, due) = (client.clone(), result.clone(), stream.due);
        queries.spawn(async move {
            let answer = query(&client, call).await;
            result.lock().unwrap().take(answer.as_ref(), scheduled.elapsed(), due);
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
