//! Compares emulator runs of the settings distribution with the budgets. Generates the table `mechanism`.

use super::error::Error;
use super::model::budget;
use super::units::{amount, plain, times, Unit};
use super::{json, markdown};
use crate::scale::report::{Ages, JudgedBy, Played, Report, Run, Size, Times};
use reelfall_emulator::control::account::LONG_WINDOW;
use std::path::Path;

/// The reports of these runs, from the root of the repository.
pub const REPORT_FILES: [&str; 2] = [
    "docs/measurements/scale/virtual.json",
    "docs/measurements/scale/partial.json",
];
/// Bytes that a node may receive and send within any [`LONG_WINDOW`].
pub const BURST_BYTES: f64 = budget::NODE_TRAFFIC * LONG_WINDOW;
/// Prefix of the names of runs that state the memory of a machine.
pub const MEMORY_RUN_PREFIX: &str = "configuration held: ";
/// Prefix of the machine names to which the memory budget of a node applies.
const NODE_PREFIX: &str = "a node";

/// Reports of runs, each of one commit, in the order of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionRuns {
    /// The reports; they contain runs of other kinds too.
    pub reports: Vec<Report>,
}

/// A budget or guarantee that a run did not keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Excess {
    /// Number of violated guarantees.
    ViolatedGuarantees(u64),
    /// Number of changes and tenants missing at nodes at the end of the run.
    Missing(u64),
    /// Time until changes were in force, as a multiple of the budget.
    InForce(f64),
    /// Time to catch up, as a multiple of the budget.
    CaughtUp(f64),
    /// 99th percentile of the wait of first requests, as a multiple of the budget.
    FirstRequest(f64),
    /// Mean traffic of a node, as a multiple of the budget.
    MeanTraffic(f64),
    /// Peak traffic of a node within [`LONG_WINDOW`], as a multiple of [`BURST_BYTES`].
    BurstTraffic(f64),
}

impl Excess {
    fn text(self) -> String {
        let over = |factor, budget: f64| format!("{} times over {}", times(factor), plain(budget));
        match self {
            Excess::ViolatedGuarantees(count) => {
                format!("{} promises not kept", plain(count as f64))
            }
            Excess::Missing(count) => format!("{} never came", plain(count as f64)),
            Excess::InForce(factor) => format!("{} s", over(factor, budget::IN_FORCE_SECONDS)),
            Excess::CaughtUp(factor) => {
                format!("{} s after it", over(factor, budget::IN_FORCE_SECONDS))
            }
            Excess::FirstRequest(factor) => {
                format!("{} ms", over(factor, budget::ADDED_LATENCY_SECONDS * 1e3))
            }
            Excess::MeanTraffic(factor) => {
                format!("{} KB/s", over(factor, budget::NODE_TRAFFIC / 1e3))
            }
            Excess::BurstTraffic(factor) => {
                let span = plain(LONG_WINDOW);
                format!("{} kB in {span} s", over(factor, BURST_BYTES / 1e3))
            }
        }
    }
}

/// Returns the budgets and guarantees that a run exceeds; empty if the run fits.
pub fn excesses(run: &Run, played: &Played) -> Vec<Excess> {
    let violated = (played.faults > 0).then_some(Excess::ViolatedGuarantees(played.faults));
    let missing = (played.missing > 0).then_some(Excess::Missing(played.missing));
    let mean_factor = excess_factor(run.per_node.bytes(), budget::NODE_TRAFFIC);
    let burst_factor = excess_factor(played.peak_bytes_10s, BURST_BYTES);
    let all = [
        violated,
        missing,
        delay_excess(run, played),
        mean_factor.map(Excess::MeanTraffic),
        burst_factor.map(Excess::BurstTraffic),
    ];
    all.into_iter().flatten().collect()
}

/// Returns the amount as a multiple of the budget if it exceeds it.
fn excess_factor(amount: f64, budget: f64) -> Option<f64> {
    (amount > budget).then_some(amount / budget)
}

fn delay_excess(run: &Run, played: &Played) -> Option<Excess> {
    let last_node = |times: Option<Times>| excess_factor(times?.last, budget::IN_FORCE_SECONDS);
    match played.judged_by {
        JudgedBy::InForce => last_node(run.in_force).map(Excess::InForce),
        JudgedBy::CaughtUp => last_node(played.caught_up).map(Excess::CaughtUp),
        JudgedBy::FirstRequest => excess_factor(run.in_force?.p99, budget::ADDED_LATENCY_SECONDS)
            .map(Excess::FirstRequest),
        JudgedBy::Bytes => None,
    }
}

fn verdict(run: &Run, played: &Played) -> String {
    let excesses: Vec<String> = excesses(run, played)
        .into_iter()
        .map(Excess::text)
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
        // Changes that wait for the end of a partition are timed from their request, so the times include the partition and
        // don't show how long propagation takes after it.
        JudgedBy::CaughtUp | JudgedBy::Bytes => None,
        JudgedBy::InForce | JudgedBy::FirstRequest => run.in_force,
    };
    vec![
        played.title.clone(),
        plain(run.size.nodes as f64),
        quantiles(in_force),
        quantiles(played.caught_up),
        plain(run.per_node.bytes()),
        plain(played.peak_bytes_10s / 1e3),
        format!("{} %", plain(run.per_node.cpu * 100.0)),
        verdict(run, played),
    ]
}

fn quantiles(times: Option<Times>) -> String {
    times.map_or("-".to_owned(), |Times { p50, p99, last }| {
        [p50, p99, last].map(plain).join(", ")
    })
}

/// Returns the distribution runs of a report and skips runs of other kinds.
fn distribution_runs(report: &Report) -> impl Iterator<Item = (&Run, &Played)> {
    report
        .runs
        .iter()
        .filter_map(|run| Some((run, run.played.as_ref()?)))
}

impl DistributionRuns {
    /// Reads all of [`REPORT_FILES`].
    ///
    /// # Errors
    /// If a report can't be read or has an unsupported format.
    pub fn read(root: &Path) -> Result<DistributionRuns, Error> {
        let reports = REPORT_FILES
            .iter()
            .map(|file| json::read_report(&root.join(file)));
        Ok(DistributionRuns {
            reports: reports.collect::<Result<_, _>>()?,
        })
    }

    /// Renders the runs as a table, followed by a summary, the ages and the memory table.
    pub fn table(&self) -> String {
        let header = [
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
            .runs()
            .map(|(run, played)| cells(run, played))
            .collect();
        let ages: String = self.runs().filter_map(|(_, played)| ages(played)).collect();
        [
            markdown::table(&header, &rows),
            "\n".to_owned(),
            self.summary(),
            ages,
            self.memory_table(),
        ]
        .concat()
    }

    fn runs(&self) -> impl Iterator<Item = (&Run, &Played)> {
        self.reports.iter().flat_map(distribution_runs)
    }

    /// Renders the memory runs as a table; empty if there are none.
    fn memory_table(&self) -> String {
        let runs = self.reports.iter().flat_map(|report| &report.runs);
        let rows: Vec<_> = runs.filter_map(memory_cells).collect();
        if rows.is_empty() {
            return String::new();
        }
        let header = [
            "held in memory, with all routes and tenants there are",
            "bytes",
            "verdict",
        ];
        "\n".to_owned() + &markdown::table(&header, &rows)
    }

    /// Names the commit and seed of each report and the number of rows that belong to it.
    fn commits(&self) -> String {
        let Some((first, others)) = self.reports.split_first() else {
            return String::new();
        };
        let mut commits = format!("Commit {}, seed {}", first.commit, first.seed);
        for report in others {
            let rows = distribution_runs(report).count();
            commits += &format!(
                "; the next {rows} rows: commit {}, seed {}",
                report.commit, report.seed
            );
        }
        commits
    }

    /// Returns the largest value of a figure over all runs as text.
    fn greatest(&self, figure: fn(&Run, &Played) -> f64) -> String {
        let figures = self.runs().map(|(run, played)| figure(run, played));
        plain(figures.fold(0.0, f64::max))
    }

    fn summary(&self) -> String {
        let violated: u64 = self.runs().map(|(_, played)| played.faults).sum();
        let node_cpu = self.greatest(|run, _| run.per_node.cpu * 100.0);
        let node_memory = self.greatest(|run, _| run.per_node.memory.unwrap_or(0.0) / 1e6);
        let control_cpu = self.greatest(|_, played| played.control.cpu * 100.0);
        let control_traffic =
            self.greatest(|_, played| (played.control.bytes_in + played.control.bytes_out) / 1e3);
        let control_memory = self.greatest(|_, played| played.control.memory / 1e6);
        format!(
            "{}. Promises not kept in all of these plays: {violated}.\n\
             At most: {node_cpu} % of a core and {node_memory} MB for a node, {control_cpu} \
             % of a core, {control_traffic} KB/s in and out and {control_memory} MB for a control machine.\n",
            self.commits(),
        )
    }
}

/// Renders the data ages that nodes reported in a run, if they were compared with the actual ages.
fn ages(played: &Played) -> Option<String> {
    let Ages {
        compared,
        oldest,
        least_margin,
    } = played.ages.filter(|ages| ages.compared > 0)?;
    Some(format!(
        "\nAges in \"{}\":\n{} that nodes stated while they lacked a change, up to {} s in truth; the least was {} s above \
         it.\n",
        played.title,
        plain(compared as f64),
        plain(oldest),
        plain(least_margin),
    ))
}

fn memory_cells(run: &Run) -> Option<Vec<String>> {
    let machine = run.name.strip_prefix(MEMORY_RUN_PREFIX)?;
    let memory = run.per_node.memory?;
    let verdict = if machine.starts_with(NODE_PREFIX) {
        match excess_factor(memory, budget::NODE_MEMORY_BYTES) {
            Some(factor) => format!("**does not fit**: {} times over 32 MB", times(factor)),
            None => "fits".to_owned(),
        }
    } else {
        "no budget".to_owned()
    };
    Some(vec![
        machine.to_owned(),
        amount(memory, Unit::Bytes),
        verdict,
    ])
}
