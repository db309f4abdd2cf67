//! The invariants of a fleet, checked on its history.
//!
//! They follow from what clients and servers saw alone: what a node logs about itself does not count. Tests, the scenario
//! `fleet` and the command `fleet` call [`violations`].

use super::history::{Event, TimedEvent};
use super::DEADLINE;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// How long a ban or a verdict may take to reach all nodes.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// For how long a node may still send to a server after it has received its ban.
pub const BAN_GRACE: Duration = Duration::from_millis(500);
/// How much later a busy machine may deliver a response, or act on a time-out.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(400);

/// Checks all invariants; returns the violations, one line each.
pub fn violations(events: &[TimedEvent]) -> Vec<String> {
    let mut violations = duplicate_executions(events);
    violations.extend(rejected_but_executed(events));
    violations.extend(unanswered_requests(events));
    violations
}

/// No at-most-once request is executed twice.
fn duplicate_executions(events: &[TimedEvent]) -> Vec<String> {
    let at_most_once = at_most_once_requests(events);
    let mut executions: HashMap<&str, u32> = HashMap::new();
    for entry in events {
        if let Event::Executed { id, .. } = &entry.event {
            *executions.entry(id).or_default() += 1;
        }
    }
    let duplicates = executions
        .into_iter()
        .filter(|(id, count)| *count > 1 && at_most_once.contains(id));
    duplicates
        .map(|(id, count)| format!("rule 2: {id} had its effect {count} times"))
        .collect()
}

/// An at-most-once request that was rejected is not executed.
fn rejected_but_executed(events: &[TimedEvent]) -> Vec<String> {
    let at_most_once = at_most_once_requests(events);
    let mut rejected: HashMap<&str, u16> = HashMap::new();
    for entry in events {
        if let Event::ResponseReceived {
            id,
            status: Some(status @ (429 | 503)),
            ..
        } = &entry.event
        {
            if at_most_once.contains(id.as_str()) {
                rejected.insert(id, *status);
            }
        }
    }
    let executed = events.iter().filter_map(|entry| match &entry.event {
        Event::Executed { id, .. } => Some((id, rejected.get(id.as_str())?)),
        _ => None,
    });
    executed
        .map(|(id, status)| format!("rule 2: {id} was refused with {status}, and ran"))
        .collect()
}

fn at_most_once_requests(events: &[TimedEvent]) -> HashSet<&str> {
    let ids = events.iter().filter_map(|entry| match &entry.event {
        Event::RequestSent {
            id,
            at_most_once: true,
            ..
        } => Some(id.as_str()),
        _ => None,
    });
    ids.collect()
}

/// A request whose response has not been received yet.
struct PendingRequest {
    node: usize,
    sent_at: Duration,
}

/// Every request that a running node received has one response in time. A node that was killed or paused meanwhile is
/// excused.
fn unanswered_requests(events: &[TimedEvent]) -> Vec<String> {
    let outages = outages(events);
    let mut pending: HashMap<&str, PendingRequest> = HashMap::new();
    let mut violations = Vec::new();
    for TimedEvent { at, event } in events {
        match event {
            Event::RequestSent { node, id, .. } => {
                let request = PendingRequest {
                    node: *node,
                    sent_at: *at,
                };
                pending.insert(id, request);
            }
            Event::ResponseReceived { id, status, .. } => {
                let Some(request) = pending.remove(id.as_str()) else {
                    continue;
                };
                if !was_down(&outages, &request, *at) {
                    violations.extend(response_violation(id, &request, *at, *status));
                }
            }
            _ => {}
        }
    }
    violations
}

fn response_violation(
    id: &str,
    request: &PendingRequest,
    received_at: Duration,
    status: Option<u16>,
) -> Option<String> {
    let sent_at = request.sent_at;
    let response_time = received_at - sent_at;
    if status.is_none() {
        Some(format!(
            "rule 1: {id} was taken at {sent_at:?} and never answered"
        ))
    } else if response_time > DEADLINE + SCHEDULING_SLACK {
        Some(format!("rule 1: {id} was answered after {response_time:?}"))
    } else {
        None
    }
}

/// A time in which a node could not answer.
struct Outage {
    from: Duration,
    to: Duration,
}

/// Whether an outage of the node overlaps the time of a request.
fn was_down(
    outages: &BTreeMap<usize, Vec<Outage>>,
    request: &PendingRequest,
    received_at: Duration,
) -> bool {
    let overlaps = |outage: &Outage| outage.from <= received_at && request.sent_at <= outage.to;
    outages
        .get(&request.node)
        .is_some_and(|outages| outages.iter().any(overlaps))
}

/// The outages of each node: from a kill, a termination or a pause, to [`DEADLINE`] after the next start or resumption.
fn outages(events: &[TimedEvent]) -> BTreeMap<usize, Vec<Outage>> {
    let mut outages: BTreeMap<usize, Vec<Outage>> = BTreeMap::new();
    for TimedEvent { at, event } in events {
        match event {
            Event::Killed { node }
            | Event::Paused { node }
            | Event::TerminationRequested { node } => {
                let outage = Outage {
                    from: *at,
                    to: Duration::MAX,
                };
                outages.entry(*node).or_default().push(outage);
            }
            Event::Resumed { node } | Event::ProcessStarted { node } => {
                if let Some(last) = outages.entry(*node).or_default().last_mut() {
                    last.to = last.to.min(*at + DEADLINE);
                }
            }
            _ => {}
        }
    }
    outages
}
