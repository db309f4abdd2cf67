//! The JSON file of a run: its report, with notes on how the figures were measured. Every kind of run writes it, and
//! the page generator ([`budget`](crate::budget)) reads it. Runs, lines and notes are also printed as they are added.

use super::error::ScaleError;
use super::machine;
use super::record_text::{run_text, slope_text};
use super::report::{Axis, Report, Run, Slope, Times, SCHEMA};
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::Command;

/// A pair of axes, serialized as an array.
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

/// A point of a fit by two axes, serialized as an array of the three values.
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
    /// Coefficients of the constant, the first axis, the second axis and their product.
    #[serde(rename = "factors")]
    pub coefficients: Vec<f64>,
    /// Standard errors of the coefficients.
    pub standard_errors: Vec<f64>,
}

/// Propagation times of list updates, in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPropagation {
    /// Name of the run.
    pub run: String,
    /// Distribution of the times, in seconds.
    pub times: Times,
}

/// Time until all running nodes knew each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Convergence {
    /// The preceding event: the start, or a fault scenario.
    pub after: String,
    /// Seconds until convergence; `None` after a timeout.
    pub seconds: Option<f64>,
}

/// Difference between response times under changes and at rest, in one round.
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
    /// Name of the run.
    pub run: String,
    /// Fraction of the time in which the threads were busy.
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
    /// Latency that changes added to response times, by round.
    #[serde(default, rename = "added")]
    pub added_latencies: Vec<AddedLatency>,
    /// Utilization of the threads, by run.
    #[serde(default, rename = "busy")]
    pub utilizations: Vec<Utilization>,
    /// Whether the run omitted a part.
    #[serde(default, rename = "partial")]
    pub is_partial: bool,
    /// Notes on omitted parts and on how the figures were measured.
    #[serde(default)]
    pub notes: Vec<String>,
}

/// The schema version of a report, without its other fields.
#[derive(Deserialize)]
struct Versioned {
    schema: u32,
}

impl Record {
    /// Creates an empty record for the current commit.
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

    /// Merges the record of another process without printing it, as that process has already printed it.
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

    /// Marks the record as partial and notes the omitted part.
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

    /// Renders the record as JSON.
    ///
    /// # Errors
    /// If a value can't be serialized.
    pub fn to_json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)? + "\n")
    }

    /// Reads a record from JSON.
    ///
    /// # Errors
    /// If the text is not a record, or has an unsupported schema version.
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

    /// Writes the JSON to a file, if one is given.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write(&self, file: Option<&Path>) -> Result<()> {
        if let Some(file) = file {
            std::fs::write(file, self.to_json()?)?;
            println!("written: {}", file.display());
        }
        Ok(())
    }
}

/// Returns the commit of the repository in the working directory, with `-dirty` if files differ from it.
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
