//! The record of one run: lines with the time since its start, in a file and in memory.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Record of one run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &str) -> Self {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
