//! GraphQL under forced failures at every stage of an attempt: reads, mutations and mixed batches.
//!
//! Promises: no effect twice; every request answered once and in time; what is told of an entry is true; reads are saved
//! that treating each POST as unsafe would have lost.

use super::Report;
use crate::client::Client;
use crate::graphql;
use crate::node::Node;
use crate::pool::{Corruption, Pool, ServerBehavior};
use crate::scripted::Program;
use crate::{Result, SeededRng};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// How many requests, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Requests.
    pub requests: u64,
    /// A second.
    pub rate: f64,
}

impl Scale {
    /// The whole of it: under a minute.
    pub const WHOLE: Scale = Scale {
        requests: 6_000,
        rate: 200.0,
    };
    /// What fits into a test.
    pub const SMALL: Scale = Scale {
        requests: 300,
        rate: 100.0,
    };
}

/// The client waits so long.
const DEADLINE: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Sums {
    answered: u64,
    lost: u64,
    late: u64,
    reads: u64,
    reads_served: u64,
    /// Ids of mutations that the client was told a repeat of is harmless.
    harmless: Vec<String>,
    /// Ids of mutations that were answered with data.
    done: Vec<String>,
    statuses: HashMap<u16, u64>,
}

impl Sums {
    /// Share of reads that were answered with data, in percent.
    fn served(&self) -> f64 {
        100.0 * self.reads_served as f64 / self.reads.max(1) as f64
    }
}

fn read(n: u64) -> Value {
    json!({ "query": "query Q($f: String) { evaluate(flag: $f) { on } }", "variables": { "f": format!("f{n}") } })
}

fn write(id: &str) -> Value {
    json!({ "query": "mutation M($id: ID!) { ...F } fragment F on Mutation { evaluate: toggle(id: $id) { id } }",
        "variables": { "id": id } })
}

/// One request and the ids of its mutations by the place of their entries.
fn request(n: u64) -> (Value, Vec<Option<String>>) {
    let (a, b) = (format!("a{n}"), format!("b{n}"));
    match n % 4 {
        0 | 1 => (read(n), vec![None]),
        2 => (write(&a), vec![Some(a)]),
        _ => (
            json!([read(n), write(&a), read(n), write(&b)]),
            vec![None, Some(a), None, Some(b)],
        ),
    }
}

/// Plays the scenario twice: as it is meant, and with every operation mapped to an unsafe class, as a proxy would have it
/// that takes each POST for one.
///
/// # Errors
/// If a stand-in or the node can't be started; a broken promise is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let (sums, pool) = play(program, scale, |settings| settings).await?;
    judge(&mut report, &sums, &pool, scale);
    let all_unsafe = |settings: String| {
        settings
            .replace("evaluate = \"evaluate\"", "evaluate = \"toggle\"")
            .replace("other_query = \"evaluate\"", "other_query = \"toggle\"")
    };
    let half = Scale {
        requests: scale.requests / 2,
        ..scale
    };
    let (blunt, _) = play(program, half, all_unsafe).await?;
    let (served, without) = (sums.served(), blunt.served());
    report.figure("reads_served_percent", round(served));
    report.figure(
        "reads_served_percent_if_every_post_is_unsafe",
        round(without),
    );
    report.figure(
        "reads_saved_percent_of_those_lost",
        round(100.0 * (served - without) / (100.0 - without).max(0.01)),
    );
    report.promise(served > without, || {
        format!("{served:.1} % of reads are served, {without:.1} % if each is unsafe")
    });
    Ok(report)
}

fn round(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

async fn play(
    program: &Program,
    scale: Scale,
    settings: impl Fn(String) -> String,
) -> Result<(Sums, Pool)> {
    let manner = ServerBehavior {
        shed_ratio: 0.05,
        close_before_effect_ratio: 0.05,
        error_ratio: 0.05,
        close_after_effect_ratio: 0.05,
        corrupt_ratio: 0.05,
        ..ServerBehavior::healthy(Duration::from_millis(5))
    };
    let pool = Pool::start_with_app("graphql", 6, 8, manner, 21, &graphql::app()).await?;
    let settings = settings(graphql::settings(
        &pool,
        "tries = { most = 4, retry_share = 1.0 }",
    ));
    let mut node = Node::start(program, &settings).await?;
    node.until_health("/_health", true).await?;
    let sums = Arc::new(Mutex::new(Sums::default()));
    let client = Arc::new(Client::new(node.address()));
    let mut running = JoinSet::new();
    let (mut draw, begun, mut at) = (SeededRng(77), Instant::now(), 0.0);
    for n in 0..scale.requests {
        at += draw.next_gap(scale.rate);
        tokio::time::sleep_until((begun + Duration::from_secs_f64(at)).into()).await;
        // Now and then one server stands still, and the answers are spoilt in another way.
        if n % 50 == 0 {
            let frozen = draw.next_u64() as usize % (2 * pool.servers.len());
            let spoil = [
                Corruption::Truncated,
                Corruption::WrongContentType,
                Corruption::OtherResponse,
            ][draw.next_u64() as usize % 3];
            for (s, server) in pool.servers.iter().enumerate() {
                server.update_behavior(|m| (m.is_frozen, m.corruption) = (s == frozen, spoil));
            }
        }
        let (client, sums) = (client.clone(), sums.clone());
        running.spawn(async move { one(&client, n, &sums).await });
        while running.try_join_next().is_some() {}
    }
    pool.servers
        .iter()
        .for_each(|s| s.update_behavior(|m| m.is_frozen = false));
    while running.join_next().await.is_some() {}
    node.signal("TERM")?;
    node.ended().await?;
    let sums = std::mem::take(&mut *sums.lock().unwrap_or_else(PoisonError::into_inner));
    Ok((sums, pool))
}

async fn one(client: &Client, n: u64, sums: &Mutex<Sums>) {
    let (body, ids) = request(n);
    let request = Request::post("/graphql")
        .header("host", "flags.example.org")
        .header("content-type", "application/json")
        .header("accept", "application/graphql-response+json")
        .header("x-time-left", DEADLINE.as_secs_f64().to_string());
    let Ok(request) = request.body(Full::new(Bytes::from(body.to_string()))) else {
        return;
    };
    let begun = Instant::now();
    let got = tokio::time::timeout(DEADLINE + Duration::from_secs(10), client.send(request)).await;
    let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
    let Ok(Ok(got)) = got else {
        sums.lost += 1;
        return;
    };
    sums.answered += 1;
    // A margin for a busy machine; a node that forgot its deadline would be off by seconds.
    sums.late += u64::from(begun.elapsed() > DEADLINE + Duration::from_millis(500));
    *sums.statuses.entry(got.status.as_u16()).or_default() += 1;
    let said: Value = serde_json::from_slice(&got.body).unwrap_or_default();
    for (place, id) in ids.iter().enumerate() {
        let entry = if said.is_array() { &said[place] } else { &said };
        let data = entry.get("data").is_some_and(Value::is_object);
        match id {
            None => {
                sums.reads += 1;
                sums.reads_served += u64::from(data);
            }
            Some(id) if data => sums.done.push(id.clone()),
            Some(id) if entry["errors"][0]["extensions"]["retryable"] == true => {
                sums.harmless.push(id.clone())
            }
            Some(_) => {}
        }
    }
}

fn judge(report: &mut Report, sums: &Sums, pool: &Pool, scale: Scale) {
    let effects = pool.effect_counts();
    let ran = |id: &String| effects.contains_key(id);
    let untrue = sums.harmless.iter().filter(|id| ran(id)).count();
    let undone = sums.done.iter().filter(|id| !ran(id)).count();
    report.figure("requests", scale.requests);
    report.figure(
        "statuses",
        json!(sums
            .statuses
            .iter()
            .map(|(s, n)| (s.to_string(), n))
            .collect::<HashMap<_, _>>()),
    );
    report.figure("effects", effects.len());
    report.figure("effects_twice", pool.duplicate_effects());
    report.figure("reads", sums.reads);
    report.figure("mutations_told_harmless_to_repeat", sums.harmless.len());
    report.promise(sums.lost == 0 && sums.answered == scale.requests, || {
        format!(
            "{} of {} without an answer",
            scale.requests - sums.answered,
            scale.requests
        )
    });
    report.promise(sums.late == 0, || {
        format!("{} answers after the deadline", sums.late)
    });
    report.promise(pool.duplicate_effects() == 0, || {
        format!("{} effects twice", pool.duplicate_effects())
    });
    report.promise(untrue == 0, || {
        format!("{untrue} were told to be harmless to repeat, and ran")
    });
    report.promise(undone == 0, || {
        format!("{undone} were told to be done, and did not run")
    });
}
