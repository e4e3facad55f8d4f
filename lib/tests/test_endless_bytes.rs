//! Leafs that send bytes which are no answer, without end. Each response is read only up to a bound.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use jasmineusher_lib::backend::BackendError;
use jasmineusher_lib::backend::LeafBackend;
use jasmineusher_lib::http_leaf::HttpLeafBackend;
use jasmineusher_lib::http_leaf::MAX_ANSWER_BYTES;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Bytes that may lie in the buffers of both sockets when the connection is closed.
const SOCKET_BUFFER_BYTES: usize = 12 << 20;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a leaf that answers each request with `start` and then `repeated`, until its connection is
/// closed. Returns its address, and the number of bytes that it could send on the first connection.
async fn start_leaf(
    start: &'static str,
    repeated: &'static str,
) -> (SocketAddr, tokio::sync::oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let (tx, rx) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).await.expect("a request");
        let mut sent = 0;
        let block = repeated.repeat(4096 / repeated.len() + 1);
        if stream.write_all(start.as_bytes()).await.is_ok() {
            while stream.write_all(block.as_bytes()).await.is_ok() {
                sent += block.len();
            }
        }
        let _ = tx.send(sent);
    });
    (addr, rx)
}

async fn exchange(backend: &HttpLeafBackend, addr: SocketAddr) -> Result<Bytes, BackendError> {
    let mut opened = backend.connect(addr, Duration::from_secs(5)).await?;
    let request = Request::get("/").body(Bytes::new()).expect("it is valid");
    opened.conn.exchange(request).await.map(|response| response.into_body())
}

/// Each of these is what a leaf sends first, and what it then repeats.
const ENDLESS: [(&str, &str, &str); 9] = [
    ("garbage", "", "garbage"),
    ("status line", "HTTP/1.1 200 ", "OK"),
    ("one header", "HTTP/1.1 200 OK\r\nx-long: ", "long"),
    ("many headers", "HTTP/1.1 200 OK\r\n", "x-many: 1\r\n"),
    ("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ("chunk extension", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;ext=", "long"),
    ("body with a length", "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "body"),
    ("body without a length", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "body"),
    ("trailers", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-trailer: 1\r\n"),
];

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_read_up_to_a_bound_and_close_the_connection() {
    for (name, start, repeated) in ENDLESS {
        let (addr, sent) = start_leaf(start, repeated).await;
        let error = exchange(&HttpLeafBackend::default(), addr).await.expect_err(name);
        let sent = sent.await.expect("the leaf's connection is closed");
        println!("{name}: {sent} bytes, {error}");
        assert!(sent <= MAX_ANSWER_BYTES + SOCKET_BUFFER_BYTES, "{name}: {sent} bytes");
        assert!(!error.proves_not_sent(), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn body_in_chunks_is_read_up_to_a_bound_and_one_with_an_end_is_read_whole() {
    let chunk = format!("400\r\n{}\r\n", "hello, you".repeat(103)[..1024].to_owned());
    let (addr, _) = start_leaf(CHUNKED, chunk.leak()).await;
    let error = exchange(&HttpLeafBackend::default(), addr).await.expect_err("it has no end");
    assert!(error.is_endless(), "{error:?}");
    let (addr, _) = start_leaf("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n", "body").await;
    let body = exchange(&HttpLeafBackend::default(), addr).await.expect("it has an end");
    assert_eq!(body.len(), 100_000);
}

/// Guards against a process that runs out of memory as many leafs send bodies without end at once.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_from_many_leafs_share_one_memory() {
    let backend = std::sync::Arc::new(HttpLeafBackend::default());
    let mut exchanges = tokio::task::JoinSet::new();
    for _ in 0..100 {
        let (addr, _) = start_leaf("HTTP/1.1 200 OK\r\n\r\n", "body").await;
        let backend = backend.clone();
        exchanges.spawn(async move { exchange(&backend, addr).await });
    }
    for result in exchanges.join_all().await {
        assert!(result.expect_err("it has no end").is_endless());
    }
    let status = std::fs::read_to_string("/proc/self/status").expect("it can be read");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak_kb: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    println!("peak {peak_kb} KB");
    assert!(peak_kb < 160_000, "{peak_kb} KB");
}
