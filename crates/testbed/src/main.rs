//! The program `reelfall-testbed`: its arguments and the choice of a command.

mod commands;

use clap::{Parser, Subcommand};
use commands::{demo, fleet, load, measure, scenario, soak, stand_ins};
use reelfall_testbed::node::Program;
use reelfall_testbed::soak::stalls;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::process::ExitCode;

/// Stand-ins, load, faults and scenarios for reelfall, on loopback addresses.
#[derive(Parser)]
#[command(name = "reelfall-testbed", version)]
struct Cli {
    /// The node's program; by default the node that is part of this one
    #[arg(long, global = true, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Servers with a set capacity, until ended
    Pool(stand_ins::PoolArgs),
    /// The platform's discovery with a list of servers, until ended
    Discovery(stand_ins::DiscoveryArgs),
    /// A registry in the manner of ZooKeeper, with controls for failures, until ended
    Registry(stand_ins::RegistryArgs),
    /// A path to an address, with faults, until ended
    Link(stand_ins::LinkArgs),
    /// A proxy that decides nothing, until ended
    Relay(stand_ins::RelayArgs),
    /// Requests at random moments; the figures are the last line
    Load(load::LoadArgs),
    /// Plays a scenario; its report is the last line, and a broken promise an exit code
    Scenario(scenario::ScenarioArgs),
    /// A fleet of nodes under load, and a schedule of faults: drawn from a seed, or read from a file of lines
    Fleet(fleet::ScheduleArgs),
    /// Many drawn days, each judged by what clients and servers saw; a red one is an exit code
    Soak(soak::SoakArgs),
    /// Sleeps, and prints when it woke late, until nobody reads
    #[command(hide = true)]
    StallMeter,
    /// A node with its stand-ins, until ended
    Demo(demo::DemoArgs),
    /// Measures what the node costs; the figures are the last line
    Measure(measure::MeasureArgs),
}

/// Runs a command. Returns whether all that it checks holds.
async fn run(cli: Cli) -> Result<bool> {
    let program = match cli.node {
        Some(path) => Program::standalone(path),
        None => Program::in_testbed(std::env::current_exe()?),
    };
    match cli.command {
        Command::Pool(args) => stand_ins::run_pool(&args).await?,
        Command::Discovery(args) => stand_ins::run_discovery(&args).await?,
        Command::Registry(args) => stand_ins::run_registry(&args).await?,
        Command::Link(args) => stand_ins::run_link(&args).await?,
        Command::Relay(args) => stand_ins::run_relay(args).await?,
        Command::Load(args) => load::run(args).await,
        Command::Scenario(args) => return scenario::run(&program, &args).await,
        Command::Fleet(args) => return fleet::run(&program, &args).await,
        Command::Soak(args) => return soak::run(&program, args).await,
        Command::StallMeter => stalls::measure(&mut std::io::stdout())?,
        Command::Demo(args) => demo::run(&program, &args).await?,
        Command::Measure(args) => measure::run(&program, args).await?,
    }
    Ok(true)
}

/// Runs a command on a runtime of its own.
fn run_blocking(cli: Cli) -> Result<bool> {
    // The relay is measured against a node, which has one thread.
    let mut runtime = match cli.command {
        Command::Relay(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    runtime.enable_all().build()?.block_on(run(cli))
}

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().collect();
    if args.get(1).is_some_and(|command| command == "node") {
        // The node itself: a scenario starts this program again and needs no other one.
        args.remove(0);
        return reelfall::cli::main(args);
    }
    match run_blocking(Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("reelfall-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
