//! Open-loop load generator: requests are sent at random times, independent of the responses. Used by scenarios,
//! measurements, tests and the command `load`.
//!
//! Latency is measured from the scheduled time of a request, so that it includes delays of a generator or a node that
//! falls behind.

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

/// Time after the deadline at which a request without a response counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Deadline of the requests of [`Workload::evaluate`].
const EVALUATE_DEADLINE: Duration = Duration::from_secs(2);
/// The default body of requests other than `GET`.
const EMPTY_OBJECT: &[u8] = b"{}";

/// A header that is sent with each request of a workload.
#[derive(Clone, Debug)]
pub struct RequestHeader {
    /// Header name, in lower case.
    pub name: &'static str,
    /// Header value, the same for all requests.
    pub value: String,
}

/// A stream of similar requests at an average rate.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Prefix of the request ids; unique within a run.
    pub name: String,
    /// Value of the header `Host`.
    pub host: String,
    /// HTTP method of the requests.
    pub method: &'static str,
    /// Request target, with a query if there is one.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<RequestHeader>,
    /// Request body of a method other than `GET`; `None` for an empty JSON object. With a body set, responses are not
    /// checked to start with the request id.
    pub body: Option<Bytes>,
    /// Time after which a response is no longer useful; sent as `x-time-left`.
    pub deadline: Duration,
    /// Requests per second, on average.
    pub rate: f64,
}

impl Workload {
    /// Idempotent requests to the service `evaluate`.
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

    /// Whether a response with status 200 belongs to another request.
    fn is_mismatch(&self, id: &str, response: &ClientResponse) -> bool {
        self.body.is_none() && !response.body.starts_with(id.as_bytes())
    }
}

/// Runs all workloads concurrently for `duration` and waits for their responses. The same seed gives the same schedule.
/// Returns the statistics in the order of the workloads.
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
