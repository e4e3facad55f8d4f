//! A small HTTP/1.1 reader and client.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Headers with names in lower case, in order.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the method and the path of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 << 10];
        let read = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..read]);
        Ok(read > 0)
    }

    /// Reads one message whose body has a length, is chunked, or is absent. Returns nothing at the
    /// end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_end]).into_owned();
        self.buf.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let header = |text: &str| {
            let (name, value) = text.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        let mut message =
            Message { line, headers: lines.filter_map(header).collect(), ..Message::default() };
        if message.header("transfer-encoding").contains("chunked") {
            message.body = self.chunks()?;
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.buf, b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line = String::from_utf8_lossy(&self.buf[..line_end]).into_owned();
            self.buf.drain(..line_end + 2);
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            body.extend(self.take(length)?);
            self.take(2)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Sends one request on a new connection and returns its answer.
pub fn call(addr: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let message = Reader::new(stream).message()?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the text of a client's request.
pub fn request(method: &str, host: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {deadline_ms}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
}
