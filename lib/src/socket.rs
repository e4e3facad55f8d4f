//! Sockets as this system opens them.

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

/// Idle time after which the kernel probes a connection, and the pause between its probes. A peer
/// that went silent is found within a few of them.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is broken.
pub const KEEPALIVE_RETRIES: u32 = 3;
/// Longest time that written bytes may stay unacknowledged.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a connection could not be accepted, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a connection that sends at once and notices a silent peer.
pub async fn connect(peer: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(local) = local.filter(|local| local.is_ipv4() == peer.is_ipv4()) {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    watch_for_silence(&stream)?;
    Ok(stream)
}

/// Hands on each connection that is accepted, for as long as the process runs.
pub async fn accept_each(listener: TcpListener, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(e) => {
                log_event!(warn, Event::CallerLost, step = "accept", cause = %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Lets the kernel break a connection whose peer no longer answers.
pub fn watch_for_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
