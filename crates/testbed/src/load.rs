//! Requests at random moments, whether or not answers come (an open loop).
//!
//! Latencies count from the moment at which a request was to be sent, so that a generator or a node that falls
//! behind shows in them.

use crate::client::Client;
use crate::SeededRng;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Kind {
    /// What ids begin with; no other kind of a run has the same.
    pub name: String,
    /// `Host`.
    pub host: String,
    /// Method and path.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// What a POST carries, if it is not an empty object. Its answers are not the ids of their requests.
    pub body: Option<Bytes>,
    /// An answer after this is no use.
    pub deadline: Duration,
    /// How many a second, on average.
    pub rate: f64,
}

impl Kind {
    /// Safe requests of the rig's service of evaluations, so many a second.
    pub fn evaluate(name: String, rate: f64) -> Kind {
        Kind {
            name,
            host: "evaluate.example.org".to_owned(),
            method: "GET",
            path: "/api/flags".to_owned(),
            headers: Vec::new(),
            body: None,
            deadline: Duration::from_secs(2),
            rate,
        }
    }
}

/// What came of the requests of one kind.
#[derive(Clone, Debug)]
pub struct Came {
    /// Sent.
    pub sent: u64,
    /// Answered, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Answered 200 within the deadline.
    pub in_time: u64,
    /// Connections that broke without a whole answer, and requests of which nothing came for long.
    pub lost: u64,
    /// 200 with another's body.
    pub wrong: u64,
    /// From the intended moment to the last byte of an answer 200, in microseconds.
    pub latency: Histogram<u64>,
    /// The same for refusals.
    pub refusal: Histogram<u64>,
}

impl Default for Came {
    fn default() -> Self {
        // Up to a minute at two digits.
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 2).unwrap_or_else(|_| unreachable!());
        Came {
            sent: 0,
            statuses: BTreeMap::new(),
            in_time: 0,
            lost: 0,
            wrong: 0,
            latency: histogram(),
            refusal: histogram(),
        }
    }
}

impl Came {
    /// Share answered 200 in time, in percent.
    pub fn served(&self) -> f64 {
        100.0 * self.in_time as f64 / self.sent.max(1) as f64
    }

    /// Answered with one of these statuses.
    pub fn of(&self, statuses: &[u16]) -> u64 {
        statuses.iter().filter_map(|s| self.statuses.get(s)).sum()
    }

    /// The figures of a report.
    pub fn figures(&self) -> serde_json::Value {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        serde_json::json!({
            "sent": self.sent,
            "statuses": self.statuses.iter().map(|(s, n)| (s.to_string(), n)).collect::<BTreeMap<_, _>>(),
            "in_time_percent": (self.served() * 100.0).round() / 100.0,
            "lost": self.lost,
            "wrong": self.wrong,
            "p50_ms": ms(&self.latency, 0.5),
            "p99_ms": ms(&self.latency, 0.99),
        })
    }
}

fn build(kind: &Kind, id: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(kind.method)
        .uri(&kind.path)
        .header("host", &kind.host);
    for (name, value) in &kind.headers {
        request = request.header(*name, value);
    }
    let body = match &kind.body {
        _ if kind.method == "GET" => Bytes::new(),
        Some(body) => body.clone(),
        None => Bytes::from_static(b"{}"),
    };
    let left = format!("{:.3}", kind.deadline.as_secs_f64());
    request
        .header("x-correlation-id", id)
        .header("x-time-left", left)
        .body(Full::new(body))
        .ok()
}

/// Sends requests of all kinds for a time and waits for their answers. The same seed gives the same moments.
pub async fn run(to: SocketAddr, kinds: &[Kind], time: Duration, seed: u64) -> Vec<Came> {
    let mut running = JoinSet::new();
    for (n, kind) in kinds.iter().cloned().enumerate() {
        let draw = SeededRng(seed.wrapping_mul(31).wrapping_add(n as u64));
        running.spawn(async move { (n, one(to, kind, time, draw).await) });
    }
    let mut came = vec![Came::default(); kinds.len()];
    while let Some(done) = running.join_next().await {
        if let Ok((n, done)) = done {
            came[n] = done;
        }
    }
    came
}

async fn one(to: SocketAddr, kind: Kind, time: Duration, mut draw: SeededRng) -> Came {
    let client = Arc::new(Client::new(to));
    let came = Arc::new(Mutex::new(Came::default()));
    let kind = Arc::new(kind);
    let begun = Instant::now();
    let mut running = JoinSet::new();
    let mut at = 0.0;
    for n in 0u64.. {
        at += draw.next_gap(kind.rate);
        let due = begun + Duration::from_secs_f64(at);
        if at >= time.as_secs_f64() {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        while running.try_join_next().is_some() {}
        let (client, came, kind) = (client.clone(), came.clone(), kind.clone());
        running.spawn(async move {
            let id = format!("{}-{n}", kind.name);
            let Some(request) = build(&kind, &id) else {
                return;
            };
            // Nothing may take this long: what does is lost.
            let patience = kind.deadline + Duration::from_secs(5);
            let got = tokio::time::timeout(patience, client.ask(request)).await;
            let took = due.elapsed();
            let mut came = came.lock().unwrap_or_else(PoisonError::into_inner);
            came.sent += 1;
            let Ok(Ok(got)) = got else {
                came.lost += 1;
                return;
            };
            *came.statuses.entry(got.status.as_u16()).or_default() += 1;
            let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            if got.status == 200 {
                came.latency.saturating_record(us);
                came.in_time += u64::from(took <= kind.deadline);
                came.wrong +=
                    u64::from(kind.body.is_none() && !got.body.starts_with(id.as_bytes()));
            } else if got.status == 429 || got.status == 503 {
                came.refusal.saturating_record(us);
            }
        });
    }
    while running.join_next().await.is_some() {}
    let came = came.lock().unwrap_or_else(PoisonError::into_inner);
    came.clone()
}
