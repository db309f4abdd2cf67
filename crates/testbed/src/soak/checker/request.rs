//! Checks one request, by how it ended at its client and by its events at servers.

use super::{CloseRace, Rule};
use crate::soak::plan::ServerFault;
use crate::soak::record::{RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// An answer may arrive up to this time after the deadline of its request.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request that was written less than this time before its connection ended may have raced with the close.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(100);
/// A node may answer a request as timed out up to this time before the deadline, so that the answer arrives in time.
const RESPONSE_SLACK: Duration = Duration::from_millis(100);
/// The connections of a killed process end within this time.
const KILL_DETECTION_TIME: Duration = Duration::from_millis(50);
/// Time from the longest deadline after SIGTERM to the last answers of the process. It exits 0.1 s before SIGKILL, and
/// answers all remaining requests 0.15 s before it exits.
const LAST_ANSWERS_AFTER_DEADLINE: Duration = Duration::from_millis(450);

/// The result of checking a request.
pub(super) enum RequestOutcome {
    Valid,
    Raced(CloseRace),
    Violation {
        rule: Rule,
        overrun: Option<Duration>,
        text: String,
    },
}

impl RequestOutcome {
    /// Creates a violation that a stall of the machine can't explain.
    fn violation(rule: Rule, text: impl Into<String>) -> RequestOutcome {
        RequestOutcome::Violation {
            rule,
            overrun: None,
            text: text.into(),
        }
    }
}

/// Name of a client and number of one of its connections.
type ConnectionKey<'a> = (&'a str, u64);

/// The conditions of a run that determine what is allowed.
pub(super) struct RunConditions<'a> {
    pub(super) deadline: Duration,
    pub(super) exhausts_connections: bool,
    pub(super) servers: &'a [ServerFault],
    /// When SIGTERM was sent, if the node has no successor.
    pub(super) terminated_at: Option<Duration>,
    /// When processes were killed; the connections that they had accepted end then.
    pub(super) killed_at: &'a [Duration],
}

/// What the check of each request refers to.
pub(super) struct RunContext<'a> {
    conditions: RunConditions<'a>,
    /// From this time on the process may answer requests as timed out before their deadline.
    last_answers_at: Duration,
    events: HashMap<&'a str, Vec<&'a ServerRecord>>,
    /// Connections from which the node has read a request.
    read_connections: HashSet<ConnectionKey<'a>>,
}

impl<'a> RunContext<'a> {
    pub(super) fn new(
        conditions: RunConditions<'a>,
        requests: &'a [RequestRecord],
        events: &'a [ServerRecord],
    ) -> RunContext<'a> {
        let mut by_id: HashMap<&str, Vec<&ServerRecord>> = HashMap::new();
        for event in events {
            by_id.entry(&event.id).or_default().push(event);
        }
        let was_read = |request: &&RequestRecord| {
            matches!(request.end, RequestEnd::Answered { .. })
                || by_id.contains_key(request.id.as_str())
        };
        let read_connections = requests
            .iter()
            .filter(was_read)
            .map(RequestRecord::connection_key)
            .collect();
        let last_answers_at = conditions
            .terminated_at
            .map_or(Duration::MAX, |terminated_at| {
                terminated_at + conditions.deadline + LAST_ANSWERS_AFTER_DEADLINE - RESPONSE_SLACK
            });
        RunContext {
            conditions,
            last_answers_at,
            events: by_id,
            read_connections,
        }
    }

    pub(super) fn fault_of(&self, server: usize) -> Option<ServerFault> {
        self.conditions.servers.get(server).copied()
    }

    /// The events of one kind that servers recorded for a request.
    pub(super) fn events_of(
        &self,
        request: &RequestRecord,
        kind: ServerEvent,
    ) -> impl Iterator<Item = &'a ServerRecord> + '_ {
        let events = self.events.get(request.id.as_str()).into_iter().flatten();
        events.copied().filter(move |event| event.event == kind)
    }

    fn was_forwarded(&self, request: &RequestRecord) -> bool {
        self.events_of(request, ServerEvent::Received)
            .next()
            .is_some()
    }

    /// Whether the node may have closed the connection of a request without reading from it. While clients exhaust its file
    /// descriptors, it may close a new connection with all that was written to it.
    fn may_be_closed_unread(&self, request: &RequestRecord) -> bool {
        self.conditions.exhausts_connections
            && !self.read_connections.contains(&request.connection_key())
    }

    /// Whether the connection of a request ended because its process was killed.
    fn ended_by_kill(&self, request: &RequestRecord) -> bool {
        let mut kills = self.conditions.killed_at.iter();
        kills.any(|kill| {
            (*kill..*kill + KILL_DETECTION_TIME).contains(&request.ended_at)
                && request.written_at <= *kill + KILL_DETECTION_TIME
        })
    }
}

pub(super) fn check_request(context: &RunContext, request: &RequestRecord) -> RequestOutcome {
    let waited = request.ended_at.saturating_sub(request.written_at);
    match request.end {
        RequestEnd::Answered { is_own: false, .. } => {
            RequestOutcome::violation(Rule::OwnAnswer, "got the answer of another request")
        }
        RequestEnd::Answered { status, .. } => check_answer(context, request, status, waited),
        RequestEnd::ClientDisconnected => RequestOutcome::Valid,
        RequestEnd::NoAnswer => {
            RequestOutcome::violation(Rule::Answered, format!("got no answer within {waited:?}"))
        }
        RequestEnd::CutShort => check_truncated_response(context, request),
        RequestEnd::ConnectionEnded {
            was_reset,
            was_announced,
        } => {
            let how = if was_reset { "reset" } else { "closed" };
            if context.ended_by_kill(request) {
                RequestOutcome::Raced(CloseRace::Killed)
            } else if context.was_forwarded(request) {
                let text = format!("was forwarded, but its connection was {how} after {waited:?}");
                RequestOutcome::violation(Rule::Answered, text)
            } else if was_announced {
                RequestOutcome::Raced(CloseRace::Announced)
            } else if context.may_be_closed_unread(request) {
                RequestOutcome::Raced(CloseRace::Unread)
            } else if waited < CLOSE_RACE_TIME {
                RequestOutcome::Raced(CloseRace::Unannounced)
            } else {
                RequestOutcome::Violation {
                    rule: Rule::NotClosedUnanswered,
                    overrun: Some(waited - CLOSE_RACE_TIME),
                    text: format!(
                        "was not forwarded, and its connection was {how} after {waited:?}"
                    ),
                }
            }
        }
    }
}

fn check_answer(
    context: &RunContext,
    request: &RequestRecord,
    status: u16,
    waited: Duration,
) -> RequestOutcome {
    let deadline = context.conditions.deadline;
    let allowed = deadline + ANSWER_SLACK;
    if waited > allowed {
        return RequestOutcome::Violation {
            rule: Rule::AnsweredInTime,
            overrun: Some(waited - allowed),
            text: format!("was answered {status} after {waited:?}"),
        };
    }
    let is_last_answer = request.ended_at >= context.last_answers_at;
    match status {
        200 => RequestOutcome::Valid,
        504 if waited + RESPONSE_SLACK < deadline && !is_last_answer => {
            let text = format!("was answered as timed out after {waited:?}");
            RequestOutcome::violation(Rule::NotTimedOutEarly, text)
        }
        429 | 500 | 502 | 503 | 504 => check_failure(context, request, status),
        _ => RequestOutcome::violation(Rule::ValidRequest, format!("was answered {status}")),
    }
}

/// Checks a failed request: no healthy server may have processed it in time.
fn check_failure(context: &RunContext, request: &RequestRecord, status: u16) -> RequestOutcome {
    let due = (request.written_at + context.conditions.deadline).min(context.last_answers_at);
    let processed = context
        .events_of(request, ServerEvent::Executed)
        .find(|event| {
            context.fault_of(event.server) == Some(ServerFault::None)
                && event.at + RESPONSE_SLACK < due
        });
    match processed {
        None => RequestOutcome::Valid,
        Some(event) => RequestOutcome::Violation {
            rule: Rule::ServersAnswer,
            overrun: Some(due - event.at),
            text: format!(
                "was processed by server {}, but answered {status}",
                event.server
            ),
        },
    }
}

/// Checks a truncated answer. One that a server with a fault may have truncated is a failed request and no violation.
fn check_truncated_response(context: &RunContext, request: &RequestRecord) -> RequestOutcome {
    let is_due_to_server = context
        .events_of(request, ServerEvent::Received)
        .any(|attempt| {
            let fault = context.fault_of(attempt.server);
            fault.is_some_and(|fault| fault != ServerFault::None)
        });
    if is_due_to_server {
        RequestOutcome::Valid
    } else {
        RequestOutcome::violation(Rule::Answered, "got a truncated answer")
    }
}
