//! Exchanges of published changes with hosts of earlier builds, which do not know evacuations of
//! zones.

mod linked_host;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use jasmineusher_lib::change_log::ChangeSet;
use jasmineusher_lib::change_log::Subject;
use jasmineusher_lib::cluster_state::ClusterState;
use jasmineusher_lib::fleet_link::ChangesReply;
use jasmineusher_lib::fleet_link::ChangesRequest;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::read_schedule::PollTimes;
use linked_host::change;
use linked_host::link;
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Subjects of changes, as builds before evacuations decode them.
#[derive(Debug, Deserialize, PartialEq)]
enum EarlierSubject {
    Configuration,
    Leaf(String),
}

#[derive(Debug, Deserialize)]
struct EarlierChange(EarlierSubject, Revision, Option<Bytes>);

#[derive(Debug, Deserialize)]
struct EarlierSet(Revision, bool, Vec<EarlierChange>);

#[derive(Debug, Deserialize)]
struct EarlierReply(EarlierSet, bool);

fn evacuated(cluster_state: &ClusterState) -> Vec<String> {
    cluster_state.views.get().places.evacuated().iter().cloned().collect()
}

#[tokio::test]
async fn earlier_build_can_read_the_changes_of_this_one() {
    let (link, _) = link();
    let request = ChangesRequest { after: Revision(0), wait: Duration::ZERO };
    let body = rmp_serde::to_vec(&request).expect("the request is encoded");
    let (headers, reply) =
        link.answer_changes(&HeaderMap::new(), &body).await.expect("the request is read");
    assert!(!headers.contains_key("x-jasmineusher-evacuations"));
    let EarlierReply(EarlierSet(position, is_whole, changes), is_fresh) =
        rmp_serde::from_slice(&reply).expect("an earlier build reads the reply");
    assert_eq!((position, is_whole, is_fresh), (Revision(3), true, true));
    let [EarlierChange(subject, revision, value)] = &changes[..] else {
        panic!("one change is expected: {changes:?}");
    };
    assert_eq!((subject, *revision), (&EarlierSubject::Configuration, Revision(2)));
    assert_eq!(*value, Some(Bytes::new()));
    let mut asked = HeaderMap::new();
    asked.insert("x-jasmineusher-evacuations", HeaderValue::from_static("1"));
    let (headers, reply) = link.answer_changes(&asked, &body).await.expect("the request is read");
    assert!(headers.contains_key("x-jasmineusher-evacuations"));
    let reply: ChangesReply = rmp_serde::from_slice(&reply).expect("this build reads the reply");
    assert_eq!(reply.set.changes.len(), 2);
    assert!(rmp_serde::from_slice::<EarlierReply>(&rmp_serde::to_vec(&reply).unwrap()).is_err());
}

/// Starts a reader of an earlier build, which answers one request.
async fn start_earlier_reader(set: ChangeSet) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the host connects");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let body = rmp_serde::to_vec(&ChangesReply { set, is_fresh: true }).expect("it is encoded");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        let _ = stream.read(&mut buf).await;
    });
    addr
}

#[tokio::test]
async fn reader_of_an_earlier_build_is_not_used_and_ends_no_evacuation() {
    let (link, cluster_state) = link();
    let changes = vec![change(Subject::Configuration, 2)];
    let set = ChangeSet { position: Revision(9), whole: true, changes };
    let reader = start_earlier_reader(set).await;
    let times = PollTimes { wait: Duration::ZERO, limit: Duration::from_secs(1) };
    assert!(!link.poll_reader(reader, times).await.expect("the reader answers"));
    assert_eq!(cluster_state.position().revision, Revision(9));
    assert_eq!(evacuated(&cluster_state), ["muc-a"]);
    assert!(cluster_state.subscription.lock().unwrap().lacks_evacuations());
    // Such a host does not offer its evacuations as complete.
    let request = ChangesRequest { after: Revision(0), wait: Duration::ZERO };
    let body = rmp_serde::to_vec(&request).expect("the request is encoded");
    let mut asked = HeaderMap::new();
    asked.insert("x-jasmineusher-evacuations", HeaderValue::from_static("1"));
    let (headers, _) = link.answer_changes(&asked, &body).await.expect("the request is read");
    assert!(!headers.contains_key("x-jasmineusher-evacuations"));
}
