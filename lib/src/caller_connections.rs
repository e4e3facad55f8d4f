//! Detects callers that close their connection while their request is in progress.
//!
//! The HTTP library does not read from a connection while a request is handled, so that it would
//! detect the close only after the answer. Therefore a task for each connection waits for the close
//! on a duplicate of the socket.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::Interest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use xitca_io::net::Stream;
use xitca_server::net::IntoListener;
use xitca_server::net::Listen;

/// Open connections of callers, by the caller's address.
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    by_addr: Arc<Mutex<HashMap<SocketAddr, watch::Receiver<bool>>>>,
}

impl CallerConnections {
    /// Completes when the caller at `addr` has closed its connection; at once if it has no open
    /// connection.
    pub async fn disconnected(&self, addr: SocketAddr) {
        let rx_closed = self.by_addr.lock().unwrap().get(&addr).cloned();
        if let Some(mut rx_closed) = rx_closed {
            // An error means that the connection's task has ended, as it does once the connection
            // is closed.
            let _ = rx_closed.wait_for(|&closed| closed).await;
        }
    }

    /// Returns the number of open connections of callers.
    pub fn open_count(&self) -> usize {
        self.by_addr.lock().unwrap().len()
    }

    fn track(&self, stream: TcpStream, addr: SocketAddr) {
        let (tx, rx) = watch::channel(false);
        self.by_addr.lock().unwrap().insert(addr, rx.clone());
        let by_addr = self.by_addr.clone();
        tokio::spawn(async move {
            wait_for_close(&stream).await;
            // Cannot fail, since this task holds a receiver. Without a request in progress, no
            // other task waits for the close.
            let _ = tx.send(true);
            let mut by_addr = by_addr.lock().unwrap();
            if by_addr.get(&addr).is_some_and(|other| other.same_channel(&rx)) {
                by_addr.remove(&addr);
            }
        });
    }
}

async fn wait_for_close(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if ready.is_read_closed() || ready.is_error() => return,
            Ok(_) => {
                // Clears the readiness without reading the bytes, which the HTTP library needs.
                let result = stream.try_io(Interest::READABLE, || {
                    Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock))
                });
                debug_assert!(result.is_err());
            }
            Err(_) => return,
        }
    }
}

/// Bound listener for the HTTP server, which tracks each accepted connection.
#[derive(Debug)]
pub struct TrackingListener {
    /// Bound socket.
    pub listener: std::net::TcpListener,
    /// Table in which accepted connections are tracked.
    pub callers: CallerConnections,
}

/// The listener of a [`TrackingListener`], registered with the runtime of the HTTP server.
#[derive(Debug)]
pub struct AsyncListener {
    listener: TcpListener,
    callers: CallerConnections,
}

impl IntoListener for TrackingListener {
    type Listener = AsyncListener;

    fn into_listener(self) -> io::Result<AsyncListener> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(AsyncListener { listener, callers: self.callers })
    }
}

impl Listen for AsyncListener {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, addr) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let duplicate = TcpStream::from_std(stream.try_clone()?)?;
        self.callers.track(duplicate, addr);
        Ok(Stream::Tcp(stream, addr))
    }
}
