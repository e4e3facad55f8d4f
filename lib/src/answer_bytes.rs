//! Bounds on the bytes that a leaf may send: before the head of a response, in a body, and in the
//! bodies of all responses that are read at the same time.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

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

    /// Takes bytes that were read. Fails if they were not allowed.
    pub fn take(&self, bytes: usize) -> io::Result<()> {
        let taken = |left: usize| left.checked_sub(bytes);
        let result = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken);
        let message = "The leaf sent more bytes than a response may have";
        let error = |_| io::Error::new(io::ErrorKind::InvalidData, message);
        result.map(drop).map_err(error)
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
