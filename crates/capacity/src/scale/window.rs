//! A measurement window over a network: applies changes at their rates and measures their cost.

use super::counters::per_node;
use super::network::Network;
use super::record::{ListPropagation, Record, Utilization};
use super::report::{Run, Size, Source, Times};
use super::schedule::{schedule, Event, Rates};
use reelfall_testbed::{Result, SeededRng};
use std::time::Duration;

/// Length of the bans that represent changes, in seconds.
pub const BAN_DURATION: f64 = 10.0;
/// Time that is allowed for the last change to propagate after the window.
pub const DRAIN_DURATION: Duration = Duration::from_secs(3);
/// Thread utilization above which nodes delay each other noticeably.
const MAX_UTILIZATION: f64 = 0.8;
/// Interval at which convergence is checked.
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The parameters of a window.
#[derive(Clone, Copy, Debug)]
pub struct Window<'a> {
    /// Name of the run that the window produces.
    pub name: &'a str,
    /// The size of the system.
    pub size: &'a Size,
    /// Rates of changes and restarts.
    pub rates: Rates,
    /// Length of the window, in seconds.
    pub seconds: f64,
    /// Seed of the choice of nodes and servers that change.
    pub seed: u64,
}

/// Numbers of changes that were applied in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Number of bans.
    pub bans: usize,
    /// Number of server restarts.
    pub restarts: usize,
}

/// The result of a window.
#[derive(Clone, Debug)]
pub struct WindowResult {
    /// Figures of the window.
    pub run: Run,
    /// Propagation times of list updates; `None` if there were none.
    pub list_propagation: Option<Times>,
    /// The changes that were applied.
    pub applied: AppliedChanges,
    /// Fraction of the time in which the threads of the network were busy.
    pub utilization: f64,
    /// Number of pairs of a ban and a running node that has not applied it.
    pub missing_bans: usize,
}

impl WindowResult {
    /// Adds the figures to a record, with notes on what limits them.
    pub fn add_to(self, record: &mut Record) {
        let name = self.run.name.clone();
        if self.missing_bans > 0 {
            let (bans, missing) = (self.applied.bans, self.missing_bans);
            record.note(format!(
                "{name}: {bans} bans, with {missing} pairs of a ban and a running node that has not applied it"
            ));
        }
        if self.utilization > MAX_UTILIZATION {
            let percent = self.utilization * 100.0;
            record.note(format!(
                "{name}: the threads that drive the nodes were {percent:.0} % busy, so that times are longer than \
                 on idle threads"
            ));
        }
        record.utilizations.push(Utilization {
            run: name.clone(),
            share: self.utilization,
        });
        if let Some(times) = self.list_propagation {
            record
                .list_propagation
                .push(ListPropagation { run: name, times });
        }
        record.add(self.run);
    }
}

/// Measures a window.
///
/// # Errors
/// If the system does not report what is used.
pub async fn measure(network: &Network, window: &Window<'_>) -> Result<WindowResult> {
    measure_with(network, window, &|_| {}).await
}

/// Measures a window, and calls `on_restart` with each server that restarted.
///
/// # Errors
/// If the system does not report what is used.
pub async fn measure_with(
    network: &Network,
    window: &Window<'_>,
    on_restart: &dyn Fn(usize),
) -> Result<WindowResult> {
    let before = network.begin_window();
    let started = network.state.now();
    let applied = apply_changes(network, window, on_restart).await;
    let seconds = network.state.now() - started;
    let after = network.totals();
    let sample = network.state.sampler.take();
    let peak_bytes = network.peak_bytes();
    if applied != AppliedChanges::default() {
        tokio::time::sleep(DRAIN_DURATION).await;
    }
    let propagation = network.take_propagation_times();
    let mut per_node = per_node(&before, &after, &sample, network.node_count(), seconds);
    per_node.peak_bytes = peak_bytes;
    per_node.memory = Some(network.memory_per_node()?);
    let expected_bans = applied.bans * network.running_nodes().len();
    let run = Run {
        name: window.name.to_owned(),
        source: Source::HollowNodes,
        size: Size {
            changes: window.rates.changes,
            restarts: window.rates.restarts,
            ..*window.size
        },
        seconds,
        per_node,
        in_force: distribution(&propagation.bans),
        requests: None,
        read_bytes: None,
        played: None,
    };
    Ok(WindowResult {
        run,
        list_propagation: distribution(&propagation.list_updates),
        applied,
        utilization: (after.cpu - before.cpu) / seconds / network.thread_count() as f64,
        missing_bans: expected_bans.saturating_sub(propagation.bans.len()),
    })
}

/// Applies the changes of a window at their times. Returns at the end of the window.
async fn apply_changes(
    network: &Network,
    window: &Window<'_>,
    on_restart: &dyn Fn(usize),
) -> AppliedChanges {
    let mut rng = SeededRng(window.seed);
    let discovery = network.state.discovery.clone();
    let started = network.state.now();
    let mut applied = AppliedChanges::default();
    let servers = discovery.server_count();
    for scheduled in schedule(window.rates, window.seconds, servers, &mut rng) {
        let due = network.state.instant(started + scheduled.at);
        tokio::time::sleep_until(due.into()).await;
        match scheduled.event {
            Event::Ban => applied.bans += usize::from(ban_at_random_node(network, &mut rng)),
            Event::ServerFails(server) => discovery.fail_server(server),
            Event::ServerRestarted(server) => {
                discovery.complete_restart(server, network.state.now_us());
                on_restart(server);
                applied.restarts += 1;
            }
        }
    }
    let end = network.state.instant(started + window.seconds);
    tokio::time::sleep_until(end.into()).await;
    applied
}

/// Bans a server at a random running node. Returns whether there was one.
fn ban_at_random_node(network: &Network, rng: &mut SeededRng) -> bool {
    let running = network.running_nodes();
    let chosen = rng.next_u64() as usize % running.len().max(1);
    let Some(node) = running.get(chosen) else {
        return false;
    };
    network.ban(*node, BAN_DURATION);
    true
}

/// Returns the distribution of some times; `None` if there are none.
pub fn distribution(times: &[f64]) -> Option<Times> {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = *sorted.last()?;
    Some(Times {
        p50: quantile(&sorted, 0.5),
        p99: quantile(&sorted, 0.99),
        last,
    })
}

/// Returns the smallest of the sorted values such that at least this fraction of them is not greater.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Waits until all running nodes know each other. Returns the seconds that it took, or `None` after the timeout.
pub async fn wait_until_converged(
    network: &Network,
    external_nodes: usize,
    timeout: Duration,
) -> Option<f64> {
    let started = network.state.now();
    while !network.has_converged(external_nodes) {
        if network.state.now() - started > timeout.as_secs_f64() {
            return None;
        }
        tokio::time::sleep(CONVERGENCE_POLL_INTERVAL).await;
    }
    Some(network.state.now() - started)
}
