//! Opens and accepts TCP connections, and sets the options that detect unresponsive peers.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::events::Event;
use crate::log_event;

/// Idle time after which the kernel sends a keepalive probe, and interval between its probes. A
/// peer that no longer responds is detected within a few of them.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
pub const KEEPALIVE_RETRIES: u32 = 3;
/// Longest time that sent bytes may stay unacknowledged before the kernel closes the connection.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a caller's connection. It also bounds how long a caller may leave its window closed,
/// which is no fault while this host has room for its answer.
pub const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before the next attempt after a connection could not be accepted, for example for lack of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a connection to `peer`, from the address `local` if that is of the same address family.
/// The connection sends small writes at once (`TCP_NODELAY`) and is closed when `peer` no longer
/// responds.
pub async fn connect(peer: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(local) = local.filter(|local| local.is_ipv4() == peer.is_ipv4()) {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream)?;
    Ok(stream)
}

/// Calls `serve` with each accepted connection, for as long as the process runs. Logs failures to
/// accept and continues after a delay.
pub async fn accept_connections(listener: TcpListener, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(e) => {
                log_event!(warn, Event::CallerLost, step = "accept", cause = %e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Makes the kernel close the connection when its peer no longer responds: by keepalive probes
/// while it is idle, by [`TCP_USER_TIMEOUT`] while sent bytes are unacknowledged.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    set_timeouts(stream, TCP_USER_TIMEOUT)
}

/// Does the same as [`enable_keepalive`] for a caller's connection, with [`CALLER_USER_TIMEOUT`].
pub fn enable_caller_keepalive(stream: &TcpStream) -> io::Result<()> {
    set_timeouts(stream, CALLER_USER_TIMEOUT)
}

fn set_timeouts(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
