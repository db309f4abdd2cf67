//! Results of scale runs, and their tables on the capacity page. The worst cases and the messages of a node use them too.

use super::error::Error;
use super::json;
use super::markdown::{self, NOT_MEASURED, NO_ROWS};
use super::units::{amount, plain, Unit};
use crate::scale::report::{Report, Run, Slope, Source, Times, Traffic};
use std::path::Path;

/// Digits of a commit in the tables.
const SHORT_COMMIT_LENGTH: usize = 7;
/// Names of runs that are points of sweeps. The capacity page shows only the lines through them; the page of scale runs shows
/// the points.
const SWEEP_POINTS: [&str; 4] = ["sweep", "settings", "server-list", "server-change"];

/// A single run, and the commit that it measured.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredRun {
    /// The commit.
    pub commit: String,
    /// The run.
    pub run: Run,
}

impl MeasuredRun {
    /// Returns the commit, shortened for the tables.
    pub fn short_commit(&self) -> String {
        short(&self.commit)
    }
}

/// A line through a sweep, and the commit that it measured.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredSlope {
    /// The commit.
    pub commit: String,
    /// The line.
    pub slope: Slope,
}

/// Runs and slopes of all reports of scale runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measurements {
    /// Single runs.
    pub runs: Vec<MeasuredRun>,
    /// Lines through sweeps.
    pub slopes: Vec<MeasuredSlope>,
}

impl Measurements {
    /// Reads all reports of a folder. A missing folder yields no measurements.
    ///
    /// # Errors
    /// If a report can't be read or has an unsupported format.
    pub fn read(folder: &Path) -> Result<Measurements, Error> {
        let mut measurements = Measurements::default();
        for path in json::files(folder) {
            measurements.add(json::read_report(&path)?);
        }
        Ok(measurements)
    }

    fn add(&mut self, report: Report) {
        let Report {
            commit,
            runs,
            slopes,
            ..
        } = report;
        self.runs.extend(runs.into_iter().map(|run| MeasuredRun {
            commit: commit.clone(),
            run,
        }));
        self.slopes
            .extend(slopes.into_iter().map(|slope| MeasuredSlope {
                commit: commit.clone(),
                slope,
            }));
    }
}

fn short(commit: &str) -> String {
    commit.chars().take(SHORT_COMMIT_LENGTH).collect()
}

/// Returns the runs that are not points of sweeps.
pub fn without_sweep_points(runs: &[MeasuredRun]) -> Vec<MeasuredRun> {
    runs.iter()
        .filter(|measured| !SWEEP_POINTS.contains(&measured.run.name.as_str()))
        .cloned()
        .collect()
}

/// Renders runs as a table.
pub fn runs_table(runs: &[MeasuredRun]) -> String {
    if runs.is_empty() {
        return NO_ROWS.to_owned();
    }
    let header = [
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
    let rows: Vec<_> = runs.iter().map(run_cells).collect();
    markdown::table(&header, &rows)
}

fn run_cells(measured: &MeasuredRun) -> Vec<String> {
    let run = &measured.run;
    let node = &run.per_node;
    let messages = |traffic: &Traffic| traffic.messages_in + traffic.messages_out;
    let message_rate: f64 = node.traffic.iter().map(messages).sum();
    let memory = node.memory.map_or(NOT_MEASURED.to_owned(), |memory| {
        amount(memory, Unit::Bytes)
    });
    vec![
        run.name.clone(),
        source_text(run.source).to_owned(),
        amount(run.size.nodes as f64, Unit::Count),
        amount(run.size.servers as f64, Unit::Count),
        amount(node.bytes(), Unit::BytesPerSecond),
        amount(message_rate, Unit::CountPerSecond),
        amount(node.peak_bytes, Unit::Bytes),
        amount(node.cpu, Unit::Cores),
        memory,
        in_force_text(run.in_force),
        measured.short_commit(),
    ]
}

/// Renders the times until changes were in force: the 99th percentile, and the time of the last node.
pub(super) fn in_force_text(in_force: Option<Times>) -> String {
    in_force.map_or(NOT_MEASURED.to_owned(), |times| {
        let seconds = [times.p99, times.last].map(|time| amount(time, Unit::Seconds));
        seconds.join(", ")
    })
}

fn source_text(source: Source) -> &'static str {
    match source {
        Source::HollowNodes => "hollow nodes",
        Source::RealNodes => "real nodes",
        Source::VirtualTime => "virtual time",
        Source::Computation => "one computation",
    }
}

/// Renders the lines through sweeps as a table, extrapolated to the target where they are straight.
pub fn slopes_table(slopes: &[MeasuredSlope]) -> String {
    if slopes.is_empty() {
        return NO_ROWS.to_owned();
    }
    let header = [
        "figure",
        "over",
        "measured from",
        "grows by",
        "at the target",
        "commit",
    ];
    let rows: Vec<_> = slopes.iter().map(slope_cells).collect();
    markdown::table(&header, &rows)
}

fn slope_cells(measured: &MeasuredSlope) -> Vec<String> {
    let slope = &measured.slope;
    let sizes = || slope.points.iter().map(|(size, _)| *size);
    let smallest = sizes().fold(f64::MAX, f64::min);
    let largest = sizes().fold(0.0, f64::max);
    vec![
        slope.figure.clone(),
        format!("{:?}", slope.axis).to_lowercase(),
        format!("{} to {}", plain(smallest), plain(largest)),
        format!(
            "{:.3e}, standard error {:.1e}",
            slope.slope, slope.standard_error
        ),
        projection_text(slope),
        short(&measured.commit),
    ]
}

fn projection_text(slope: &Slope) -> String {
    match slope.projection {
        Some(projection) => format!(
            "{}, standard error {}",
            plain(projection.figure),
            plain(projection.standard_error)
        ),
        None => not_projected(slope).to_owned(),
    }
}

/// Returns the text for a line that is not extrapolated to the target.
pub(super) fn not_projected(slope: &Slope) -> &'static str {
    if slope.bent {
        "not extended: it bends"
    } else {
        "not extended"
    }
}
