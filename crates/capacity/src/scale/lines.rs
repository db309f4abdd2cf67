//! Lines through the runs of a report that was written without them, such as one of the emulator.

use super::fit;
use super::report::{Axis, Report, Run, Slope, SCHEMA};
use super::sweep::{Figure, NETWORK_FIGURES};
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

/// Lines through runs of one name that differ along one axis alone, figure by figure. Runs that differ along more have
/// none, nor have figures that are zero everywhere or of which too few points are there.
pub fn through(runs: &[Run]) -> Vec<Slope> {
    let mut names: Vec<&str> = Vec::new();
    for run in runs {
        if !names.contains(&run.name.as_str()) {
            names.push(&run.name);
        }
    }
    names
        .into_iter()
        .flat_map(|name| of_name(name, runs))
        .collect()
}

fn of_name(name: &str, runs: &[Run]) -> Vec<Slope> {
    let runs: Vec<&Run> = runs.iter().filter(|run| run.name == name).collect();
    let Some(axis) = only_axis(&runs) else {
        return Vec::new();
    };
    let line = |(figure, of): &Figure| {
        let point = |run: &&Run| Some((run.size.get(axis) as f64, of(run)?));
        let points: Vec<(f64, f64)> = runs.iter().filter_map(point).collect();
        if points.iter().all(|(_, figure)| *figure == 0.0) {
            return None;
        }
        fit::slope(axis, &format!("{name}: {figure}"), &points)
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

/// The text of a report with lines through its runs; all else stays as it is.
///
/// # Errors
/// If it is no report, or one of another schema.
pub fn added(text: &str) -> Result<String> {
    let report: Report = serde_json::from_str(text)?;
    if report.schema != SCHEMA {
        return Err(format!(
            "the report has schema {}, and this program reads {SCHEMA}",
            report.schema
        )
        .into());
    }
    let mut whole: serde_json::Value = serde_json::from_str(text)?;
    whole["slopes"] = serde_json::to_value(through(&report.runs))?;
    Ok(serde_json::to_string_pretty(&whole)? + "\n")
}

/// Adds lines to a report's file.
///
/// # Errors
/// If it can't be read or written, or is no report.
pub fn add_to(file: &Path) -> Result<()> {
    let text = added(&std::fs::read_to_string(file)?)?;
    std::fs::write(file, text)?;
    Ok(())
}
