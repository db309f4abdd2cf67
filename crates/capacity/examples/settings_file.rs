//! Prints a settings file of any size: `settings_file SERVICES SERVERS ROUTES TENANTS`.

use reelfall_capacity::scale::report::Size;
use reelfall_capacity::scale::settings::settings_file;
use std::io::Write;
use std::process::ExitCode;
use thiserror::Error;

/// Reason why no settings file can be printed.
#[derive(Debug, Error)]
enum Failure {
    #[error("usage: settings_file SERVICES SERVERS ROUTES TENANTS")]
    Usage,
    #[error(transparent)]
    Output(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match print(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

fn print(arguments: impl Iterator<Item = String>) -> Result<(), Failure> {
    let size = parse_size(arguments).ok_or(Failure::Usage)?;
    std::io::stdout().write_all(settings_file(&size).as_bytes())?;
    Ok(())
}

/// Parses a size from exactly four numbers.
fn parse_size(arguments: impl Iterator<Item = String>) -> Option<Size> {
    let numbers: Result<Vec<usize>, _> = arguments.map(|argument| argument.parse()).collect();
    let &[services, servers, routes, tenants] = numbers.ok()?.as_slice() else {
        return None;
    };
    Some(Size {
        services,
        servers,
        routes,
        tenants,
        ..Size::TARGET
    })
}
