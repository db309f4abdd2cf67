//! The scenario `fleet`: nodes that exchange gossip, under load and random faults.
//!
//! | module | phase |
//! | --- | --- |
//! | `random_faults` | generated schedules of faults |
//! | `mass_restart` | most of the nodes are killed at once and started again |
//! | `ban` | an operator bans a server for some seconds |
//! | `silent_server` | a server that stops answering, with and without gossip between the nodes |
//! | `detection` | how soon all nodes stop sending to a faulty server |
//!
//! Guarantees: no effect twice; every request is answered once and in time; a ban is in force at all nodes within a second
//! plus the grace that each node has to apply it, and ends on time; after the faults all nodes agree. Run by the command
//! `scenario` and by tests.

mod ban;
mod detection;
mod mass_restart;
mod random_faults;
mod silent_server;

use super::Report;
use crate::fleet::{FleetSpec, TestFleet, SHORT_SLOW_START};
use crate::scripted::Program;
use crate::Result;
use serde_json::json;
use std::time::Duration;

/// The size of the fleet and the duration of the phases.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Duration of a schedule of random faults.
    pub time: Duration,
    /// Number of schedules of random faults.
    pub seeds: u64,
    /// Requests per second at each node.
    pub rate: f64,
}

impl Scale {
    /// The full size: some minutes.
    pub const FULL: Scale = Scale {
        nodes: 30,
        servers: 15,
        time: Duration::from_secs(60),
        seeds: 3,
        rate: 12.0,
    };
    /// The size of a test.
    pub const SMALL: Scale = Scale {
        nodes: 5,
        servers: 6,
        time: Duration::from_secs(5),
        seeds: 1,
        rate: 30.0,
    };

    fn fleet_spec(&self, fleet_settings: Option<&str>) -> FleetSpec {
        FleetSpec {
            node_count: self.nodes,
            server_count: self.servers,
            fleet_settings: fleet_settings.map(str::to_owned),
            service_settings: SHORT_SLOW_START.to_owned(),
            ..FleetSpec::default()
        }
    }

    fn all_nodes(&self) -> Vec<usize> {
        (0..self.nodes).collect()
    }
}

const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Share of the requests that must take effect at most once.
const AT_MOST_ONCE_RATIO: f64 = 0.3;
/// Number of violations that the report lists for each phase.
const REPORTED_VIOLATIONS: usize = 5;

async fn wait_until_converged(fleet: &TestFleet) -> Result<Duration> {
    fleet
        .wait_until("all nodes know each other", async |fleet| {
            fleet.running_nodes().len() == fleet.node_count() && fleet.is_converged().await
        })
        .await
}

/// Runs the scenario.
///
/// # Errors
/// If a process can't be started; a violated guarantee is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let mut random_fault_runs = Vec::new();
    for seed in 1..=scale.seeds {
        let outcome = random_faults::run(program, &scale, seed, &mut report).await?;
        random_fault_runs.push(json!({ "seed": seed, "came": outcome.figures() }));
    }
    report.add_figure("storms", random_fault_runs);
    let mass_restart = mass_restart::run(program, &scale, &mut report).await?;
    report.add_figure("most_killed", mass_restart);
    let ban = ban::run(program, &scale, &mut report).await?;
    report.add_figure("ban", ban);
    report_silent_server(program, &scale, &mut report).await?;
    let failing = detection::of_failing_server(program, &scale).await?;
    report.add_figure("evidence_to_last_ms", failing);
    let paused = detection::of_paused_server(program, &scale).await?;
    report.add_figure("waits_to_last_ms", paused);
    Ok(report)
}

async fn report_silent_server(program: &Program, scale: &Scale, report: &mut Report) -> Result<()> {
    let with_gossip = silent_server::run(program, scale, Some("")).await?;
    let without_gossip = silent_server::run(program, scale, None).await?;
    report.add_figure(
        "silent_server",
        json!({ "with": with_gossip.figures(), "without": without_gossip.figures() }),
    );
    let ratio = with_gossip.attempts as f64 / without_gossip.attempts.max(1) as f64;
    report.add_figure("silent_server_attempts_ratio", (ratio * 1e3).round() / 1e3);
    Ok(())
}
