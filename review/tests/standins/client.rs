//! Stand-in for clients: one request on a new connection.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent_at: Instant,
    /// Absent if the connection ended without an answer.
    pub status: Option<u16>,
}

/// Sends a request and waits for its answer, at most half a second longer than its deadline.
pub fn send(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    record: &Record,
) -> Sent {
    let sent_at = Instant::now();
    let answer = (|| {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let limit = Duration::from_millis(deadline_ms + 500);
        stream.set_read_timeout(Some(limit)).ok()?;
        let body = if method == "POST" { "entry" } else { "" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
             X-Request-Deadline: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(format!("client: sends {id} {method} {path} to {to}"));
        stream.write_all(text.as_bytes()).ok()?;
        http::read(&mut stream, &mut Vec::new()).ok()?
    })();
    let status = answer.as_ref().map(|answer| answer.status());
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let body = body.unwrap_or_default();
    record.line(format!("client: {id} answered {status:?} {}", body.trim_end()));
    Sent { id: id.to_owned(), sent_at, status }
}
