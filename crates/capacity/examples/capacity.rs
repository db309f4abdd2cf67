//! Writes the tables of docs/CAPACITY.md and docs/measurements/scale.md from their inputs, or says which are not what the
//! inputs make of them.
//! `cargo run -p reelfall-capacity --example capacity -- --write`, or `--check`, from the root of the repository.

use reelfall_capacity::budget::{page, pages, Page};
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

fn held(name: &str) -> Result<String, String> {
    std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))
}

fn check() -> Result<(), String> {
    let mut differ = Vec::new();
    for Page { file: name, tables } in pages(Path::new(".")).map_err(|e| e.to_string())? {
        let stale = page::stale(&held(name)?, &tables).map_err(|e| format!("{name}: {e}"))?;
        differ.extend(stale.iter().map(|table| format!("{name}: {table}")));
    }
    if differ.is_empty() {
        return Ok(());
    }
    Err(format!(
        "these tables differ from their inputs; write them anew: {}",
        differ.join(", ")
    ))
}

fn write() -> Result<(), String> {
    for Page { file: name, tables } in pages(Path::new(".")).map_err(|e| e.to_string())? {
        let page = page::with_tables(&held(name)?, &tables).map_err(|e| format!("{name}: {e}"))?;
        std::fs::write(name, page).map_err(|e| format!("{name}: {e}"))?;
    }
    Ok(())
}
