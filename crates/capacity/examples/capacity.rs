//! Writes the generated tables of docs/CAPACITY.md and docs/measurements/scale.md, or checks that they match their inputs.
//! `cargo run -p reelfall-capacity --example capacity -- --write`, or `--check`, from the root of the repository.

use reelfall_capacity::budget::{self, page, pages, Page};
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// The root of the repository, in which the example runs.
const ROOT: &str = ".";

/// Reason why pages can't be written, or fail the check.
#[derive(Debug, Error)]
enum Failure {
    #[error("usage: capacity --check | --write")]
    Usage,
    #[error("{file}: {source}")]
    File {
        file: &'static str,
        source: std::io::Error,
    },
    #[error("{file}: {source}")]
    Page {
        file: &'static str,
        source: budget::Error,
    },
    #[error(transparent)]
    Inputs(budget::Error),
    #[error("these tables differ from their inputs; regenerate them with --write: {}", .0.join(", "))]
    Stale(Vec<String>),
}

fn main() -> ExitCode {
    let result = match std::env::args().nth(1).as_deref() {
        Some("--check") => check(),
        Some("--write") => write(),
        _ => Err(Failure::Usage),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("capacity: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn generated_pages() -> Result<[Page; 2], Failure> {
    pages(Path::new(ROOT)).map_err(Failure::Inputs)
}

fn read(file: &'static str) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|source| Failure::File { file, source })
}

fn check() -> Result<(), Failure> {
    let mut stale = Vec::new();
    for Page { file, tables } in generated_pages()? {
        let names = page::stale_tables(&read(file)?, &tables)
            .map_err(|source| Failure::Page { file, source })?;
        stale.extend(names.iter().map(|table| format!("{file}: {table}")));
    }
    if stale.is_empty() {
        return Ok(());
    }
    Err(Failure::Stale(stale))
}

fn write() -> Result<(), Failure> {
    for Page { file, tables } in generated_pages()? {
        let page = page::replace_tables(&read(file)?, &tables)
            .map_err(|source| Failure::Page { file, source })?;
        std::fs::write(file, page).map_err(|source| Failure::File { file, source })?;
    }
    Ok(())
}
