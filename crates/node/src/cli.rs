//! The command line.

use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::process::ExitCode;

/// A load-balancing node for HTTP servers.
#[derive(Parser)]
#[command(name = "reelfall", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM (what happens without a command, too)
    Run,
}

/// Runs the program with its arguments, the first being its own name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(e) => {
            // Nothing is left to do if even that can't be written.
            let _ = e.print();
            return ExitCode::from(u8::try_from(e.exit_code()).unwrap_or(2));
        }
    };
    let result = match cli.command.unwrap_or(Command::Run) {
        Command::Run => crate::platform::run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("reelfall: {fault}");
            ExitCode::FAILURE
        }
    }
}
