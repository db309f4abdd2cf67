//! Figures that formulas stand on: where each comes from, and how it was got.

use super::kind::Kind;
use super::table::{self, amount, Unit};
use super::Fault;
use crate::scale::report::{Report, Run, Slope, Source, SCHEMA as REPORT_SCHEMA};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Format of the inputs' JSON; others are refused.
pub const SCHEMA: u32 = 1;

/// One figure.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Input {
    /// What formulas call it.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// Its unit, in words.
    pub unit: String,
    /// How it was got.
    pub kind: Kind,
    /// What it is, and at which sizes it was taken.
    pub about: String,
    /// The command that gives it, if one does.
    pub command: Option<String>,
    /// The commit that was measured.
    pub commit: Option<String>,
}

/// All figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// [`SCHEMA`].
    pub schema: u32,
    /// The figures, in the order of the page.
    pub inputs: Vec<Input>,
}

impl Inputs {
    /// Reads a file.
    ///
    /// # Errors
    /// If it can't be read or is of another format.
    pub fn read(path: &Path) -> Result<Inputs, Fault> {
        let inputs: Inputs = json(path)?;
        known(path, inputs.schema, SCHEMA)?;
        Ok(inputs)
    }

    /// The value of a figure.
    ///
    /// # Errors
    /// If there is none of that name.
    pub fn get(&self, name: &'static str) -> Result<f64, Fault> {
        let input = self.inputs.iter().find(|i| i.name == name);
        input.map(|i| i.value).ok_or(Fault::Missing(name))
    }

    /// The figures as a table.
    pub fn table(&self) -> String {
        let row = |i: &Input| {
            let from = match (&i.command, &i.commit) {
                (Some(command), Some(commit)) => format!("`{command}`, {commit}"),
                (Some(command), None) => format!("`{command}`"),
                (None, Some(commit)) => format!("by hand at {commit}; the command was not kept"),
                (None, None) => String::new(),
            };
            let value = format!("{} {}", table::plain(i.value), i.unit);
            vec![
                format!("`{}`", i.name),
                value,
                i.kind.word().to_owned(),
                i.about.clone(),
                from,
            ]
        };
        let rows: Vec<_> = self.inputs.iter().map(row).collect();
        table::markdown(
            &["input", "value", "kind", "what it is", "command, commit"],
            &rows,
        )
    }
}

/// What scale runs have measured, each with its commit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measured {
    /// Single runs.
    pub runs: Vec<(String, Run)>,
    /// Lines through sweeps.
    pub slopes: Vec<(String, Slope)>,
}

impl Measured {
    /// Reads all reports of a folder; nothing was measured if there is no such folder.
    ///
    /// # Errors
    /// If a report can't be read or is of another format.
    pub fn read(folder: &Path) -> Result<Measured, Fault> {
        let mut measured = Measured::default();
        for path in report_files(folder) {
            let Report {
                commit,
                runs,
                slopes,
                ..
            } = report(&path)?;
            measured
                .runs
                .extend(runs.into_iter().map(|run| (commit.clone(), run)));
            measured
                .slopes
                .extend(slopes.into_iter().map(|slope| (commit.clone(), slope)));
        }
        Ok(measured)
    }
}

/// Lines through sweeps as a table, extended to the target where they are straight.
pub fn slopes_table(slopes: &[(String, Slope)]) -> String {
    if slopes.is_empty() {
        return "Not measured yet.\n".to_owned();
    }
    let row = |(commit, slope): &(String, Slope)| {
        let from_to =
            |of: fn(f64, f64) -> f64, from| slope.points.iter().map(|p| p.0).fold(from, of);
        let at_target = match slope.projection {
            None if slope.bent => "not extended: it bends".to_owned(),
            None => "not extended".to_owned(),
            Some(there) => {
                let (figure, error) = (
                    table::plain(there.figure),
                    table::plain(there.standard_error),
                );
                format!("{figure}, standard error {error}")
            }
        };
        vec![
            slope.figure.clone(),
            format!("{:?}", slope.axis).to_lowercase(),
            format!(
                "{} to {}",
                table::plain(from_to(f64::min, f64::MAX)),
                table::plain(from_to(f64::max, 0.0))
            ),
            format!(
                "{:.3e}, standard error {:.1e}",
                slope.slope, slope.standard_error
            ),
            at_target,
            commit.chars().take(7).collect(),
        ]
    };
    let rows: Vec<_> = slopes.iter().map(row).collect();
    table::markdown(
        &[
            "figure",
            "over",
            "measured from",
            "grows by",
            "at the target",
            "commit",
        ],
        &rows,
    )
}

/// Names of runs that are points of sweeps: the page of scale runs has them, and the lines through them stand here.
const POINTS: [&str; 4] = ["sweep", "settings", "server-list", "server-change"];

/// Runs that are no points of sweeps.
pub fn without_points(runs: &[(String, Run)]) -> Vec<(String, Run)> {
    runs.iter()
        .filter(|(_, run)| !POINTS.contains(&run.name.as_str()))
        .cloned()
        .collect()
}

/// Scale runs as a table.
pub fn runs_table(runs: &[(String, Run)]) -> String {
    if runs.is_empty() {
        return "Not measured yet.\n".to_owned();
    }
    let row = |(commit, run): &(String, Run)| {
        let each = &run.per_node;
        let bytes: f64 = each.traffic.iter().map(|t| t.bytes_in + t.bytes_out).sum();
        let messages: f64 = each
            .traffic
            .iter()
            .map(|t| t.messages_in + t.messages_out)
            .sum();
        let in_force = run.in_force.map_or("not measured".to_owned(), |t| {
            format!(
                "{}, {}",
                amount(t.p99, Unit::Seconds),
                amount(t.last, Unit::Seconds)
            )
        });
        vec![
            run.name.clone(),
            source(run.source).to_owned(),
            amount(run.size.nodes as f64, Unit::Count),
            amount(run.size.servers as f64, Unit::Count),
            amount(bytes, Unit::BytesPerSecond),
            amount(messages, Unit::CountPerSecond),
            amount(each.peak_bytes, Unit::Bytes),
            amount(each.cpu, Unit::Cores),
            each.memory.map_or("not measured".to_owned(), |memory| {
                amount(memory, Unit::Bytes)
            }),
            in_force,
            commit.chars().take(7).collect(),
        ]
    };
    let rows: Vec<_> = runs.iter().map(row).collect();
    let head = [
        "run",
        "played with",
        "nodes",
        "servers",
        "bytes in and out",
        "messages in and out",
        "most in a second",
        "processor",
        "memory",
        "in force: p99, last",
        "commit",
    ];
    table::markdown(&head, &rows)
}

fn source(source: Source) -> &'static str {
    match source {
        Source::HollowNodes => "hollow nodes",
        Source::RealNodes => "real nodes",
        Source::VirtualTime => "virtual time",
        Source::Computation => "one computation",
    }
}

/// The reports of a folder in the order of their names; none if there is no such folder.
pub(super) fn report_files(folder: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return Vec::new();
    };
    let mut files: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    files.retain(|path| path.extension().is_some_and(|e| e == "json"));
    files.sort();
    files
}

/// Reads a report.
///
/// # Errors
/// If it can't be read or is of another format.
pub(super) fn report(path: &Path) -> Result<Report, Fault> {
    let report: Report = json(path)?;
    known(path, report.schema, REPORT_SCHEMA)?;
    Ok(report)
}

pub(super) fn json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Fault> {
    let text = std::fs::read(path).map_err(|e| Fault::File(path.to_owned(), e))?;
    serde_json::from_slice(&text).map_err(|e| Fault::Form(path.to_owned(), e))
}

fn known(path: &Path, found: u32, known: u32) -> Result<(), Fault> {
    (found == known).then_some(()).ok_or_else(|| Fault::Schema {
        path: path.to_owned(),
        found,
        known,
    })
}
