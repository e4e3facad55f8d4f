//! Notices callers that close their connection while their request is in progress.
//!
//! The HTTP library does not read a connection while a request is handled, so that it would see the
//! close only after the answer. A duplicate of each accepted socket is watched for it instead.

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

/// The open connections of callers, by their address.
#[derive(Clone, Debug, Default)]
pub struct ClientWatch {
    open: Arc<Mutex<HashMap<SocketAddr, watch::Receiver<bool>>>>,
}

impl ClientWatch {
    /// Completes when the caller at `addr` has closed its connection.
    pub async fn gone(&self, addr: SocketAddr) {
        let watched = self.open.lock().unwrap().get(&addr).cloned();
        if let Some(mut watched) = watched {
            // An error means that the watcher has ended, which it does after the close.
            let _ = watched.wait_for(|&closed| closed).await;
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.lock().unwrap().len()
    }

    fn follow(&self, stream: TcpStream, addr: SocketAddr) {
        let (tx, rx) = watch::channel(false);
        self.open.lock().unwrap().insert(addr, rx.clone());
        let open = self.open.clone();
        tokio::spawn(async move {
            wait_for_close(&stream).await;
            // Nobody waits where no request is in progress.
            let _ = tx.send(true);
            let mut open = open.lock().unwrap();
            if open.get(&addr).is_some_and(|other| other.same_channel(&rx)) {
                open.remove(&addr);
            }
        });
    }
}

async fn wait_for_close(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if ready.is_read_closed() || ready.is_error() => return,
            Ok(_) => {
                // Clears the readiness without taking the bytes from the HTTP library.
                let result = stream.try_io(Interest::READABLE, || {
                    Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock))
                });
                debug_assert!(result.is_err());
            }
            Err(_) => return,
        }
    }
}

/// A listener that watches each accepted connection.
#[derive(Debug)]
pub struct WatchedListener {
    /// The bound socket.
    pub listener: std::net::TcpListener,
    /// Where connections are noted.
    pub clients: ClientWatch,
}

/// The listener in the server's own runtime.
#[derive(Debug)]
pub struct RunningListener {
    listener: TcpListener,
    clients: ClientWatch,
}

impl IntoListener for WatchedListener {
    type Listener = RunningListener;

    fn into_listener(self) -> io::Result<RunningListener> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(RunningListener { listener, clients: self.clients })
    }
}

impl Listen for RunningListener {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, addr) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let watched = TcpStream::from_std(stream.try_clone()?)?;
        self.clients.follow(watched, addr);
        Ok(Stream::Tcp(stream, addr))
    }
}
