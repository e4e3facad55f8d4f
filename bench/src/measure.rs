//! Processor time and memory of other processes, read from `/proc`.

use std::time::Duration;

use thiserror::Error;

/// Clock ticks per second in `/proc`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Error of a measurement of a process.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A file of `/proc` cannot be read, for example because the process has ended.
    #[error("File \"{path}\" cannot be read")]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        #[source]
        source: std::io::Error,
    },
    /// A file of `/proc` lacks a field, or the field is not a number.
    #[error("File \"{path}\" has no valid field \"{field}\"")]
    Field {
        /// Path of the file.
        path: String,
        /// Name of the field.
        field: &'static str,
    },
}

/// Result of a measurement of a process.
pub type Result<T> = std::result::Result<T, MeasureError>;

fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|source| MeasureError::Read { path: path.to_owned(), source })
}

/// Returns the processor time that a process has used since its start, user and system together.
pub fn processor_time(pid: u32) -> Result<Duration> {
    let path = format!("/proc/{pid}/stat");
    let text = read(&path)?;
    let missing_field = || MeasureError::Field { path: path.clone(), field: "utime" };
    let after_name = text.rsplit_once(')').ok_or_else(missing_field)?.1;
    let fields: Vec<_> = after_name.split_whitespace().collect();
    let ticks =
        |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).ok_or_else(missing_field);
    Ok(Duration::from_secs_f64((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process (`VmRSS`), in bytes.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let path = format!("/proc/{pid}/status");
    let text = read(&path)?;
    let missing_field = || MeasureError::Field { path: path.clone(), field: "VmRSS" };
    let line =
        text.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or_else(missing_field)?;
    let kilobytes = line.trim().trim_end_matches(" kB").trim().parse::<u64>();
    Ok(kilobytes.map_err(|_| missing_field())? * 1_024)
}
