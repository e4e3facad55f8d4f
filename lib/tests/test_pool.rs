//! Reuse and closing of idle connections to a leaf.

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

/// A connection on which no request is ever answered.
#[derive(Default)]
struct UnansweredConnection {
    is_unused: bool,
}

impl LeafConnection for UnansweredConnection {
    fn exchange<'a>(
        &'a mut self,
        _req: Request<Bytes>,
    ) -> BoxFuture<'a, backend::Result<Response<Bytes>>> {
        Box::pin(std::future::pending())
    }

    fn is_usable(&self, _now: Instant) -> bool {
        true
    }

    fn is_unused(&self) -> bool {
        self.is_unused
    }
}

fn pool_with_idle_connection(now: Instant) -> Pool {
    let pool = Pool::new(2);
    assert!(matches!(pool.acquire(max_idle(true), now), Acquired::MayOpen));
    pool.put_back(Box::new(UnansweredConnection::default()), now);
    pool
}

/// Some leafs drop the state of connections that were idle for 0.3 s. A request sent on such a
/// connection is lost, and one that is not idempotent cannot be resent.
#[test]
fn call_that_is_not_idempotent_uses_no_connection_that_was_idle_for_long() {
    let now = Instant::now();
    let later = now + 300 * MS;
    assert!(matches!(
        pool_with_idle_connection(now).acquire(max_idle(false), later),
        Acquired::MayOpen
    ));
    assert!(matches!(
        pool_with_idle_connection(now).acquire(max_idle(true), later),
        Acquired::Idle(_)
    ));
    let soon = now + 100 * MS;
    assert!(matches!(
        pool_with_idle_connection(now).acquire(max_idle(false), soon),
        Acquired::Idle(_)
    ));
}

/// A crowded leaf is at its connection limit, so an idle connection would keep other hosts from
/// connecting.
#[test]
fn connection_is_closed_after_its_call_at_a_crowded_leaf() {
    let now = Instant::now();
    let pool = pool_with_idle_connection(now);
    pool.set_closes_after_use(true);
    let later = now + 700 * MS;
    let Acquired::Idle(conn) = pool.acquire(max_idle(true), now) else {
        panic!("a connection is idle")
    };
    pool.put_back(conn, later);
    assert_eq!((pool.open_count(), pool.idle_count()), (0, 0));
}

/// Each of a few hosts calls a crowded leaf tens of times a second. Opening a connection for each
/// call would take more of the leaf's connections than keeping one open.
#[test]
fn connection_with_frequent_calls_stays_open_at_a_crowded_leaf() {
    let mut now = Instant::now();
    let pool = pool_with_idle_connection(now);
    pool.set_closes_after_use(true);
    for _ in 0..50 {
        now += 30 * MS;
        let Acquired::Idle(conn) = pool.acquire(max_idle(true), now) else {
            panic!("a connection is idle")
        };
        pool.put_back(conn, now + 8 * MS);
    }
    assert_eq!((pool.open_count(), pool.idle_count()), (1, 1));
}

/// Guards against an unsafe request that runs though it is answered 503: a leaf that is called again
/// may send a late copy of its first refusal, which bears the same request id.
#[test]
fn call_to_a_leaf_that_was_called_before_uses_a_connection_on_which_nothing_was_sent() {
    let now = Instant::now();
    let pool = pool_with_idle_connection(now);
    assert!(matches!(pool.acquire_unused(max_idle(false), now), Acquired::MayOpen));
    pool.put_back(Box::new(UnansweredConnection { is_unused: true }), now);
    assert_eq!((pool.open_count(), pool.idle_count()), (2, 2));
    let Acquired::Idle(conn) = pool.acquire_unused(max_idle(false), now) else {
        panic!("an unused connection is idle")
    };
    assert!(conn.is_unused());
    let closed_for_a_new_one = pool.acquire_unused(max_idle(false), now);
    assert!(matches!(closed_for_a_new_one, Acquired::MayOpen));
    assert_eq!((pool.open_count(), pool.idle_count()), (2, 0));
    assert!(matches!(pool.acquire_unused(max_idle(false), now), Acquired::Full));
}
