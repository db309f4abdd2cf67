//! How the mechanism for changes of settings fares in the plays of the emulator, held against the budgets.

use super::model::budget;
use super::table::{amount, markdown, plain, times, Unit};
use super::Fault;
use crate::scale::report::{PerNode, Size, Times};
use serde::Deserialize;
use std::path::Path;

/// The plays, from the root of the repository.
pub const PLAYS: &str = "docs/measurements/scale/virtual.json";
/// Bytes that a node may take and send within any [`BURST_SPAN`].
pub const BURST: f64 = budget::TRAFFIC * BURST_SPAN;
/// What the names of runs begin with that tell what a machine holds in memory.
pub const HELD: &str = "configuration held: ";
/// Seconds over which bursts are counted.
pub const BURST_SPAN: f64 = 10.0;

/// Which time of a play is held against a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JudgedBy {
    /// From asking for a change until it is in force at the last node.
    InForce,
    /// From the moment at which nodes can hear again until the last one has all.
    CaughtUp,
    /// From a tenant's first request at a node until the tenant is in force there, for 99 of 100.
    FirstRequest,
    /// None: bytes alone.
    Bytes,
}

/// Ages that nodes stated, beside the truth.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Ages {
    /// How often they were compared.
    pub compared: u64,
    /// The least by which a stated age was above the truth, in seconds.
    pub least_margin: f64,
    /// The greatest true age, in seconds.
    pub oldest: f64,
}

/// What control machines used, each.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Control {
    /// Bytes received a second.
    pub bytes_in: f64,
    /// Bytes sent a second.
    pub bytes_out: f64,
    /// Processor time, in seconds a second.
    pub cpu: f64,
    /// Memory, in bytes.
    pub memory: f64,
}

/// What came of a play beside what all runs have.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Played {
    /// What was played, in words.
    pub title: String,
    /// Which time is held against a budget.
    pub judged_by: JudgedBy,
    /// Time until a node had all, once it could hear again.
    pub caught_up: Option<Times>,
    /// Most bytes that any node received and sent within [`BURST_SPAN`].
    pub peak_bytes_10s: f64,
    /// How often a node had not got a change in the end.
    pub missing: u64,
    /// Promises that were not kept: versions that went back, nodes that ended unlike the author, links over their budget.
    pub faults: u64,
    /// Ages that nodes stated, where they were compared with the truth.
    pub ages: Option<Ages>,
    /// What control machines used.
    pub control: Control,
}

/// One play.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Play {
    /// What it was about.
    pub name: String,
    /// How large the system was.
    pub size: Size,
    /// What it cost each node.
    pub per_node: PerNode,
    /// Time from asking for a change until it was in force.
    pub in_force: Option<Times>,
    /// What came of it; runs of another kind have none.
    #[serde(default)]
    pub played: Option<Played>,
}

/// All plays of a commit.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Plays {
    /// The commit that was played.
    pub commit: String,
    /// The seed of all draws.
    pub seed: u64,
    /// The plays, among runs of other kinds.
    pub runs: Vec<Play>,
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
            Excess::InForce(factor) => format!("{} times over {} s", times(factor), plain(budget::IN_FORCE)),
            Excess::CaughtUp(factor) => {
                format!("{} times over {} s after it", times(factor), plain(budget::IN_FORCE))
            }
            Excess::FirstRequest(factor) => {
                format!("{} times over {} ms", times(factor), plain(budget::ADDED * 1e3))
            }
            Excess::Mean(factor) => {
                format!("{} times over {} KB/s", times(factor), plain(budget::TRAFFIC / 1e3))
            }
            Excess::Burst(factor) => {
                format!("{} times over {} kB in {} s", times(factor), plain(BURST / 1e3), plain(BURST_SPAN))
            }
        }
    }
}

impl Play {
    /// Bytes that a node received and sent in a second, in the mean.
    pub fn mean_bytes(&self) -> f64 {
        self.per_node.traffic.iter().map(|traffic| traffic.bytes_in + traffic.bytes_out).sum()
    }

    /// What is over its budget; nothing where the play fits.
    pub fn excesses(&self, played: &Played) -> Vec<Excess> {
        let mut excesses = Vec::new();
        excesses.extend((played.faults > 0).then_some(Excess::Broken(played.faults)));
        excesses.extend((played.missing > 0).then_some(Excess::Missing(played.missing)));
        excesses.extend(self.late(played));
        excesses.extend(over(self.mean_bytes(), budget::TRAFFIC).map(Excess::Mean));
        excesses.extend(over(played.peak_bytes_10s, BURST).map(Excess::Burst));
        excesses
    }

    fn late(&self, played: &Played) -> Option<Excess> {
        let last = |times: Option<Times>| over(times?.last, budget::IN_FORCE);
        match played.judged_by {
            JudgedBy::InForce => last(self.in_force).map(Excess::InForce),
            JudgedBy::CaughtUp => last(played.caught_up).map(Excess::CaughtUp),
            JudgedBy::FirstRequest => over(self.in_force?.p99, budget::ADDED).map(Excess::FirstRequest),
            JudgedBy::Bytes => None,
        }
    }

    fn verdict(&self, played: &Played) -> String {
        let excesses: Vec<String> = self.excesses(played).into_iter().map(Excess::words).collect();
        let partial = if self.size.nodes < Size::TARGET.nodes { "; partial" } else { "" };
        if excesses.is_empty() {
            return format!("fits{partial}");
        }
        format!("**does not fit**: {}{partial}", excesses.join(", "))
    }

    fn cells(&self, played: &Played) -> Vec<String> {
        let in_force = match played.judged_by {
            // Changes that wait for the end of a cut are counted from when they were asked for, which says nothing of what
            // comes after it.
            JudgedBy::CaughtUp | JudgedBy::Bytes => None,
            JudgedBy::InForce | JudgedBy::FirstRequest => self.in_force,
        };
        let shown = |times: Option<Times>| times.map_or("-".to_owned(), three);
        vec![
            played.title.clone(),
            plain(self.size.nodes as f64),
            shown(in_force),
            shown(played.caught_up),
            plain(self.mean_bytes()),
            plain(played.peak_bytes_10s / 1e3),
            format!("{} %", plain(self.per_node.cpu * 100.0)),
            self.verdict(played),
        ]
    }
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
    /// Reads a file.
    ///
    /// # Errors
    /// If it can't be read or is of another format.
    pub fn read(path: &Path) -> Result<Plays, Fault> {
        let text = std::fs::read(path).map_err(|e| Fault::File(path.to_owned(), e))?;
        serde_json::from_slice(&text).map_err(|e| Fault::Form(path.to_owned(), e))
    }

    fn plays(&self) -> impl Iterator<Item = (&Play, &Played)> {
        self.runs.iter().filter_map(|play| Some((play, play.played.as_ref()?)))
    }

    /// What machines hold in memory, where that was measured.
    fn held(&self) -> String {
        let row = |play: &Play| {
            let what = play.name.strip_prefix(HELD)?;
            let memory = play.per_node.memory?;
            let verdict = match over(memory, budget::MEMORY) {
                _ if !what.starts_with("a node") => "no budget".to_owned(),
                Some(factor) => format!("**does not fit**: {} times over 32 MB", times(factor)),
                None => "fits".to_owned(),
            };
            Some(vec![what.to_owned(), amount(memory, Unit::Bytes), verdict])
        };
        let rows: Vec<_> = self.runs.iter().filter_map(row).collect();
        if rows.is_empty() {
            return String::new();
        }
        "\n".to_owned()
            + &markdown(&["held in memory, with all routes and tenants there are", "bytes", "verdict"], &rows)
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
        let rows: Vec<_> = self.plays().map(|(play, played)| play.cells(played)).collect();
        markdown(&head, &rows) + "\n" + &self.summary() + &self.held()
    }

    fn summary(&self) -> String {
        let greatest = |of: &dyn Fn(&Play, &Played) -> f64| {
            self.plays().map(|(play, played)| of(play, played)).fold(0.0, f64::max)
        };
        let broken: u64 = self.plays().map(|(_, played)| played.faults).sum();
        let mut lines = format!(
            "Commit {}, seed {}. Promises not kept in all of these plays: {broken}.\nAt most: {} % of a core and {} MB for a node, {} \
             % of a core, {} KB/s in and out and {} MB for a control machine.\n",
            self.commit,
            self.seed,
            plain(greatest(&|play, _| play.per_node.cpu * 100.0)),
            plain(greatest(&|play, _| play.per_node.memory.unwrap_or(0.0) / 1e6)),
            plain(greatest(&|_, played| played.control.cpu * 100.0)),
            plain(greatest(&|_, played| (played.control.bytes_in + played.control.bytes_out) / 1e3)),
            plain(greatest(&|_, played| played.control.memory / 1e6)),
        );
        for (_, played) in self.plays() {
            let Some(ages) = played.ages.filter(|ages| ages.compared > 0) else { continue };
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
