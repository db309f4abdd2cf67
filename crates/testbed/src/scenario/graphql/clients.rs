//! The clients of the scenario: send requests at random times and meanwhile change the faults of the servers. Called by
//! `run_once` of the parent module.

use super::results::Results;
use super::Scale;
use crate::client::Client;
use crate::pool::{Corruption, Pool};
use crate::SeededRng;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const DEADLINE: Duration = Duration::from_secs(2);
/// Longer than a busy machine delays a response, and shorter than the delay of a node that ignores the deadline, which is
/// seconds.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);
/// A response this long after the deadline counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);
const SEED: u64 = 77;
/// The faults of the servers change after this number of requests.
const REQUESTS_PER_FAULT: u64 = 50;
const CORRUPTIONS: [Corruption; 3] = [
    Corruption::Truncated,
    Corruption::WrongContentType,
    Corruption::OtherResponse,
];

/// Sends all requests and waits for their responses.
pub(super) async fn run(address: SocketAddr, pool: &Pool, scale: Scale) -> Results {
    let results = Arc::new(Mutex::new(Results::default()));
    let client = Arc::new(Client::new(address));
    let mut running = JoinSet::new();
    let mut rng = SeededRng(SEED);
    let started_at = Instant::now();
    let mut offset = 0.0;
    for number in 0..scale.requests {
        offset += rng.next_gap(scale.rate);
        let due = started_at + Duration::from_secs_f64(offset);
        tokio::time::sleep_until(due.into()).await;
        if number % REQUESTS_PER_FAULT == 0 {
            change_faults(pool, &mut rng);
        }
        let (client, results) = (client.clone(), results.clone());
        running.spawn(async move { send_one(&client, number, &results).await });
        while running.try_join_next().is_some() {}
    }
    for server in &pool.servers {
        server.update_behavior(|behavior| behavior.is_frozen = false);
    }
    while running.join_next().await.is_some() {}
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *results)
}

/// Freezes one server or none, and sets how responses are corrupted.
fn change_faults(pool: &Pool, rng: &mut SeededRng) {
    let frozen = rng.next_u64() as usize % (2 * pool.servers.len());
    let corruption = CORRUPTIONS[rng.next_u64() as usize % CORRUPTIONS.len()];
    for (index, server) in pool.servers.iter().enumerate() {
        server.update_behavior(|behavior| {
            behavior.is_frozen = index == frozen;
            behavior.corruption = corruption;
        });
    }
}

async fn send_one(client: &Client, number: u64, results: &Mutex<Results>) {
    let operation = Operation::new(number);
    let Some(request) = http_request(&operation.body) else {
        return;
    };
    let started_at = Instant::now();
    let response = tokio::time::timeout(DEADLINE + RESPONSE_GRACE, client.send(request)).await;
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    let Ok(Ok(response)) = response else {
        results.lost += 1;
        return;
    };
    let is_late = started_at.elapsed() > DEADLINE + DEADLINE_TOLERANCE;
    results.record_response(
        response.status,
        &response.body,
        &operation.mutation_ids,
        is_late,
    );
}

fn http_request(body: &Value) -> Option<Request<Full<Bytes>>> {
    Request::post("/graphql")
        .header("host", "flags.example.org")
        .header("content-type", "application/json")
        .header("accept", "application/graphql-response+json")
        .header("x-time-left", DEADLINE.as_secs_f64().to_string())
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()
}

/// The body of a request, and the ids of its entries' mutations; a read has none.
struct Operation {
    body: Value,
    mutation_ids: Vec<Option<String>>,
}

impl Operation {
    /// Of four requests, two are reads, one is a mutation, and one is a batch of both.
    fn new(number: u64) -> Operation {
        let first = format!("a{number}");
        let second = format!("b{number}");
        match number % 4 {
            0 | 1 => Operation {
                body: read(number),
                mutation_ids: vec![None],
            },
            2 => Operation {
                body: mutation(&first),
                mutation_ids: vec![Some(first)],
            },
            _ => Operation {
                body: json!([
                    read(number),
                    mutation(&first),
                    read(number),
                    mutation(&second)
                ]),
                mutation_ids: vec![None, Some(first), None, Some(second)],
            },
        }
    }
}

fn read(number: u64) -> Value {
    json!({
        "query": "query Q($f: String) { evaluate(flag: $f) { on } }",
        "variables": { "f": format!("f{number}") }
    })
}

fn mutation(id: &str) -> Value {
    json!({
        "query": "mutation M($id: ID!) { ...F } fragment F on Mutation { evaluate: toggle(id: $id) { id } }",
        "variables": { "id": id }
    })
}
