//! Fault-injecting proxy for TCP connections: cuts, delays and one-way cuts by source address.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What happens to bytes on a way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// They pass.
    #[default]
    None,
    /// They wait until the fault ends, on open and on new connections.
    Cut,
    /// Connections are closed at once.
    Refuse,
    /// Requests pass, answers wait until the fault ends.
    AnswersCut,
    /// They pass late.
    Delay(Duration),
}

/// A way from a source address to a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Way {
    from: IpAddr,
    to: SocketAddr,
}

/// The faults of all ways of one network. Shared by its proxies.
#[derive(Clone, Debug)]
pub struct Network {
    faults: Arc<Mutex<HashMap<Way, Fault>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Network {
    fn default() -> Self {
        Self { faults: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }
}

impl Network {
    /// Sets the fault of the way from a source address to the proxy at `to`.
    pub fn set(&self, from: IpAddr, to: SocketAddr, fault: Fault) {
        self.faults.lock().unwrap().insert(Way { from, to }, fault);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.faults.lock().unwrap().clear();
        self.changed.send_modify(|n| *n += 1);
    }

    fn fault(&self, way: Way) -> Fault {
        self.faults.lock().unwrap().get(&way).copied().unwrap_or_default()
    }

    /// Starts a proxy on `listen` that passes connections on to `target`.
    pub async fn proxy(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let network = self.clone();
        tokio::spawn(async move {
            loop {
                if let Ok((stream, source)) = listener.accept().await {
                    let way = Way { from: source.ip(), to: addr };
                    tokio::spawn(pass(network.clone(), way, stream, target));
                }
            }
        });
        Ok(addr)
    }

    /// Waits while the way is cut for `answers`. Returns whether the connection stays open.
    async fn wait_while_cut(&self, way: Way, answers: bool) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            match self.fault(way) {
                Fault::Refuse => return false,
                Fault::Cut => {}
                Fault::AnswersCut if answers => {}
                Fault::Delay(delay) => {
                    tokio::time::sleep(delay).await;
                    return true;
                }
                Fault::None | Fault::AnswersCut => return true,
            }
            if changed.changed().await.is_err() {
                return false;
            }
        }
    }

    async fn wait_for_refusal(&self, way: Way) {
        let mut changed = self.changed.subscribe();
        while self.fault(way) != Fault::Refuse && changed.changed().await.is_ok() {}
    }
}

async fn pass(network: Network, way: Way, caller: TcpStream, target: SocketAddr) {
    if !network.wait_while_cut(way, false).await {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else { return };
    // Failures to set the option cost latency only.
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let (caller_read, caller_write) = caller.into_split();
    let (callee_read, callee_write) = callee.into_split();
    tokio::select! {
        () = copy(&network, way, false, caller_read, callee_write) => {}
        () = copy(&network, way, true, callee_read, caller_write) => {}
        () = network.wait_for_refusal(way) => {}
    }
}

async fn copy(
    network: &Network,
    way: Way,
    answers: bool,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let mut buf = vec![0; 64 << 10];
    loop {
        let Ok(n) = from.read(&mut buf).await else { return };
        let open = network.wait_while_cut(way, answers).await;
        if n == 0 || !open || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
