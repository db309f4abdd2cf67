//! Memory of a node while its servers are frozen and many batches are open, compared with as many plain requests with the
//! same bodies. Called by `run` of the parent module.

use super::{read_request, round_to_tenth, settings};
use crate::client::Client;
use crate::graphql;
use crate::measure::error::MeasureError;
use crate::node::{memory_kib, Node, Program, WAIT_TIMEOUT};
use crate::pool::{Pool, ServerBehavior};
use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Batches that are open at once.
const OPEN_BATCHES: usize = 1_000;
/// Requests of each batch.
const ENTRIES_PER_BATCH: usize = 10;
const FLAG_BYTES: usize = 900;
const SERVERS: usize = 4;
const WORKERS: usize = 64;
const POOL_SEED: u64 = 1;
const SERVICE_TIME: Duration = Duration::from_millis(1);
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Process limits that admit all batches at once.
const PROCESS_SETTINGS: &str = "[process]\ndescriptors = 8000\nmemory = \"1GiB\"\n\n";

/// Memory per request above the node's memory before the load, in KiB.
struct MemoryPerRequest {
    while_open: f64,
    after_response: f64,
}

/// Measures batches and plain requests.
pub(super) async fn measure(program: &Program) -> Result<Value> {
    let body = batch_body();
    let batches = measure_open_requests(program, "/graphql", &body).await?;
    let plain = measure_open_requests(program, "/plain", &body).await?;
    let ratio = batches.while_open / plain.while_open;
    Ok(json!({
        "open_at_once": OPEN_BATCHES,
        "entries_of_each": ENTRIES_PER_BATCH,
        "body_bytes": body.len(),
        "kib_for_each_batch": round_to_tenth(batches.while_open),
        "kib_for_each_plain": round_to_tenth(plain.while_open),
        "batch_over_plain": (ratio * 100.0).round() / 100.0,
        "kib_kept_after_batches": round_to_tenth(batches.after_response),
        "kib_kept_after_plain": round_to_tenth(plain.after_response),
    }))
}

fn batch_body() -> Bytes {
    let batch: Vec<Value> = (0..ENTRIES_PER_BATCH)
        .map(|number| {
            let mut entry = read_request(number);
            entry["variables"]["f"] = Value::String("x".repeat(FLAG_BYTES));
            entry
        })
        .collect();
    Bytes::from(Value::Array(batch).to_string())
}

async fn measure_open_requests(
    program: &Program,
    path: &'static str,
    body: &Bytes,
) -> Result<MemoryPerRequest> {
    let pool = start_frozen_pool().await?;
    let node = Node::start(program, &patient_settings(&pool)).await?;
    node.wait_for_health("/_health", true).await?;
    let before_kib = memory_kib(node.pid())?;
    let mut requests = send_requests(&node, path, body);
    wait_until_open(&pool).await;
    let open = pool.requests_received();
    let open_kib = memory_kib(node.pid())?;
    for server in &pool.servers {
        server.update_behavior(|behavior| behavior.is_frozen = false);
    }
    let mut answered = 0;
    while let Some(response) = requests.join_next().await {
        answered += usize::from(response?.is_some());
    }
    if open != OPEN_BATCHES as u64 || answered != OPEN_BATCHES {
        return Err(MeasureError::RequestsNotOpen {
            path,
            open,
            answered,
            batches: OPEN_BATCHES,
        }
        .into());
    }
    let after_kib = memory_kib(node.pid())?;
    let per_request = |kib: u64| (kib as f64 - before_kib as f64) / OPEN_BATCHES as f64;
    Ok(MemoryPerRequest {
        while_open: per_request(open_kib),
        after_response: per_request(after_kib),
    })
}

async fn start_frozen_pool() -> Result<Pool> {
    let behavior = ServerBehavior {
        is_frozen: true,
        ..ServerBehavior::healthy(SERVICE_TIME)
    };
    let app = graphql::app();
    Pool::start_with_app("graphql", SERVERS, WORKERS, behavior, POOL_SEED, &app).await
}

/// Settings under which no request times out while the servers are frozen, and each batch has one request in flight.
fn patient_settings(pool: &Pool) -> String {
    let services = settings(pool)
        .replace("aim = \"200ms\"", "aim = \"50s\"")
        .replace("deadline = \"2s\"", "deadline = \"55s\"")
        .replace("other_query", "side_by_side = 1\nother_query");
    PROCESS_SETTINGS.to_owned() + &services
}

/// Sends all requests at once; each task returns the status of its response.
fn send_requests(node: &Node, path: &'static str, body: &Bytes) -> JoinSet<Option<u16>> {
    let client = Arc::new(Client::new(node.address()));
    let mut requests = JoinSet::new();
    for _ in 0..OPEN_BATCHES {
        let (client, body) = (client.clone(), body.clone());
        requests.spawn(async move {
            let request = Request::post(path)
                .header("content-type", "application/json")
                .header("host", "flags.example.org")
                .body(Full::new(body))
                .ok()?;
            let response = client.send(request).await.ok()?;
            Some(response.status.as_u16())
        });
    }
    requests
}

/// Waits until one request of each batch is at a server; the other entries of a batch are queued.
async fn wait_until_open(pool: &Pool) {
    let started_at = Instant::now();
    while pool.requests_received() < OPEN_BATCHES as u64 && started_at.elapsed() < WAIT_TIMEOUT {
        tokio::time::sleep(OPEN_POLL_INTERVAL).await;
    }
}
