//! What requests see of reloads of a large settings file.
//!
//! Sends requests at a steady rate through a node, for seconds at rest and seconds with a reload in turn, and prints
//! the latencies of both and what the reloads have added: as JSON, and as a line.

mod settings;

use clap::Parser;
use hdrhistogram::Histogram;
use reelfall_rig::load::{self, Came, Kind};
use reelfall_rig::node::Node;
use reelfall_rig::pool::{Manner, Pool};
use reelfall_rig::scripted::Program;
use reelfall_rig::Result;
use serde_json::{json, Value};
use settings::Size;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Services that requests are sent to, and the servers of each.
const LOADED: usize = 3;
const SERVERS: usize = 3;
/// How long a server takes for a request.
const SERVICE: Duration = Duration::from_millis(2);
/// How long a load lasts, and when in it a reload begins.
const WINDOW: Duration = Duration::from_secs(1);
const RELOAD_AT: Duration = Duration::from_millis(200);
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
        Seen { sent: 0, good: 0, latency: Came::default().latency }
    }

    fn add(&mut self, came: &[Came]) -> Result<()> {
        for came in came {
            self.sent += came.sent;
            self.good += came.of(&[200]);
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
        json!({ "sent": self.sent, "answered_200": self.good, "p50_ms": p50, "p99_ms": p99, "max_ms": max })
    }
}

fn kinds(rate: f64, window: &str) -> Vec<Kind> {
    let kind = |service| Kind {
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

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let Arguments { services, servers, routes, listed, rate, reloads, .. } = arguments;
    let size = Size { services, servers, routes, listed };
    let mut lists = Vec::new();
    let mut pools = Vec::new();
    for n in 0..LOADED {
        let pool = Pool::start(&format!("loaded-{n}"), SERVERS, Manner::good(SERVICE), n as u64).await?;
        lists.push(pool.listed());
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
        let (came, took) = tokio::join!(load::run(address, &kinds, WINDOW, seed), reload(&mut node, &next));
        reloading.add(&came)?;
        in_force.push(took?.as_secs_f64() * 1e3);
    }
    in_force.sort_by(f64::total_cmp);
    report(&size, first.len(), rate, &rest, &reloading, &in_force);
    Ok(())
}

fn report(size: &Size, bytes: usize, rate: f64, rest: &Seen, reloading: &Seen, in_force: &[f64]) {
    let (at_rest, seen) = (rest.latencies(), reloading.latencies());
    let [p50, p99, max] = [0, 1, 2].map(|n| seen[n] - at_rest[n]);
    let median = in_force.get(in_force.len() / 2).copied().unwrap_or_default();
    let longest = in_force.last().copied().unwrap_or_default();
    let Size { services, servers, routes, listed } = size;
    let figures = json!({
        "file": { "services": services, "servers": servers, "routes": routes, "listed": listed, "bytes": bytes },
        "rate": rate,
        "reloads": in_force.len(),
        "at_rest": rest.figures(),
        "with_reloads": reloading.figures(),
        "added": { "p50_ms": p50, "p99_ms": p99, "max_ms": max },
        "in_force_after": { "median_ms": median, "max_ms": longest },
    });
    println!("{figures}");
    println!(
        "{} reloads of {routes} routes under {rate}/s: p50 {p50:+.2} ms, p99 {p99:+.2} ms, max {max:+.2} ms; \
         in force after {median:.0} ms (longest {longest:.0} ms)",
        in_force.len()
    );
}
