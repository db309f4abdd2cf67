//! The invariants of a fleet, checked on its history.
//!
//! The checks use what clients and servers observed, and not what nodes log. Tests, the scenario `fleet` and the command
//! `fleet` call [`violations`].

use super::history::{Event, TimedEvent};
use super::DEADLINE;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Longest time for a ban or a verdict to reach all nodes.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// How long a node may still send attempts to a server after it has received the server's ban.
pub const BAN_GRACE: Duration = Duration::from_millis(500);
/// Additional time in which a busy machine may deliver a response or handle a timeout.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(400);

/// How an invariant was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request had no response.
    NoResponse,
    /// A response came too late.
    LateResponse,
    /// An at-most-once request was executed twice.
    SecondEffect,
    /// An at-most-once request that was rejected was executed.
    EffectOfRejected,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// How an invariant was violated.
    pub kind: ViolationKind,
    /// When the request was sent.
    pub from: Duration,
    /// When the violation was observed.
    pub at: Duration,
    /// Description of the violation.
    pub text: String,
}

/// Checks all invariants; returns the violations, one line each.
pub fn violations(events: &[TimedEvent]) -> Vec<String> {
    let violations = find_violations(events);
    violations
        .into_iter()
        .map(|violation| violation.text)
        .collect()
}

/// Checks all invariants.
pub fn find_violations(events: &[TimedEvent]) -> Vec<Violation> {
    let mut violations = duplicate_executions(events);
    violations.extend(rejected_but_executed(events));
    violations.extend(unanswered_requests(events));
    violations
}

/// No at-most-once request is executed twice.
fn duplicate_executions(events: &[TimedEvent]) -> Vec<Violation> {
    let at_most_once = at_most_once_requests(events);
    let mut executions: HashMap<&str, Vec<Duration>> = HashMap::new();
    for entry in events {
        if let Event::Executed { id, .. } = &entry.event {
            executions.entry(id).or_default().push(entry.at);
        }
    }
    let duplicates = executions
        .into_iter()
        .filter(|(id, times)| times.len() > 1 && at_most_once.contains(id));
    duplicates
        .map(|(id, times)| Violation {
            kind: ViolationKind::SecondEffect,
            from: times.first().copied().unwrap_or_default(),
            at: times.last().copied().unwrap_or_default(),
            text: format!(
                "at-most-once request {id} was executed {} times",
                times.len()
            ),
        })
        .collect()
}

/// An at-most-once request that was rejected is not executed.
fn rejected_but_executed(events: &[TimedEvent]) -> Vec<Violation> {
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
        Event::Executed { id, .. } => Some((entry.at, id, rejected.get(id.as_str())?)),
        _ => None,
    });
    executed
        .map(|(at, id, status)| Violation {
            kind: ViolationKind::EffectOfRejected,
            from: at,
            at,
            text: format!("at-most-once request {id} was rejected with {status}, but executed"),
        })
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

/// Every request that a running node received gets one response in time. Requests at a node that was killed, terminated or
/// paused meanwhile are not checked.
fn unanswered_requests(events: &[TimedEvent]) -> Vec<Violation> {
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
                    let mut violation = response_violation(id, &request, *at, *status);
                    if let Some(violation) = &mut violation {
                        violation.text += &request_events(events, id);
                    }
                    violations.extend(violation);
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
) -> Option<Violation> {
    let sent_at = request.sent_at;
    let response_time = received_at - sent_at;
    let (kind, text) = if status.is_none() {
        let text = format!("request {id}, sent at {sent_at:?}, got no response");
        (ViolationKind::NoResponse, text)
    } else if response_time > DEADLINE + SCHEDULING_SLACK {
        let text = format!("request {id} got its response after {response_time:?}");
        (ViolationKind::LateResponse, text)
    } else {
        return None;
    };
    Some(Violation {
        kind,
        from: sent_at,
        at: received_at,
        text,
    })
}

/// Formats the events of one request, which show how far it was processed.
fn request_events(events: &[TimedEvent], id: &str) -> String {
    let of_request = events
        .iter()
        .filter(|entry| entry.event.request_id() == Some(id));
    of_request
        .map(|TimedEvent { at, event }| format!("; {:.4} {event}", at.as_secs_f64()))
        .collect()
}

/// A time in which a node could not respond.
struct Outage {
    from: Duration,
    to: Duration,
}

/// Whether an outage of the request's node overlaps the time from the request to its response.
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
