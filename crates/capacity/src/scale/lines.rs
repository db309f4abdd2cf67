//! Lines through the runs of a report that was written without them, such as one of the emulator. Called by
//! [`command`](super::command).

use super::error::ScaleError;
use super::figure::{Figure, NETWORK_FIGURES};
use super::fit;
use super::report::{Axis, Report, Run, Slope, SCHEMA};
use super::sweep_fit::points;
use reelfall_testbed::Result;
use std::path::Path;

/// All axes.
const AXES: [Axis; 7] = [
    Axis::Nodes,
    Axis::Servers,
    Axis::Services,
    Axis::Routes,
    Axis::Tenants,
    Axis::Changes,
    Axis::Restarts,
];

/// Lines through the runs of each name, figure by figure. Runs that differ along more than one axis have none, nor have
/// figures that are zero everywhere or that too few runs have.
pub fn lines_through(runs: &[Run]) -> Vec<Slope> {
    let mut names: Vec<&str> = Vec::new();
    for run in runs {
        if !names.contains(&run.name.as_str()) {
            names.push(&run.name);
        }
    }
    names
        .into_iter()
        .flat_map(|name| lines_of_name(name, runs))
        .collect()
}

fn lines_of_name(name: &str, runs: &[Run]) -> Vec<Slope> {
    let runs: Vec<&Run> = runs.iter().filter(|run| run.name == name).collect();
    let Some(axis) = only_axis(&runs) else {
        return Vec::new();
    };
    let line = |figure: &Figure| {
        let points = points(axis, runs.iter().copied(), figure);
        if points.iter().all(|point| point.y == 0.0) {
            return None;
        }
        fit::slope(axis, &format!("{name}: {}", figure.name), &points)
    };
    NETWORK_FIGURES.iter().filter_map(line).collect()
}

/// The one axis along which runs differ.
fn only_axis(runs: &[&Run]) -> Option<Axis> {
    let first = runs.first()?.size;
    let differs = |axis: &Axis| {
        runs.iter()
            .any(|run| run.size.get(*axis) != first.get(*axis))
    };
    let differing: Vec<Axis> = AXES.into_iter().filter(differs).collect();
    match differing.as_slice() {
        [axis] => Some(*axis),
        _ => None,
    }
}

/// The text of a report with lines through its runs; the rest is not changed.
///
/// # Errors
/// If it is not a report, or has another schema.
pub fn with_lines(text: &str) -> Result<String> {
    let report: Report = serde_json::from_str(text)?;
    if report.schema != SCHEMA {
        return Err(ScaleError::UnsupportedSchema {
            found: report.schema,
            supported: SCHEMA,
        }
        .into());
    }
    let mut json: serde_json::Value = serde_json::from_str(text)?;
    json["slopes"] = serde_json::to_value(lines_through(&report.runs))?;
    Ok(serde_json::to_string_pretty(&json)? + "\n")
}

/// Adds lines to the file of a report.
///
/// # Errors
/// If it can't be read or written, or is not a report.
pub fn add_to_file(file: &Path) -> Result<()> {
    let text = with_lines(&std::fs::read_to_string(file)?)?;
    std::fs::write(file, text)?;
    Ok(())
}
