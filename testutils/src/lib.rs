//! Helpers shared by the integration tests.

use std::ops::Deref;
use std::ops::DerefMut;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_bench::bed::Bed;
use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::load::is_consistent;
use jasmineusher_lib::answer::QueryAnswer;

/// Longest wait for anything that must happen in the end. Not a bound on speed.
pub const EVENTUALLY: Duration = Duration::from_secs(30);

/// A catalogue with one entry of each behaviour, over the index `careline`.
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

/// Waits until `check` returns something.
pub async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let give_up = Instant::now() + EVENTUALLY;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < give_up, "never happened: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A bed under [`CATALOGUE`].
pub struct TestBed(Bed);

impl TestBed {
    /// Starts stand-ins and `count` daemons and waits until all are ready.
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

/// Checks that an answer is truthful: each hit is of the pinned version and of a covered shard, and
/// coverage splits the shards in two.
pub fn assert_truthful(answer: &QueryAnswer) {
    assert!(is_consistent(answer), "hits or coverage are not of the pinned version: {answer:?}");
}
