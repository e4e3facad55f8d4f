//! Fault-injecting proxy for TCP connections: cuts, one-way cuts, delays and resets by source address.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
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
    /// Connections are reset, open ones and new ones.
    Reset,
    /// Answers pass, requests wait until the fault ends.
    RequestsCut,
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
    pub fn set_fault(&self, from: IpAddr, to: SocketAddr, fault: Fault) {
        self.faults.lock().unwrap().insert(Way { from, to }, fault);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.faults.lock().unwrap().clear();
        self.changed.send_modify(|n| *n += 1);
    }

    fn fault(&self, way: Way) -> Fault {
        self.faults.lock().unwrap().get(&way).copied().unwrap_or_default()
    }

    /// Starts a proxy on `listen` that passes connections on to `target`.
    pub async fn start_proxy(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
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
                Fault::Refuse | Fault::Reset => return false,
                Fault::Cut => {}
                Fault::RequestsCut if !answers => {}
                Fault::AnswersCut if answers => {}
                Fault::Delay(delay) => {
                    tokio::time::sleep(delay).await;
                    return true;
                }
                Fault::None | Fault::RequestsCut | Fault::AnswersCut => return true,
            }
            if changed.changed().await.is_err() {
                return false;
            }
        }
    }

    async fn wait_for_end(&self, way: Way) {
        let mut changed = self.changed.subscribe();
        let ends = |fault| matches!(fault, Fault::Refuse | Fault::Reset);
        while !ends(self.fault(way)) && changed.changed().await.is_ok() {}
    }
}

/// Passes bytes until one side ends. A side that breaks off resets the other one.
async fn pass(network: Network, way: Way, mut caller: TcpStream, target: SocketAddr) {
    if !network.wait_while_cut(way, false).await {
        if network.fault(way) == Fault::Reset {
            reset_on_close(&caller);
        }
        return;
    }
    let Ok(mut callee) = TcpStream::connect(target).await else { return };
    // Failures to set the option cost latency only.
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let ended = {
        let (mut caller_read, mut caller_write) = caller.split();
        let (mut callee_read, mut callee_write) = callee.split();
        tokio::select! {
            ended = copy(&network, way, false, &mut caller_read, &mut callee_write) => ended,
            ended = copy(&network, way, true, &mut callee_read, &mut caller_write) => ended,
            () = network.wait_for_end(way) => Ok(()),
        }
    };
    if ended.is_err() || network.fault(way) == Fault::Reset {
        reset_on_close(&caller);
        reset_on_close(&callee);
    }
}

async fn copy(
    network: &Network,
    way: Way,
    answers: bool,
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
) -> io::Result<()> {
    let mut buf = vec![0; 64 << 10];
    loop {
        let n = from.read(&mut buf).await?;
        let open = network.wait_while_cut(way, answers).await;
        if n == 0 || !open {
            return Ok(());
        }
        to.write_all(&buf[..n]).await?;
    }
}

/// Lets the close of a connection reset it.
pub fn reset_on_close(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
