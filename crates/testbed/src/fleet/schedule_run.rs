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

/// What a schedule is run on.
#[derive(Clone, Debug)]
pub struct ScheduleRun {
    /// The fleet.
    pub spec: FleetSpec,
    /// Requests a second at each node.
    pub rate: f64,
    /// Share of requests that must run at most once.
    pub at_most_once_ratio: f64,
    /// Seed of the clients and the network.
    pub seed: u64,
}

/// The outcome of a run.
pub struct RunOutcome {
    /// Violations of invariants, one line each.
    pub violations: Vec<String>,
    /// The history of the fleet.
    pub history: Arc<History>,
    /// How long after the schedule the nodes took until each knew all others; `None` if they did not, or if some node has
    /// no process.
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
                .wait_until("all know each other", async |fleet| {
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
                .wait_until("all know each other again", async |fleet| {
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
            // The invariants hold for load that reached no server.
            violations.push(format!("none of {} requests was served", served.requests));
        }
        if must_converge && convergence_time.is_none() {
            violations.push("the nodes do not find each other again".to_owned());
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

    /// Searches for the shortest part of a schedule that still violates an invariant, in at most `run_limit` runs.
    ///
    /// Random faults may not recur: a part that violated nothing may still be a cause.
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
    /// The figures of a report.
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
