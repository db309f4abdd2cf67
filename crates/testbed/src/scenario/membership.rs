//! The scenario `membership`: sessions of servers expire under load, at random times and just as a request has arrived, while
//! the processes continue to serve.
//!
//! Guarantees: a server receives no new request later than 500 ms after its session has expired; no effect twice; every
//! request is answered once and in time. Run by the command `scenario` and by tests.

use super::Report;
use crate::load::{self, LoadStats};
use crate::membership::{node_settings, workload, RegisteredServer};
use crate::node::Node;
use crate::pool::{App, AppResponse, Completion, Pool, Server, ServerBehavior};
use crate::registry::Registry;
use crate::scripted::Program;
use crate::{Result, SeededRng};
use serde_json::{json, Value};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Number of servers; up to half of them are without a session at the same time.
    pub servers: usize,
    /// Number of sessions that expire.
    pub expirations: usize,
    /// Requests per second.
    pub rate: f64,
}

impl Scale {
    /// The full size: about a minute.
    pub const FULL: Scale = Scale {
        servers: 24,
        expirations: 504,
        rate: 600.0,
    };
    /// The size of a test.
    pub const SMALL: Scale = Scale {
        servers: 6,
        expirations: 24,
        rate: 150.0,
    };

    /// Number of expirations of each pair of servers.
    fn cycles(&self) -> usize {
        self.expirations.div_ceil(self.servers / 2)
    }
}

/// How long a server may still receive new requests after its session has expired.
const GRACE: Duration = Duration::from_millis(500);
/// How long a server stays without a session.
const ABSENCE: Duration = Duration::from_millis(750);
/// Longest random wait before an expiration, in seconds.
const RANDOM_WAIT_SECONDS: f64 = 0.3;
/// Longest wait for a request before an expiration.
const REQUEST_WAIT: Duration = Duration::from_millis(100);
/// The part of a cycle before the expiration: the sum of both longest waits.
const CYCLE_WAITS: Duration = Duration::from_millis(400);
/// How long the load runs before the first expiration.
const WARM_UP: Duration = Duration::from_millis(500);
/// How much longer the load runs than the expirations take.
const EXTRA_LOAD: Duration = Duration::from_secs(2);
/// One in this many expirations happens just as a request has arrived.
const CYCLES_PER_REQUEST_WAIT: usize = 3;
/// Minimum share of requests that are served in time, in percent.
const SERVED_PERCENT: f64 = 99.0;
/// The services, in the order of their workloads in the load.
const SERVICES: [&str; 2] = ["evaluate", "toggle"];
/// Number of members of the registry.
const REGISTRY_MEMBERS: usize = 3;
/// Number of requests that a server processes concurrently.
const SERVER_WORKERS: usize = 8;
/// How long a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);
const POOL_SEED: u64 = 31;
const LOAD_SEED: u64 = 17;
/// Seed of the random waits of the first pair of servers; each further pair adds one.
const WAITS_SEED: u64 = 900;

/// State that is shared by the tasks that expire sessions.
#[derive(Clone)]
struct SharedState {
    registry: Arc<Registry>,
    pool: Arc<Pool>,
    /// For each expiration, how long after it the last request arrived.
    last_arrivals: Arc<Mutex<Vec<Duration>>>,
}

/// Runs the scenario.
///
/// # Errors
/// If a stand-in or the node can't be started; a violated guarantee is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let pool = Pool::start_with_app(
        "flags",
        scale.servers,
        SERVER_WORKERS,
        ServerBehavior::healthy(SERVICE_TIME),
        POOL_SEED,
        &counting_app(),
    )
    .await?;
    let shared = SharedState {
        registry: Arc::new(Registry::start(REGISTRY_MEMBERS).await?),
        pool: Arc::new(pool),
        last_arrivals: Arc::default(),
    };
    let registered: Vec<RegisteredServer> = shared
        .pool
        .servers
        .iter()
        .map(|server| {
            RegisteredServer::register(&shared.registry, server, &format!("{}.0", server.name), 0)
        })
        .collect();
    let node = Node::start(program, &node_settings(&shared.registry, "", "")).await?;
    node.wait_for_health("/_health", true).await?;
    let kinds = [
        workload("m", "evaluate", scale.rate * 0.8),
        workload("m", "toggle", scale.rate * 0.2),
    ];
    let cycles = u32::try_from(scale.cycles())?;
    let duration = (ABSENCE + CYCLE_WAITS) * cycles + EXTRA_LOAD;
    let address = node.address();
    let load = tokio::spawn(async move { load::run(address, &kinds, duration, LOAD_SEED).await });
    tokio::time::sleep(WARM_UP).await;
    expire_all(&shared, scale, registered).await?;
    let outcomes = load.await?;
    Ok(report(&shared, &outcomes))
}

/// Expires the sessions of all pairs of servers at the same time.
async fn expire_all(
    shared: &SharedState,
    scale: Scale,
    registered: Vec<RegisteredServer>,
) -> Result<()> {
    let mut tasks = tokio::task::JoinSet::new();
    let mut registered = registered.into_iter();
    for pair in 0..scale.servers / 2 {
        let servers: Vec<RegisteredServer> = registered.by_ref().take(2).collect();
        tasks.spawn(expire_pair(shared.clone(), pair, servers, scale.cycles()));
    }
    while let Some(finished) = tasks.join_next().await {
        finished?;
    }
    Ok(())
}

/// Expires the sessions of two servers in turn, so that one of them is always registered.
async fn expire_pair(
    shared: SharedState,
    pair: usize,
    mut registered: Vec<RegisteredServer>,
    cycles: usize,
) {
    let mut random = SeededRng(WAITS_SEED + pair as u64);
    for cycle in 0..cycles {
        let turn = cycle % 2;
        let server = &shared.pool.servers[2 * pair + turn];
        let wait = RANDOM_WAIT_SECONDS * random.next_fraction();
        tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        if cycle % CYCLES_PER_REQUEST_WAIT == 0 {
            wait_for_request(server).await;
        }
        registered[turn].expire_session(&shared.registry);
        let expired_at = Instant::now();
        tokio::time::sleep_until((expired_at + ABSENCE).into()).await;
        let last_arrival = server.last_request_at().map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(expired_at)
        });
        shared
            .last_arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(last_arrival);
        // The server process has not been restarted. A new session and a new name make it count as a new server.
        let name = format!("{}.{}", server.name, cycle + 1);
        registered[turn] = RegisteredServer::register(&shared.registry, server, &name, 0);
    }
}

/// Waits until a server has received a request, for at most `REQUEST_WAIT`.
async fn wait_for_request(server: &Server) {
    let seen_before = server.requests_received();
    let deadline = Instant::now() + REQUEST_WAIT;
    while server.requests_received() == seen_before && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
}

fn report(shared: &SharedState, outcomes: &[LoadStats]) -> Report {
    let mut report = Report::default();
    let mut last_arrivals = shared
        .last_arrivals
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    last_arrivals.sort_unstable();
    let late = last_arrivals.iter().filter(|after| **after > GRACE).count();
    let duplicates = shared.pool.duplicate_effects();
    report.add_figure("kills", last_arrivals.len());
    report.add_figure(
        "from_the_news_to_the_last_request_ms",
        percentiles_ms(&last_arrivals),
    );
    report.add_figure("requests_after_the_deadline", late);
    report.add_figure("effects_twice_unsafe", duplicates);
    for (outcome, service) in outcomes.iter().zip(SERVICES) {
        report.add_figure(service, outcome.figures());
        report.check(outcome.lost == 0, || {
            format!("{service}: {} requests were not answered", outcome.lost)
        });
        report.check(outcome.in_time_percent() >= SERVED_PERCENT, || {
            format!(
                "{service}: {:.2} % served in time: {}",
                outcome.in_time_percent(),
                outcome.figures()
            )
        });
    }
    report.check(late == 0, || {
        format!("{late} times a server received a new request more than {GRACE:?} after its session expired")
    });
    report.check(duplicates == 0, || {
        format!("{duplicates} requests took effect more than once")
    });
    report
}

/// Percentiles of durations in ascending order, in milliseconds rounded to hundredths.
fn percentiles_ms(sorted: &[Duration]) -> Value {
    let at = |quantile: f64| {
        let index = ((sorted.len() as f64 - 1.0) * quantile) as usize;
        let milliseconds = sorted
            .get(index)
            .map_or(0.0, |duration| duration.as_secs_f64() * 1e3);
        (milliseconds * 100.0).round() / 100.0
    };
    json!({ "p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "most": at(1.0) })
}

/// An application that counts only the effects of at-most-once requests, which are sent as POST.
fn counting_app() -> App {
    Arc::new(|head, _| {
        let id = head
            .headers
            .get("x-correlation-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let effect_ids = if head.method == hyper::Method::POST {
            vec![id.clone()]
        } else {
            vec![]
        };
        AppResponse {
            effect_ids,
            status: hyper::StatusCode::OK,
            body: id,
            completion: Completion::AsConfigured,
        }
    })
}
