//! The score of a run, and the file format of scores.

use reelfall_emulator::trials::Trial;
use reelfall_emulator::Report;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Length of the window of the worst earned fraction, in seconds.
pub const WORST_WINDOW: usize = 10;
/// Weight of the earned fraction of the whole run in the score.
const WHOLE_WEIGHT: f64 = 0.65;
/// Weight of the earned fraction of the worst window in the score.
const WORST_WEIGHT: f64 = 0.35;
/// Amount by which one new connection per request lowers the score.
const CONNECTION_COST: f64 = 0.05;

/// The weighted earned fractions of the whole run and of its worst window, minus the cost of connections.
pub fn score(report: &Report) -> f64 {
    WHOLE_WEIGHT * report.earned_fraction()
        + WORST_WEIGHT * report.worst_earned_fraction(WORST_WINDOW)
        - CONNECTION_COST * report.connections_per_request()
}

/// A run, identified by the name of its trial and its seed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    trial: String,
    seed: u64,
}

/// The scores of runs, by trial and seed.
#[derive(Default)]
pub struct Scores {
    by_run: BTreeMap<RunKey, f64>,
    /// A line for each run, in the order in which they were added.
    text: String,
}

impl Scores {
    /// Adds the score of a run.
    pub fn add(&mut self, trial: Trial, seed: u64, score: f64) {
        // Writing to a string can't fail.
        let _ = writeln!(self.text, "{} {seed} {score:.5}", trial.name());
        let trial = trial.name().to_owned();
        self.by_run.insert(RunKey { trial, seed }, score);
    }

    /// The score of a run.
    pub fn get(&self, trial: Trial, seed: u64) -> Option<f64> {
        let trial = trial.name().to_owned();
        self.by_run.get(&RunKey { trial, seed }).copied()
    }

    /// The scores as text, with one line for each run: trial, seed and score.
    pub fn to_text(&self) -> &str {
        &self.text
    }

    /// Parses the format of [`Scores::to_text`]; lines of any other format are skipped.
    pub fn parse(text: &str) -> Scores {
        let run = |line: &str| {
            let mut words = line.split_whitespace();
            let trial = words.next()?.to_owned();
            let seed = words.next()?.parse().ok()?;
            let score = words.next()?.parse().ok()?;
            Some((RunKey { trial, seed }, score))
        };
        Scores {
            by_run: text.lines().filter_map(run).collect(),
            text: text.to_owned(),
        }
    }
}

/// Formats the mean of differences and its standard error.
pub fn mean_difference(differences: &[f64]) -> String {
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences
        .iter()
        .map(|difference| (difference - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
    format!("{mean:+.4} +- {:.4}", (variance / count).sqrt())
}
