//! The judgement of ejections on a day of a fleet: a silent server is ejected in time, and none that responds.

use super::fleet_day::FleetPlan;
use super::judge::{Finding, Rule};
use crate::fleet::history::{Event, TimedEvent};
use crate::fleet::invariants::PROPAGATION_TIME;
use crate::fleet::{queries, server_name};
use reelfall_cluster::quorum::Quorum;
use std::time::Duration;

/// What a node logs when it ejects a server, behind the name of the server.
const EJECTED: &str = "is ejected, a quorum";
/// What a node logs when it readmits a server.
const READMITTED: &str = "is no longer ejected";
/// A response is late from this time on: the latency objective of the services of a fleet.
const LATE_AFTER: Duration = crate::fleet::LATENCY_OBJECTIVE;
/// Reports from before a server responded again may still eject it for this time.
const OLD_REPORTS_TIME: Duration = PROPAGATION_TIME;

/// When the server paused, and when it responded again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// All findings about ejections from the pause on.
pub(super) fn judge(
    plan: &FleetPlan,
    events: &[TimedEvent],
    nodes: &[usize],
    pause: Pause,
) -> Vec<Finding> {
    let mut findings = late_ejections(plan, events, nodes, pause);
    findings.extend(ejections_of_responding(plan, events, pause));
    findings
}

/// An ejection that a node logged.
struct LoggedChange<'a> {
    at: Duration,
    node: usize,
    server: &'a str,
    is_ejected: bool,
}

fn logged_changes(events: &[TimedEvent]) -> impl Iterator<Item = LoggedChange<'_>> {
    events.iter().filter_map(|entry| {
        let Event::Logged { node, line } = &entry.event else {
            return None;
        };
        let (server, text) = line.split_once("fleet: ")?.1.split_once(' ')?;
        let is_ejected = text.starts_with(EJECTED);
        (is_ejected || text.starts_with(READMITTED)).then_some(LoggedChange {
            at: entry.at,
            node: *node,
            server,
            is_ejected,
        })
    })
}

/// How many nodes have to report a silent server, at most: the quorum, and more than may report that it is healthy.
fn needed_witnesses(reporting_nodes: usize) -> usize {
    Quorum::default().witnesses.max(reporting_nodes / 2 + 1)
}

/// When the last of the needed nodes sent its first attempt to the paused server; `None` if that did not happen.
fn quorum_at(plan: &FleetPlan, events: &[TimedEvent], pause: Pause) -> Option<Duration> {
    let first_attempt = |nodes: &[usize]| {
        let attempts = queries::attempts(events, plan.paused_server, pause.from, pause.to, nodes);
        Some(attempts.first()?.at)
    };
    // Of two nodes with one name only one reports: a report is certain once both have met the server.
    let (conflicting, single) = plan.nodes_by_conflict();
    let mut reports: Vec<Option<Duration>> =
        single.iter().map(|node| first_attempt(&[*node])).collect();
    if !conflicting.is_empty() {
        let both: Vec<Option<Duration>> = conflicting
            .iter()
            .map(|node| first_attempt(&[*node]))
            .collect();
        let last = both.iter().flatten().max().copied();
        reports.push(last.filter(|_| both.iter().all(Option::is_some)));
    }
    let needed = needed_witnesses(reports.len());
    let mut times: Vec<Duration> = reports.into_iter().flatten().collect();
    times.sort_unstable();
    times.get(needed - 1).copied()
}

/// When all servers but the paused one responded again.
fn common_pause_end(plan: &FleetPlan, pause: Pause) -> Duration {
    pause.from + plan.common_pause.unwrap_or(Duration::ZERO)
}

fn late_ejections(
    plan: &FleetPlan,
    events: &[TimedEvent],
    nodes: &[usize],
    pause: Pause,
) -> Vec<Finding> {
    let Some(quorum_at) = quorum_at(plan, events, pause) else {
        return Vec::new();
    };
    // While most servers are late, the reports on each are ignored.
    let due = (quorum_at + LATE_AFTER).max(common_pause_end(plan, pause)) + PROPAGATION_TIME;
    if due > pause.to {
        return Vec::new();
    }
    let name = server_name(plan.paused_server);
    let late = |node: &usize| {
        let changes = || {
            logged_changes(events).filter(|change| change.node == *node && change.server == name)
        };
        let was_ejected = changes()
            .filter(|change| change.at < pause.from)
            .last()
            .is_some_and(|change| change.is_ejected);
        if was_ejected {
            return None;
        }
        let ejected_at = changes()
            .find(|change| change.is_ejected && change.at >= pause.from)
            .map(|change| change.at);
        let (at, overrun) = match ejected_at {
            Some(at) if at <= due => return None,
            Some(at) if at <= pause.to => (at, Some(at - due)),
            _ => (pause.to, None),
        };
        Some(Finding {
            rule: Rule::Ejected,
            from: pause.from,
            at,
            overrun,
            text: format!(
                "node {node} had ejected {name} at {ejected_at:?}, which was silent from {:?}, and known to enough nodes from {quorum_at:?}",
                pause.from
            ),
            disturbed_for: None,
        })
    };
    nodes.iter().filter_map(late).collect()
}

fn ejections_of_responding(plan: &FleetPlan, events: &[TimedEvent], pause: Pause) -> Vec<Finding> {
    let name = server_name(plan.paused_server);
    let responds_from = |server: &str| {
        if server == name {
            pause.to + OLD_REPORTS_TIME
        } else if plan.common_pause.is_some() {
            common_pause_end(plan, pause) + OLD_REPORTS_TIME
        } else {
            pause.from
        }
    };
    let wrong = logged_changes(events)
        .filter(|change| change.is_ejected && change.at > responds_from(change.server));
    wrong
        .map(|change| Finding {
            rule: Rule::NotEjected,
            from: change.at.saturating_sub(PROPAGATION_TIME + LATE_AFTER),
            at: change.at,
            overrun: Some(LATE_AFTER - plan.service_time()),
            text: format!(
                "node {} ejected {}, which responds",
                change.node, change.server
            ),
            disturbed_for: None,
        })
        .collect()
}
