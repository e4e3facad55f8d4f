//! Fault-injecting proxy for TCP connections. Depending on their source address, it holds back
//! bytes in one or both directions, delays them, or closes or resets the connections.

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

/// Fault of the link from a source address to a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Bytes pass at once.
    #[default]
    None,
    /// Bytes are held back until the fault ends, on open and on new connections.
    Cut,
    /// Connections are closed at once, open ones and new ones.
    Refuse,
    /// Connections are reset, open ones and new ones.
    Reset,
    /// Bytes to the target are held back until the fault ends; bytes from it pass.
    RequestsCut,
    /// Bytes from the target are held back until the fault ends; bytes to it pass.
    AnswersCut,
    /// Each chunk of bytes passes after this delay.
    Delay(Duration),
}

/// Directed link from a source address to the address of a proxy.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Link {
    from: IpAddr,
    to: SocketAddr,
}

/// Faults of all links of one network, shared by its proxies. Clones refer to the same network.
#[derive(Clone, Debug)]
pub struct Network {
    faults: Arc<Mutex<HashMap<Link, Fault>>>,
    /// Number of changes of faults; notifies the connections that wait for a change.
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Network {
    fn default() -> Self {
        Self { faults: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }
}

impl Network {
    /// Sets the fault of the link from a source address to the proxy that listens on `to`.
    pub fn set_fault(&self, from: IpAddr, to: SocketAddr, fault: Fault) {
        self.faults.lock().unwrap().insert(Link { from, to }, fault);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.faults.lock().unwrap().clear();
        self.changed.send_modify(|n| *n += 1);
    }

    fn fault(&self, link: Link) -> Fault {
        self.faults.lock().unwrap().get(&link).copied().unwrap_or_default()
    }

    /// Starts a proxy on `listen` that forwards connections to `target`, and returns the address
    /// that it listens on, which names the proxy in [`Self::set_fault`].
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
                    let link = Link { from: source.ip(), to: addr };
                    tokio::spawn(forward_connection(network.clone(), link, stream, target));
                }
            }
        });
        Ok(addr)
    }

    /// Waits while a fault holds back bytes to the target, or from it if `answers` is set. Returns
    /// false if the connection has to be closed.
    async fn wait_while_cut(&self, link: Link, answers: bool) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            match self.fault(link) {
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

    /// Waits until a fault closes the connections of the link.
    async fn wait_for_close(&self, link: Link) {
        let mut changed = self.changed.subscribe();
        let closes = |fault| matches!(fault, Fault::Refuse | Fault::Reset);
        while !closes(self.fault(link)) && changed.changed().await.is_ok() {}
    }
}

/// Forwards a connection until one side closes it or a fault ends it. An error on one side resets
/// the other one.
async fn forward_connection(
    network: Network,
    link: Link,
    mut caller: TcpStream,
    target: SocketAddr,
) {
    if !network.wait_while_cut(link, false).await {
        if network.fault(link) == Fault::Reset {
            reset_on_close(&caller);
        }
        return;
    }
    let Ok(mut callee) = TcpStream::connect(target).await else { return };
    // If the option cannot be set, bytes are only forwarded later.
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let ended = {
        let (mut caller_read, mut caller_write) = caller.split();
        let (mut callee_read, mut callee_write) = callee.split();
        tokio::select! {
            ended = forward(&network, link, false, &mut caller_read, &mut callee_write) => ended,
            ended = forward(&network, link, true, &mut callee_read, &mut caller_write) => ended,
            () = network.wait_for_close(link) => Ok(()),
        }
    };
    if ended.is_err() || network.fault(link) == Fault::Reset {
        reset_on_close(&caller);
        reset_on_close(&callee);
    }
}

/// Forwards bytes in one direction until the sender closes or a fault ends the connection.
async fn forward(
    network: &Network,
    link: Link,
    answers: bool,
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
) -> io::Result<()> {
    let mut buf = vec![0; 64 << 10];
    loop {
        let n = from.read(&mut buf).await?;
        let open = network.wait_while_cut(link, answers).await;
        if n == 0 || !open {
            return Ok(());
        }
        to.write_all(&buf[..n]).await?;
    }
}

/// Makes a connection send a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    // This fails if the connection has ended already, which then needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
