//! The record of one run: what was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

pub struct Record {
    started: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let out = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Self { started: Instant::now(), out: Mutex::new(out) })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:9.4} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
        let _ = self.out.lock().unwrap().flush();
    }
}
