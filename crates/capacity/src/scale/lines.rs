//! Fits lines through the runs of a report that was written without them, such as one of the emulator.

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

/// Fits a line through each figure of the runs of each name. There is no line for runs that differ along more than one
/// axis, for figures that are zero everywhere, or for figures that too few runs have.
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

/// Returns the axis along which runs differ; `None` unless there is exactly one.
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

/// Returns the text of a report with lines through its runs added, and the rest unchanged.
///
/// # Errors
/// If the text is not a report, or has an unsupported schema version.
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
/// If the file can't be read or written, or is not a report.
pub fn add_to_file(file: &Path) -> Result<()> {
    let text = with_lines(&std::fs::read_to_string(file)?)?;
    std::fs::write(file, text)?;
    Ok(())
}
