//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::Read;
use std::net::TcpStream;

/// Head and body of a request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// Reads the next message from a connection; nothing at its end between two messages.
pub fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 << 10];
    let mut fill = |buf: &mut Vec<u8>| -> io::Result<bool> {
        let count = stream.read(&mut chunk)?;
        buf.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    };
    let end = loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if !fill(buf)? {
            if buf.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    let headers = lines.filter_map(header).collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buf.len() < end + length {
        if !fill(buf)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Ok(Some(message))
}

/// Returns a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
