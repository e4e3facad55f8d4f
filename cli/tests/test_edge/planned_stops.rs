//! Planned stops of hosts in calm, under callers that go on sending until the process is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use testutils::eventually;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::edge_bed::Answer;
use crate::edge_bed::Behaviour;
use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::HOST;

/// Callers on a kept connection, and on a new one for each request.
const CALLERS: usize = 6;

/// A request and its answer, which is absent if the connection was lost.
struct Sent {
    id: String,
    is_safe: bool,
    answer: Option<Answer>,
}

/// Sends requests to a daemon, each after the answer to the one before, until it accepts no
/// connection. Even callers send safe requests, odd ones unsafe ones.
async fn send_until_gone(
    addr: SocketAddr,
    number: usize,
    keeps_connection: bool,
    count: Arc<AtomicUsize>,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut caller = None;
    let is_safe = number.is_multiple_of(2);
    loop {
        if !keeps_connection || caller.is_none() {
            let Some(connected) = Caller::connect(addr).await else { return sent };
            caller = Some(connected);
        }
        let Some(open) = &mut caller else { return sent };
        let id = format!("stop-{}-{number}-{keeps_connection}-{}", addr.port(), sent.len());
        let answer = match is_safe {
            true => open.get("/one/1", &id).await,
            false => open.send("POST", "/send/1", &id, Bytes::from_static(b"send")).await,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let is_closed = answer.as_ref().is_none_or(|a| a.header("connection") == "close");
        sent.push(Sent { id, is_safe, answer });
        if is_closed {
            caller = None;
            // A refused caller comes back later.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }
}

/// Asserts what a planned stop owes to a request: an answer if it was passed on to a leaf, no run if
/// it was refused, and the leaf's own answer if it ran and may not be repeated.
fn assert_kept(bed: &EdgeBed, sent: &Sent) {
    let Sent { id, is_safe, answer } = sent;
    let runs = bed.runs(id);
    let Some(answer) = answer else {
        assert_eq!(runs, 0, "{id} ran, and its connection ended without an answer");
        return;
    };
    match answer.status {
        200 => assert!(runs >= 1, "{id}"),
        503 => {
            assert!(runs == 0 || *is_safe, "{id} ran and was answered 503");
            let seconds: f64 = answer.header("retry-after").parse().expect("it is a number");
            let is_late = is_refused_by_stop(answer);
            assert!(seconds > 0.0 && (!is_late || seconds < 0.1), "{id}: {seconds} s");
        }
        other => {
            let logs: String = bed.daemons.iter().map(|daemon| daemon.log()).collect();
            let lines: Vec<_> = logs.lines().filter(|line| line.contains(id.as_str())).collect();
            assert!(*is_safe, "{id} ran {runs} times and was answered {other}: {lines:#?}");
        }
    }
}

async fn stop_hosts_in_turn(hosts: usize, work_ms: u64) {
    let mut bed = EdgeBed::start(1, 6, hosts).await;
    bed.leafs.iter().for_each(|leaf| leaf.set_behaviour(Behaviour::Slow(work_ms)));
    let mut callers = tokio::task::JoinSet::new();
    let count = Arc::new(AtomicUsize::new(0));
    for daemon in &bed.daemons {
        for number in 0..CALLERS {
            for keeps_connection in [true, false] {
                let (addr, count) = (daemon.callers, count.clone());
                callers.spawn(send_until_gone(addr, number, keeps_connection, count));
            }
        }
    }
    for number in 0..hosts {
        let before = count.load(Ordering::Relaxed);
        eventually("requests are served", async || {
            (count.load(Ordering::Relaxed) > before + 20).then_some(())
        })
        .await;
        bed.daemons[number].terminate();
    }
    for daemon in &mut bed.daemons {
        eventually("the daemon exits", async || daemon.has_ended().then_some(())).await;
    }
    let sent: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    sent.iter().for_each(|sent| assert_kept(&bed, sent));
    let refused = sent.iter().flat_map(|s| &s.answer).filter(|a| is_refused_by_stop(a)).count();
    assert!(refused > 0, "no request came when it could not end any more");
}

fn is_refused_by_stop(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.starts_with(b"The process is shutting down")
}

/// Guards against requests that are taken late in the grace, passed on, and cut at its end: with work
/// that does not fit what is left of it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_long_work_are_answered_or_refused_as_not_run_while_a_host_stops() {
    stop_hosts_in_turn(1, 900).await;
}

/// The same with work that fits, and with hosts that stop one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_short_work_are_answered_or_refused_as_not_run_while_hosts_stop() {
    stop_hosts_in_turn(2, 100).await;
}

/// Sends `text` on a new connection, and returns all that comes back until the connection ends.
async fn send_raw(addr: SocketAddr, text: String) -> tokio::task::JoinHandle<String> {
    let mut stream = TcpStream::connect(addr).await.expect("the daemon accepts connections");
    stream.write_all(text.as_bytes()).await.expect("the request is sent");
    tokio::spawn(async move {
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    })
}

/// A request whose body does not end, and one without a time limit, must be answered before the
/// process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_a_stop_are_answered_before_it_ends() {
    let mut bed = EdgeBed::start(1, 1, 1).await;
    bed.leafs[0].set_behaviour(Behaviour::Slow(30_000));
    let addr = bed.daemons[0].callers;
    let head = |method: &str, path: &str, id: &str, length: usize| {
        format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
             content-length: {length}\r\n\r\n"
        )
    };
    let arriving = send_raw(addr, head("POST", "/send/1", "arriving", 10) + "half").await;
    bed.daemons[0].terminate();
    let unlimited = send_raw(addr, head("GET", "/one/1", "unlimited", 0)).await;
    let answer = arriving.await.expect("the connection ends");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(bed.runs("arriving"), 0);
    let answer = unlimited.await.expect("the connection ends");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(!answer.starts_with("HTTP/1.1 503 ") || bed.runs("unlimited") == 0, "{answer}");
    eventually("the daemon exits", async || bed.daemons[0].has_ended().then_some(())).await;
}
