//! Memory and time of a process, for all measurements.

use crate::error::{Error, Result};
use std::collections::BTreeMap;
use std::time::Instant;

/// Figures, keyed by their names.
pub type Figures = BTreeMap<String, f64>;

/// Names this process in calls of [`resident_bytes`].
pub const THIS_PROCESS: &str = "self";
/// Prefix of the line of `/proc/PID/status` with the resident set.
const RESIDENT_SET: &str = "VmRSS:";
/// The unit of the resident set in that line, in bytes.
const KIBIBYTE: f64 = 1024.0;

/// Returns the resident set of a process, in bytes.
pub fn resident_bytes(process: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_SET))
        .ok_or(Error::MissingResidentSet)?;
    let kibibytes: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kibibytes * KIBIBYTE)
}

/// Returns the mean seconds of one execution. `execute` gets the number of the execution.
pub fn mean_seconds(executions: usize, execute: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..executions).for_each(execute);
    start.elapsed().as_secs_f64() / executions as f64
}

/// Returns figures that consist of the memory alone.
pub fn memory_figure(bytes: f64) -> Figures {
    Figures::from([("bytes".to_owned(), bytes)])
}
