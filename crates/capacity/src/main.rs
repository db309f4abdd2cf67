//! The program `reelfall-capacity`.

use clap::{Parser, Subcommand};
use reelfall_capacity::scale;
use reelfall_testbed::node::Program;
use std::path::PathBuf;
use std::process::ExitCode;

/// What the control side of many nodes costs as sizes grow.
#[derive(Parser)]
#[command(name = "reelfall-capacity", version)]
struct Cli {
    /// The node's program; by default the node that is part of this one
    #[arg(long, global = true, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One run at one size, or sweeps
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
        // The node itself: a run starts this program again, so that it needs no other.
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
