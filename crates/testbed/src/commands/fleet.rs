//! A fleet of nodes under load, and a schedule of faults.

use reelfall_testbed::fleet::plays::Play;
use reelfall_testbed::fleet::{schedule, Made, WARM};
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

/// Plays a schedule and prints the figures; returns whether no rule was broken.
pub async fn run(program: &Program, args: &ScheduleArgs) -> Result<bool> {
    let made = Made {
        nodes: args.nodes,
        servers: args.servers,
        zones: args.zones,
        lists: args.lists,
        fleet: Some(args.fleet.clone()),
        service: WARM.to_owned(),
        ..Made::default()
    };
    let play = Play {
        made,
        rate: args.rate,
        risky: args.risky,
        seed: args.seed,
    };
    let time = Duration::from_secs_f64(args.seconds);
    let mut steps = match &args.schedule {
        Some(file) => schedule::read(&std::fs::read_to_string(file)?, args.nodes, args.servers)?,
        None => schedule::drawn(args.seed, args.nodes, args.servers, time),
    };
    let result = play.run(program, &steps).await?;
    if let Some(file) = &args.history {
        std::fs::write(file, result.lines())?;
    }
    if !result.broken.is_empty() && args.shorten > 0 {
        let (shorter, plays) = play.shorten(program, &steps, args.shorten).await;
        eprintln!(
            "{} steps in place of {}, after {plays} plays",
            shorter.len(),
            steps.len()
        );
        steps = shorter;
    }
    if let Some(file) = &args.write {
        std::fs::write(file, schedule::write(&steps))?;
    }
    result.broken.iter().for_each(|b| eprintln!("broken: {b}"));
    println!("{}", result.figures());
    Ok(result.broken.is_empty())
}
