//! HTTP/1.1 connections to leafs, on `hyper`.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::backend::BackendError;
use crate::backend::BoxFuture;
use crate::backend::LeafBackend;
use crate::backend::LeafConnection;
use crate::backend::Result;

/// The largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Opens HTTP/1.1 connections.
#[derive(Debug, Default)]
pub struct HttpLeafBackend {
    /// The address that connections come from.
    pub local: Option<IpAddr>,
}

impl LeafBackend for HttpLeafBackend {
    fn connect(
        &self,
        peer: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Box<dyn LeafConnection>>> {
        Box::pin(async move {
            match tokio::time::timeout(limit, HttpLeafConnection::open(peer, self.local)).await {
                Ok(opened) => opened.map(|conn| Box::new(conn) as Box<dyn LeafConnection>),
                Err(_) => Err(BackendError::ConnectTimeout { peer, limit }),
            }
        })
    }
}

async fn connect(peer: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(local) = local.filter(|local| local.is_ipv4() == peer.is_ipv4()) {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    socket.connect(peer).await
}

struct HttpLeafConnection {
    peer: SocketAddr,
    host: header::HeaderValue,
    sender: http1::SendRequest<Full<Bytes>>,
}

impl HttpLeafConnection {
    async fn open(peer: SocketAddr, local: Option<IpAddr>) -> Result<Self> {
        let stream = connect(peer, local).await;
        let stream = stream.map_err(|source| BackendError::Connect { peer, source })?;
        // A failure to set the option costs latency only.
        let _ = stream.set_nodelay(true);
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| BackendError::NotSent { peer })?;
        tokio::spawn(async move {
            // The error reaches the exchange through its sender.
            let _ = conn.await;
        });
        let host = header::HeaderValue::try_from(peer.to_string()).expect("an address is ASCII");
        Ok(Self { peer, host, sender })
    }

    async fn run(&mut self, path: &'static str, body: Bytes) -> Result<Bytes> {
        let peer = self.peer;
        self.sender.ready().await.map_err(|_| BackendError::NotSent { peer })?;
        let req = Request::post(path)
            .header(header::HOST, self.host.clone())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("constant parts are valid");
        let response = match self.sender.try_send_request(req).await {
            Ok(response) => response,
            Err(e) if e.message().is_some() => return Err(BackendError::NotSent { peer }),
            Err(e) => return Err(BackendError::Broken { peer, source: e.into_error().into() }),
        };
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        match body.collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(source) if source.is::<LengthLimitError>() => {
                Err(BackendError::TooLarge { peer, limit: MAX_ANSWER_BYTES })
            }
            Err(source) => Err(BackendError::Broken { peer, source }),
        }
    }
}

impl LeafConnection for HttpLeafConnection {
    fn exchange<'a>(&'a mut self, path: &'static str, body: Bytes) -> BoxFuture<'a, Result<Bytes>> {
        Box::pin(self.run(path, body))
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }
}
