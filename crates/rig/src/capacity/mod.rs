//! What the system needs at a given size, worked out from measured inputs, beside what it may spend.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`inputs`] | figures that were measured, worked out or assumed elsewhere, read from JSON |
//! | [`model`] | the formulas |
//! | [`moments`] | the worst moments |
//! | [`page`] | the tables between the markers of a page |
//! | [`ranking`] | what does not fit, by how far |
//! | [`roles`] | what each role needs at three sizes |
//! | [`table`] | rows, units and verdicts as Markdown |
//!
//! `docs/CAPACITY.md` is made of these; `cargo run -p reelfall-rig --example capacity -- --write` writes its tables.

pub mod inputs;
pub mod model;
pub mod moments;
pub mod page;
pub mod ranking;
pub mod roles;
pub mod table;

use inputs::Inputs;
use model::Costs;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The page, from the root of the repository.
pub const PAGE: &str = "docs/CAPACITY.md";
/// The inputs, from the root of the repository.
pub const INPUTS: &str = "docs/measurements/capacity.json";
/// The folder of scale runs, from the root of the repository.
pub const SCALE_RUNS: &str = "docs/measurements/scale";

/// Why tables can't be made.
#[derive(Debug, Error)]
pub enum Fault {
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file is not what it should be.
    #[error("{0}: {1}")]
    Form(PathBuf, serde_json::Error),
    /// A file is of another format.
    #[error("{path}: schema {found}, {known} is known")]
    Schema {
        /// The file.
        path: PathBuf,
        /// The schema that it states.
        found: u32,
        /// The schema that this program reads.
        known: u32,
    },
    /// A formula needs an input that is not there.
    #[error("there is no input `{0}`")]
    Missing(&'static str),
    /// The page has no such marker, or no end after it.
    #[error("the page has no place for the table `{0}`")]
    NoPlace(String),
}

/// All tables of the page, by their names.
///
/// # Errors
/// If an input can't be read or is missing.
pub fn tables(root: &Path) -> Result<BTreeMap<&'static str, String>, Fault> {
    let inputs = Inputs::read(&root.join(INPUTS))?;
    let runs = inputs::scale_runs(&root.join(SCALE_RUNS))?;
    let costs = Costs::of(&inputs)?;
    let mut tables = roles::tables(&costs, &runs);
    tables.insert("ranking", ranking::table(&costs));
    tables.insert("moments", moments::table(&costs, &runs));
    tables.insert("scale", inputs::runs_table(&runs));
    tables.insert("inputs", inputs.table());
    Ok(tables)
}
