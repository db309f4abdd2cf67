//! Scenarios of configuration distribution and their outcomes. The scale runs and the tests run them in a [`World`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `load` | changes, restarts of servers, and requests of tenants |
//! | `failures` | machines that are lost or partitioned, and changes that are reverted |

mod failures;
mod load;

pub use self::failures::{
    change_reverted, control_machines_lost, nodes_lost, publisher_partitioned, region_cold_start,
    region_partitioned,
};
pub use self::load::{
    burst, changes_of_one_resource, new_tenants, republish_tenants, server_restarts, start_all,
    steady_changes,
};

use super::account::Usage;
use super::invariants::Violation;
use super::times::Times;
use super::world::{check_agreement, check_bandwidth, Ages, ApplyTimes, World};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How long a scenario waits for nodes to be up to date, in seconds: a relay, and then its nodes, may each back off twice
/// for their maximum.
const CATCH_UP_TIMEOUT: f64 = 300.0;
/// Interval at which nodes are checked while they catch up, in seconds.
const CATCH_UP_POLL_INTERVAL: f64 = 0.25;

/// The outcome of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Description of the scenario with its parameters.
    pub name: String,
    /// Duration of the scenario, in seconds.
    pub seconds: f64,
    /// Usage of the nodes.
    pub nodes: Usage,
    /// Usage of the control machines.
    pub control: Usage,
    /// Time from the request of a change until a node applied it, over all changes and nodes.
    pub apply_times: Option<Times>,
    /// Number of pairs of a node and a change where the node ran when the change was published and had not applied it at the
    /// end.
    pub missing: usize,
    /// Time from the reconnection or restart of nodes until they were up to date.
    pub catch_up_times: Option<Times>,
    /// The first violations of invariants, up to a limit.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: usize,
    /// Comparison of the staleness that nodes reported with the actual one, if it was made.
    pub ages: Option<Ages>,
    /// Which of the times is subject to a budget.
    pub judged_by: JudgedBy,
}

/// Which time of a scenario is subject to a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JudgedBy {
    /// From the request of a change until the last node has applied it.
    InForce,
    /// From the reconnection or restart of nodes until the last one is up to date.
    CaughtUp,
    /// From a tenant's first request at a node until the node has applied the tenant, at the 99th percentile.
    FirstRequest,
    /// None; only traffic is subject to a budget.
    Bytes,
}

/// A scenario in progress.
struct ScenarioRun {
    name: String,
    started_at: f64,
    catch_up_times: Option<Times>,
    judged_by: JudgedBy,
}

impl ScenarioRun {
    /// Starts a scenario and resets accounts and recorded times.
    fn start(world: &mut World, name: impl Into<String>, judged_by: JudgedBy) -> ScenarioRun {
        world.take_apply_times();
        world.tenant_subscriptions.take_waits();
        world.ages = world.ages.map(|_| Ages::default());
        world.network.reset_accounts();
        ScenarioRun {
            name: name.into(),
            started_at: world.network.now(),
            catch_up_times: None,
            judged_by,
        }
    }

    /// Waits until all nodes are up to date, checks the invariants, and returns the outcome.
    fn end(self, world: &mut World) -> Outcome {
        let nodes: Vec<u32> = world.running_nodes().collect();
        catch_up(world, &nodes);
        check_agreement(world, &nodes);
        check_bandwidth(world);
        let ApplyTimes { times, missing } = self.measured_times(world);
        let control: Vec<u32> = world.layout.control_machines().collect();
        Outcome {
            name: self.name,
            seconds: world.network.now() - self.started_at,
            nodes: world.network.usage(nodes),
            control: world.network.usage(control),
            apply_times: times,
            missing,
            catch_up_times: self.catch_up_times,
            violations: std::mem::take(&mut world.checker.violations),
            violation_count: std::mem::take(&mut world.checker.violation_count),
            ages: world.ages,
            judged_by: self.judged_by,
        }
    }

    fn measured_times(&self, world: &mut World) -> ApplyTimes {
        let apply_times = world.take_apply_times();
        if self.judged_by != JudgedBy::FirstRequest {
            return apply_times;
        }
        ApplyTimes {
            times: Times::of(world.tenant_subscriptions.take_waits()),
            missing: world.tenant_subscriptions.pending(),
        }
    }
}

/// Runs until these nodes are up to date; returns how long each took. Nodes that are not up to date within
/// [`CATCH_UP_TIMEOUT`] count with the elapsed time.
fn catch_up(world: &mut World, nodes: &[u32]) -> Option<Times> {
    let started_at = world.network.now();
    let mut behind: BTreeSet<u32> = nodes.iter().copied().collect();
    let mut times = Vec::new();
    loop {
        let elapsed = world.network.now() - started_at;
        let up_to_date: BTreeSet<u32> = behind
            .iter()
            .copied()
            .filter(|node| world.is_up_to_date(*node))
            .collect();
        times.extend(up_to_date.iter().map(|_| elapsed));
        behind.retain(|node| !up_to_date.contains(node));
        if behind.is_empty() || elapsed >= CATCH_UP_TIMEOUT {
            times.extend(behind.iter().map(|_| elapsed));
            return Times::of(times);
        }
        world.run(CATCH_UP_POLL_INTERVAL);
    }
}

/// Number of events in this many seconds at this rate per second, at least 1.
fn event_count(rate: f64, seconds: f64) -> u32 {
    (rate * seconds).round().max(1.0) as u32
}

/// Requests changes at a constant rate per second.
fn request_changes(world: &mut World, rate: f64, seconds: f64) {
    let count = event_count(rate, seconds);
    for _ in 0..count {
        world.request_random_change();
        world.run(seconds / f64::from(count));
    }
}
