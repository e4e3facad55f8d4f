//! A TCP connection that reports how many bytes are read from it, and when some were written.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A connection that calls `on_read` with the number of bytes after each read, and `on_write` after
/// each write. An error that `on_read` returns is the result of the read.
pub struct WatchedStream<R, W> {
    stream: TcpStream,
    on_read: R,
    on_write: W,
}

impl<R: FnMut(usize) -> io::Result<()> + Unpin, W: FnMut() + Unpin> WatchedStream<R, W> {
    /// Watches a connection.
    pub fn new(stream: TcpStream, on_read: R, on_write: W) -> Self {
        Self { stream, on_read, on_write }
    }
}

impl<R: FnMut(usize) -> io::Result<()> + Unpin, W: Unpin> AsyncRead for WatchedStream<R, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        Poll::Ready((self.on_read)(read))
    }
}

impl<R: Unpin, W: FnMut() + Unpin> AsyncWrite for WatchedStream<R, W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        (self.on_write)();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        (self.on_write)();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
