//! The JSON file of a run: its report, with what a reader has to know beside the figures.

use super::machine;
use super::report::{Axis, Report, Run, Slope, Source, Times, Traffic, SCHEMA};
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::Command;

/// How a figure depends on two axes together: `figure = constant + a x + b y + product x y`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Product {
    /// The two axes.
    pub axes: (Axis, Axis),
    /// The figure, with its unit.
    pub figure: String,
    /// Sizes on both axes and the figure there.
    pub points: Vec<(f64, f64, f64)>,
    /// Constant, the first axis, the second one, their product.
    pub factors: Vec<f64>,
    /// The standard error of each.
    pub standard_errors: Vec<f64>,
}

/// Time until a change of a list was taken in, in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListsInForce {
    /// The run.
    pub run: String,
    /// The times.
    pub times: Times,
}

/// How long it took until all nodes that run knew all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gathered {
    /// After what: the start, or one of the worst moments.
    pub after: String,
    /// Seconds; `None` if it was not so in time.
    pub seconds: Option<f64>,
}

/// What changes added to times of requests in one round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Added {
    /// Difference of the medians, in seconds.
    pub p50: f64,
    /// Difference of the 99th percentiles, in seconds.
    pub p99: f64,
}

/// How busy the threads were that drive hollow nodes, in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Busy {
    /// The run.
    pub run: String,
    /// As a share of their time.
    pub share: f64,
}

/// All that is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The figures.
    #[serde(flatten)]
    pub report: Report,
    /// Fits of two axes together.
    #[serde(default)]
    pub products: Vec<Product>,
    /// Times of lists.
    #[serde(default)]
    pub lists_in_force: Vec<ListsInForce>,
    /// Times until all knew all.
    #[serde(default)]
    pub gathered: Vec<Gathered>,
    /// What changes added to times of requests, by rounds.
    #[serde(default)]
    pub added: Vec<Added>,
    /// How busy the threads were.
    #[serde(default)]
    pub busy: Vec<Busy>,
    /// The run was ended before its end, or left something out.
    #[serde(default)]
    pub partial: bool,
    /// What was left out, and what else bears on the figures.
    #[serde(default)]
    pub notes: Vec<String>,
}

impl Record {
    /// Nothing measured yet, by the program at hand.
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
            products: Vec::new(),
            lists_in_force: Vec::new(),
            gathered: Vec::new(),
            added: Vec::new(),
            busy: Vec::new(),
            partial: false,
            notes: Vec::new(),
        }
    }

    /// Takes in what another process has recorded, and printed, for this one.
    pub fn take_in(&mut self, other: Record) {
        self.report.runs.extend(other.report.runs);
        self.report.slopes.extend(other.report.slopes);
        self.products.extend(other.products);
        self.lists_in_force.extend(other.lists_in_force);
        self.gathered.extend(other.gathered);
        self.added.extend(other.added);
        self.busy.extend(other.busy);
        self.partial |= other.partial;
        self.notes.extend(other.notes);
    }

    /// Says something that bears on the figures.
    pub fn note(&mut self, note: impl Into<String>) {
        let note = note.into();
        eprintln!("{note}");
        self.notes.push(note);
    }

    /// Says what was left out.
    pub fn left_out(&mut self, what: impl Into<String>) {
        self.partial = true;
        self.note(format!("left out: {}", what.into()));
    }

    /// Adds a run and prints it.
    pub fn add(&mut self, run: Run) {
        println!("{}", line(&run));
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
    /// If it is none, or of another schema.
    pub fn from_json(text: &str) -> Result<Record> {
        #[derive(Deserialize)]
        struct Schema {
            schema: u32,
        }
        let Schema { schema } = serde_json::from_str(text)?;
        if schema != SCHEMA {
            return Err(
                format!("the report has schema {schema}, and this program reads {SCHEMA}").into(),
            );
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

/// One run as a line.
fn line(run: &Run) -> String {
    let (size, per_node) = (&run.size, &run.per_node);
    let size = if run.source == Source::Computation {
        format!(
            "servers {} services {} routes {} tenants {}",
            size.servers, size.services, size.routes, size.tenants
        )
    } else {
        format!("nodes {} servers {}", size.nodes, size.servers)
    };
    let percent = per_node.cpu * 100.0;
    let mut line = format!(
        "{} [{:?}] {size}: {percent:.4} % of a core",
        run.name, run.source
    );
    if let Some(memory) = per_node.memory {
        line += &format!(", {:.2} MiB", memory / f64::from(1 << 20));
    }
    if let Some(bytes) = run.read_bytes {
        line += &format!(", {bytes} B read");
    }
    if !per_node.traffic.is_empty() {
        let total = |of: fn(&Traffic) -> f64| per_node.traffic.iter().map(of).sum::<f64>();
        line += &format!(
            ", {:.0} B/s in, {:.0} B/s out, {:.1} messages/s out, peak {:.0} B in 1 s",
            total(|t| t.bytes_in),
            total(|t| t.bytes_out),
            total(|t| t.messages_out),
            per_node.peak_bytes,
        );
    }
    if let Some(times) = &run.in_force {
        line += &format!(
            ", in force p50 {:.3} s p99 {:.3} s last {:.3} s",
            times.p50, times.p99, times.last
        );
    }
    if let Some(requests) = &run.requests {
        let (rest, under) = (requests.at_rest, requests.under_changes);
        line += &format!(
            ", requests p50 {:.3} ms p99 {:.3} ms at rest, {:.3} ms and {:.3} ms under changes",
            rest.p50 * 1e3,
            rest.p99 * 1e3,
            under.p50 * 1e3,
            under.p99 * 1e3
        );
    }
    line
}

/// A line through a sweep with its error and residuals, and what it says of the target unless the points bend.
pub fn slope_text(slope: &Slope) -> String {
    let residuals: Vec<String> = slope.residuals.iter().map(|r| format!("{r:.2e}")).collect();
    let mut text = format!(
        "{:?}, {}: {:.4e} + {:.4e} (standard error {:.1e}) for one more; residuals {}",
        slope.axis,
        slope.figure,
        slope.intercept,
        slope.slope,
        slope.standard_error,
        residuals.join(" ")
    );
    match (slope.projection, slope.bend) {
        (Some(there), _) => {
            text += &format!(
                "; at {}: {:.4} (standard error {:.4})",
                there.at, there.figure, there.standard_error
            );
        }
        (None, Some(bend)) => {
            text += &format!(
                "; bent (t {:.2}, bound {:.2}): no projection",
                bend.t, bend.bound
            );
        }
        (None, None) => text += "; bent: no projection",
    }
    text
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
