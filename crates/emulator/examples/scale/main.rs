//! Measures the cost of the control plane for each node of a large fleet, in virtual time. Results are printed, and appended
//! to a report in the format that the scale runs of the capacity package use.
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
    /// Membership of a fleet whose nodes initially know each other: at rest and while servers are banned.
    Members(members::Arguments),
    /// Membership of a fleet whose nodes have to discover each other: at rest, by time since then.
    Quiet(quiet::Arguments),
    /// Configuration distribution by publishers and relays, compared with full snapshots.
    Control(control::Arguments),
    /// Memory of a publisher, a relay and nodes with the resources of the target system.
    Holdings(holdings::Arguments),
    /// Memory of a node, and whether it rejects replayed datagrams, by number of peers.
    Tables(tables::Arguments),
}

/// Options of the report.
#[derive(Args)]
struct Output {
    /// File of a report to which runs are appended.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The commit that is measured.
    #[arg(long, default_value = "unknown")]
    commit: String,
    /// The seed of all random numbers.
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
    /// Appends runs to the report, if a file was given.
    fn write(&self, runs: Vec<Run>) -> Result<(), ScaleError> {
        let Some(path) = &self.out else { return Ok(()) };
        let mut report = report::open(path, &self.commit, self.seed)?;
        report.append(runs);
        report::save(&report, path)
    }
}
