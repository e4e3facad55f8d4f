//! A stand-in for the network between a daemon and one server: a loopback proxy that delays, resets,
//! refuses, or loses what goes one way.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

use super::leaf::set_zero_linger;

/// What the network does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Weather {
    #[default]
    Calm,
    /// What is sent arrives this many milliseconds later, each way.
    Delays(u64),
    /// Open connections are reset, and new ones at once.
    Resets,
    /// Nothing arrives at the server any more; its own bytes still come.
    LosesRequests,
    /// The server's bytes are lost; it still gets what is sent.
    LosesAnswers,
}

/// The network in front of one server.
pub struct Wire {
    /// Where daemons connect.
    pub addr: SocketAddr,
    weather: watch::Sender<Weather>,
    server: SocketAddr,
}

/// Which way bytes go.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    ToServer,
    FromServer,
}

impl Wire {
    /// Starts a calm network in front of a server.
    pub async fn start(server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let (weather, _) = watch::channel(Weather::Calm);
        let wire = Arc::new(Self { addr, weather, server });
        let accepting = wire.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().carry(stream));
            }
        });
        wire
    }

    /// Changes the weather for open and new connections.
    pub fn set(&self, weather: Weather) {
        self.weather.send_replace(weather);
    }

    async fn carry(self: Arc<Self>, mut near: TcpStream) {
        let mut weather = self.weather.subscribe();
        if *weather.borrow_and_update() == Weather::Resets {
            return set_zero_linger(&near);
        }
        let Ok(mut far) = TcpStream::connect(self.server).await else {
            return set_zero_linger(&near);
        };
        let is_closed = {
            let (mut near_read, mut near_write) = near.split();
            let (mut far_read, mut far_write) = far.split();
            let there = self.copy(&mut near_read, &mut far_write, Way::ToServer);
            let back = self.copy(&mut far_read, &mut near_write, Way::FromServer);
            let both = futures_util::future::try_join(there, back);
            tokio::select! {
                ended = both => ended.is_ok(),
                _ = weather.wait_for(|weather| *weather == Weather::Resets) => false,
            }
        };
        if !is_closed {
            set_zero_linger(&near);
            set_zero_linger(&far);
        }
    }

    async fn copy(
        &self,
        from: &mut ReadHalf<'_>,
        to: &mut WriteHalf<'_>,
        way: Way,
    ) -> io::Result<()> {
        let mut buf = vec![0; 16 << 10];
        loop {
            let length = from.read(&mut buf).await?;
            let weather = *self.weather.borrow();
            match (weather, way) {
                (Weather::Delays(ms), _) => tokio::time::sleep(Duration::from_millis(ms)).await,
                (Weather::LosesRequests, Way::ToServer) => std::future::pending().await,
                (Weather::LosesAnswers, Way::FromServer) => std::future::pending().await,
                _ => {}
            }
            if length == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buf[..length]).await?;
        }
    }
}
