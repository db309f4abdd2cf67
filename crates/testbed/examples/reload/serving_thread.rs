//! The CPU time that reloads take on the serving thread. Called by `main` after the load.

use super::reload;
use reelfall_testbed::node::Node;
use reelfall_testbed::Result;
use std::time::{Duration, Instant};

/// How long the node is observed without load and reloads.
const IDLE_DURATION: Duration = Duration::from_secs(4);
const NS_PER_SECOND: f64 = 1e9;
const MS_PER_SECOND: f64 = 1e3;

/// The `schedstat` file of the serving thread is empty.
#[derive(Debug, thiserror::Error)]
#[error("the schedstat file of the serving thread is empty")]
struct NoThreadTimes;

/// The CPU time of each reload without load, less that of an idle node, in milliseconds and ascending order.
pub(super) async fn measure(
    node: &mut Node,
    files: impl Iterator<Item = String>,
) -> Result<Vec<f64>> {
    let pid = node.pid();
    let idle = Stopwatch::start(pid)?;
    tokio::time::sleep(IDLE_DURATION).await;
    let idle_utilization = idle.cpu_seconds()? / idle.elapsed_seconds();
    let mut reload_ms = Vec::new();
    for file in files {
        let stopwatch = Stopwatch::start(pid)?;
        reload(node, &file).await?;
        let cpu_seconds = stopwatch.cpu_seconds()?;
        let idle_seconds = idle_utilization * stopwatch.elapsed_seconds();
        reload_ms.push((cpu_seconds - idle_seconds) * MS_PER_SECOND);
    }
    reload_ms.sort_by(f64::total_cmp);
    Ok(reload_ms)
}

/// Elapsed time and CPU time of the serving thread since `start`.
struct Stopwatch {
    pid: u32,
    started_at: Instant,
    cpu_at_start: f64,
}

impl Stopwatch {
    fn start(pid: u32) -> Result<Stopwatch> {
        Ok(Stopwatch {
            pid,
            started_at: Instant::now(),
            cpu_at_start: serving_thread_seconds(pid)?,
        })
    }

    fn cpu_seconds(&self) -> Result<f64> {
        Ok(serving_thread_seconds(self.pid)? - self.cpu_at_start)
    }

    fn elapsed_seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// CPU time of the serving thread, which is the first thread of the process, in seconds.
fn serving_thread_seconds(pid: u32) -> Result<f64> {
    let times = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat"))?;
    let nanoseconds: u64 = times
        .split_whitespace()
        .next()
        .ok_or(NoThreadTimes)?
        .parse()?;
    Ok(nanoseconds as f64 / NS_PER_SECOND)
}
