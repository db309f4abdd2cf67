//! Measures a [`Computation`] in processes of the program itself, for [`single`](super::single) and
//! [`sweep`](super::sweep).
//!
//! Each process reads its input from a file that another process has written. Its peak memory is then that of the
//! computation, without what an earlier one or the generator left in the allocator.

use super::computation::{Computation, Cost};
use super::error::ScaleError;
use super::report::{PerNode, Run, Size, Source};
use reelfall_testbed::node::Folder;
use reelfall_testbed::Result;
use std::ffi::OsStr;
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;

/// Number of processes that run each computation; the figures are the medians.
pub const REPEATS: usize = 3;
/// Timeout of all repeats of one computation together.
pub const MAX_MEASUREMENT_DURATION: Duration = Duration::from_secs(60);

/// Runs a computation in processes of this program, and takes the medians.
///
/// # Errors
/// If the program can't be started, the computation rejects its input, or the timeout expires.
pub async fn measure(
    program: &Path,
    computation: Computation,
    size: &Size,
    timeout: Duration,
) -> Result<Run> {
    let timeout = timeout.min(MAX_MEASUREMENT_DURATION);
    let costs = tokio::time::timeout(timeout, repeat(program, computation, size))
        .await
        .map_err(|_| ScaleError::ComputationTimeout(timeout))??;
    let memory = match computation {
        Computation::Settings | Computation::ServerList => {
            Some(median(&costs, |cost| cost.peak_memory))
        }
        // The peak comes from the snapshot, which is applied before the updates.
        Computation::ServerChange => None,
    };
    let per_node = PerNode {
        cpu: median(&costs, |cost| cost.cpu),
        memory,
        ..PerNode::default()
    };
    Ok(Run {
        name: computation.name().to_owned(),
        source: Source::Computation,
        size: *size,
        // The processor time of one computation is stored as a rate, so one computation per second is assumed.
        seconds: 1.0,
        per_node,
        in_force: None,
        requests: None,
        read_bytes: costs.first().map(|cost| cost.bytes as u64),
        played: None,
    })
}

async fn repeat(program: &Path, computation: Computation, size: &Size) -> Result<Vec<Cost>> {
    let folder = Folder::new()?;
    let file = folder.path().join("input");
    write_input(program, computation, size, &file).await?;
    let mut costs = Vec::with_capacity(REPEATS);
    for _ in 0..REPEATS {
        costs.push(run_process(program, computation, &file).await?);
    }
    Ok(costs)
}

fn median(costs: &[Cost], figure: fn(&Cost) -> f64) -> f64 {
    let mut sorted: Vec<f64> = costs.iter().map(figure).collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Writes the input of a computation, in a process of the program.
async fn write_input(
    program: &Path,
    computation: Computation,
    size: &Size,
    file: &Path,
) -> Result<()> {
    let size = serde_json::to_string(size)?;
    let options = ["--size".as_ref(), size.as_ref()];
    run_subcommand(program, "computation-input", computation, file, &options).await?;
    Ok(())
}

async fn run_process(program: &Path, computation: Computation, file: &Path) -> Result<Cost> {
    let printed = run_subcommand(program, "computation", computation, file, &[]).await?;
    Ok(serde_json::from_slice(&printed)?)
}

/// Runs a subcommand of the program and returns its standard output.
async fn run_subcommand(
    program: &Path,
    subcommand: &str,
    computation: Computation,
    file: &Path,
    options: &[&OsStr],
) -> Result<Vec<u8>> {
    let mut command = Command::new(program);
    command
        .args(["scale", subcommand, computation.name(), "--file"])
        .arg(file)
        .args(options);
    let output = command.kill_on_drop(true).output().await?;
    if !output.status.success() {
        let stderr = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        return Err(ScaleError::ComputationFailed { stderr }.into());
    }
    Ok(output.stdout)
}
