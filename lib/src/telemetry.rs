//! Log output that never blocks and is bounded.
//!
//! Lines go through a bounded queue to a thread that writes them. Lines that find the queue full
//! are dropped and counted; the count is written as soon as there is room.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;

use tracing_subscriber::fmt::MakeWriter;

use crate::events::Event;

/// Lines that may wait for the output.
const MAX_WAITING_LINES: usize = 2_048;

/// A place for log lines that never blocks.
#[derive(Clone, Debug)]
pub struct BoundedOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl BoundedOutput {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel::<Vec<u8>>(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let told = dropped.clone();
        std::thread::Builder::new().name("log".to_owned()).stack_size(64 << 10).spawn(
            move || {
                while let Ok(mut batch) = waiting.recv() {
                    while let Ok(line) = waiting.try_recv() {
                        batch.extend_from_slice(&line);
                    }
                    let dropped = told.swap(0, Ordering::Relaxed);
                    if dropped > 0 {
                        batch.extend_from_slice(&dropped_line(dropped));
                    }
                    // Nobody is left to tell when the output itself is gone.
                    let _ = output.write_all(&batch).and_then(|()| output.flush());
                }
            },
        )?;
        Ok(Self { lines, dropped })
    }
}

fn dropped_line(count: u64) -> Vec<u8> {
    let event = Event::LogDropped;
    let (number, name) = (event.number(), event.name());
    format!("{{\"level\":\"WARN\",\"event\":{number},\"name\":\"{name}\",\"count\":{count}}}\n")
        .into_bytes()
}

/// Collects one line.
#[derive(Debug)]
pub struct LineWriter {
    output: BoundedOutput,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.output.lines.try_send(line).is_err() {
            self.output.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for BoundedOutput {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter { output: self.clone(), line: Vec::new() }
    }
}
