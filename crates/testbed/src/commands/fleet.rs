//! The command `fleet`: a fleet of nodes under load, and a schedule of faults.

use reelfall_testbed::fleet::schedule::{self, Step};
use reelfall_testbed::fleet::schedule_run::ScheduleRun;
use reelfall_testbed::fleet::{FleetSpec, SHORT_SLOW_START};
use reelfall_testbed::node::Program;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::time::Duration;

/// A schedule, and what it is played on. Its lines are those of `--write`: `["cut",[0,1],[2],true]`, `["wait",500]`.
#[derive(clap::Args)]
pub struct ScheduleArgs {
    /// Nodes
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// Servers
    #[arg(long, default_value_t = 6)]
    servers: usize,
    /// Zones that nodes and servers are dealt into
    #[arg(long, default_value_t = 1)]
    zones: usize,
    /// List services in place of written servers
    #[arg(long, default_value_t = 0)]
    lists: usize,
    /// Lines of the part `[fleet]` of each node's settings
    #[arg(long, default_value = "")]
    fleet: String,
    /// For the schedule, the links and the clients
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// About how long a drawn schedule is
    #[arg(long, default_value_t = 15.0)]
    seconds: f64,
    /// Requests a second at each node
    #[arg(long, default_value_t = 30.0)]
    rate: f64,
    /// Share of requests that may not be repeated
    #[arg(long, default_value_t = 0.3)]
    risky: f64,
    /// A schedule to play in place of a drawn one
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
    /// Where to write the schedule; after `--shorten`, the shortened one
    #[arg(long, value_name = "FILE")]
    write: Option<PathBuf>,
    /// Where to write all that happened
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// If a rule breaks, look for a shorter schedule that breaks one, by so many plays at most
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
            "{} steps in place of {}, after {} plays",
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
