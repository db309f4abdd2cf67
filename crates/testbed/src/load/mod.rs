//! Open-loop load: requests at random times, whether or not responses arrive. Run by scenarios, measurements, tests and the
//! command `load`.
//!
//! Latencies count from the time at which a request was due, so that a generator or a node that falls behind shows in
//! them.

mod stats;

pub use stats::LoadStats;

use crate::client::{Client, ClientResponse};
use crate::SeededRng;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// A response this long after the deadline counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// The deadline of [`Workload::evaluate`].
const EVALUATE_DEADLINE: Duration = Duration::from_secs(2);
/// The body of a POST without another one.
const EMPTY_OBJECT: &[u8] = b"{}";

/// A header of the requests of a workload.
#[derive(Clone, Debug)]
pub struct RequestHeader {
    /// The name, in lower case.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

/// Similar requests and their rate.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The prefix of the request ids; unique within a run.
    pub name: String,
    /// The header `Host`.
    pub host: String,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// Further headers.
    pub headers: Vec<RequestHeader>,
    /// The body of a POST, if it is not an empty object. Its responses are not the ids of their requests.
    pub body: Option<Bytes>,
    /// A later response is useless.
    pub deadline: Duration,
    /// Requests per second, on average.
    pub rate: f64,
}

impl Workload {
    /// Idempotent requests of the service of evaluations.
    pub fn evaluate(name: String, rate: f64) -> Workload {
        Workload {
            name,
            host: "evaluate.example.org".to_owned(),
            method: "GET",
            path: "/api/flags".to_owned(),
            headers: Vec::new(),
            body: None,
            deadline: EVALUATE_DEADLINE,
            rate,
        }
    }

    fn request(&self, id: &str) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header("host", &self.host);
        for header in &self.headers {
            request = request.header(header.name, &header.value);
        }
        let time_left = format!("{:.3}", self.deadline.as_secs_f64());
        request
            .header("x-correlation-id", id)
            .header("x-time-left", time_left)
            .body(Full::new(self.request_body()))
            .ok()
    }

    fn request_body(&self) -> Bytes {
        match &self.body {
            _ if self.method == "GET" => Bytes::new(),
            Some(body) => body.clone(),
            None => Bytes::from_static(EMPTY_OBJECT),
        }
    }

    /// Whether a response of status 200 belongs to another request.
    fn is_mismatch(&self, id: &str, response: &ClientResponse) -> bool {
        self.body.is_none() && !response.body.starts_with(id.as_bytes())
    }
}

/// Runs all workloads for a time and waits for their responses. The same seed gives the same times of requests. The
/// statistics are in the order of the workloads.
pub async fn run(
    address: SocketAddr,
    workloads: &[Workload],
    duration: Duration,
    seed: u64,
) -> Vec<LoadStats> {
    let mut running = JoinSet::new();
    for (index, workload) in workloads.iter().cloned().enumerate() {
        let rng = SeededRng(seed.wrapping_mul(31).wrapping_add(index as u64));
        running.spawn(async move { (index, run_one(address, workload, duration, rng).await) });
    }
    let mut results = vec![LoadStats::default(); workloads.len()];
    while let Some(finished) = running.join_next().await {
        if let Ok((index, stats)) = finished {
            results[index] = stats;
        }
    }
    results
}

async fn run_one(
    address: SocketAddr,
    workload: Workload,
    duration: Duration,
    mut rng: SeededRng,
) -> LoadStats {
    let client = Arc::new(Client::new(address));
    let stats = Arc::new(Mutex::new(LoadStats::default()));
    let workload = Arc::new(workload);
    let started_at = Instant::now();
    let mut running = JoinSet::new();
    let mut offset = 0.0;
    for number in 0u64.. {
        offset += rng.next_gap(workload.rate);
        let due = started_at + Duration::from_secs_f64(offset);
        if offset >= duration.as_secs_f64() {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        while running.try_join_next().is_some() {}
        let id = format!("{}-{number}", workload.name);
        let (client, stats, workload) = (client.clone(), stats.clone(), workload.clone());
        running.spawn(async move { send_one(&client, &workload, &id, due, &stats).await });
    }
    while running.join_next().await.is_some() {}
    let stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    stats.clone()
}

async fn send_one(
    client: &Client,
    workload: &Workload,
    id: &str,
    due: Instant,
    stats: &Mutex<LoadStats>,
) {
    let Some(request) = workload.request(id) else {
        return;
    };
    let timeout = workload.deadline + RESPONSE_GRACE;
    let response = tokio::time::timeout(timeout, client.send(request)).await;
    let latency = due.elapsed();
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    stats.sent += 1;
    let Ok(Ok(response)) = response else {
        stats.lost += 1;
        return;
    };
    stats.record_response(response.status, latency, workload.deadline);
    if response.status == 200 && workload.is_mismatch(id, &response) {
        stats.mismatched += 1;
    }
}
