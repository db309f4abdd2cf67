//! What following a registry costs: entries at rest and in motion, healing, and a request against one with a static list.

use super::{median, round_to_tenth, Plan, Subject};
use crate::membership::{kind, settings, Announced, PATH};
use crate::node::{cpu_seconds, memory_kib, Node, PATIENCE};
use crate::pool::{Pool, ServerBehavior};
use crate::registry::Registry;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Changes a second while entries are in motion.
const CHANGES: u64 = 1_000;

/// Runs all measurements and gives the figures.
///
/// # Errors
/// If a stand-in or a node can't be started.
pub async fn run(program: &Program, plan: &Plan) -> Result<Value> {
    let mut figures = serde_json::Map::new();
    let mut of_entries = serde_json::Map::new();
    for n in [50, 500, 5_000] {
        of_entries.insert(
            n.to_string(),
            entries(program, n, plan.round_duration).await?,
        );
    }
    figures.insert("entries".to_owned(), Value::Object(of_entries));
    figures.insert("healing_ms".to_owned(), healing(program).await?);
    figures.insert("requests".to_owned(), requests(program, plan).await?);
    Ok(Value::Object(figures))
}

/// An entry of a server that nobody asks, since it drains.
fn entry(n: usize, round: u64) -> Vec<u8> {
    let address = format!("127.{}.{}.{}:9", 10 + round % 100, n / 250, 1 + n % 250);
    format!("{{\"address\":\"{address}\",\"state\":\"draining\",\"zone\":\"a\",\"started\":1000}}")
        .into_bytes()
}

/// Two pools that follow so many entries.
async fn entries(program: &Program, n: usize, time: Duration) -> Result<Value> {
    let registry = Registry::start(1).await?;
    let pool = Pool::start(
        "real",
        1,
        ServerBehavior::healthy(Duration::from_millis(1)),
        1,
    )
    .await?;
    let _real = Announced::enter(&registry, &pool.servers[0], "real", 0);
    // What a node needs without any of them.
    let node = Node::start(program, &settings(&registry, "", "")).await?;
    node.until_health("/_health", true).await?;
    let bare = memory_kib(node.pid())?;
    drop(node);
    let session = registry.open_session();
    (0..n).for_each(|i| registry.put(&format!("{PATH}/s{i}"), &entry(i, 0), session));
    let begun = Instant::now();
    let node = Node::start(program, &settings(&registry, "", "")).await?;
    node.until_health("/_health", true).await?;
    let ready_ms = begun.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let held = memory_kib(node.pid())?;
    // At rest.
    let (cpu, bytes) = (cpu_seconds(node.pid())?, registry.counts().bytes);
    tokio::time::sleep(time).await;
    let rest_cpu = cpu_seconds(node.pid())? - cpu;
    let rest_bytes = registry.counts().bytes - bytes;
    // In motion: data changes, in steps of ten milliseconds.
    let (cpu, bytes, begun) = (
        cpu_seconds(node.pid())?,
        registry.counts().bytes,
        Instant::now(),
    );
    let mut made = 0u64;
    while begun.elapsed() < time {
        let due = (begun.elapsed().as_secs_f64() * CHANGES as f64) as u64;
        while made < due {
            made += 1;
            let i = made as usize % n;
            registry.put(
                &format!("{PATH}/s{i}"),
                &entry(i, 1 + made / n as u64),
                session,
            );
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let churn_cpu = cpu_seconds(node.pid())? - cpu;
    let churn_bytes = registry.counts().bytes - bytes;
    let seconds = time.as_secs_f64();
    Ok(json!({
        "ready_ms": round_to_tenth(ready_ms),
        "kib_for_each_and_pool": ((held as f64 - bare as f64) / (2 * n) as f64 * 100.0).round() / 100.0,
        "rest_cpu_percent": round_to_tenth(rest_cpu / seconds * 100.0),
        "rest_bytes_a_second": round_to_tenth(rest_bytes as f64 / seconds),
        "changes": made,
        "cpu_us_for_each_change_and_pool": round_to_tenth(churn_cpu * 1e6 / (2 * made) as f64),
        "bytes_for_each_change_and_pool": round_to_tenth(churn_bytes as f64 / (2 * made) as f64),
        "kib_grown_in_motion": memory_kib(node.pid())?.saturating_sub(held),
    }))
}

/// From a member's end, and from that of the node's sessions, until all has been read again.
async fn healing(program: &Program) -> Result<Value> {
    let registry = Registry::start(3).await?;
    let pool = Pool::start(
        "real",
        2,
        ServerBehavior::healthy(Duration::from_millis(1)),
        1,
    )
    .await?;
    let entered: Vec<Announced> = pool
        .servers
        .iter()
        .map(|s| Announced::enter(&registry, s, &s.name, 0))
        .collect();
    let node = Node::start(program, &settings(&registry, "", "connect = \"500ms\"")).await?;
    node.until_health("/_health", true).await?;
    let servers: Vec<i64> = entered.iter().map(|e| e.session).collect();
    let of_node = || -> Vec<i64> {
        registry
            .sessions()
            .into_iter()
            .filter(|s| !servers.contains(s))
            .collect()
    };
    // Each pool asks for a sync, a watch, the list, and both entries.
    let asked_again = async |before: u64| -> Result<f64> {
        let begun = Instant::now();
        while registry.counts().requests < before + 10 {
            if begun.elapsed() > PATIENCE {
                return Err("it does not heal".into());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(begun.elapsed().as_secs_f64() * 1e3)
    };
    let (mut failed_over, mut expired) = (vec![], vec![]);
    for _ in 0..10 {
        // Whichever members they are at: two go, so that both pools come to the third.
        let before = registry.counts().requests;
        (0..3).for_each(|m| registry.drop_member(m, true));
        registry.drop_member(2, false);
        failed_over.push(asked_again(before).await?);
        (0..2).for_each(|m| registry.drop_member(m, false));
        tokio::time::sleep(Duration::from_millis(200)).await;
        let before = registry.counts().requests;
        for session in of_node() {
            registry.kill(session);
        }
        expired.push(asked_again(before).await?);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let most = |of: &[f64]| of.iter().copied().fold(0.0, f64::max);
    Ok(json!({
        "fail_over_median": round_to_tenth(median(failed_over.iter().copied())), "fail_over_most": round_to_tenth(most(&failed_over)),
        "expiry_median": round_to_tenth(median(expired.iter().copied())), "expiry_most": round_to_tenth(most(&expired)),
    }))
}

/// Processor time for a request, with a static list and with a registry's.
async fn requests(program: &Program, plan: &Plan) -> Result<Value> {
    let registry = Registry::start(1).await?;
    let pool = Pool::start(
        "flags",
        8,
        ServerBehavior::healthy(Duration::from_millis(2)),
        1,
    )
    .await?;
    let _entered: Vec<Announced> = pool
        .servers
        .iter()
        .map(|s| Announced::enter(&registry, s, &s.name, 0))
        .collect();
    let follows = settings(&registry, "", "");
    let listed = follows
        .split("[[service]]")
        .map(|part| match part.contains("registry = {") {
            true => {
                let lines = part.lines().filter(|l| !l.starts_with("registry = {"));
                lines.collect::<Vec<_>>().join("\n") + "\n" + &pool.server_settings()
            }
            false => part.to_owned(),
        });
    let listed = listed.collect::<Vec<_>>().join("[[service]]");
    let mut subjects = Vec::new();
    for (name, text) in [("static_list", &listed), ("registry", &follows)] {
        let node = Node::start(program, text).await?;
        node.until_health("/_health", true).await?;
        let subject = Subject::from_node(name, node, vec![kind(name, "evaluate", plan.rate)]);
        subject.warm_up().await;
        subjects.push(subject);
    }
    for round in 0..plan.rounds {
        for n in 0..2 {
            subjects[(n + round) % 2]
                .measure_round(plan, round as u64)
                .await?;
        }
    }
    let ratio = median(
        subjects[1]
            .cpu_us
            .iter()
            .zip(&subjects[0].cpu_us)
            .map(|(a, b)| a / b),
    );
    Ok(json!({
        "static_list": subjects[0].figures(), "registry": subjects[1].figures(), "registry_over_static": ratio,
    }))
}
