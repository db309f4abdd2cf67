//! Writes the tables of docs/CAPACITY.md from their inputs, or says which are not what the inputs make of them.
//! `cargo run -p reelfall-rig --example capacity -- --write`, or `--check`, from the root of the repository.

use reelfall_rig::capacity::{page, tables, PAGE};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let done = match std::env::args().nth(1).as_deref() {
        Some("--check") => check(),
        Some("--write") => write(),
        _ => Err("say --check or --write".to_owned()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("capacity: {why}");
            ExitCode::FAILURE
        }
    }
}

fn held() -> Result<String, String> {
    std::fs::read_to_string(PAGE).map_err(|e| format!("{PAGE}: {e}"))
}

fn check() -> Result<(), String> {
    let tables = tables(Path::new(".")).map_err(|e| e.to_string())?;
    let stale = page::stale(&held()?, &tables).map_err(|e| e.to_string())?;
    if stale.is_empty() {
        return Ok(());
    }
    Err(format!("{PAGE}: these tables differ from their inputs: {}; write them anew", stale.join(", ")))
}

fn write() -> Result<(), String> {
    let tables = tables(Path::new(".")).map_err(|e| e.to_string())?;
    let page = page::with_tables(&held()?, &tables).map_err(|e| e.to_string())?;
    std::fs::write(PAGE, page).map_err(|e| format!("{PAGE}: {e}"))
}
