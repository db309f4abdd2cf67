//! One run of a schedule on a fleet under load, and its outcome.
//!
//! The command `fleet` and the scenario `fleet` call it.

use super::history::History;
use super::minimize::{minimize, Minimized};
use super::schedule::{self, Step};
use super::verdict_stats::VerdictStats;
use super::{invariants, queries, FleetSpec, TestFleet};
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Duration;

/// The fleet and the load that a schedule is executed on.
#[derive(Clone, Debug)]
pub struct ScheduleRun {
    /// The fleet.
    pub spec: FleetSpec,
    /// Requests per second at each node.
    pub rate: f64,
    /// Share of requests that must be executed at most once.
    pub at_most_once_ratio: f64,
    /// Seed of the clients and of the faults of the network.
    pub seed: u64,
}

/// The outcome of a run.
pub struct RunOutcome {
    /// Violations of invariants, one line each.
    pub violations: Vec<String>,
    /// The history of the fleet.
    pub history: Arc<History>,
    /// Time from the end of the load after the schedule until all nodes were members again; `None` if they did not
    /// converge, if some node has no process, or without a fleet section in the settings.
    pub convergence_time: Option<Duration>,
    schedule_start: Duration,
    schedule_end: Duration,
    forwarded_datagrams: u64,
}

impl ScheduleRun {
    /// Starts the fleet and executes a schedule on it.
    ///
    /// # Errors
    /// Fails if a process does not start.
    pub async fn execute(&self, program: &Program, steps: &[Step]) -> Result<RunOutcome> {
        let mut fleet = TestFleet::start(program, &self.spec).await?;
        let has_cluster = self.spec.fleet_settings.is_some();
        if has_cluster {
            fleet
                .wait_until("all nodes are members", async |fleet| {
                    fleet.is_converged().await
                })
                .await?;
        }
        fleet.network().set_seed(self.seed);
        let load = fleet.start_load(self.rate, self.at_most_once_ratio, self.seed);
        let schedule_start = fleet.history.now();
        schedule::execute(&mut fleet, steps).await?;
        let schedule_end = fleet.history.now();
        load.stop().await;
        let must_converge = has_cluster && fleet.running_nodes().len() == fleet.node_count();
        let convergence_time = if must_converge {
            fleet
                .wait_until("all nodes are members again", async |fleet| {
                    fleet.is_converged().await
                })
                .await
                .ok()
        } else {
            None
        };
        let events = fleet.history.events();
        let mut violations = invariants::violations(&events);
        let served = queries::served_ratio(&events, schedule_start, schedule_end);
        if served.ratio <= 0.0 {
            // The invariants also hold for load that reached no server.
            violations.push(format!("no request of {} was served", served.requests));
        }
        if must_converge && convergence_time.is_none() {
            violations.push("the membership did not converge after the schedule".to_owned());
        }
        Ok(RunOutcome {
            violations,
            history: fleet.history.clone(),
            convergence_time,
            schedule_start,
            schedule_end,
            forwarded_datagrams: fleet.network().forwarded(),
        })
    }

    /// Searches for a short part of a schedule that still violates an invariant, in at most `run_limit` runs.
    ///
    /// Random faults may not recur, so a part that violated no invariant in its run may still contain the cause.
    pub async fn minimize(
        &self,
        program: &Program,
        steps: &[Step],
        run_limit: usize,
    ) -> Minimized<Step> {
        let fails = async |steps: Vec<Step>| {
            let outcome = self.execute(program, &steps).await;
            outcome.is_ok_and(|outcome| !outcome.violations.is_empty())
        };
        minimize(steps, run_limit, fails).await
    }
}

impl RunOutcome {
    /// The figures of the run for a report.
    pub fn figures(&self) -> Value {
        let events = self.history.events();
        let served = queries::served_ratio(&events, self.schedule_start, self.schedule_end);
        json!({
            "asked": served.requests,
            "served_percent": (served.ratio * 1e4).round() / 1e2,
            "broken": self.violations,
            "agree_again_s": self.convergence_time.map(|time| time.as_secs_f64()),
            "verdicts": VerdictStats::from_events(&events).figures(),
            "datagrams": self.forwarded_datagrams,
        })
    }
}
