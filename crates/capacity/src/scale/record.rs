//! The JSON file of a run: its report, with notes on how the figures came about. Written by every kind of run, read by
//! the page generator ([`budget`](crate::budget)). What is added to a record is printed as well.

use super::error::ScaleError;
use super::machine;
use super::record_text::{run_text, slope_text};
use super::report::{Axis, Report, Run, Slope, Times, SCHEMA};
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::Command;

/// Two axes; in JSON an array of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Axis, Axis)", into = "(Axis, Axis)")]
pub struct AxisPair {
    /// The first axis.
    pub first: Axis,
    /// The second axis.
    pub second: Axis,
}

impl From<(Axis, Axis)> for AxisPair {
    fn from((first, second): (Axis, Axis)) -> AxisPair {
        AxisPair { first, second }
    }
}

impl From<AxisPair> for (Axis, Axis) {
    fn from(pair: AxisPair) -> (Axis, Axis) {
        (pair.first, pair.second)
    }
}

/// A point of a fit by two axes; in JSON an array of all three.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct InteractionPoint {
    /// The size on the first axis.
    pub first: f64,
    /// The size on the second axis.
    pub second: f64,
    /// The figure.
    pub figure: f64,
}

impl From<(f64, f64, f64)> for InteractionPoint {
    fn from((first, second, figure): (f64, f64, f64)) -> InteractionPoint {
        InteractionPoint {
            first,
            second,
            figure,
        }
    }
}

impl From<InteractionPoint> for (f64, f64, f64) {
    fn from(point: InteractionPoint) -> (f64, f64, f64) {
        (point.first, point.second, point.figure)
    }
}

/// A fit of a figure by two axes: `figure = constant + a x + b y + product x y`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InteractionFit {
    /// The two axes.
    pub axes: AxisPair,
    /// The figure, with its unit.
    pub figure: String,
    /// The points.
    pub points: Vec<InteractionPoint>,
    /// Constant, the first axis, the second one, their product.
    #[serde(rename = "factors")]
    pub coefficients: Vec<f64>,
    /// The standard error of each.
    pub standard_errors: Vec<f64>,
}

/// Propagation times of list updates, in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPropagation {
    /// The run.
    pub run: String,
    /// The times.
    pub times: Times,
}

/// Time until all running nodes knew each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Convergence {
    /// The event before: the start, or a fault scenario.
    pub after: String,
    /// Seconds; `None` after a timeout.
    pub seconds: Option<f64>,
}

/// What changes added to response times in one round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// Difference of the medians, in seconds.
    pub p50: f64,
    /// Difference of the 99th percentiles, in seconds.
    pub p99: f64,
}

/// Utilization of the threads that drive simulated nodes, in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Utilization {
    /// The run.
    pub run: String,
    /// The share of their time that they worked.
    pub share: f64,
}

/// A report with its notes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The figures.
    #[serde(flatten)]
    pub report: Report,
    /// Fits by two axes.
    #[serde(default, rename = "products")]
    pub interactions: Vec<InteractionFit>,
    /// Propagation times of list updates, by run.
    #[serde(default, rename = "lists_in_force")]
    pub list_propagation: Vec<ListPropagation>,
    /// Convergence times.
    #[serde(default, rename = "gathered")]
    pub convergences: Vec<Convergence>,
    /// What changes added to response times, by round.
    #[serde(default, rename = "added")]
    pub added_latencies: Vec<AddedLatency>,
    /// Utilization of the threads, by run.
    #[serde(default, rename = "busy")]
    pub utilizations: Vec<Utilization>,
    /// Whether the run omitted a part.
    #[serde(default, rename = "partial")]
    pub is_partial: bool,
    /// What was omitted, and how the figures came about.
    #[serde(default)]
    pub notes: Vec<String>,
}

/// The schema of a report, whatever else is in it.
#[derive(Deserialize)]
struct Versioned {
    schema: u32,
}

impl Record {
    /// An empty record of this program.
    pub fn new(seed: u64) -> Record {
        let report = Report {
            schema: SCHEMA,
            commit: commit(),
            seed,
            cores: machine::cores(),
            runs: Vec::new(),
            slopes: Vec::new(),
        };
        Record {
            report,
            interactions: Vec::new(),
            list_propagation: Vec::new(),
            convergences: Vec::new(),
            added_latencies: Vec::new(),
            utilizations: Vec::new(),
            is_partial: false,
            notes: Vec::new(),
        }
    }

    /// Merges the record of another process, which has printed it already.
    pub fn merge(&mut self, other: Record) {
        self.report.runs.extend(other.report.runs);
        self.report.slopes.extend(other.report.slopes);
        self.interactions.extend(other.interactions);
        self.list_propagation.extend(other.list_propagation);
        self.convergences.extend(other.convergences);
        self.added_latencies.extend(other.added_latencies);
        self.utilizations.extend(other.utilizations);
        self.is_partial |= other.is_partial;
        self.notes.extend(other.notes);
    }

    /// Adds a note and prints it to standard error.
    pub fn note(&mut self, note: impl Into<String>) {
        let note = note.into();
        eprintln!("{note}");
        self.notes.push(note);
    }

    /// Notes the omission of a part: the record is partial.
    pub fn note_omission(&mut self, part: impl Into<String>) {
        self.is_partial = true;
        self.note(format!("left out: {}", part.into()));
    }

    /// Adds a run and prints it.
    pub fn add(&mut self, run: Run) {
        println!("{}", run_text(&run));
        self.report.runs.push(run);
    }

    /// Adds a line through a sweep and prints it.
    pub fn add_slope(&mut self, slope: Slope) {
        println!("{}", slope_text(&slope));
        self.report.slopes.push(slope);
    }

    /// The JSON text.
    ///
    /// # Errors
    /// If a figure can't be written.
    pub fn to_json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)? + "\n")
    }

    /// Reads a JSON text.
    ///
    /// # Errors
    /// If it is not a record, or has another schema.
    pub fn from_json(text: &str) -> Result<Record> {
        let Versioned { schema } = serde_json::from_str(text)?;
        if schema != SCHEMA {
            return Err(ScaleError::UnsupportedSchema {
                found: schema,
                supported: SCHEMA,
            }
            .into());
        }
        Ok(serde_json::from_str(text)?)
    }

    /// Writes the JSON to a file, if one is named.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn write(&self, file: Option<&Path>) -> Result<()> {
        if let Some(file) = file {
            std::fs::write(file, self.to_json()?)?;
            println!("written: {}", file.display());
        }
        Ok(())
    }
}

/// The commit of the working directory's repository, with `-dirty` if files differ from it.
fn commit() -> String {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty", "--abbrev=12"])
        .output();
    match output {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        Ok(_) | Err(_) => "unknown".to_owned(),
    }
}
