//! Prints a settings file of any size: `settings_file SERVICES SERVERS ROUTES TENANTS`.

use reelfall_capacity::scale::report::Size;
use reelfall_capacity::scale::settings::settings_file;
use std::io::Write;
use std::process::ExitCode;

const USAGE: &str = "usage: settings_file SERVICES SERVERS ROUTES TENANTS";

fn main() -> ExitCode {
    match print(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn print(arguments: impl Iterator<Item = String>) -> Result<(), String> {
    let numbers: Result<Vec<usize>, _> = arguments.map(|argument| argument.parse()).collect();
    let Ok(&[services, servers, routes, tenants]) = numbers.as_deref() else {
        return Err(USAGE.to_owned());
    };
    let size = Size {
        services,
        servers,
        routes,
        tenants,
        ..Size::TARGET
    };
    std::io::stdout()
        .write_all(settings_file(&size).as_bytes())
        .map_err(|e| e.to_string())
}
