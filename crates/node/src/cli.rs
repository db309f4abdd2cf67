//! The command line: parses the arguments, runs the command and returns the exit code. Called by the program's `main`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `args` | the arguments |
//! | `routes` | the command `routes`, which looks up the route of a request |

mod args;
mod routes;

use crate::operate;
use crate::platform::{self, PlatformError};
use crate::standalone::{self, StandaloneError};
use args::{Cli, Command, FleetCommand, ManagementTarget};
use clap::Parser;
use reelfall_admin::request::{FleetRequest, ManagementRequest};
use reelfall_config::ConfigErrors;
use routes::RouteError;
use std::ffi::OsString;
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// The exit code for invalid arguments, as clap's own.
const INVALID_ARGUMENTS: u8 = 2;

/// The error of a command, with the text that is printed on standard error.
#[derive(Debug, Error)]
enum CommandError {
    #[error("reelfall: {0}")]
    Platform(#[from] PlatformError),
    #[error("{0}\nreelfall: not started")]
    Standalone(#[from] StandaloneError),
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    #[error(transparent)]
    Route(#[from] RouteError),
}

/// Runs the program with these arguments, of which the first is the program's name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            // A failure to write to standard output or error can't be reported anywhere.
            let _ = error.print();
            let code = u8::try_from(error.exit_code()).unwrap_or(INVALID_ARGUMENTS);
            return ExitCode::from(code);
        }
    };
    match run(cli.command.unwrap_or(Command::Run { config: None })) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Run { config: None } => platform::run()?,
        Command::Run { config: Some(file) } => standalone::run(&file)?,
        Command::Check { file } => check(&file)?,
        Command::Routes(args) => routes::run(&args)?,
        Command::Ready(target) => return Ok(send(&target, &ManagementRequest::Ready)),
        Command::Disable { server, target } => {
            return Ok(send(&target, &ManagementRequest::Disable(server)));
        }
        Command::Enable { server, target } => {
            return Ok(send(&target, &ManagementRequest::Enable(server)));
        }
        Command::Drain(target) => return Ok(send(&target, &ManagementRequest::Drain)),
        Command::Resume(target) => return Ok(send(&target, &ManagementRequest::Resume)),
        Command::Fleet { command } => return Ok(send_to_fleet(command)),
    }
    Ok(ExitCode::SUCCESS)
}

fn send(target: &ManagementTarget, request: &ManagementRequest) -> ExitCode {
    operate::run(target.management, request)
}

fn send_to_fleet(command: FleetCommand) -> ExitCode {
    let (request, target) = match command {
        FleetCommand::Members(target) => (FleetRequest::Members, target),
        FleetCommand::Verdicts(target) => (FleetRequest::Verdicts, target),
        FleetCommand::Explain { server, target } => (FleetRequest::Explain(server), target),
        FleetCommand::Ban {
            server,
            seconds,
            by,
            target,
        } => {
            let request = FleetRequest::Ban {
                server,
                seconds,
                by,
            };
            (request, target)
        }
        FleetCommand::Lift { server, by, target } => (FleetRequest::Lift { server, by }, target),
        FleetCommand::Leases(target) => (FleetRequest::Leases, target),
        FleetCommand::Release { lease, why, target } => {
            (FleetRequest::Release { lease, reason: why }, target)
        }
    };
    send(&target, &ManagementRequest::Fleet(request))
}

/// Validates a settings file, and prints its number of services and routes.
fn check(file: &Path) -> Result<(), ConfigErrors> {
    let plan = reelfall_config::load(file)?;
    let (services, routes) = (plan.model.services.len(), plan.route_conditions.len());
    println!(
        "{}: {services} services, {routes} routes, no errors",
        file.display()
    );
    Ok(())
}
