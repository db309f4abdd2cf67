//! Sends requests through the real nodes, alternately at rest and under changes, to measure the latency that changes
//! add. Part of a [`single`](super::single) run.

use super::network::Network;
use super::plan::Plan;
use super::real::{request_times, RealNodes};
use super::record::{AddedLatency, Record};
use super::report::Run;
use super::schedule::Rates;
use super::window::{measure, measure_with, Window, DRAIN_DURATION};
use hdrhistogram::Histogram;
use reelfall_testbed::Result;
use std::time::Duration;

/// Number of rounds, each with a window at rest and one under changes.
pub const ROUNDS: u64 = 3;
/// Microseconds per second.
const MICROSECONDS: f64 = 1e6;

/// Response times of the rounds so far, in microseconds.
#[derive(Default)]
struct ResponseTimes {
    at_rest: Vec<Histogram<u64>>,
    under_changes: Vec<Histogram<u64>>,
}

/// Runs as many rounds as the deadline allows.
///
/// # Errors
/// If the system does not report the resource usage, or too many requests fail.
pub async fn run(
    plan: &Plan,
    network: &Network,
    real: &RealNodes,
    record: &mut Record,
) -> Result<()> {
    let round_duration = Duration::from_secs_f64(2.0 * plan.window_seconds) + DRAIN_DURATION;
    let mut times = ResponseTimes::default();
    let mut last_run = None;
    for round in 0..ROUNDS {
        if !plan.deadline.allows(round_duration) {
            record.note_omission(format!(
                "round {round} of {ROUNDS} of requests at rest and under changes"
            ));
            break;
        }
        let window = Window {
            name: "changes",
            size: &plan.size,
            rates: Rates::of(&plan.size),
            seconds: plan.window_seconds,
            seed: plan.seed + round,
        };
        if real.count() == 0 {
            measure(network, &window).await?.add_to(record);
            continue;
        }
        let load_seed = plan.seed + 2 * round;
        times
            .at_rest
            .push(real.load(plan.window_seconds, load_seed).await?);
        let run = measure_under_changes(network, real, &window, load_seed + 1, &mut times, record);
        last_run = Some(run.await?);
        times.record_added(round, record);
    }
    if let Some(mut run) = last_run {
        run.requests = request_times(&times.at_rest, &times.under_changes)?;
        record.add(run);
    }
    Ok(())
}

/// Measures a window of changes with requests through the real nodes. Returns the run of the real nodes.
async fn measure_under_changes(
    network: &Network,
    real: &RealNodes,
    window: &Window<'_>,
    load_seed: u64,
    times: &mut ResponseTimes,
    record: &mut Record,
) -> Result<Run> {
    let before = real.usage()?;
    let on_restart = |server: usize| real.list_restart(server);
    let (measured, loaded) = tokio::join!(
        measure_with(network, window, &on_restart),
        real.load(window.seconds, load_seed)
    );
    let measured = measured?;
    times.under_changes.push(loaded?);
    let seconds = measured.run.seconds + DRAIN_DURATION.as_secs_f64();
    let run = real.run("requests", window.size, &before, seconds)?;
    measured.add_to(record);
    Ok(run)
}

impl ResponseTimes {
    /// Records the latency that changes added in the last round.
    fn record_added(&self, round: u64, record: &mut Record) {
        let added_us = |quantile: f64| {
            last_quantile(&self.under_changes, quantile) - last_quantile(&self.at_rest, quantile)
        };
        let (p50, p99) = (added_us(0.5), added_us(0.99));
        record.added_latencies.push(AddedLatency {
            p50: p50 / MICROSECONDS,
            p99: p99 / MICROSECONDS,
        });
        record.note(format!(
            "requests, round {round}: under changes minus at rest p50 {p50:+.0} us, p99 {p99:+.0} us"
        ));
    }
}

/// Returns a quantile of the last round, in microseconds; zero without rounds.
fn last_quantile(rounds: &[Histogram<u64>], quantile: f64) -> f64 {
    rounds.last().map_or(0.0, |histogram| {
        histogram.value_at_quantile(quantile) as f64
    })
}
