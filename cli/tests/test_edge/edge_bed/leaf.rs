//! A stand-in for a leaf of the platform. It writes its responses byte by byte, so that it can also
//! write wrong ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jasmineusher_bench::bed::free_addr;
use jasmineusher_bench::proxy::Network;
use jasmineusher_bench::proxy::reset_on_close;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What a leaf does with a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    #[default]
    Sound,
    /// Answers after this many milliseconds.
    Slow(u64),
    /// Says that it has not run the request.
    Shed,
    /// Runs the request and resets the connection.
    ResetAfterRun,
    /// Runs the request and says that it failed.
    Fails,
    /// Answers, and sends another request's answer after it.
    SendsExtra,
    /// Ends the response before its length is reached.
    BreaksOff,
}

/// A leaf.
pub struct Leaf {
    pub instance: String,
    pub group: String,
    /// Where daemons connect: the network in front of it.
    pub addr: SocketAddr,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<HashMap<String, usize>>,
    arrivals: AtomicUsize,
    gone: AtomicUsize,
}

struct Head {
    id: String,
    target: String,
    deadline_ms: Option<u64>,
    length: usize,
}

impl Leaf {
    pub async fn start(instance: &str, group: &str, network: &Network) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr =
            network.start_proxy(free_addr(), listener.local_addr().expect("it is bound")).await;
        let leaf = Arc::new(Self {
            instance: instance.to_owned(),
            group: group.to_owned(),
            addr: addr.expect("the proxy starts"),
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            arrivals: AtomicUsize::new(0),
            gone: AtomicUsize::new(0),
        });
        let serving = leaf.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        leaf
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Returns how often this leaf began to run a request.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or_default()
    }

    /// Returns how many requests arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Returns how many requests were given up by their sender while they ran.
    pub fn gone(&self) -> usize {
        self.gone.load(Ordering::Relaxed)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(head) = read_request(&mut stream, &mut buf).await {
            self.arrivals.fetch_add(1, Ordering::Relaxed);
            if head.target != self.instance {
                let text = "HTTP/1.1 421 Misdirected Request\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            assert!(head.deadline_ms.is_some_and(|ms| ms <= 2_000), "the time left is passed on");
            let behaviour = *self.behaviour.lock().unwrap();
            if behaviour != Behaviour::Shed {
                *self.runs.lock().unwrap().entry(head.id.clone()).or_default() += 1;
            }
            if let Behaviour::Slow(ms) = behaviour {
                let mut byte = [0];
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(ms)) => {}
                    _ = stream.peek(&mut byte) => {
                        self.gone.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                }
            }
            if self.respond(&mut stream, &head, behaviour).await.is_none() {
                return;
            }
        }
    }

    async fn respond(&self, stream: &mut TcpStream, head: &Head, how: Behaviour) -> Option<()> {
        let Head { id, .. } = head;
        let seal = format!("{}.{id}", self.instance);
        let record = format!("{:0<16}{:0<16}", self.instance, format!("z{}", self.instance));
        let answer = |status: &str, id: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-seal: {seal}\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let text = match how {
            Behaviour::ResetAfterRun => {
                reset_on_close(stream);
                return None;
            }
            Behaviour::Shed => {
                "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Behaviour::Fails => answer("500 Failed", id, "failed"),
            Behaviour::SendsExtra => {
                answer("200 OK", id, &record) + &answer("200 OK", "another", "of another")
            }
            Behaviour::BreaksOff => {
                let whole = answer("200 OK", id, &record);
                stream.write_all(&whole.as_bytes()[..whole.len() - 5]).await.ok()?;
                return None;
            }
            Behaviour::Sound | Behaviour::Slow(_) => answer("200 OK", id, &record),
        };
        stream.write_all(text.as_bytes()).await.ok()
    }
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Head> {
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.map(str::to_owned)
    };
    let head = Head {
        id: field("x-request-id").unwrap_or_default(),
        target: field("x-target-instance").unwrap_or_default(),
        deadline_ms: field("x-request-deadline").and_then(|text| text.parse().ok()),
        length: field("content-length").and_then(|text| text.parse().ok()).unwrap_or_default(),
    };
    buf.drain(..end);
    while buf.len() < head.length {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    buf.drain(..head.length);
    Some(head)
}
