//! How the nodes of a fleet acted on verdicts, from its history: how long they applied one after its end, and how often a
//! server was ejected that had no fault.
//!
//! A node logs when it acts on a verdict. Whether it was right follows from the faults that were injected and the bans
//! that were set, by the clock of the history. The scenario `fleet` and the command `fleet` report these figures.

use super::history::{Event, TimedEvent};
use super::invariants::SCHEDULING_SLACK;
use super::schedule::Step;
use super::server_name;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time to live of a failure report, unless the settings change it.
pub const REPORT_TTL: Duration = Duration::from_secs(10);

/// Figures on verdicts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VerdictStats {
    /// How long after the end of a ban nodes still applied it, in ascending order; one entry for each node and ban.
    pub ban_overruns: Vec<Duration>,
    /// How often a node ejected a server.
    pub ejections: usize,
    /// The ejections of servers that had had no fault for longer than [`REPORT_TTL`], one line each.
    pub unfounded_ejections: Vec<String>,
    /// How long after the end of its faults nodes still ejected a server, in ascending order.
    pub ejection_overruns: Vec<Duration>,
}

impl VerdictStats {
    /// Collects the figures from a history.
    pub fn from_events(events: &[TimedEvent]) -> VerdictStats {
        let mut collector = Collector::default();
        for entry in events {
            collector.handle_event(entry);
        }
        let end = events.last().map_or(Duration::ZERO, |entry| entry.at);
        collector.finish(end)
    }

    /// The figures of a report.
    pub fn figures(&self) -> Value {
        json!({
            "bans_over_ms": distribution_ms(&self.ban_overruns),
            "condemned": self.ejections,
            "mistaken": self.unfounded_ejections.len(),
            "condemned_over_ms": distribution_ms(&self.ejection_overruns),
        })
    }
}

/// Count, minimum, median and maximum of ascending durations, in whole milliseconds.
pub(crate) fn distribution_ms(sorted: &[Duration]) -> Value {
    let at = |index: usize| {
        sorted
            .get(index)
            .map(|duration| (duration.as_secs_f64() * 1e3).round())
    };
    let last = sorted.len().saturating_sub(1);
    json!({ "n": sorted.len(), "least": at(0), "middle": at(last / 2), "most": at(last) })
}

/// A kind of fault that schedules inject into servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServerFault {
    Paused,
    Failing,
}

/// The faults injected into each server.
#[derive(Default)]
struct ServerFaults {
    active: BTreeMap<usize, BTreeSet<ServerFault>>,
    healthy_since: BTreeMap<usize, Duration>,
}

impl ServerFaults {
    fn apply(&mut self, at: Duration, step: &Step) {
        let (server, fault, is_active) = match *step {
            Step::SetServerPaused { server, paused } => (server, ServerFault::Paused, paused),
            Step::SetServerFailures { server, ratio } => {
                (server, ServerFault::Failing, ratio > 0.0)
            }
            _ => return,
        };
        let faults = self.active.entry(server).or_default();
        let had_faults = !faults.is_empty();
        if is_active {
            faults.insert(fault);
        } else {
            faults.remove(&fault);
        }
        if had_faults && faults.is_empty() {
            self.healthy_since.insert(server, at);
        }
    }

    /// Since when a server has had no fault; `None` if it has one.
    fn healthy_since(&self, server: usize) -> Option<Duration> {
        match self.active.get(&server) {
            Some(faults) if !faults.is_empty() => None,
            _ => Some(self.healthy_since.get(&server).copied().unwrap_or_default()),
        }
    }
}

/// What the log of a node says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum VerdictChange {
    Banned,
    BanEnded,
    Ejected,
    Readmitted,
}

impl VerdictChange {
    fn parse(line: &str) -> Option<VerdictChange> {
        let texts = [
            ("is banned", VerdictChange::Banned),
            ("is not banned", VerdictChange::BanEnded),
            ("is ejected, a quorum", VerdictChange::Ejected),
            ("is no longer ejected", VerdictChange::Readmitted),
        ];
        texts
            .into_iter()
            .find(|(text, _)| line.contains(text))
            .map(|(_, change)| change)
    }
}

/// The server that a line of a node's log names first.
fn named_server(line: &str) -> Option<usize> {
    let (_, text) = line.split_once("fleet: ")?;
    let (name, _) = text.split_once(' ')?;
    let server = name.strip_prefix('s')?.parse().ok()?;
    (server_name(server) == name).then_some(server)
}

/// The verdicts that the process of a node acts on.
#[derive(Default)]
struct NodeVerdicts {
    banned: BTreeSet<usize>,
    ejected: BTreeSet<usize>,
    /// When it was last resumed; [`Duration::MAX`] while it is paused.
    resumed_at: Option<Duration>,
}

/// Reads the history in order.
#[derive(Default)]
struct Collector {
    stats: VerdictStats,
    faults: ServerFaults,
    nodes: BTreeMap<usize, NodeVerdicts>,
    /// When the last ban of each server ends.
    ban_ends: BTreeMap<usize, Duration>,
}

impl Collector {
    fn handle_event(&mut self, entry: &TimedEvent) {
        let at = entry.at;
        match &entry.event {
            Event::ScheduleStep(line) => {
                if let Ok(step) = Step::parse(line) {
                    self.faults.apply(at, &step);
                }
            }
            Event::Banned {
                server, seconds, ..
            } => self.extend_ban(at, *server, *seconds),
            Event::ProcessStarted { node }
            | Event::Killed { node }
            | Event::TerminationRequested { node } => {
                self.nodes.insert(*node, NodeVerdicts::default());
            }
            Event::Paused { node } => self.set_resumed_at(*node, Duration::MAX),
            Event::Resumed { node } => self.set_resumed_at(*node, at),
            Event::Logged { node, line } => {
                let change = VerdictChange::parse(line);
                if let (Some(server), Some(change)) = (named_server(line), change) {
                    self.handle_change(at, *node, server, change);
                }
            }
            _ => {}
        }
    }

    fn extend_ban(&mut self, at: Duration, server: usize, seconds: Option<u32>) {
        let ttl = seconds.map_or(Duration::MAX, |seconds| Duration::from_secs(seconds.into()));
        let end = at.saturating_add(ttl);
        let known_end = self.ban_ends.entry(server).or_default();
        *known_end = end.max(*known_end);
    }

    fn set_resumed_at(&mut self, node: usize, at: Duration) {
        self.nodes.entry(node).or_default().resumed_at = Some(at);
    }

    fn handle_change(&mut self, at: Duration, node: usize, server: usize, change: VerdictChange) {
        let verdicts = self.nodes.entry(node).or_default();
        let resumed_at = verdicts.resumed_at;
        match change {
            VerdictChange::Banned => {
                verdicts.banned.insert(server);
            }
            VerdictChange::BanEnded => {
                if verdicts.banned.remove(&server) {
                    self.record_ban_end(at, server, resumed_at);
                }
            }
            VerdictChange::Ejected => {
                verdicts.ejected.insert(server);
                self.record_ejection(at, server);
            }
            VerdictChange::Readmitted => {
                if verdicts.ejected.remove(&server) {
                    self.record_ejection_end(at, server, resumed_at);
                }
            }
        }
    }

    /// A node ends a ban, or the history ends meanwhile: how long after the ban's end, if that has passed. A node that was
    /// paused could not end it before.
    fn record_ban_end(&mut self, at: Duration, server: usize, resumed_at: Option<Duration>) {
        let Some(end) = self.ban_ends.get(&server) else {
            return;
        };
        let due = (*end).max(resumed_at.unwrap_or_default());
        self.stats.ban_overruns.extend(at.checked_sub(due));
    }

    fn record_ejection(&mut self, at: Duration, server: usize) {
        self.stats.ejections += 1;
        let healthy_since = self
            .faults
            .healthy_since(server)
            .filter(|since| at.saturating_sub(*since) > REPORT_TTL + SCHEDULING_SLACK);
        if let Some(since) = healthy_since {
            self.stats.unfounded_ejections.push(format!(
                "{at:?}: s{server} is condemned, and well since {since:?}"
            ));
        }
    }

    fn record_ejection_end(&mut self, at: Duration, server: usize, resumed_at: Option<Duration>) {
        if let Some(since) = self.faults.healthy_since(server) {
            let due = since.max(resumed_at.unwrap_or_default());
            let overrun = at.saturating_sub(due);
            self.stats.ejection_overruns.push(overrun);
        }
    }

    /// Ends the bans that are still in force at the end of the history.
    fn finish(mut self, end: Duration) -> VerdictStats {
        for verdicts in std::mem::take(&mut self.nodes).into_values() {
            for server in verdicts.banned {
                self.record_ban_end(end, server, verdicts.resumed_at);
            }
        }
        let mut stats = self.stats;
        stats.ban_overruns.sort_unstable();
        stats.ejection_overruns.sort_unstable();
        stats
    }
}

#[cfg(test)]
mod tests;
