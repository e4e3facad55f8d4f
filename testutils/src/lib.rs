//! Helpers that the integration tests of several crates share.

use std::ops::Deref;
use std::ops::DerefMut;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_bench::bed::Bed;
use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::load::is_consistent;
use jasmineusher_lib::answer::QueryAnswer;

/// Time after which [`eventually`] fails. It is not a bound on latency: it is so long that a slow
/// machine does not fail a test.
pub const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(30);

/// A catalogue over the index `careline` with an entry for each behaviour that tests need: partial
/// answers allowed (`lookup`), restart on a lost index version (`restarting`), full coverage
/// required (`table`), a rate limit of one query in 100 s (`scarce`), and not idempotent (`send`).
pub const CATALOGUE: &str = r#"
[[entry]]
name = "lookup"
kind = "lookup"
owner = "lidwerk"
index = "careline"
class = "urgent"
idempotent = true
deadline_ms = 5000
minimum_coverage = 0.1
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.1 }

[[entry]]
name = "restarting"
kind = "restarting"
owner = "lidwerk"
index = "careline"
class = "urgent"
idempotent = true
deadline_ms = 5000
minimum_coverage = 1.0
on_version_loss = "restart"
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.1 }

[[entry]]
name = "table"
kind = "table"
owner = "tabela-viva"
index = "careline"
class = "ordinary"
idempotent = true
deadline_ms = 5000
minimum_coverage = 1.0
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.0 }

[[entry]]
name = "scarce"
kind = "scarce"
owner = "tabela-viva"
index = "careline"
class = "ordinary"
idempotent = true
deadline_ms = 5000
minimum_coverage = 1.0
limits = { queries_per_second = 0.01, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.0 }

[[entry]]
name = "send"
kind = "send"
owner = "lidwerk"
index = "careline"
class = "ordinary"
idempotent = false
deadline_ms = 3000
minimum_coverage = 1.0
limits = { queries_per_second = 9000.0, concurrent = 900, effort_ms_per_second = 900000.0, extra_load = 0.0 }
"#;

/// Polls `check` every 20 ms until it returns a value, and returns that value.
///
/// Panics after [`EVENTUALLY_TIMEOUT`] with `condition`, a description of what was expected.
pub async fn eventually<T>(condition: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + EVENTUALLY_TIMEOUT;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {condition}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A [`Bed`] whose daemons serve [`CATALOGUE`].
pub struct TestBed(Bed);

impl TestBed {
    /// Starts the stand-ins of `shape` and `count` daemons from the binary `exe`, and waits until
    /// all daemons are ready.
    pub async fn start(exe: &str, shape: FleetShape, count: usize) -> Self {
        Self(Bed::start(exe.as_ref(), shape, CATALOGUE, count).await)
    }
}

impl Deref for TestBed {
    type Target = Bed;

    fn deref(&self) -> &Bed {
        &self.0
    }
}

impl DerefMut for TestBed {
    fn deref_mut(&mut self) -> &mut Bed {
        &mut self.0
    }
}

/// Asserts that an answer is consistent: each hit belongs to the pinned index version and to a
/// shard that contributed, and contributed and missing shards together are as many as the index
/// has.
pub fn assert_consistent(answer: &QueryAnswer) {
    assert!(
        is_consistent(answer),
        "a hit is not of the pinned version and a contributed shard, or a shard is not counted: {answer:?}"
    );
}
