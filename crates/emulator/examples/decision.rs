//! Measures the processor time of the decision module for endpoint lists of several lengths: for the initial list, for a
//! request from its arrival to its answer, and for an update in which a tenth of the servers have restarted.
//!
//! `cargo run --release -p reelfall-emulator --example decision [LENGTH...]`

use reelfall_balancer::interface::{
    Action, ClassId, Endpoint, Event, Outcome, RequestId, ServerId, ServerState, Time, UpdateKind,
};
use reelfall_balancer::settings::SettingsError;
use reelfall_balancer::Balancer;
use std::fmt;
use std::num::ParseIntError;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Default lengths of lists.
const DEFAULT_LENGTHS: [u32; 4] = [10, 60, 300, 1000];
/// Maximum number of requests for each length.
const MAX_REQUESTS: u32 = 50_000;
/// Minimum number of requests for each length.
const MIN_REQUESTS: u32 = 2_000;
/// Maximum product of the number of requests and the length, if that permits [`MIN_REQUESTS`].
const REQUESTS_TIMES_LENGTH: u32 = 50_000_000;
/// Interval between two requests, in seconds.
const REQUEST_INTERVAL: Time = 0.01;
/// Latency of each request, in seconds.
const LATENCY: Time = 0.005;
/// Time until the deadline of a request, in seconds.
const REMAINING: Time = 0.6;
/// Work of each request, in seconds on a standard core.
const WORK_HINT: f64 = 0.02;
/// Number of classes in [`SETTINGS`].
const CLASSES: u32 = 2;
/// One in this many servers has restarted.
const RESTARTED_STEP: usize = 10;
/// Seed of the decision module's random numbers.
const SEED: u64 = 7;

/// Settings of the fourth of 100 nodes that receive 20 requests per second each.
const SETTINGS: &str = r#"{"categories":[
    {"name":"read","promise":0.2,"deadline":0.6,"worth":1.0,"late-value":0.3,"effect":"idempotent"},
    {"name":"write","promise":0.2,"deadline":0.6,"worth":1.0,"late-value":0.3,"effect":"at_most_once"}],
    "tenants":[{"name":"a","portion":1.0,"quota-rps":2000.0}],
    "replicas-of-me":100,"my-number":3,"weight-kind":"nominal","limits":{"max-attempts":4}}"#;

/// Why nothing was measured.
#[derive(Error)]
enum DecisionError {
    #[error("invalid list length: {0}")]
    Length(ParseIntError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// `main` prints its error with this format.
impl fmt::Debug for DecisionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecisionError::Length(_) => fmt::Debug::fmt(&self.to_string(), f),
            DecisionError::Settings(error) => fmt::Debug::fmt(error, f),
        }
    }
}

fn main() -> Result<(), DecisionError> {
    let (settings, ..) = reelfall_balancer::settings::read(SETTINGS)?;
    let lengths = lengths()?;
    println!("servers    list ms  restarts ms  request us");
    for servers in lengths {
        let mut balancer = Balancer::new(settings.clone(), SEED, 0.0)?;
        let list = update(&mut balancer, 0.0, UpdateKind::Cached, endpoints(servers));
        let requests = run_requests(&mut balancer, servers);
        let restarted = endpoints(servers)
            .step_by(RESTARTED_STEP)
            .map(|endpoint| Endpoint {
                started_at: requests.end,
                ..endpoint
            });
        let restarts = update(&mut balancer, requests.end, UpdateKind::Delta, restarted);
        let [list, restarts] = [list, restarts].map(|time| time.as_secs_f64() * 1e3);
        let request = requests.mean_microseconds;
        println!("{servers:>7}  {list:>9.2}  {restarts:>11.2}  {request:>10.2}");
    }
    Ok(())
}

/// The lengths on the command line.
fn lengths() -> Result<Vec<u32>, DecisionError> {
    let lengths: Result<Vec<u32>, _> = std::env::args()
        .skip(1)
        .map(|length| length.parse())
        .collect();
    let mut lengths = lengths.map_err(DecisionError::Length)?;
    if lengths.is_empty() {
        lengths.extend(DEFAULT_LENGTHS);
    }
    Ok(lengths)
}

fn endpoints(servers: u32) -> impl Iterator<Item = Endpoint> {
    (0..servers).map(endpoint)
}

fn endpoint(server: ServerId) -> Endpoint {
    Endpoint {
        server,
        hash: u64::from(server + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Up,
        weight: 1.0,
        started_at: 0.0,
        local_balancers: 1,
    }
}

/// Updates the endpoint list; returns how long the decision module took.
fn update(
    balancer: &mut Balancer,
    now: Time,
    kind: UpdateKind,
    endpoints: impl Iterator<Item = Endpoint>,
) -> Duration {
    let endpoints = endpoints.collect();
    let mut actions = Vec::new();
    let started_at = Instant::now();
    let event = Event::EndpointUpdate { kind, endpoints };
    balancer.handle(now, event, &mut actions);
    started_at.elapsed()
}

/// The requests for one length.
struct Requests {
    /// The time at which the last request arrived.
    end: Time,
    /// Mean time that the decision module took for a request.
    mean_microseconds: f64,
}

fn run_requests(balancer: &mut Balancer, servers: u32) -> Requests {
    let count = (REQUESTS_TIMES_LENGTH / servers.max(1)).clamp(MIN_REQUESTS, MAX_REQUESTS);
    let mut now = 0.0;
    let mut actions = Vec::new();
    let started_at = Instant::now();
    for request in 0..count {
        now += REQUEST_INTERVAL;
        run_request(balancer, now, request, &mut actions);
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    Requests {
        end: now,
        mean_microseconds: elapsed * 1e6 / f64::from(count),
    }
}

/// Runs a request that is served by its first attempt.
fn run_request(balancer: &mut Balancer, now: Time, request: RequestId, actions: &mut Vec<Action>) {
    actions.clear();
    let arrival = Event::Request {
        request,
        class: (request % CLASSES) as ClassId,
        tenant: Some(0),
        work_hint: Some(WORK_HINT),
        key: None,
        remaining: REMAINING,
    };
    balancer.handle(now, arrival, actions);
    let server_of = |action: &Action| match action {
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    };
    let Some(server) = actions.iter().find_map(server_of) else {
        return;
    };
    let ended = Event::AttemptEnded {
        request,
        attempt: 0,
        server,
        outcome: Outcome::Served,
        latency: LATENCY,
        request_ended: true,
        load: None,
    };
    balancer.handle(now + LATENCY, ended, actions);
}
