//! Bounds on the bytes that a leaf may send: before the head of a response, in a body, and in the
//! bodies of all responses that are read at the same time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Number of bytes that may still be read from a connection. Clones refer to the same number.
#[derive(Clone, Debug, Default)]
pub struct ByteAllowance {
    left: Arc<AtomicUsize>,
}

impl ByteAllowance {
    /// Replaces the number of bytes that may still be read.
    pub fn set(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Takes bytes that were read. Returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let taken = |left: usize| left.checked_sub(bytes);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken).is_ok()
    }
}

/// A connection of which no more bytes are read than its allowance; reading fails after that.
pub struct MeteredStream {
    stream: TcpStream,
    allowance: ByteAllowance,
}

impl MeteredStream {
    /// Creates a metered connection.
    pub fn new(stream: TcpStream, allowance: ByteAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if self.allowance.take(read) {
            Poll::Ready(Ok(()))
        } else {
            let message = "The leaf sent more bytes than a response may have";
            Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Memory for bodies that are being read, shared by all connections. Clones refer to the same
/// memory.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    left: Arc<AtomicUsize>,
}

impl BodyMemory {
    /// Creates a memory of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self { left: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Returns a reservation of no bytes.
    pub fn reservation(&self) -> BodyReservation {
        BodyReservation { memory: self.clone(), reserved: 0 }
    }
}

/// Bytes that one body has reserved; they are free again when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    reserved: usize,
}

impl BodyReservation {
    /// Reserves bytes until the reservation has `bytes` in all. Returns whether they were free.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.reserved);
        let taken = |left: usize| left.checked_sub(more);
        let is_free =
            self.memory.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken).is_ok();
        self.reserved += if is_free { more } else { 0 };
        is_free
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.left.fetch_add(self.reserved, Ordering::Relaxed);
    }
}
