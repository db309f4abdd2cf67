//! Runs the trials with several seeds, on all cores, and prints the mean figures of each. Given the saved scores of an
//! earlier version, it also prints the mean difference over equal seeds, with its standard error.
//!
//! `cargo run --release -p reelfall-emulator --example trials -- --nodes 300 --seeds 8 --save FILE [--against FILE]`

mod figures;
mod print;

use clap::Parser;
use figures::{score, Scores};
use reelfall_emulator::trials::Trial;
use reelfall_emulator::{run_plan, Report};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// Number of threads if the number of cores is unknown.
const DEFAULT_THREADS: usize = 2;

// No doc comment, since clap would print it in the help text.
#[derive(Parser)]
struct Args {
    /// Number of nodes of the fleet.
    #[arg(long, default_value_t = 300)]
    nodes: usize,
    /// Number of seeds for each trial.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Trials to run; all if none is given.
    #[arg(long)]
    kind: Vec<String>,
    /// File to which the score of each run is written.
    #[arg(long)]
    save: Option<PathBuf>,
    /// File with the scores of an earlier version, to compare with.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Print the totals of each second of each run.
    #[arg(long)]
    seconds: bool,
}

impl Args {
    fn trials(&self) -> Vec<Trial> {
        let is_selected = |trial: &Trial| {
            self.kind.is_empty() || self.kind.iter().any(|kind| kind == trial.name())
        };
        Trial::ALL.into_iter().filter(is_selected).collect()
    }

    fn seeds(&self) -> Range<u64> {
        self.from..self.from + self.seeds
    }
}

/// A file of scores can't be read or written.
#[derive(Error)]
#[error(transparent)]
struct FileError(#[from] std::io::Error);

/// `main` prints its error with this format.
impl fmt::Debug for FileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

/// A run that is to be executed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    trial: Trial,
    seed: u64,
}

fn main() -> Result<(), FileError> {
    let args = Args::parse();
    let reports = run_all(&args);
    let earlier = args
        .against
        .as_ref()
        .map(std::fs::read_to_string)
        .transpose()?
        .map(|text| Scores::parse(&text));
    print::header();
    let mut scores = Scores::default();
    let mut all_differences = Vec::new();
    for trial in args.trials() {
        let runs = args.seeds().filter_map(|seed| {
            let report = reports.get(&Job { trial, seed })?;
            Some((seed, report))
        });
        let runs: Vec<(u64, &Report)> = runs.collect();
        for (seed, report) in &runs {
            scores.add(trial, *seed, score(report));
            if args.seconds {
                print::seconds(trial.name(), *seed, report);
            }
        }
        let differences = differences(trial, &runs, earlier.as_ref());
        all_differences.extend(&differences);
        let reports: Vec<&Report> = runs.iter().map(|(_, report)| *report).collect();
        print::line(trial.name(), &reports, &differences);
    }
    print::all_trials(&all_differences);
    if let Some(file) = args.save {
        std::fs::write(file, scores.to_text())?;
    }
    Ok(())
}

/// Runs the selected trials with all seeds; plans that can't be executed are skipped.
fn run_all(args: &Args) -> BTreeMap<Job, Report> {
    let jobs = args.trials().into_iter();
    let jobs = jobs.flat_map(|trial| args.seeds().map(move |seed| Job { trial, seed }));
    let jobs: Vec<Job> = jobs.collect();
    let reports = Mutex::new(BTreeMap::new());
    let next_job = AtomicUsize::new(0);
    let run_jobs = || {
        while let Some(job) = jobs.get(next_job.fetch_add(1, Ordering::Relaxed)) {
            if let Ok(report) = run_plan(job.trial.plan(args.nodes, job.seed)) {
                let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
                reports.insert(*job, report);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(DEFAULT_THREADS, usize::from) {
            scope.spawn(run_jobs);
        }
    });
    reports.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// The differences of scores from earlier ones, for seeds that both have.
fn differences(trial: Trial, runs: &[(u64, &Report)], earlier: Option<&Scores>) -> Vec<f64> {
    runs.iter()
        .filter_map(|(seed, report)| Some(score(report) - earlier?.get(trial, *seed)?))
        .collect()
}
