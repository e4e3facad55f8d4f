//! Idle connections to a leaf.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use jasmineusher_lib::backend;
use jasmineusher_lib::backend::BoxFuture;
use jasmineusher_lib::backend::LeafConnection;
use jasmineusher_lib::call_context::max_idle;
use jasmineusher_lib::pool::Acquired;
use jasmineusher_lib::pool::Pool;

const MS: Duration = Duration::from_millis(1);

/// A connection that is never used.
struct Idle;

impl LeafConnection for Idle {
    fn exchange<'a>(
        &'a mut self,
        _req: Request<Bytes>,
    ) -> BoxFuture<'a, backend::Result<Response<Bytes>>> {
        Box::pin(std::future::pending())
    }

    fn is_usable(&self, _now: Instant) -> bool {
        true
    }
}

fn pool_with_one(now: Instant) -> Pool {
    let pool = Pool::new(2);
    assert!(matches!(pool.acquire(max_idle(true), now), Acquired::MayOpen));
    pool.put_back(Box::new(Idle), now);
    pool
}

/// Leafs that forget connections which rested for 0.3 s.
#[test]
fn call_that_may_not_run_twice_takes_no_connection_that_a_leaf_may_have_forgotten() {
    let now = Instant::now();
    let later = now + 300 * MS;
    assert!(matches!(pool_with_one(now).acquire(max_idle(false), later), Acquired::MayOpen));
    assert!(matches!(pool_with_one(now).acquire(max_idle(true), later), Acquired::Idle(_)));
    let soon = now + 100 * MS;
    assert!(matches!(pool_with_one(now).acquire(max_idle(false), soon), Acquired::Idle(_)));
}

/// A crowded leaf.
#[test]
fn connection_is_closed_after_its_call_where_hosts_take_turns() {
    let now = Instant::now();
    let pool = pool_with_one(now);
    pool.set_closes_after_use(true);
    let later = now + 700 * MS;
    let Acquired::Idle(conn) = pool.acquire(max_idle(true), now) else { panic!("one is idle") };
    pool.put_back(conn, later);
    assert_eq!((pool.open_count(), pool.idle_count()), (0, 0));
}

/// A crowded leaf that each of a few hosts calls tens of times a second.
#[test]
fn connection_of_a_busy_host_stays_open_at_a_crowded_leaf() {
    let mut now = Instant::now();
    let pool = pool_with_one(now);
    pool.set_closes_after_use(true);
    for _ in 0..50 {
        now += 30 * MS;
        let Acquired::Idle(conn) = pool.acquire(max_idle(true), now) else { panic!("one is idle") };
        pool.put_back(conn, now + 8 * MS);
    }
    assert_eq!((pool.open_count(), pool.idle_count()), (1, 1));
}
