//! Processor time and memory of other processes, from `/proc`.

use std::time::Duration;

use thiserror::Error;

/// Clock ticks a second in `/proc`, which Linux fixes at 100 for programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Why a process could not be measured.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A file of `/proc` cannot be read.
    #[error("Reading {path} failed")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// A file of `/proc` has an unexpected form.
    #[error("File {path} has no field \"{field}\"")]
    Field {
        /// The file.
        path: String,
        /// The field looked for.
        field: &'static str,
    },
}

/// Result of a measurement.
pub type Result<T> = std::result::Result<T, MeasureError>;

fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|source| MeasureError::Read { path: path.to_owned(), source })
}

/// Returns the processor time that a process has used, user and system.
pub fn processor_time(pid: u32) -> Result<Duration> {
    let path = format!("/proc/{pid}/stat");
    let text = read(&path)?;
    let error = || MeasureError::Field { path: path.clone(), field: "utime" };
    let after_name = text.rsplit_once(')').ok_or_else(error)?.1;
    let fields: Vec<_> = after_name.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).ok_or_else(error);
    Ok(Duration::from_secs_f64((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let path = format!("/proc/{pid}/status");
    let text = read(&path)?;
    let error = || MeasureError::Field { path: path.clone(), field: "VmRSS" };
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or_else(error)?;
    let kilobytes = line.trim().trim_end_matches(" kB").trim().parse::<u64>();
    Ok(kilobytes.map_err(|_| error())? * 1_024)
}
