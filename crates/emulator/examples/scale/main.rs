//! What the control side costs each node of a large fleet, in virtual time. Figures are printed, and appended to a
//! report of the same types as the rig's scale runs.
//!
//! `cargo run --release -p reelfall-emulator --example scale -- members --nodes 1500 --out docs/measurements/scale/virtual.json`

mod control;
mod holdings;
mod members;
mod quiet;
mod report;
mod tables;

use clap::{Args, Parser, Subcommand};
use reelfall_emulator::control::report::Run;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    play: Play,
}

#[derive(Subcommand)]
enum Play {
    /// A fleet of nodes that know each other: at rest, and while servers are banned.
    Members(members::Arguments),
    /// A fleet whose nodes have found each other by themselves: at rest, by how long it has been left alone.
    Quiet(quiet::Arguments),
    /// Distribution of configuration by authors and relays, and beside it what whole copies would cost.
    Control(control::Arguments),
    /// What an author, a relay and a node hold in memory of all that the target has.
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
    let done = match Arguments::parse().play {
        Play::Members(arguments) => members::play(&arguments),
        Play::Quiet(arguments) => quiet::play(&arguments),
        Play::Control(arguments) => control::play(&arguments),
        Play::Holdings(arguments) => holdings::play(&arguments),
        Play::Tables(arguments) => tables::play(&arguments),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

impl Output {
    /// Appends runs to the report, if there is to be one.
    fn write(&self, runs: Vec<Run>) -> Result<(), String> {
        let Some(path) = &self.out else { return Ok(()) };
        let mut report = report::open(path, &self.commit, self.seed)?;
        report.append(runs);
        report::save(&report, path)
    }
}
