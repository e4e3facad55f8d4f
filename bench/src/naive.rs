//! Baseline of the latency experiments: parallel fan-out to the first replica of each shard, with
//! no hedges, retries or limits.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Request;
use jasmineusher_lib::backend::LeafBackend;
use jasmineusher_lib::backend::LeafConnection;
use jasmineusher_lib::http_leaf::HttpLeafBackend;
use jasmineusher_lib::ids::Attempt;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::IndexName;
use jasmineusher_lib::ids::QueryId;
use jasmineusher_lib::ids::ShardNo;
use jasmineusher_lib::leaf_protocol::CallId;
use jasmineusher_lib::leaf_protocol::LeafAnswer;
use jasmineusher_lib::leaf_protocol::LeafRequest;
use jasmineusher_lib::leaf_protocol::LeafStatus;
use jasmineusher_lib::leaf_protocol::SEARCH_PATH;
use jasmineusher_lib::search_codec::json_request;
use serde_json::value::RawValue;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::fleet::Fleet;

/// Idle connections to one leaf.
type IdleConnections = Mutex<Vec<Box<dyn LeafConnection>>>;

/// Client that sends each query to the first replica of every shard in parallel.
pub struct NaiveFanOut {
    backend: HttpLeafBackend,
    targets: Vec<SocketAddr>,
    idle_connections: Vec<IdleConnections>,
    index: IndexName,
    version: jasmineusher_lib::ids::IndexVersion,
    params: Box<RawValue>,
    next_query: AtomicU64,
}

impl NaiveFanOut {
    /// Creates the baseline for a fleet, whose leafs are called directly.
    pub fn new(fleet: &Fleet, index: IndexName) -> Self {
        let first_replica_addr =
            |shard| fleet.leafs[fleet.shape.replica_leafs(shard)[0]].host().addr;
        let targets: Vec<_> = (0..fleet.shape.shards).map(first_replica_addr).collect();
        let idle_connections = targets.iter().map(|_| Mutex::default()).collect();
        let params = RawValue::from_string("{\"text\":\"lifting\"}".to_owned());
        Self {
            backend: HttpLeafBackend::default(),
            targets,
            idle_connections,
            index,
            version: fleet.shape.version,
            params: params.expect("a constant object is JSON"),
            next_query: AtomicU64::new(0),
        }
    }

    /// Runs one query and returns the number of shards that answered successfully within `limit`.
    pub async fn query(&self, limit: Duration) -> usize {
        let deadline = Instant::now() + limit;
        let number = self.next_query.fetch_add(1, Ordering::Relaxed);
        let query = QueryId { incarnation: Incarnation(0), number };
        let calls = (0..self.targets.len()).map(|shard| self.call(query, shard, deadline));
        let answered = join_all(calls).await;
        answered.into_iter().filter(|&ok| ok).count()
    }

    async fn call(&self, query: QueryId, shard: usize, deadline: Instant) -> bool {
        let call = async {
            let idle_connection = self.idle_connections[shard].lock().unwrap().pop();
            let mut conn = match idle_connection {
                Some(conn) => conn,
                None => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    self.backend.connect(self.targets[shard], remaining).await.ok()?.conn
                }
            };
            let response = conn.exchange(self.request(query, shard, deadline)).await.ok()?;
            let answer = LeafAnswer::parse(response.body()).ok()?;
            self.idle_connections[shard].lock().unwrap().push(conn);
            Some(answer.status == LeafStatus::Ok)
        };
        let answered = tokio::time::timeout_at(deadline.into(), call).await;
        answered.ok().flatten().unwrap_or(false)
    }

    fn request(&self, query: QueryId, shard: usize, deadline: Instant) -> Request<Bytes> {
        let request = LeafRequest {
            call: CallId {
                query,
                attempt: Attempt(shard as u32),
                shard: ShardNo(shard as u16),
                version: self.version,
            },
            index: &self.index,
            kind: "naive",
            idempotent: true,
            remaining_ms: deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
            params: &self.params,
        };
        json_request(SEARCH_PATH, &request)
    }
}
