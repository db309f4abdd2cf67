//! Figures about the verdicts that nodes applied, from the history of a fleet: how long nodes applied a verdict after its
//! end, and how often they ejected a server without a fault.
//!
//! A node logs when it applies a verdict. Whether it was right follows from the injected faults and the bans in the
//! history. The scenario `fleet` and the command `fleet` report these figures.

use super::history::{Event, TimedEvent};
use super::invariants::SCHEDULING_SLACK;
use super::schedule::Step;
use super::server_name;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time to live of a failure report, unless the settings change it.
pub const REPORT_TTL: Duration = Duration::from_secs(10);

/// Figures about the verdicts that nodes applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VerdictStats {
    /// How long after the end of a ban nodes still applied it, in ascending order; one entry for each node and ban.
    pub ban_overruns: Vec<Duration>,
    /// Number of ejections, counted for each node.
    pub ejections: usize,
    /// The ejections of servers that had been without a fault for longer than [`REPORT_TTL`], one line each.
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

    /// The figures for a report.
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

/// The current faults of each server.
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

/// A change of a verdict about a server, as logged by a node.
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

/// The server that a log line of the fleet begins with.
fn named_server(line: &str) -> Option<usize> {
    let (_, text) = line.split_once("fleet: ")?;
    let (name, _) = text.split_once(' ')?;
    let server = name.strip_prefix('s')?.parse().ok()?;
    (server_name(server) == name).then_some(server)
}

/// The verdicts that a node currently applies.
#[derive(Default)]
struct NodeVerdicts {
    banned: BTreeSet<usize>,
    ejected: BTreeSet<usize>,
    /// When its process was last resumed; [`Duration::MAX`] while it is paused.
    resumed_at: Option<Duration>,
}

/// Collects the figures from the events of a history, in order.
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

    /// Records how long after its end a node applied a ban, at the end of its application or of the history. For a node
    /// that was paused at the end of the ban, the time counts from its resumption.
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
                "{at:?}: s{server} was ejected, but has had no fault since {since:?}"
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

    /// Records the bans that are still applied at the end of the history, and returns the figures.
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
