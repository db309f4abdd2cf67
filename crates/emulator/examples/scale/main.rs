//! What the control side costs each node of a large fleet, in virtual time. Figures are printed, and appended to a
//! report of the same types as the scale runs of the capacity package.
//!
//! `cargo run --release -p reelfall-emulator --example scale -- members --nodes 1500 --out docs/measurements/scale/virtual.json`

mod baseline;
mod control;
mod error;
mod holdings;
mod members;
mod quiet;
mod report;
mod tables;
mod target;

use self::error::ScaleError;
use clap::{Args, Parser, Subcommand};
use reelfall_emulator::control::report::Run;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A fleet of nodes that know each other: at rest, and while servers are banned.
    Members(members::Arguments),
    /// A fleet whose nodes have found each other by themselves: at rest, by how long it has been left alone.
    Quiet(quiet::Arguments),
    /// Distribution of configuration by publishers and relays, and beside it what whole copies would cost.
    Control(control::Arguments),
    /// What a publisher, a relay and a node hold in memory of all that the target has.
    Holdings(holdings::Arguments),
    /// One node's memory, and what it takes for new of what it has heard before, for numbers of peers.
    Tables(tables::Arguments),
}

/// Where figures go.
#[derive(Args)]
struct Output {
    /// A report to which runs are appended.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The commit that is measured.
    #[arg(long, default_value = "unknown")]
    commit: String,
    /// The seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Members(arguments) => members::run_all(&arguments),
        Command::Quiet(arguments) => quiet::run_windows(&arguments),
        Command::Control(arguments) => control::run_scenarios(&arguments),
        Command::Holdings(arguments) => holdings::measure_all(&arguments),
        Command::Tables(arguments) => tables::measure_all(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

impl Output {
    /// Appends runs to the report, if one was asked for.
    fn write(&self, runs: Vec<Run>) -> Result<(), ScaleError> {
        let Some(path) = &self.out else { return Ok(()) };
        let mut report = report::open(path, &self.commit, self.seed)?;
        report.append(runs);
        report::save(&report, path)
    }
}
