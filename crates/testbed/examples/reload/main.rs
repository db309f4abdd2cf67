//! What requests see of reloads of a large settings file.
//!
//! Sends requests at a steady rate through a node, for seconds at rest and seconds with a reload in turn, and prints
//! the latencies of both and what the reloads have added: as JSON, and as a line.
//!
//! Without load it then measures the processor time that a reload takes of the thread that serves: the thread stands
//! still for no longer, and other work on the machine shows less in it than in latencies.

mod settings;

use clap::Parser;
use hdrhistogram::Histogram;
use reelfall_testbed::load::{self, LoadStats, Workload};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{Pool, Server, ServerBehavior};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::Result;
use serde_json::{json, Value};
use settings::Size;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Services that requests are sent to, and the servers of each.
const LOADED: usize = 3;
const SERVERS: usize = 3;
/// Requests that a server works on at once; more than ever come, so that none waits for another.
const WORKERS: usize = 64;
/// How long a server takes for a request.
const SERVICE: Duration = Duration::from_millis(2);
/// How long a load lasts, and when in it a reload begins.
const WINDOW: Duration = Duration::from_secs(1);
const RELOAD_AT: Duration = Duration::from_millis(200);
/// How long the node is watched at rest, without load.
const AT_REST: Duration = Duration::from_secs(4);
/// Longer than a reload may take; it counts as seen, not as lost.
const DEADLINE: Duration = Duration::from_secs(10);

/// Measures what requests see of reloads of a large settings file.
#[derive(Parser)]
struct Arguments {
    /// The node's program.
    #[arg(long)]
    program: PathBuf,
    /// Services in the file.
    #[arg(long, default_value_t = 130)]
    services: usize,
    /// Servers in the file.
    #[arg(long, default_value_t = 2500)]
    servers: usize,
    /// Routes in the file.
    #[arg(long, default_value_t = 3700)]
    routes: usize,
    /// Lines of servers in the services' lists.
    #[arg(long, default_value_t = 5600)]
    listed: usize,
    /// Requests a second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Reloads, each with one changed route.
    #[arg(long, default_value_t = 10)]
    reloads: usize,
}

/// The requests of some windows.
struct Seen {
    sent: u64,
    good: u64,
    latency: Histogram<u64>,
}

impl Seen {
    fn new() -> Seen {
        Seen {
            sent: 0,
            good: 0,
            latency: LoadStats::default().latency,
        }
    }

    fn add(&mut self, came: &[LoadStats]) -> Result<()> {
        for came in came {
            self.sent += came.sent;
            self.good += came.with_status(&[200]);
            self.latency.add(&came.latency)?;
        }
        Ok(())
    }

    /// Median, 99th percentile and most, in milliseconds.
    fn latencies(&self) -> [f64; 3] {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        [at(0.5), at(0.99), self.latency.max() as f64 / 1e3]
    }

    fn figures(&self) -> Value {
        let [p50, p99, max] = self.latencies();
        json!({
            "sent": self.sent,
            "answered_200": self.good,
            "p50_ms": p50,
            "p99_ms": p99,
            "max_ms": max,
        })
    }
}

fn kinds(rate: f64, window: &str) -> Vec<Workload> {
    let kind = |service| Workload {
        name: format!("{window}-{service}"),
        host: settings::host(service),
        method: "GET",
        path: settings::PATH.to_owned(),
        headers: Vec::new(),
        body: None,
        deadline: DEADLINE,
        rate: rate / LOADED as f64,
    };
    (0..LOADED).map(kind).collect()
}

/// Reloads a file in a moment and waits until it is in force; how long that took.
async fn reload(node: &mut Node, settings: &str) -> Result<Duration> {
    tokio::time::sleep(RELOAD_AT).await;
    let begun = Instant::now();
    node.reload(settings).await?;
    Ok(begun.elapsed())
}

/// Processor time that the thread that serves has used, in seconds: a process's first.
fn serving_seconds(pid: u32) -> Result<f64> {
    let used = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat"))?;
    let nanoseconds: u64 = used
        .split_whitespace()
        .next()
        .ok_or("no times of the thread")?
        .parse()?;
    Ok(nanoseconds as f64 / 1e9)
}

/// What each reload without load takes of the serving thread beyond what it uses at rest, in milliseconds and in order.
async fn serving(node: &mut Node, files: impl Iterator<Item = String>) -> Result<Vec<f64>> {
    let pid = node.pid();
    let (begun, before) = (Instant::now(), serving_seconds(pid)?);
    tokio::time::sleep(AT_REST).await;
    let at_rest = (serving_seconds(pid)? - before) / begun.elapsed().as_secs_f64();
    let mut taken = Vec::new();
    for file in files {
        let (begun, before) = (Instant::now(), serving_seconds(pid)?);
        reload(node, &file).await?;
        let used = serving_seconds(pid)? - before;
        taken.push((used - at_rest * begun.elapsed().as_secs_f64()) * 1e3);
    }
    taken.sort_by(f64::total_cmp);
    Ok(taken)
}

/// Servers that a service lists.
async fn stand_ins(service: usize) -> Result<Pool> {
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let name = format!("loaded-{service}-{n}");
        servers
            .push(Server::start(&name, WORKERS, ServerBehavior::healthy(SERVICE), n as u64).await?);
    }
    Ok(Pool { servers })
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let Arguments {
        services,
        servers,
        routes,
        listed,
        rate,
        reloads,
        ..
    } = arguments;
    let size = Size {
        services,
        servers,
        routes,
        listed,
    };
    let mut lists = Vec::new();
    let mut pools = Vec::new();
    for n in 0..LOADED {
        let pool = stand_ins(n).await?;
        lists.push(pool.server_settings());
        pools.push(pool);
    }
    let first = settings::text(&size, &lists, 0);
    let mut node = Node::start(&Program::alone(&arguments.program), &first).await?;
    node.until_health("/_health/service-0", true).await?;
    let address = node.address();
    // The first requests open connections and teach the modules.
    load::run(address, &kinds(rate, "warm"), 2 * WINDOW, 1).await;
    let (mut rest, mut reloading) = (Seen::new(), Seen::new());
    let mut in_force = Vec::new();
    for n in 1..=reloads {
        let seed = n as u64;
        rest.add(&load::run(address, &kinds(rate, &format!("rest{n}")), WINDOW, seed).await)?;
        let next = settings::text(&size, &lists, n);
        let kinds = kinds(rate, &format!("reload{n}"));
        let (came, took) = tokio::join!(
            load::run(address, &kinds, WINDOW, seed),
            reload(&mut node, &next)
        );
        reloading.add(&came)?;
        in_force.push(took?.as_secs_f64() * 1e3);
    }
    in_force.sort_by(f64::total_cmp);
    let quiet = (reloads + 1..=2 * reloads).map(|n| settings::text(&size, &lists, n));
    let serving = serving(&mut node, quiet).await?;
    report(
        &size,
        first.len(),
        rate,
        &rest,
        &reloading,
        &in_force,
        &serving,
    );
    Ok(())
}

fn report(
    size: &Size,
    bytes: usize,
    rate: f64,
    rest: &Seen,
    reloading: &Seen,
    in_force: &[f64],
    serving: &[f64],
) {
    let (at_rest, seen) = (rest.latencies(), reloading.latencies());
    let [p50, p99, max] = [0, 1, 2].map(|n| seen[n] - at_rest[n]);
    let middle_and_most = |sorted: &[f64]| {
        let at = |n: usize| sorted.get(n).copied().unwrap_or_default();
        (at(sorted.len() / 2), at(sorted.len().saturating_sub(1)))
    };
    let ((median, longest), (serving, most)) =
        (middle_and_most(in_force), middle_and_most(serving));
    let Size {
        services,
        servers,
        routes,
        listed,
    } = size;
    let figures = json!({
        "file": { "services": services, "servers": servers, "routes": routes, "listed": listed, "bytes": bytes },
        "rate": rate,
        "reloads": in_force.len(),
        "at_rest": rest.figures(),
        "with_reloads": reloading.figures(),
        "added": { "p50_ms": p50, "p99_ms": p99, "max_ms": max },
        "serving_thread": { "median_ms": serving, "max_ms": most },
        "in_force_after": { "median_ms": median, "max_ms": longest },
    });
    println!("{figures}");
    println!(
        "{} reloads of {routes} routes under {rate}/s: p50 {p50:+.2} ms, p99 {p99:+.2} ms, max {max:+.2} ms; \
         each takes {serving:.2} ms (most {most:.2} ms) of the serving thread; in force after {median:.0} ms (longest {longest:.0} ms)",
        in_force.len()
    );
}
