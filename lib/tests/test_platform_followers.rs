//! What a host that reads the platform tells hosts that follow it.

mod linked_host;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use jasmineusher_lib::cluster_state::ClusterState;
use jasmineusher_lib::fleet_link::ChangesReply;
use jasmineusher_lib::fleet_link::ChangesRequest;
use jasmineusher_lib::fleet_link::FleetLink;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::read_schedule::PollTimes;
use jasmineusher_lib::read_schedule::ReadSchedule;
use linked_host::link;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const MS: Duration = Duration::from_millis(1);

/// Sends a poll of a host that has everything and was confirmed `age_ms` ago. Returns whether the
/// reader is fresh, and how long after the arrival of the poll it was confirmed.
async fn poll(reader: &FleetLink, age_ms: Option<u64>, wait: Duration) -> (bool, Option<i64>) {
    let body = rmp_serde::to_vec(&ChangesRequest { after: Revision(3), wait });
    let body = body.expect("the request is encoded");
    let mut headers = HeaderMap::new();
    headers.insert("x-jasmineusher-evacuations", HeaderValue::from_static("1"));
    if let Some(ms) = age_ms {
        headers.insert("x-jasmineusher-confirmed-ms", HeaderValue::from(ms));
    }
    let answered = reader.answer_changes(&headers, &body).await;
    let (headers, reply) = answered.expect("the request is read");
    let reply: ChangesReply = rmp_serde::from_slice(&reply).expect("the reply is read");
    let confirmed = headers.get("x-jasmineusher-confirmed-ms");
    (reply.is_fresh, confirmed.map(|ms| ms.to_str().unwrap().parse().expect("it is a number")))
}

fn set_confirmed(host: &ClusterState, age: Duration) {
    let at = host.clock.now().checked_sub(age).expect("the clock has run for longer");
    let mut outage = host.outage.lock().unwrap();
    outage.forget_confirmation();
    outage.record_answer(Instant::now().checked_sub(age).expect("the clock has run for longer"));
    outage.record_confirmation(at);
}

/// Guards against hosts that stay on an old configuration: they followed a reader which the platform
/// did not answer, and which did not know that yet.
#[tokio::test]
async fn reader_whose_watch_is_overdue_is_not_fresh() {
    let (reader, host) = link();
    let schedule = ReadSchedule::default();
    set_confirmed(&host, schedule.watch_time());
    assert!(poll(&reader, Some(0), Duration::ZERO).await.0, "its watch is due");
    set_confirmed(&host, schedule.watch_time() + 501 * MS);
    assert!(!poll(&reader, Some(0), Duration::ZERO).await.0, "its watch is lost");
    host.outage.lock().unwrap().forget_confirmation();
    assert!(!poll(&reader, Some(0), Duration::ZERO).await.0, "it was paused");
}

/// A poll that waits must not outlast the time for which its reader is fresh.
#[tokio::test]
async fn waiting_poll_ends_when_the_watch_of_its_reader_is_overdue() {
    let (reader, host) = link();
    set_confirmed(&host, 2_300 * MS);
    assert!(!poll(&reader, Some(0), 1_200 * MS).await.0);
}

/// A poll that waits for changes must be answered when there are none, or its host would ask the
/// platform itself.
#[tokio::test]
async fn waiting_poll_ends_when_its_reader_is_confirmed_anew() {
    let (reader, host) = link();
    set_confirmed(&host, 500 * MS);
    let waiting = poll(&reader, Some(400), 3_600_000 * MS);
    let confirming = async {
        tokio::task::yield_now().await;
        host.record_confirmation(host.clock.now());
        host.changed.notify_waiters();
    };
    let ((is_fresh, confirmed), ()) = tokio::join!(waiting, confirming);
    assert!(is_fresh && confirmed.is_some_and(|ms| ms >= 0), "{confirmed:?}");
}

/// Starts a server that answers one poll like `reader` after `delays` before and after that.
async fn start_reader(reader: FleetLink, delays: [Duration; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the host connects");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        tokio::time::sleep(delays[0]).await;
        let request = ChangesRequest { after: Revision(3), wait: Duration::ZERO };
        let body = rmp_serde::to_vec(&request).expect("the request is encoded");
        let mut headers = HeaderMap::new();
        headers.insert("x-jasmineusher-evacuations", HeaderValue::from_static("1"));
        let answered = reader.answer_changes(&headers, &body).await;
        let (headers, body) = answered.expect("the request is read");
        tokio::time::sleep(delays[1]).await;
        let mut head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in &headers {
            head += &format!("{name}: {}\r\n", value.to_str().unwrap());
        }
        let _ = stream.write_all(&[head.as_bytes(), b"\r\n", &body].concat()).await;
        let _ = stream.read(&mut buf).await;
    });
    addr
}

async fn poll_over_network(delays: [Duration; 2]) -> (bool, Arc<ClusterState>, Arc<ClusterState>) {
    let (reader, reading_host) = link();
    let (follower, following_host) = link();
    set_confirmed(&reading_host, 700 * MS);
    set_confirmed(&following_host, 2_000 * MS);
    let addr = start_reader(reader, delays).await;
    let times = PollTimes { wait: Duration::ZERO, limit: Duration::from_secs(60) };
    let is_fresh = follower.poll_reader(addr, times).await.expect("the reader answers");
    (is_fresh, reading_host, following_host)
}

/// A host that follows must not take what its reader knew for newer than it was, however long the
/// poll and the answer were on their way.
#[tokio::test]
async fn host_is_never_confirmed_later_than_the_reader_that_it_follows() {
    for delays in [[0, 0], [300, 0], [0, 300], [300, 300]] {
        let (is_fresh, reader, follower) = poll_over_network(delays.map(|ms| ms * MS)).await;
        assert!(is_fresh);
        let (reader, follower) = (reader.confirmation_age(), follower.confirmation_age());
        assert!(follower >= reader, "{follower:?} {reader:?} with {delays:?}");
        assert!(follower < Some(2_000 * MS) || delays[0] > 0, "{follower:?} with {delays:?}");
    }
}
