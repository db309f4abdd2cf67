//! The command `fleet`: a fleet of nodes under load, and a schedule of faults.

use reelfall_testbed::fleet::schedule::{self, Step};
use reelfall_testbed::fleet::schedule_run::ScheduleRun;
use reelfall_testbed::fleet::{FleetSpec, SHORT_SLOW_START};
use reelfall_testbed::node::Program;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::time::Duration;

/// A schedule, and the fleet that it is executed on. A schedule file has one step per line, as `--write` writes them:
/// `["cut",[0,1],[2],true]`, `["wait",500]`.
#[derive(clap::Args)]
pub struct ScheduleArgs {
    /// Number of nodes
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// Number of servers
    #[arg(long, default_value_t = 6)]
    servers: usize,
    /// Number of zones, to which nodes and servers are assigned in turn
    #[arg(long, default_value_t = 1)]
    zones: usize,
    /// Number of discovery services; with 0, the settings list the servers
    #[arg(long, default_value_t = 0)]
    lists: usize,
    /// Additional lines of the section `[fleet]` of each node's settings
    #[arg(long, default_value = "")]
    fleet: String,
    /// Seed of the schedule, the network faults and the clients
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Approximate duration of a generated schedule, in seconds
    #[arg(long, default_value_t = 15.0)]
    seconds: f64,
    /// Requests per second at each node
    #[arg(long, default_value_t = 30.0)]
    rate: f64,
    /// Share of requests that must be executed at most once
    #[arg(long, default_value_t = 0.3)]
    risky: f64,
    /// Schedule to execute instead of a generated one
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
    /// Where to write the schedule; with `--shorten`, the shortened one
    #[arg(long, value_name = "FILE")]
    write: Option<PathBuf>,
    /// Where to write the history of all events
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// After a violation, search for a shorter schedule that violates an invariant, in at most this number of runs
    #[arg(long, default_value_t = 0, value_name = "PLAYS")]
    shorten: usize,
}

impl ScheduleArgs {
    fn schedule_run(&self) -> ScheduleRun {
        let spec = FleetSpec {
            node_count: self.nodes,
            server_count: self.servers,
            zone_count: self.zones,
            discovery_count: self.lists,
            fleet_settings: Some(self.fleet.clone()),
            service_settings: SHORT_SLOW_START.to_owned(),
            ..FleetSpec::default()
        };
        ScheduleRun {
            spec,
            rate: self.rate,
            at_most_once_ratio: self.risky,
            seed: self.seed,
        }
    }

    /// The schedule of the file, or else a generated one.
    fn steps(&self) -> Result<Vec<Step>> {
        let Some(file) = &self.schedule else {
            let duration = Duration::from_secs_f64(self.seconds);
            return Ok(schedule::generate(
                self.seed,
                self.nodes,
                self.servers,
                duration,
            ));
        };
        let text = std::fs::read_to_string(file)?;
        Ok(schedule::parse(&text, self.nodes, self.servers)?)
    }
}

/// Runs a schedule and prints the figures; returns whether no invariant was violated.
pub async fn run(program: &Program, args: &ScheduleArgs) -> Result<bool> {
    let schedule_run = args.schedule_run();
    let mut steps = args.steps()?;
    let outcome = schedule_run.execute(program, &steps).await?;
    if let Some(file) = &args.history {
        std::fs::write(file, outcome.history.to_text())?;
    }
    if !outcome.violations.is_empty() && args.shorten > 0 {
        let minimized = schedule_run.minimize(program, &steps, args.shorten).await;
        eprintln!(
            "shortened to {} steps of {}, after {} runs",
            minimized.steps.len(),
            steps.len(),
            minimized.trials
        );
        steps = minimized.steps;
    }
    if let Some(file) = &args.write {
        std::fs::write(file, schedule::format(&steps))?;
    }
    for violation in &outcome.violations {
        eprintln!("broken: {violation}");
    }
    println!("{}", outcome.figures());
    Ok(outcome.violations.is_empty())
}
