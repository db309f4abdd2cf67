//! GraphQL under injected faults at every stage of an attempt: reads, mutations and mixed batches.
//!
//! Guarantees: no effect twice; every request is answered once and in time; the response to an entry truthfully says whether
//! it took effect or may be retried; reads are served that would have failed if each POST were treated as unsafe.

mod clients;
mod results;

use super::Report;
use crate::graphql;
use crate::node::{Node, Program};
use crate::pool::{Pool, ServerBehavior};
use crate::Result;
use results::Results;
use serde_json::json;
use std::collections::HashMap;
use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The number of requests.
    pub requests: u64,
    /// Requests per second.
    pub rate: f64,
}

impl Scale {
    /// The full size: under a minute.
    pub const FULL: Scale = Scale {
        requests: 6_000,
        rate: 200.0,
    };
    /// The size of a test.
    pub const SMALL: Scale = Scale {
        requests: 300,
        rate: 100.0,
    };
}

const SERVERS: usize = 6;
const WORKERS: usize = 8;
const POOL_SEED: u64 = 21;
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// The share of requests that each injected fault hits.
const FAULT_RATIO: f64 = 0.05;
const ATTEMPT_LIMITS: &str = "tries = { most = 4, retry_share = 1.0 }";

/// Runs the scenario twice: as it is, and with every operation mapped to an unsafe class, like a proxy that treats each POST
/// as unsafe.
///
/// # Errors
/// If a stand-in or the node can't be started; a violated guarantee is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let outcome = run_once(program, scale, |settings| settings).await?;
    check_results(&mut report, &outcome, scale);
    let half = Scale {
        requests: scale.requests / 2,
        ..scale
    };
    let all_unsafe = run_once(program, half, map_to_unsafe_class).await?;
    compare_reads(&mut report, &outcome.results, &all_unsafe.results);
    Ok(report)
}

/// The results of one run, and its servers.
struct Outcome {
    results: Results,
    pool: Pool,
}

async fn run_once(
    program: &Program,
    scale: Scale,
    change_settings: impl Fn(String) -> String,
) -> Result<Outcome> {
    let app = graphql::app();
    let pool = Pool::start_with_app("graphql", SERVERS, WORKERS, faulty(), POOL_SEED, &app).await?;
    let settings = change_settings(graphql::settings(&pool, ATTEMPT_LIMITS));
    let mut node = Node::start(program, &settings).await?;
    node.wait_for_health("/_health", true).await?;
    let results = clients::run(node.address(), &pool, scale).await;
    node.signal("TERM")?;
    node.wait_for_exit().await?;
    Ok(Outcome { results, pool })
}

fn faulty() -> ServerBehavior {
    ServerBehavior {
        shed_ratio: FAULT_RATIO,
        close_before_effect_ratio: FAULT_RATIO,
        error_ratio: FAULT_RATIO,
        close_after_effect_ratio: FAULT_RATIO,
        corrupt_ratio: FAULT_RATIO,
        ..ServerBehavior::healthy(SERVICE_TIME)
    }
}

fn map_to_unsafe_class(settings: String) -> String {
    settings
        .replace("evaluate = \"evaluate\"", "evaluate = \"toggle\"")
        .replace("other_query = \"evaluate\"", "other_query = \"toggle\"")
}

fn check_results(report: &mut Report, outcome: &Outcome, scale: Scale) {
    let Outcome { results, pool } = outcome;
    let effects = pool.effect_counts();
    let duplicates = pool.duplicate_effects();
    report.add_figure("requests", scale.requests);
    report.add_figure("statuses", json!(statuses(results)));
    report.add_figure("effects", effects.len());
    report.add_figure("effects_twice", duplicates);
    report.add_figure("reads", results.reads);
    report.add_figure(
        "mutations_told_harmless_to_repeat",
        results.retryable_ids.len(),
    );
    report.check(
        results.lost == 0 && results.answered == scale.requests,
        || {
            let unanswered = scale.requests - results.answered;
            format!(
                "{unanswered} of {} requests were not answered",
                scale.requests
            )
        },
    );
    report.check(results.late == 0, || {
        format!("{} responses after the deadline", results.late)
    });
    report.check(duplicates == 0, || {
        format!("{duplicates} requests took effect more than once")
    });
    let took_effect = |id: &&String| effects.contains_key(*id);
    let wrongly_retryable = results.retryable_ids.iter().filter(took_effect).count();
    report.check(wrongly_retryable == 0, || {
        format!("{wrongly_retryable} mutations were reported as retryable but took effect")
    });
    let without_effect = |id: &&String| !effects.contains_key(*id);
    let wrongly_done = results.done_ids.iter().filter(without_effect).count();
    report.check(wrongly_done == 0, || {
        format!("{wrongly_done} mutations were reported as done but did not take effect")
    });
}

fn statuses(results: &Results) -> HashMap<String, u64> {
    results
        .statuses
        .iter()
        .map(|(status, count)| (status.to_string(), *count))
        .collect()
}

/// Checks that more reads are served than if each POST were treated as unsafe.
fn compare_reads(report: &mut Report, results: &Results, all_unsafe: &Results) {
    let served = results.served_reads_percent();
    let served_if_unsafe = all_unsafe.served_reads_percent();
    report.add_figure("reads_served_percent", round_to_hundredth(served));
    report.add_figure(
        "reads_served_percent_if_every_post_is_unsafe",
        round_to_hundredth(served_if_unsafe),
    );
    let recovered = 100.0 * (served - served_if_unsafe) / (100.0 - served_if_unsafe).max(0.01);
    report.add_figure(
        "reads_saved_percent_of_those_lost",
        round_to_hundredth(recovered),
    );
    report.check(served > served_if_unsafe, || {
        format!(
            "{served:.1} % of reads are served, {served_if_unsafe:.1} % if every POST is treated as unsafe"
        )
    });
}

fn round_to_hundredth(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
