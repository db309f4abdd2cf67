//! The measurement `services`: CPU time and latency per request compared with a bare relay, CPU time of rejections and route
//! lookups, and memory of an idle service. Run by the command `measure services`.

mod routes;
mod subjects;

use super::{measure_rounds, median, median_ratio, round_to_tenth, Plan, Subject};
use crate::load;
use crate::node::{cpu_seconds, memory_kib, Node, Program};
use crate::pool::{Pool, ServerBehavior};
use crate::Result;
use serde_json::{json, Map, Value};
use std::time::Duration;
use subjects::{evaluate_requests, service_host, settings};

const SERVERS_PER_POOL: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Maximum number of rounds for the comparison of rejected with served requests; a plan may have fewer.
const REJECTION_ROUNDS: usize = 3;
const REJECTION_SEED_BASE: u64 = 50;
/// A limit that rejects almost all requests.
const LOW_LIMIT: &str = "limits = { rate = \"1/s\", burst = 1 }\n";
const IDLE_SERVERS_PER_SERVICE: usize = 8;
/// The memory of a service is the difference between a node with few and one with many idle services.
const FEW_IDLE_SERVICES: usize = 1;
const MANY_IDLE_SERVICES: usize = 101;
const US_PER_SECOND: f64 = 1e6;

/// Runs all measurements and returns the figures.
///
/// # Errors
/// If a subject can't be started.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    let pools = [
        Pool::start("a", SERVERS_PER_POOL, behavior.clone(), 1).await?,
        Pool::start("b", SERVERS_PER_POOL, behavior.clone(), 2).await?,
        Pool::start("c", SERVERS_PER_POOL, behavior, 3).await?,
    ];
    let discovery = subjects::start_discovery(&pools[0]).await?;
    let mut subjects = subjects::start(program, plan, &pools, discovery.address).await?;
    for subject in &subjects {
        subject.warm_up().await;
    }
    measure_rounds(&mut subjects, plan).await?;
    let mut figures = compare(&subjects);
    drop(subjects);
    let rejections = measure_rejections(program, &pools[0], plan).await?;
    figures.insert("refusal".to_owned(), rejections);
    let idle_service = measure_idle_service(program).await?;
    figures.insert("idle_service_kib".to_owned(), idle_service);
    figures.insert("routes".to_owned(), routes::measure());
    Ok(Value::Object(figures))
}

/// The figures of each subject, with its CPU time as a multiple of that of the relay and of the baseline.
fn compare(subjects: &[Subject]) -> Map<String, Value> {
    let mut figures = Map::new();
    for subject in subjects {
        let ratio_to = |name: &str| {
            let base = subjects.iter().find(|other| other.name == name)?;
            Some(median_ratio(&subject.cpu_us, &base.cpu_us))
        };
        let mut subject_figures = subject.figures();
        subject_figures["cpu_over_relay"] = json!(ratio_to("relay"));
        subject_figures["cpu_over_old"] = json!(ratio_to("old"));
        figures.insert(subject.name.to_owned(), subject_figures);
    }
    figures
}

/// CPU time of requests to a node that rejects almost all of them, compared with a node that serves them.
async fn measure_rejections(program: &Program, pool: &Pool, plan: &Plan) -> Result<Value> {
    let served = cpu_with_limits(program, pool, plan, "").await?;
    let rejected = cpu_with_limits(program, pool, plan, LOW_LIMIT).await?;
    Ok(json!({
        "served_cpu_us": round_to_tenth(served),
        "refused_cpu_us": round_to_tenth(rejected),
        "refused_over_served": rejected / served,
    }))
}

/// CPU time per request to a service with these limits, in microseconds.
async fn cpu_with_limits(program: &Program, pool: &Pool, plan: &Plan, limits: &str) -> Result<f64> {
    let settings = settings(|_| pool.server_settings(), 1, limits);
    let node = Node::start(program, &settings).await?;
    node.wait_for_health("/_health", true).await?;
    let mut cpu_us = Vec::new();
    for round in 0..plan.rounds.min(REJECTION_ROUNDS) {
        let name = format!("refused{}{round}", limits.len());
        let workload = evaluate_requests(&name, &service_host(0), plan.rate);
        let cpu_before = cpu_seconds(node.pid())?;
        let seed = REJECTION_SEED_BASE + round as u64;
        let results = load::run(node.address(), &[workload], plan.round_duration, seed).await;
        let cpu_used = cpu_seconds(node.pid())? - cpu_before;
        cpu_us.push(cpu_used * US_PER_SECOND / results[0].sent.max(1) as f64);
    }
    Ok(median(cpu_us.into_iter()))
}

/// Memory of one service that has servers but receives no requests, in KiB.
async fn measure_idle_service(program: &Program) -> Result<Value> {
    let few = memory_of_idle_services(program, FEW_IDLE_SERVICES).await?;
    let many = memory_of_idle_services(program, MANY_IDLE_SERVICES).await?;
    let added_services = (MANY_IDLE_SERVICES - FEW_IDLE_SERVICES) as f64;
    Ok(json!(round_to_tenth((many - few) / added_services)))
}

async fn memory_of_idle_services(program: &Program, services: usize) -> Result<f64> {
    let settings = settings(unreachable_servers, services, "");
    let node = Node::start(program, &settings).await?;
    node.wait_for_health("/_health", true).await?;
    Ok(memory_kib(node.pid())? as f64)
}

/// Server sections whose addresses nothing listens on; no request is sent to them.
fn unreachable_servers(service: usize) -> String {
    let section = |server: usize| {
        format!(
            "[[service.server]]\nname = \"s{server}\"\naddress = \"127.9.{service}.{server}:9000\"\n"
        )
    };
    (1..=IDLE_SERVERS_PER_SERVICE).map(section).collect()
}
