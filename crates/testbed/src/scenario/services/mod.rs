//! Three services of one node, one of them overloaded on purpose, and reloads under load.
//!
//! Guarantees: the share of requests that the two other services serve is at most a percentage point below what they serve
//! alone; no effect twice; every request is answered once; no reload loses a request.

mod pools;
mod reloads;

pub use pools::{workload, ServicePools};

use super::Report;
use crate::load::{self, LoadStats, Workload};
use crate::node::{Node, Program};
use crate::Result;
use pools::EVALUATE_RATE_LIMIT;
use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// How long each load lasts.
    pub load_duration: Duration,
    /// Reloads under load.
    pub reloads: u32,
    /// How many percentage points the served share of the other services may lose.
    pub max_served_loss: f64,
}

impl Scale {
    /// The full size: about a minute.
    pub const FULL: Scale = Scale {
        load_duration: Duration::from_secs(15),
        reloads: 200,
        max_served_loss: 1.0,
    };
    /// The size of a test on a busy machine; counts are checked as strictly, shares are not.
    pub const SMALL: Scale = Scale {
        load_duration: Duration::from_secs(3),
        reloads: 20,
        max_served_loss: 25.0,
    };
}

const POOL_SEED: u64 = 11;
const TOGGLE_RATE: f64 = 35.0;
const ROLLOUT_RATE: f64 = 25.0;
/// The rate of the overloaded service, as a multiple of its limit.
const OVERLOAD: f64 = 4.0;
const WARM_UP: Duration = Duration::from_secs(1);
const WARM_UP_SEED: u64 = 1;
/// The load without the overload and the load beside it use the same seed, so that requests are sent at the same times.
const LOAD_SEED: u64 = 2;
const US_PER_MS: f64 = 1e3;

/// Runs the scenario.
///
/// # Errors
/// If a stand-in or the node can't be started; a violated guarantee is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let pools = ServicePools::start(POOL_SEED).await?;
    let settings = pools.settings("127.0.0.1:0");
    let mut node = Node::start(program, &settings).await?;
    node.wait_for_health("/_health", true).await?;
    warm_up(&node).await;
    check_isolation(&mut report, &node, scale).await;
    reloads::check(&mut report, &mut node, &pools, &settings, scale.reloads).await?;
    let duplicates = pools.duplicate_effects();
    report.add_figure("effects_twice", duplicates);
    report.check(duplicates == 0, || {
        format!("{duplicates} requests took effect more than once")
    });
    node.signal("TERM")?;
    let ended = node.wait_for_exit().await?;
    report.check(ended, || "the node does not exit cleanly".to_owned());
    Ok(report)
}

/// The load of the services that are not overloaded.
fn other_services(run: &str) -> Vec<Workload> {
    vec![
        workload(run, "toggle", TOGGLE_RATE),
        workload(run, "rollout", ROLLOUT_RATE),
    ]
}

/// Sends requests that are not counted: the first ones open connections, and the balancer learns from them.
async fn warm_up(node: &Node) {
    load::run(
        node.address(),
        &other_services("warm"),
        WARM_UP,
        WARM_UP_SEED,
    )
    .await;
}

/// Checks that an overloaded service doesn't reduce the served share of the others.
async fn check_isolation(report: &mut Report, node: &Node, scale: Scale) {
    let duration = scale.load_duration;
    let alone = load::run(
        node.address(),
        &other_services("alone"),
        duration,
        LOAD_SEED,
    )
    .await;
    let mut workloads = other_services("flood");
    workloads.push(workload(
        "flood",
        "evaluate",
        OVERLOAD * EVALUATE_RATE_LIMIT,
    ));
    let overloaded = load::run(node.address(), &workloads, duration, LOAD_SEED).await;
    for (index, name) in ["toggle", "rollout"].iter().enumerate() {
        let (before, after) = (&alone[index], &overloaded[index]);
        report.add_figure(&format!("{name}_alone"), before.figures());
        report.add_figure(&format!("{name}_beside_flood"), after.figures());
        report.check_served(&format!("{name} alone"), before.in_time_percent());
        let served_loss = before.in_time_percent() - after.in_time_percent();
        report.check(served_loss <= scale.max_served_loss, || {
            format!("{name} serves {served_loss:.2} percentage points less beside the overload")
        });
        check_answered(report, &format!("{name} alone"), before);
        check_answered(report, &format!("{name} beside the overload"), after);
    }
    check_overloaded(report, &overloaded[2]);
}

fn check_overloaded(report: &mut Report, evaluate: &LoadStats) {
    report.add_figure("evaluate_flood", evaluate.figures());
    let rejection_us = evaluate.rejection_latency.value_at_quantile(0.5);
    report.add_figure("evaluate_refusal_p50_ms", rejection_us as f64 / US_PER_MS);
    check_answered(report, "evaluate under overload", evaluate);
    let served = evaluate.with_status(&[200]);
    report.check(served > 0, || {
        "no request of the overloaded service was served".to_owned()
    });
    let rejected = evaluate.with_status(&[429, 503]);
    report.check(rejected > evaluate.sent / 2, || {
        format!("only {rejected} requests of the overloaded service were rejected")
    });
}

/// Checks that every request has exactly one response, its own.
fn check_answered(report: &mut Report, name: &str, stats: &LoadStats) {
    let (responses, sent) = (stats.responses(), stats.sent);
    report.check(stats.lost == 0 && responses == sent, || {
        format!(
            "{name}: {} of {sent} requests were not answered",
            sent - responses
        )
    });
    report.check(stats.mismatched == 0, || {
        format!(
            "{name}: {} requests got the response to another request",
            stats.mismatched
        )
    });
}
