//! The capacity model: what the system needs at a given size, computed from measured inputs, beside its budgets.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`distribution_runs`] | how the distribution of settings fares in the emulator, beside the budgets |
//! | [`error`] | why tables can't be generated |
//! | [`inputs`] | the figures that formulas depend on, read from JSON |
//! | [`json`] | reading JSON files of a known schema |
//! | [`markdown`] | tables in Markdown |
//! | [`measurements`] | what scale runs have measured |
//! | [`model`] | the formulas |
//! | [`page`] | the tables between the markers of a page |
//! | [`provenance`] | how well a figure is known |
//! | [`ranking`] | what does not fit, by how far |
//! | [`requirement`] | what a role requires of one resource, and its verdict |
//! | [`roles`] | what each role requires at three sizes |
//! | [`scale_page`] | the tables of the page of scale runs |
//! | [`units`] | amounts with their units as text |
//! | [`worst_cases`] | the worst cases |
//!
//! `docs/CAPACITY.md` and `docs/measurements/scale.md` are generated from these; `cargo run -p reelfall-capacity --example capacity
//! -- --write` writes their tables.

pub mod distribution_runs;
pub mod error;
pub mod inputs;
mod json;
pub mod markdown;
pub mod measurements;
pub mod model;
pub mod page;
pub mod provenance;
pub mod ranking;
pub mod requirement;
pub mod roles;
pub mod scale_page;
pub mod units;
pub mod worst_cases;

use distribution_runs::DistributionRuns;
pub use error::Error;
use inputs::Inputs;
use measurements::Measurements;
use model::costs::Costs;
use std::collections::BTreeMap;
use std::path::Path;

/// The capacity page, from the root of the repository.
pub const CAPACITY_PAGE: &str = "docs/CAPACITY.md";
/// The page of scale runs, from the root of the repository.
pub const SCALE_PAGE: &str = "docs/measurements/scale.md";
/// The inputs, from the root of the repository.
pub const INPUTS: &str = "docs/measurements/capacity.json";
/// The folder of scale runs, from the root of the repository.
pub const SCALE_RUNS: &str = "docs/measurements/scale";

/// Tables by their names.
pub type Tables = BTreeMap<&'static str, String>;

/// A page and its generated tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The page, from the root of the repository.
    pub file: &'static str,
    /// Its tables.
    pub tables: Tables,
}

/// All pages.
///
/// # Errors
/// If an input can't be read or is missing.
pub fn pages(root: &Path) -> Result<[Page; 2], Error> {
    Ok([
        Page {
            file: CAPACITY_PAGE,
            tables: capacity_tables(root)?,
        },
        Page {
            file: SCALE_PAGE,
            tables: scale_page::tables(&root.join(SCALE_RUNS))?,
        },
    ])
}

/// All tables of the capacity page.
///
/// # Errors
/// If an input can't be read or is missing.
pub fn capacity_tables(root: &Path) -> Result<Tables, Error> {
    let inputs = Inputs::read(&root.join(INPUTS))?;
    let Measurements { runs, slopes } = Measurements::read(&root.join(SCALE_RUNS))?;
    let single_runs = measurements::without_sweep_points(&runs);
    let costs = Costs::from_inputs(&inputs)?;
    let mut tables = roles::tables(&costs, &runs);
    tables.insert("ranking", ranking::table(&costs));
    tables.insert("moments", worst_cases::table(&costs, &runs));
    tables.insert("scale", measurements::runs_table(&single_runs));
    tables.insert("slopes", measurements::slopes_table(&slopes));
    tables.insert("mechanism", DistributionRuns::read(root)?.table());
    tables.insert("inputs", inputs.table());
    Ok(tables)
}
