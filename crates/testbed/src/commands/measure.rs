//! The command `measure`: CPU time, latency and memory of a node.

use super::error::UnknownName;
use reelfall_testbed::measure::{self, Plan};
use reelfall_testbed::node::Program;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::time::Duration;

#[derive(clap::Args)]
pub struct MeasureArgs {
    /// The measurement: `services`, `graphql`, `membership` or `fleet`
    name: String,
    /// Another build of the node to compare with
    #[arg(long, value_name = "PROGRAM")]
    old: Option<PathBuf>,
    /// Number of rounds; each one measures every subject once
    #[arg(long, default_value_t = 7)]
    rounds: usize,
    /// Seconds of load on each subject in a round
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Requests per second
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
}

/// Runs a measurement and prints its figures.
pub async fn run(program: &Program, args: MeasureArgs) -> Result<()> {
    let plan = Plan {
        rounds: args.rounds,
        round_duration: Duration::from_secs_f64(args.seconds),
        rate: args.rate,
        baseline: args.old.map(Program::standalone),
    };
    let figures = match args.name.as_str() {
        "services" => measure::services::run(program, &plan).await?,
        "graphql" => measure::graphql::run(program, &plan).await?,
        "membership" => measure::membership::run(program, &plan).await?,
        "fleet" => measure::fleet::run(program, &plan).await?,
        name => return Err(UnknownName::Measurement(name.to_owned()).into()),
    };
    println!("{figures}");
    Ok(())
}
