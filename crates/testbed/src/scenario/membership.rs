//! Sessions of servers end under load, at random moments and just as a request has come, while the processes go on serving.
//!
//! Promises: nothing new comes to a server later than 500 ms after the word of its end; no effect twice; every request is
//! answered once and in time.

use super::Report;
use crate::load;
use crate::membership::{kind, settings, Announced};
use crate::node::Node;
use crate::pool::{Pool, ServerBehavior};
use crate::registry::Registry;
use crate::scripted::Program;
use crate::{Result, SeededRng};
use serde_json::json;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How many sessions end, of how many servers.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Servers; half of them may be without a session at once.
    pub servers: usize,
    /// Sessions that end.
    pub kills: usize,
    /// Requests a second.
    pub rate: f64,
}

impl Scale {
    /// The whole of it: about a minute.
    pub const WHOLE: Scale = Scale {
        servers: 24,
        kills: 504,
        rate: 600.0,
    };
    /// What fits into a test.
    pub const SMALL: Scale = Scale {
        servers: 6,
        kills: 24,
        rate: 150.0,
    };
}

/// Nothing new may come later than this after the news.
const GRACE: Duration = Duration::from_millis(500);
/// A server is without a session for so long.
const AWAY: Duration = Duration::from_millis(750);

/// What came of one end of a session: from the word of it to the last request that arrived, in milliseconds, and how many
/// arrived past the deadline.
struct End {
    last_ms: f64,
    late: bool,
}

/// Plays the scenario.
///
/// # Errors
/// If a stand-in or the node can't be started; a broken promise is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let registry = Arc::new(Registry::start(3).await?);
    let pool = Pool::start_with_app(
        "flags",
        scale.servers,
        8,
        ServerBehavior::healthy(Duration::from_millis(5)),
        31,
        &app(),
    )
    .await?;
    let pool = Arc::new(pool);
    let entered: Vec<Announced> = pool
        .servers
        .iter()
        .map(|s| Announced::enter(&registry, s, &format!("{}.0", s.name), 0))
        .collect();
    let node = Node::start(program, &settings(&registry, "", "")).await?;
    node.until_health("/_health", true).await?;
    // As long as the killing takes, and a little more.
    let cycles = scale.kills.div_ceil(scale.servers / 2);
    let time =
        (AWAY + Duration::from_millis(400)) * u32::try_from(cycles)? + Duration::from_secs(2);
    let kinds = [
        kind("m", "evaluate", scale.rate * 0.8),
        kind("m", "toggle", scale.rate * 0.2),
    ];
    let address = node.address();
    let loading = tokio::spawn(async move { load::run(address, &kinds, time, 17).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut killing = tokio::task::JoinSet::new();
    // Two servers take turns, so that one of them is always there.
    let mut entered = entered.into_iter();
    for pair in 0..scale.servers / 2 {
        let mut names: Vec<Announced> = entered.by_ref().take(2).collect();
        let (registry, pool, ends) = (registry.clone(), pool.clone(), ends.clone());
        killing.spawn(async move {
            let mut draw = SeededRng(900 + pair as u64);
            for cycle in 0..cycles {
                let which = cycle % 2;
                let server = &pool.servers[2 * pair + which];
                tokio::time::sleep(Duration::from_secs_f64(0.3 * draw.next_fraction())).await;
                if cycle % 3 == 0 {
                    // Just as a request has come to it.
                    next_request(server).await;
                }
                names[which].kill(&registry);
                let told = Instant::now();
                tokio::time::sleep_until((told + AWAY).into()).await;
                let after = server
                    .last_request_at()
                    .map_or(Duration::ZERO, |at| at.saturating_duration_since(told));
                let end = End {
                    last_ms: after.as_secs_f64() * 1e3,
                    late: after > GRACE,
                };
                ends.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(end);
                // The process, which was there all along, has a new session and a name of its own: no return.
                let name = format!("{}.{}", server.name, cycle + 1);
                names[which] = Announced::enter(&registry, server, &name, 0);
            }
        });
    }
    while let Some(done) = killing.join_next().await {
        done?;
    }
    let came = loading.await?;
    let mut last: Vec<f64> = Vec::new();
    let mut late = 0;
    for end in ends.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        last.push(end.last_ms);
        late += usize::from(end.late);
    }
    last.sort_by(f64::total_cmp);
    let at = |q: f64| {
        last.get(((last.len() as f64 - 1.0) * q) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    let ms = |x: f64| (x * 100.0).round() / 100.0;
    report.add_figure("kills", last.len());
    report.add_figure(
        "from_the_news_to_the_last_request_ms",
        json!({ "p50": ms(at(0.5)), "p90": ms(at(0.9)), "p99": ms(at(0.99)), "most": ms(at(1.0)) }),
    );
    report.add_figure("requests_after_the_deadline", late);
    report.add_figure("effects_twice_unsafe", twice(&pool));
    for (came, name) in came.iter().zip(["evaluate", "toggle"]) {
        report.add_figure(name, came.figures());
        report.check(came.lost == 0, || {
            format!("{name}: {} requests without an answer", came.lost)
        });
        report.check(came.in_time_percent() >= 99.0, || {
            format!("{name}: {:.2} % served in time", came.in_time_percent())
        });
    }
    report.check(late == 0, || {
        format!("{late} servers got new requests past the deadline")
    });
    report.check(twice(&pool) == 0, || {
        format!("{} effects twice", twice(&pool))
    });
    Ok(report)
}

/// Waits for a request to a server, but not for long.
async fn next_request(server: &crate::pool::Server) {
    let (seen, until) = (
        server.requests_received(),
        Instant::now() + Duration::from_millis(100),
    );
    while server.requests_received() == seen && Instant::now() < until {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
}

/// Counts the effects of unsafe requests alone.
fn app() -> crate::pool::App {
    Arc::new(|head, _| {
        let id = head
            .headers
            .get("x-correlation-id")
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let effects = if head.method == hyper::Method::POST {
            vec![id.clone()]
        } else {
            vec![]
        };
        crate::pool::AppResponse {
            effect_ids: effects,
            status: hyper::StatusCode::OK,
            body: id,
            completion: crate::pool::Completion::AsConfigured,
        }
    })
}

fn twice(pool: &Pool) -> usize {
    pool.duplicate_effects()
}
