//! Log output that never blocks its callers and uses a bounded amount of memory.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, further
//! lines are dropped and counted, and their number is logged after the next lines that are written.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;

use tracing_subscriber::fmt::MakeWriter;

use crate::events::Event;

/// Largest number of lines that are queued for the output.
const MAX_QUEUED_LINES: usize = 2_048;

/// Log output that accepts lines without blocking.
#[derive(Clone, Debug)]
pub struct BoundedOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl BoundedOutput {
    /// Starts the thread that writes to `output`. Returns an error if the thread cannot be started.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = dropped.clone();
        std::thread::Builder::new().name("log".to_owned()).stack_size(64 << 10).spawn(
            move || {
                while let Ok(mut batch) = queued.recv() {
                    while let Ok(line) = queued.try_recv() {
                        batch.extend_from_slice(&line);
                    }
                    let dropped = dropped_count.swap(0, Ordering::Relaxed);
                    if dropped > 0 {
                        batch.extend_from_slice(&dropped_lines_message(dropped));
                    }
                    // A failure is ignored, as there is no other output to report it to.
                    let _ = output.write_all(&batch).and_then(|()| output.flush());
                }
            },
        )?;
        Ok(Self { lines, dropped })
    }
}

fn dropped_lines_message(count: u64) -> Vec<u8> {
    let event = Event::LogDropped;
    let (number, name) = (event.number(), event.name());
    format!("{{\"level\":\"WARN\",\"event\":{number},\"name\":\"{name}\",\"count\":{count}}}\n")
        .into_bytes()
}

/// Collects the bytes of one line and queues the line when dropped.
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
