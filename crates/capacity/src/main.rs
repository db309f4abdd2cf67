//! The program `reelfall-capacity`: runs measurements of the control side at growing sizes.

use clap::{Parser, Subcommand};
use reelfall_capacity::scale;
use reelfall_testbed::node::Program;
use std::path::PathBuf;
use std::process::ExitCode;

/// Measures the cost of the control side as fleets grow
#[derive(Parser)]
#[command(name = "reelfall-capacity", version)]
struct Cli {
    /// Path of the node program; by default the node that is built into this program
    #[arg(long, global = true, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs measurements at one size, or sweeps over sizes
    Scale(Box<scale::command::Args>),
}

async fn run(cli: Cli) -> reelfall_testbed::Result<bool> {
    let program = match cli.node {
        Some(path) => Program::standalone(path),
        None => Program::in_testbed(std::env::current_exe()?),
    };
    match cli.command {
        Command::Scale(args) => scale::command::run(&program, &args).await,
    }
}

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().collect();
    if args.get(1).is_some_and(|command| command == "node") {
        // Runs start real nodes as processes of this program, so that no separate node program is needed.
        args.remove(0);
        return reelfall::cli::main(args);
    }
    let cli = Cli::parse();
    let result = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(run(cli)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("reelfall-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
