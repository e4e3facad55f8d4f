//! A TCP gate in front of a leaf that can be shut: new connections are refused, and open ones hang
//! or are reset.

use std::net::SocketAddr;
use std::sync::Arc;

use jasmineusher_bench::bed::free_addr;
use jasmineusher_bench::proxy::reset_on_close;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What the gate does with connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateState {
    /// Connections are forwarded.
    Open,
    /// New connections are refused; nothing passes on open ones until the gate opens.
    Hanging,
    /// New connections are refused, and open ones are reset.
    Resetting,
}

/// A running gate. It ends when its runtime does.
pub struct Gate {
    /// Address on which it listens while it is open.
    pub addr: SocketAddr,
    state: watch::Sender<GateState>,
}

impl Gate {
    /// Starts an open gate in front of `target`.
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let (addr, state) = (free_addr(), watch::Sender::new(GateState::Open));
        let listener = TcpListener::bind(addr).await.expect("the port is free");
        let gate = Arc::new(Self { addr, state });
        tokio::spawn(gate.clone().accept(listener, target));
        gate
    }

    /// Opens or shuts the gate.
    pub fn set(&self, state: GateState) {
        self.state.send_replace(state);
    }

    async fn accept(self: Arc<Self>, mut listener: TcpListener, target: SocketAddr) {
        let mut state = self.state.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::spawn(self.clone().forward(stream, target));
                }
                () = is_shut(&mut state) => {}
            }
            if *state.borrow() != GateState::Open {
                drop(listener);
                if state.wait_for(|state| *state == GateState::Open).await.is_err() {
                    return;
                }
                listener = TcpListener::bind(self.addr).await.expect("the port is still free");
            }
        }
    }

    async fn forward(self: Arc<Self>, mut caller: TcpStream, target: SocketAddr) {
        let Ok(mut leaf) = TcpStream::connect(target).await else { return };
        let mut state = self.state.subscribe();
        loop {
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut caller, &mut leaf) => return,
                () = is_shut(&mut state) => {}
            }
            let next = state.wait_for(|state| *state != GateState::Hanging).await;
            let is_reset = next.is_ok_and(|state| *state == GateState::Resetting);
            if is_reset {
                reset_on_close(&caller);
                return;
            }
        }
    }
}

async fn is_shut(state: &mut watch::Receiver<GateState>) {
    // The sender is part of the gate, which outlives the wait.
    let _ = state.wait_for(|state| *state != GateState::Open).await;
}
