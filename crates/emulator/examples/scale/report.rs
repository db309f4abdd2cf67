//! Reads and writes reports, prints runs, and measures the memory and processor time of this process.

use super::error::ScaleError;
use reelfall_emulator::control::report::{Report, Run, Traffic, SCHEMA};
use reelfall_emulator::control::times::Times;
use std::path::Path;

/// Reads a report, or creates an empty one if there is no file.
pub fn open(path: &Path, commit: &str, seed: u64) -> Result<Report, ScaleError> {
    if !path.exists() {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let (commit, runs, slopes) = (commit.to_owned(), Vec::new(), Vec::new());
        return Ok(Report {
            schema: SCHEMA,
            commit,
            seed,
            cores,
            runs,
            slopes,
        });
    }
    let text = std::fs::read_to_string(path).map_err(|error| ScaleError::File {
        path: path.to_owned(),
        error,
    })?;
    let report: Report = serde_json::from_str(&text).map_err(|error| ScaleError::Parse {
        path: path.to_owned(),
        error,
    })?;
    if report.schema != SCHEMA || report.seed != seed || report.commit != commit {
        return Err(ScaleError::Mismatch(path.to_owned()));
    }
    Ok(report)
}

/// Writes a report as formatted JSON.
pub fn save(report: &Report, path: &Path) -> Result<(), ScaleError> {
    let text = serde_json::to_string_pretty(report)?;
    std::fs::write(path, text + "\n").map_err(|error| ScaleError::File {
        path: path.to_owned(),
        error,
    })
}

/// Prints a run on one line. `long_window_max` is the maximum number of bytes that a node received and sent within 10 s.
pub fn print(run: &Run, long_window_max: u64) {
    let not_measured = Times {
        p50: f64::NAN,
        p99: f64::NAN,
        last: f64::NAN,
    };
    let Times { p50, p99, last } = run.in_force.unwrap_or(not_measured);
    let traffic = run.per_node.traffic.iter();
    for Traffic {
        bytes_in,
        bytes_out,
        messages_in,
        messages_out,
        ..
    } in traffic
    {
        println!(
            "{:<28} {:>5} nodes: in {bytes_in:.0} B/s {messages_in:.2}/s, out {bytes_out:.0} B/s {messages_out:.2}/s, max in 1 s {} B, \
             in 10 s {long_window_max} B, cpu {:.4} %, memory {:.1} MB, apply time p50 {p50:.2} p99 {p99:.2} max {last:.2} s",
            run.name,
            run.size.nodes,
            run.per_node.peak_bytes,
            run.per_node.cpu * 100.0,
            run.per_node.memory.unwrap_or(0.0) / 1e6,
        );
    }
}

/// Resident memory of this process, in bytes; 0 if it is unknown.
pub fn resident_memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| {
        rest.trim()
            .trim_end_matches("kB")
            .trim()
            .parse::<f64>()
            .ok()
    });
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Processor time of this thread, in seconds.
pub fn thread_cpu() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
