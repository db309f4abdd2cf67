//! A server is banned through one node: measures when the last node stops sending to it, and when the first and the last node
//! send to it again after the ban ends.

use super::{wait_until_converged, Scale, AT_MOST_ONCE_RATIO, MILLISECONDS_PER_SECOND};
use crate::fleet::history::TimedEvent;
use crate::fleet::invariants::{BAN_GRACE, PROPAGATION_TIME};
use crate::fleet::{queries, TestFleet};
use crate::scenario::Report;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::time::Duration;

/// Index of the banned server.
const SERVER: usize = 0;
/// Time to live of the ban.
const BAN_SECONDS: u32 = 6;
const BAN_TTL: Duration = Duration::from_secs(BAN_SECONDS as u64);
/// How long attempts are observed before the ban, and after it ends.
const OBSERVATION: Duration = Duration::from_secs(6);
/// A node may send again this long before the computed end of the ban, because the ban took effect before `banned_at` was
/// read from the clock of the history.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(300);
/// Minimum requests per second at each node; at a lower rate some nodes send to the server too rarely to be observed.
const LOWEST_RATE: f64 = 20.0;
const SEED: u64 = 99;

/// The times of this phase, as durations since the start of the history.
struct Timeline {
    observed_since: Duration,
    banned_at: Duration,
    ends_at: Duration,
}

/// Runs the phase on a separate fleet and returns its figures.
pub(super) async fn run(program: &Program, scale: &Scale, report: &mut Report) -> Result<Value> {
    let fleet = TestFleet::start(program, &scale.fleet_spec(Some(""))).await?;
    wait_until_converged(&fleet).await?;
    let timeline = ban(&fleet, scale).await?;
    let events = fleet.history.events();
    Ok(evaluate(&events, &timeline, scale, report))
}

async fn ban(fleet: &TestFleet, scale: &Scale) -> Result<Timeline> {
    let load = fleet.start_load(scale.rate.max(LOWEST_RATE), AT_MOST_ONCE_RATIO, SEED);
    let observed_since = fleet.history.now();
    tokio::time::sleep(OBSERVATION).await;
    let last_node = scale.nodes - 1;
    fleet
        .ban_server(last_node, SERVER, Some(BAN_SECONDS))
        .await?;
    let banned_at = fleet.history.now();
    tokio::time::sleep(BAN_TTL + OBSERVATION).await;
    load.stop().await;
    Ok(Timeline {
        observed_since,
        banned_at,
        ends_at: banned_at + BAN_TTL - CLOCK_TOLERANCE,
    })
}

fn evaluate(
    events: &[TimedEvent],
    timeline: &Timeline,
    scale: &Scale,
    report: &mut Report,
) -> Value {
    let nodes = scale.all_nodes();
    let Timeline {
        observed_since,
        banned_at,
        ends_at,
    } = *timeline;
    let last_attempt = queries::attempts(events, SERVER, banned_at, ends_at, &nodes)
        .last()
        .map_or(Duration::ZERO, |attempt| attempt.at - banned_at);
    report.check(last_attempt <= PROPAGATION_TIME + BAN_GRACE, || {
        format!("the last node stopped sending to the banned server after {last_attempt:?}")
    });
    let first_attempt_after = |node: &usize| {
        let attempts = queries::attempts(events, SERVER, ends_at, Duration::MAX, &[*node]);
        attempts.first().map(|attempt| attempt.at)
    };
    let resumed: Vec<Duration> = nodes.iter().filter_map(first_attempt_after).collect();
    // A node may by chance not send to a server for seconds. Only the nodes that sent to it in the equally long interval
    // before the ban are expected to send to it again.
    let sent_before = |node: &&usize| {
        !queries::attempts(events, SERVER, observed_since, banned_at, &[**node]).is_empty()
    };
    let senders = nodes.iter().filter(sent_before).count();
    report.check(2 * resumed.len() >= senders, || {
        format!(
            "only {} of {senders} nodes send to the server again after the ban",
            resumed.len()
        )
    });
    let milliseconds_after_ban = |at: Option<&Duration>| {
        at.map_or(f64::NAN, |at| {
            (at.as_secs_f64() - banned_at.as_secs_f64()) * MILLISECONDS_PER_SECOND
        })
    };
    json!({
        "nodes_before": senders,
        "nodes_again": resumed.len(),
        "last_attempt_ms": last_attempt.as_secs_f64() * MILLISECONDS_PER_SECOND,
        "first_again_ms": milliseconds_after_ban(resumed.iter().min()),
        "last_again_ms": milliseconds_after_ban(resumed.iter().max()),
    })
}
