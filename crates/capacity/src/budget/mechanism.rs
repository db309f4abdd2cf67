//! How the mechanism for changes of settings fares in the plays of the emulator, held against the budgets.

use super::inputs;
use super::model::budget;
use super::table::{amount, markdown, plain, times, Unit};
use super::Fault;
use crate::scale::report::{JudgedBy, Played, Report, Run, Size, Times};
use reelfall_emulator::control::account::LONG_WINDOW;
use std::path::Path;

/// The reports of plays, from the root of the repository.
pub const PLAYS: [&str; 2] = [
    "docs/measurements/scale/virtual.json",
    "docs/measurements/scale/partial.json",
];
/// Bytes that a node may take and send within any [`LONG_WINDOW`].
pub const BURST: f64 = budget::TRAFFIC * LONG_WINDOW;
/// What the names of runs begin with that tell what a machine holds in memory.
pub const HELD: &str = "configuration held: ";

/// Reports of plays, each of one commit, in the order of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Plays {
    /// The reports; beside the plays they have runs of other kinds.
    pub reports: Vec<Report>,
}

/// By how far a play is over a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Excess {
    /// Promises were not kept; so many.
    Broken(u64),
    /// Nodes ended without changes or tenants; so many times.
    Missing(u64),
    /// A change took too long.
    InForce(f64),
    /// Catching up took too long.
    CaughtUp(f64),
    /// First requests waited too long.
    FirstRequest(f64),
    /// A node's mean of bytes.
    Mean(f64),
    /// A node's burst of bytes.
    Burst(f64),
}

impl Excess {
    fn words(self) -> String {
        match self {
            Excess::Broken(count) => format!("{} promises not kept", plain(count as f64)),
            Excess::Missing(count) => format!("{} never came", plain(count as f64)),
            Excess::InForce(factor) => {
                format!("{} times over {} s", times(factor), plain(budget::IN_FORCE))
            }
            Excess::CaughtUp(factor) => {
                format!(
                    "{} times over {} s after it",
                    times(factor),
                    plain(budget::IN_FORCE)
                )
            }
            Excess::FirstRequest(factor) => {
                format!(
                    "{} times over {} ms",
                    times(factor),
                    plain(budget::ADDED * 1e3)
                )
            }
            Excess::Mean(factor) => {
                format!(
                    "{} times over {} KB/s",
                    times(factor),
                    plain(budget::TRAFFIC / 1e3)
                )
            }
            Excess::Burst(factor) => {
                format!(
                    "{} times over {} kB in {} s",
                    times(factor),
                    plain(BURST / 1e3),
                    plain(LONG_WINDOW)
                )
            }
        }
    }
}

/// What of a play is over its budget; nothing where the play fits.
pub fn excesses(run: &Run, played: &Played) -> Vec<Excess> {
    let mut excesses = Vec::new();
    excesses.extend((played.faults > 0).then_some(Excess::Broken(played.faults)));
    excesses.extend((played.missing > 0).then_some(Excess::Missing(played.missing)));
    excesses.extend(late(run, played));
    excesses.extend(over(run.per_node.bytes(), budget::TRAFFIC).map(Excess::Mean));
    excesses.extend(over(played.peak_bytes_10s, BURST).map(Excess::Burst));
    excesses
}

fn late(run: &Run, played: &Played) -> Option<Excess> {
    let last = |times: Option<Times>| over(times?.last, budget::IN_FORCE);
    match played.judged_by {
        JudgedBy::InForce => last(run.in_force).map(Excess::InForce),
        JudgedBy::CaughtUp => last(played.caught_up).map(Excess::CaughtUp),
        JudgedBy::FirstRequest => over(run.in_force?.p99, budget::ADDED).map(Excess::FirstRequest),
        JudgedBy::Bytes => None,
    }
}

fn verdict(run: &Run, played: &Played) -> String {
    let excesses: Vec<String> = excesses(run, played)
        .into_iter()
        .map(Excess::words)
        .collect();
    let partial = if run.size.nodes < Size::TARGET.nodes {
        "; partial"
    } else {
        ""
    };
    if excesses.is_empty() {
        return format!("fits{partial}");
    }
    format!("**does not fit**: {}{partial}", excesses.join(", "))
}

fn cells(run: &Run, played: &Played) -> Vec<String> {
    let in_force = match played.judged_by {
        // Changes that wait for the end of a cut are counted from when they were asked for, which says nothing of what
        // comes after it.
        JudgedBy::CaughtUp | JudgedBy::Bytes => None,
        JudgedBy::InForce | JudgedBy::FirstRequest => run.in_force,
    };
    let shown = |times: Option<Times>| times.map_or("-".to_owned(), three);
    vec![
        played.title.clone(),
        plain(run.size.nodes as f64),
        shown(in_force),
        shown(played.caught_up),
        plain(run.per_node.bytes()),
        plain(played.peak_bytes_10s / 1e3),
        format!("{} %", plain(run.per_node.cpu * 100.0)),
        verdict(run, played),
    ]
}

/// The plays of a report, among its runs of other kinds.
fn plays_of(report: &Report) -> impl Iterator<Item = (&Run, &Played)> {
    report
        .runs
        .iter()
        .filter_map(|run| Some((run, run.played.as_ref()?)))
}

/// How many times over a budget, if it is.
fn over(amount: f64, budget: f64) -> Option<f64> {
    (amount > budget).then_some(amount / budget)
}

fn three(times: Times) -> String {
    let Times { p50, p99, last } = times;
    [p50, p99, last].map(plain).join(", ")
}

impl Plays {
    /// Reads all of [`PLAYS`].
    ///
    /// # Errors
    /// If one can't be read or is of another format.
    pub fn read(root: &Path) -> Result<Plays, Fault> {
        let reports = PLAYS.iter().map(|file| inputs::report(&root.join(file)));
        Ok(Plays {
            reports: reports.collect::<Result<_, _>>()?,
        })
    }

    fn plays(&self) -> impl Iterator<Item = (&Run, &Played)> {
        self.reports.iter().flat_map(plays_of)
    }

    /// What machines hold in memory, where that was measured.
    fn held(&self) -> String {
        let row = |run: &Run| {
            let what = run.name.strip_prefix(HELD)?;
            let memory = run.per_node.memory?;
            let verdict = match over(memory, budget::MEMORY) {
                _ if !what.starts_with("a node") => "no budget".to_owned(),
                Some(factor) => format!("**does not fit**: {} times over 32 MB", times(factor)),
                None => "fits".to_owned(),
            };
            Some(vec![what.to_owned(), amount(memory, Unit::Bytes), verdict])
        };
        let rows: Vec<_> = self
            .reports
            .iter()
            .flat_map(|report| &report.runs)
            .filter_map(row)
            .collect();
        if rows.is_empty() {
            return String::new();
        }
        "\n".to_owned()
            + &markdown(
                &[
                    "held in memory, with all routes and tenants there are",
                    "bytes",
                    "verdict",
                ],
                &rows,
            )
    }

    /// The plays as a table, with what holds of all of them below it.
    pub fn table(&self) -> String {
        let head = [
            "play",
            "nodes",
            "in force: p50, p99, last, s",
            "all again: p50, p99, last, s",
            "a node takes and sends, B/s",
            "most in 10 s, kB",
            "a node, of a core",
            "verdict",
        ];
        let rows: Vec<_> = self
            .plays()
            .map(|(run, played)| cells(run, played))
            .collect();
        markdown(&head, &rows) + "\n" + &self.summary() + &self.held()
    }

    /// The commits that were played, and which rows are of which.
    fn commits(&self) -> String {
        let commit = |(position, report): (usize, &Report)| {
            let rows = match position {
                0 => "Commit".to_owned(),
                _ => format!("the next {} rows: commit", plays_of(report).count()),
            };
            format!("{rows} {}, seed {}", report.commit, report.seed)
        };
        let commits: Vec<String> = self.reports.iter().enumerate().map(commit).collect();
        commits.join("; ")
    }

    fn summary(&self) -> String {
        let greatest = |of: &dyn Fn(&Run, &Played) -> f64| {
            self.plays()
                .map(|(run, played)| of(run, played))
                .fold(0.0, f64::max)
        };
        let broken: u64 = self.plays().map(|(_, played)| played.faults).sum();
        let mut lines = format!(
            "{}. Promises not kept in all of these plays: {broken}.\nAt most: {} % of a core and {} MB for a node, {} \
             % of a core, {} KB/s in and out and {} MB for a control machine.\n",
            self.commits(),
            plain(greatest(&|run, _| run.per_node.cpu * 100.0)),
            plain(greatest(&|run, _| run.per_node.memory.unwrap_or(0.0) / 1e6)),
            plain(greatest(&|_, played| played.control.cpu * 100.0)),
            plain(greatest(&|_, played| (played.control.bytes_in + played.control.bytes_out) / 1e3)),
            plain(greatest(&|_, played| played.control.memory / 1e6)),
        );
        for (_, played) in self.plays() {
            let Some(ages) = played.ages.filter(|ages| ages.compared > 0) else {
                continue;
            };
            lines += &format!(
                "\nAges in \"{}\":\n{} that nodes stated while they lacked a change, up to {} s in truth; the least was {} s above \
                 it.\n",
                played.title,
                plain(ages.compared as f64),
                plain(ages.oldest),
                plain(ages.least_margin),
            );
        }
        lines
    }
}
