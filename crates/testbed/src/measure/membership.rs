//! The measurement `membership`: the cost of following a registry. Measures CPU time, traffic and memory by the number of
//! entries, with and without changes; the recovery time after the loss of a member or session; and the CPU time of a request
//! compared with a static server list.

use super::error::MeasureError;
use super::{median, round_to_tenth, Plan, Subject};
use crate::membership::{node_settings, workload, RegisteredServer, SERVERS_PATH};
use crate::node::{cpu_seconds, memory_kib, Node, WAIT_TIMEOUT};
use crate::pool::{Pool, ServerBehavior};
use crate::registry::Registry;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Map, Value};
use std::time::{Duration, Instant};

/// The numbers of entries for which a node is measured.
const ENTRY_COUNTS: [usize; 3] = [50, 500, 5_000];
/// Rate of changes to the entries.
const CHANGES_PER_SECOND: u64 = 1_000;
/// Interval at which the changes that are due are made.
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// Number of pools of a node that follow the entries: one for each service.
const POOLS: usize = 2;
/// How long a node that has started takes to become idle.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// How long a node takes to handle the last change.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Number of members of the registry in the measurement of recovery.
const MEMBERS: usize = 3;
/// Number of measured member losses, and of measured session expirations.
const RECOVERIES: usize = 10;
/// Time between a recovery and the next fault.
const PAUSE: Duration = Duration::from_millis(200);
/// Number of requests that a node sends to recover: for each pool a sync, a watch, the list and both entries.
const RECOVERY_REQUESTS: u64 = 10;
const POOL_SEED: u64 = 1;

/// Runs all measurements and returns the figures.
///
/// # Errors
/// If a stand-in or a node can't be started, or a subject does not serve its load.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let mut by_count = Map::new();
    for count in ENTRY_COUNTS {
        let figures = measure_entries(program, count, plan.round_duration).await?;
        by_count.insert(count.to_string(), figures);
    }
    let mut figures = Map::new();
    figures.insert("entries".to_owned(), Value::Object(by_count));
    figures.insert("healing_ms".to_owned(), measure_recovery(program).await?);
    figures.insert(
        "requests".to_owned(),
        measure_requests(program, plan).await?,
    );
    Ok(Value::Object(figures))
}

/// The data of the entry of a draining server, to which no request is sent. The address differs from round to round.
fn draining_entry(index: usize, round: u64) -> Vec<u8> {
    let address = format!(
        "127.{}.{}.{}:9",
        10 + round % 100,
        index / 250,
        1 + index % 250
    );
    format!("{{\"address\":\"{address}\",\"state\":\"draining\",\"zone\":\"a\",\"started\":1000}}")
        .into_bytes()
}

fn entry_path(index: usize) -> String {
    format!("{SERVERS_PATH}/s{index}")
}

/// Starts a node that follows the registry, and waits until it serves.
async fn start_node(program: &Program, registry: &Registry, registry_lines: &str) -> Result<Node> {
    let node = Node::start(program, &node_settings(registry, "", registry_lines)).await?;
    node.wait_for_health("/_health", true).await?;
    Ok(node)
}

fn register_all(registry: &Registry, pool: &Pool) -> Vec<RegisteredServer> {
    let servers = pool.servers.iter();
    servers
        .map(|server| RegisteredServer::register(registry, server, &server.name, 0))
        .collect()
}

/// CPU time of the node's process and bytes sent by the registry, since their start or over an interval.
struct Usage {
    cpu_seconds: f64,
    bytes_sent: u64,
}

impl Usage {
    fn read(node: &Node, registry: &Registry) -> Result<Usage> {
        Ok(Usage {
            cpu_seconds: cpu_seconds(node.pid())?,
            bytes_sent: registry.counters().bytes_sent,
        })
    }

    /// The usage since `self` was read.
    fn since(&self, node: &Node, registry: &Registry) -> Result<Usage> {
        let now = Usage::read(node, registry)?;
        Ok(Usage {
            cpu_seconds: now.cpu_seconds - self.cpu_seconds,
            bytes_sent: now.bytes_sent - self.bytes_sent,
        })
    }
}

/// Measures a node with two pools that each follow `count` entries, first idle and then while entries change.
async fn measure_entries(program: &Program, count: usize, duration: Duration) -> Result<Value> {
    let registry = Registry::start(1).await?;
    let behavior = ServerBehavior::healthy(Duration::from_millis(1));
    let pool = Pool::start("real", 1, behavior, POOL_SEED).await?;
    let _real = RegisteredServer::register(&registry, &pool.servers[0], "real", 0);
    let node = start_node(program, &registry, "").await?;
    let memory_without_entries = memory_kib(node.pid())?;
    drop(node);
    let session = registry.open_session();
    for index in 0..count {
        registry.put(&entry_path(index), &draining_entry(index, 0), session);
    }
    let started = Instant::now();
    let node = start_node(program, &registry, "").await?;
    let ready_ms = started.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep(SETTLE_TIME).await;
    let memory = memory_kib(node.pid())?;
    let before = Usage::read(&node, &registry)?;
    tokio::time::sleep(duration).await;
    let at_rest = before.since(&node, &registry)?;
    let before = Usage::read(&node, &registry)?;
    let changes = change_entries(&registry, session, count, duration).await;
    tokio::time::sleep(DRAIN_TIME).await;
    let while_changing = before.since(&node, &registry)?;
    let seconds = duration.as_secs_f64();
    let pool_changes = (POOLS as u64 * changes) as f64;
    let kib_per_entry = (memory as f64 - memory_without_entries as f64) / (POOLS * count) as f64;
    Ok(json!({
        "ready_ms": round_to_tenth(ready_ms),
        "kib_for_each_and_pool": (kib_per_entry * 100.0).round() / 100.0,
        "rest_cpu_percent": round_to_tenth(at_rest.cpu_seconds / seconds * 100.0),
        "rest_bytes_a_second": round_to_tenth(at_rest.bytes_sent as f64 / seconds),
        "changes": changes,
        "cpu_us_for_each_change_and_pool": round_to_tenth(while_changing.cpu_seconds * 1e6 / pool_changes),
        "bytes_for_each_change_and_pool": round_to_tenth(while_changing.bytes_sent as f64 / pool_changes),
        "kib_grown_in_motion": memory_kib(node.pid())?.saturating_sub(memory),
    }))
}

/// Changes entries at `CHANGES_PER_SECOND` for `duration`; returns the number of changes.
async fn change_entries(
    registry: &Registry,
    session: i64,
    count: usize,
    duration: Duration,
) -> u64 {
    let started = Instant::now();
    let mut changes = 0u64;
    while started.elapsed() < duration {
        let due = (started.elapsed().as_secs_f64() * CHANGES_PER_SECOND as f64) as u64;
        while changes < due {
            changes += 1;
            let index = changes as usize % count;
            let round = 1 + changes / count as u64;
            registry.put(&entry_path(index), &draining_entry(index, round), session);
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    changes
}

/// Measures how long the node takes to read everything again after the loss of a member, and after its sessions expire.
async fn measure_recovery(program: &Program) -> Result<Value> {
    let registry = Registry::start(MEMBERS).await?;
    let behavior = ServerBehavior::healthy(Duration::from_millis(1));
    let pool = Pool::start("real", 2, behavior, POOL_SEED).await?;
    let registered = register_all(&registry, &pool);
    let _node = start_node(program, &registry, "connect = \"500ms\"").await?;
    let server_sessions: Vec<i64> = registered.iter().map(|server| server.session).collect();
    let (mut fail_over_ms, mut expiry_ms) = (vec![], vec![]);
    for _ in 0..RECOVERIES {
        // Only the last member is up again, so both pools connect to it, whichever member they were connected to.
        let before = registry.counters().requests;
        for member in 0..MEMBERS {
            registry.set_member_down(member, true);
        }
        registry.set_member_down(MEMBERS - 1, false);
        fail_over_ms.push(recovery_ms(&registry, before).await?);
        for member in 0..MEMBERS - 1 {
            registry.set_member_down(member, false);
        }
        tokio::time::sleep(PAUSE).await;
        let before = registry.counters().requests;
        let sessions = registry.sessions().into_iter();
        for session in sessions.filter(|session| !server_sessions.contains(session)) {
            registry.expire_session(session);
        }
        expiry_ms.push(recovery_ms(&registry, before).await?);
        tokio::time::sleep(PAUSE).await;
    }
    let maximum = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    Ok(json!({
        "fail_over_median": round_to_tenth(median(fail_over_ms.iter().copied())),
        "fail_over_most": round_to_tenth(maximum(&fail_over_ms)),
        "expiry_median": round_to_tenth(median(expiry_ms.iter().copied())),
        "expiry_most": round_to_tenth(maximum(&expiry_ms)),
    }))
}

/// Milliseconds until the registry has received `RECOVERY_REQUESTS` more requests than `before`.
async fn recovery_ms(registry: &Registry, before: u64) -> Result<f64> {
    let started = Instant::now();
    while registry.counters().requests < before + RECOVERY_REQUESTS {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(MeasureError::NotRecovered.into());
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(started.elapsed().as_secs_f64() * 1e3)
}

/// CPU time of a request with a static server list, and with servers from a registry.
async fn measure_requests(program: &Program, plan: &Plan) -> Result<Value> {
    let registry = Registry::start(1).await?;
    let behavior = ServerBehavior::healthy(Duration::from_millis(2));
    let pool = Pool::start("flags", 8, behavior, POOL_SEED).await?;
    let _registered = register_all(&registry, &pool);
    let registry_settings = node_settings(&registry, "", "");
    let static_settings = with_static_list(&registry_settings, &pool);
    let mut subjects = Vec::new();
    for (name, settings) in [
        ("static_list", &static_settings),
        ("registry", &registry_settings),
    ] {
        let node = Node::start(program, settings).await?;
        node.wait_for_health("/_health", true).await?;
        let workloads = vec![workload(name, "evaluate", plan.rate)];
        let subject = Subject::from_node(name, node, workloads);
        subject.warm_up().await;
        subjects.push(subject);
    }
    for round in 0..plan.rounds {
        // The order alternates, so that neither subject always runs first.
        for position in 0..subjects.len() {
            let index = (position + round) % subjects.len();
            subjects[index].measure_round(plan, round as u64).await?;
        }
    }
    let (static_list, registry) = (&subjects[0], &subjects[1]);
    let rounds = registry.cpu_us.iter().zip(&static_list.cpu_us);
    let ratio = median(rounds.map(|(registry, static_list)| registry / static_list));
    Ok(json!({
        "static_list": static_list.figures(),
        "registry": registry.figures(),
        "registry_over_static": ratio,
    }))
}

/// The settings with the servers of the pool listed in each service in place of its registry.
fn with_static_list(settings: &str, pool: &Pool) -> String {
    let is_registry_line = |line: &&str| line.starts_with("registry = {");
    let replace = |part: &str| {
        if !part.contains("registry = {") {
            return part.to_owned();
        }
        let other_lines: Vec<&str> = part
            .lines()
            .filter(|line| !is_registry_line(line))
            .collect();
        other_lines.join("\n") + "\n" + &pool.server_settings()
    };
    let parts: Vec<String> = settings.split("[[service]]").map(replace).collect();
    parts.join("[[service]]")
}
