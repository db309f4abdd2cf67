//! Measures how reloads of a large settings file affect the latency of requests.
//!
//! Sends requests at a steady rate through a node, alternately for a second without a reload and a second with one, and
//! prints the latencies of both and their difference, as JSON and as a summary line.
//!
//! Then measures the CPU time that a reload takes on the serving thread of a node without load. This is the longest time for
//! which a reload can block the thread, and other work on the machine disturbs it less than latencies.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `settings` | large settings files |
//! | `latencies` | the load, and its latencies |
//! | `serving_thread` | the CPU time of reloads on the serving thread |
//! | `report` | the printed results |

mod latencies;
mod report;
mod serving_thread;
mod settings;

use clap::Parser;
use latencies::WindowStats;
use reelfall_testbed::node::{Node, Program};
use reelfall_testbed::pool::{Pool, Server, ServerBehavior};
use reelfall_testbed::Result;
use report::Report;
use settings::FileSize;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Number of services that requests are sent to.
const LOADED_SERVICES: usize = 3;
const SERVERS_PER_SERVICE: usize = 3;
/// More workers than requests in flight, so that no request waits for another.
const WORKERS: usize = 64;
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// How long after the start of its window a reload begins.
const RELOAD_DELAY: Duration = Duration::from_millis(200);

/// Measures how reloads of a large settings file affect the latency of requests.
#[derive(Parser)]
struct Arguments {
    /// The program of the node.
    #[arg(long)]
    program: PathBuf,
    /// Number of services in the file.
    #[arg(long, default_value_t = 130)]
    services: usize,
    /// Number of servers in the file.
    #[arg(long, default_value_t = 2500)]
    servers: usize,
    /// Number of routes in the file.
    #[arg(long, default_value_t = 3700)]
    routes: usize,
    /// Number of entries in the server lists of all services; a server may be in several.
    #[arg(long, default_value_t = 5600)]
    listed: usize,
    /// Requests per second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Number of reloads under load, and again without load; each changes one route.
    #[arg(long, default_value_t = 10)]
    reloads: usize,
}

impl Arguments {
    fn file_size(&self) -> FileSize {
        FileSize {
            services: self.services,
            servers: self.servers,
            routes: self.routes,
            listed: self.listed,
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let size = arguments.file_size();
    let pools = start_pools().await?;
    let lists: Vec<String> = pools.iter().map(Pool::server_settings).collect();
    let settings = |revision| settings::text(&size, &lists, revision);
    let first = settings(0);
    let mut node = Node::start(&Program::standalone(&arguments.program), &first).await?;
    node.wait_for_health("/_health/service-0", true).await?;
    latencies::warm_up(node.address(), arguments.rate).await;
    let mut without_reload = WindowStats::new();
    let mut with_reload = WindowStats::new();
    let mut applied_after_ms = Vec::new();
    for number in 1..=arguments.reloads {
        let address = node.address();
        let load = latencies::run_window(address, arguments.rate, "rest", number);
        without_reload.add(&load.await)?;
        let next = settings(number);
        let load = latencies::run_window(address, arguments.rate, "reload", number);
        let (results, elapsed) = tokio::join!(load, reload(&mut node, &next));
        with_reload.add(&results)?;
        applied_after_ms.push(elapsed?.as_secs_f64() * 1e3);
    }
    applied_after_ms.sort_by(f64::total_cmp);
    let unloaded_files = (arguments.reloads + 1..=2 * arguments.reloads).map(settings);
    let serving_thread_ms = serving_thread::measure(&mut node, unloaded_files).await?;
    Report {
        size,
        file_bytes: first.len(),
        rate: arguments.rate,
        without_reload,
        with_reload,
        applied_after_ms,
        serving_thread_ms,
    }
    .print();
    Ok(())
}

/// Starts the servers of the services that requests are sent to.
async fn start_pools() -> Result<Vec<Pool>> {
    let mut pools = Vec::new();
    for service in 0..LOADED_SERVICES {
        let mut servers = Vec::new();
        for number in 0..SERVERS_PER_SERVICE {
            let name = format!("loaded-{service}-{number}");
            let behavior = ServerBehavior::healthy(SERVICE_TIME);
            servers.push(Server::start(&name, WORKERS, behavior, number as u64).await?);
        }
        pools.push(Pool { servers });
    }
    Ok(pools)
}

/// After `RELOAD_DELAY`, reloads the node with these settings; returns the time until they are applied.
async fn reload(node: &mut Node, settings: &str) -> Result<Duration> {
    tokio::time::sleep(RELOAD_DELAY).await;
    let started_at = Instant::now();
    node.reload(settings).await?;
    Ok(started_at.elapsed())
}
