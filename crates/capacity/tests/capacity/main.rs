//! The capacity page: its tables match their inputs, it lists every limit of the program, and its formulas match results
//! calculated by hand.

mod formulas;
mod inputs;
mod limits;
mod page;
mod requirements;
mod scale_reports;
mod units;

use reelfall_capacity::budget::inputs::Inputs;
use reelfall_capacity::budget::model::costs::Costs;
use reelfall_capacity::budget::{CAPACITY_PAGE, INPUTS};
use std::path::{Path, PathBuf};

/// Returns the root of the repository.
fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads the capacity page of the repository.
fn read_capacity_page() -> String {
    std::fs::read_to_string(repository_root().join(CAPACITY_PAGE)).unwrap()
}

/// Reads the costs from the input file of the repository.
fn recorded_costs() -> Costs {
    Costs::from_inputs(&Inputs::read(&repository_root().join(INPUTS)).unwrap()).unwrap()
}

/// Asserts that two values differ only by rounding.
fn assert_near(actual: f64, expected: f64) {
    const RELATIVE_TOLERANCE: f64 = 1e-6;
    assert!(
        (actual - expected).abs() <= RELATIVE_TOLERANCE * expected.abs(),
        "{actual} differs from {expected}"
    );
}
