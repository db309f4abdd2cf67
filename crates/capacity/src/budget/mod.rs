//! The capacity model: what the system needs at a given size, computed from measured inputs, beside its budgets.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`distribution_runs`] | emulator runs of the settings distribution, compared with the budgets |
//! | [`error`] | errors of table generation |
//! | [`inputs`] | the figures that formulas depend on, read from JSON |
//! | [`json`] | reading JSON files of a known schema |
//! | [`markdown`] | rendering of Markdown tables |
//! | [`measurements`] | results of scale runs |
//! | [`model`] | the formulas |
//! | [`page`] | the tables between the markers of a page |
//! | [`provenance`] | whether a figure is measured, derived or assumed |
//! | [`ranking`] | amounts over budget, largest excess first |
//! | [`requirement`] | what a role requires of one resource, and its verdict |
//! | [`roles`] | what each role requires at three sizes |
//! | [`scale_page`] | the tables of the page of scale runs |
//! | [`units`] | amounts with their units as text |
//! | [`worst_cases`] | costs of the worst cases at the target |
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

/// Path of the capacity page, relative to the root of the repository.
pub const CAPACITY_PAGE: &str = "docs/CAPACITY.md";
/// Path of the page of scale runs, relative to the root of the repository.
pub const SCALE_PAGE: &str = "docs/measurements/scale.md";
/// Path of the inputs file, relative to the root of the repository.
pub const INPUTS: &str = "docs/measurements/capacity.json";
/// Path of the folder with reports of scale runs, relative to the root of the repository.
pub const SCALE_RUNS: &str = "docs/measurements/scale";

/// Rendered tables, keyed by the names in the markers of the page.
pub type Tables = BTreeMap<&'static str, String>;

/// A page and its generated tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Path of the page, relative to the root of the repository.
    pub file: &'static str,
    /// The generated tables of the page.
    pub tables: Tables,
}

/// Generates the tables of all pages.
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

/// Generates the tables of the capacity page.
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
