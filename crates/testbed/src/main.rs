//! The program `reelfall-testbed`: parses the arguments and dispatches the command.

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
    /// The program of the node; by default the node that is built into this program
    #[arg(long, global = true, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs servers with a configurable service time until it gets a shutdown signal
    Pool(stand_ins::PoolArgs),
    /// Runs a stand-in for the platform's discovery with a list of servers until it gets a shutdown signal
    Discovery(stand_ins::DiscoveryArgs),
    /// Runs a ZooKeeper-like registry with controls for failures until it gets a shutdown signal
    Registry(stand_ins::RegistryArgs),
    /// Forwards connections to an address, with faults, until it gets a shutdown signal
    Link(stand_ins::LinkArgs),
    /// Runs a plain round-robin proxy until it gets a shutdown signal
    Relay(stand_ins::RelayArgs),
    /// Sends requests at random times; prints the figures as the last line
    Load(load::LoadArgs),
    /// Runs a scenario; prints its report as the last line and fails if a guarantee is violated
    Scenario(scenario::ScenarioArgs),
    /// Runs a fleet of nodes under load with a schedule of faults that is generated from a seed or read from a file
    Fleet(fleet::ScheduleArgs),
    /// Runs many generated runs, checks each by what clients and servers observed, and fails if one violates a rule
    Soak(soak::SoakArgs),
    /// Sleeps repeatedly and prints late wake-ups until its output is closed
    #[command(hide = true)]
    StallMeter,
    /// Runs a node with its stand-ins until it gets a shutdown signal
    Demo(demo::DemoArgs),
    /// Measures CPU time, latency and memory of a node; prints the figures as the last line
    Measure(measure::MeasureArgs),
}

/// Runs a command. Returns whether all of its checks hold; `true` for a command without checks.
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

/// Runs a command on a new runtime.
fn run_blocking(cli: Cli) -> Result<bool> {
    // The relay has one thread because it is measured against a node, which has one thread too.
    let mut runtime = match cli.command {
        Command::Relay(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    runtime.enable_all().build()?.block_on(run(cli))
}

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().collect();
    if args.get(1).is_some_and(|command| command == "node") {
        // Runs the node: scenarios start their nodes as this same program, so that no second program is needed.
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
