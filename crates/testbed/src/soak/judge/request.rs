//! The judgement of one request, by how it ended at its client and what servers did for it.

use super::{Crossing, Rule};
use crate::soak::plan::ServerFault;
use crate::soak::record::{RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// How much later than its deadline an answer may come; later it is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request that was written so shortly before its connection ended may have crossed the end.
const CROSSING_TIME: Duration = Duration::from_millis(100);
/// Time that a node needs for an answer on its way: it answers as timed out so much before the deadline.
const RESPONSE_SLACK: Duration = Duration::from_millis(100);
/// The connections of a process that was killed end within this time.
const KILL_DETECTION_TIME: Duration = Duration::from_millis(50);
/// From this time after the longest deadline that follows SIGTERM on, a process that ends 0.1 s before SIGKILL answers
/// what is left: 0.15 s before its end.
const LAST_ANSWERS_AFTER_DEADLINE: Duration = Duration::from_millis(450);

/// What is known of a request or about it.
pub(super) enum Verdict {
    Fine,
    Crossed(Crossing),
    Violates {
        rule: Rule,
        overrun: Option<Duration>,
        text: String,
    },
}

impl Verdict {
    /// A violation that no delay of the machine explains.
    fn violates(rule: Rule, text: impl Into<String>) -> Verdict {
        Verdict::Violates {
            rule,
            overrun: None,
            text: text.into(),
        }
    }
}

/// A connection of a client.
type ConnectionKey<'a> = (&'a str, u64);

/// The conditions of a day, as far as they decide what is allowed.
pub(super) struct DayConditions<'a> {
    pub(super) deadline: Duration,
    pub(super) has_crowd: bool,
    pub(super) servers: &'a [ServerFault],
    /// When SIGTERM was sent, if the node ends without a successor.
    pub(super) terminated_at: Option<Duration>,
    /// When processes were killed, with the connections that they had accepted.
    pub(super) killed_at: &'a [Duration],
}

/// What the judgement of a request refers to.
pub(super) struct DayContext<'a> {
    day: DayConditions<'a>,
    /// From when on the process may answer as timed out what has time left.
    last_answers_at: Duration,
    events: HashMap<&'a str, Vec<&'a ServerRecord>>,
    /// Connections of which the node has read a request.
    read_connections: HashSet<ConnectionKey<'a>>,
}

impl<'a> DayContext<'a> {
    pub(super) fn new(
        day: DayConditions<'a>,
        requests: &'a [RequestRecord],
        events: &'a [ServerRecord],
    ) -> DayContext<'a> {
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
        let last_answers_at = day.terminated_at.map_or(Duration::MAX, |terminated_at| {
            terminated_at + day.deadline + LAST_ANSWERS_AFTER_DEADLINE - RESPONSE_SLACK
        });
        DayContext {
            day,
            last_answers_at,
            events: by_id,
            read_connections,
        }
    }

    pub(super) fn fault_of(&self, server: usize) -> Option<ServerFault> {
        self.day.servers.get(server).copied()
    }

    /// What servers did for a request.
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

    /// Where clients fill the descriptors, a new connection may be shut unread, with all that was written to it.
    fn may_be_shut_unread(&self, request: &RequestRecord) -> bool {
        self.day.has_crowd && !self.read_connections.contains(&request.connection_key())
    }

    /// Whether the connection of a request ended with a process that was killed.
    fn ended_by_kill(&self, request: &RequestRecord) -> bool {
        let mut kills = self.day.killed_at.iter();
        kills.any(|kill| {
            (*kill..*kill + KILL_DETECTION_TIME).contains(&request.ended_at)
                && request.written_at <= *kill + KILL_DETECTION_TIME
        })
    }
}

pub(super) fn judge_request(context: &DayContext, request: &RequestRecord) -> Verdict {
    let waited = request.ended_at.saturating_sub(request.written_at);
    match request.end {
        RequestEnd::Answered { is_own: false, .. } => {
            Verdict::violates(Rule::OwnAnswer, "has the answer of another request")
        }
        RequestEnd::Answered { status, .. } => judge_answer(context, request, status, waited),
        RequestEnd::ClientLeft => Verdict::Fine,
        RequestEnd::NoAnswer => {
            Verdict::violates(Rule::Answered, format!("has no answer after {waited:?}"))
        }
        RequestEnd::CutShort => judge_cut(context, request),
        RequestEnd::ConnectionEnded {
            was_reset,
            was_announced,
        } => {
            let how = if was_reset { "reset" } else { "closed" };
            if context.ended_by_kill(request) {
                Verdict::Crossed(Crossing::Killed)
            } else if context.was_forwarded(request) {
                let text = format!("was forwarded, and its connection {how} after {waited:?}");
                Verdict::violates(Rule::Answered, text)
            } else if was_announced {
                Verdict::Crossed(Crossing::Announced)
            } else if context.may_be_shut_unread(request) {
                Verdict::Crossed(Crossing::Unread)
            } else if waited < CROSSING_TIME {
                Verdict::Crossed(Crossing::Unannounced)
            } else {
                Verdict::Violates {
                    rule: Rule::NotClosedUnanswered,
                    overrun: Some(waited - CROSSING_TIME),
                    text: format!("was not forwarded, and its connection {how} after {waited:?}"),
                }
            }
        }
    }
}

fn judge_answer(
    context: &DayContext,
    request: &RequestRecord,
    status: u16,
    waited: Duration,
) -> Verdict {
    let deadline = context.day.deadline;
    let allowed = deadline + ANSWER_SLACK;
    if waited > allowed {
        return Verdict::Violates {
            rule: Rule::AnsweredInTime,
            overrun: Some(waited - allowed),
            text: format!("was answered {status} after {waited:?}"),
        };
    }
    let is_last_answer = request.ended_at >= context.last_answers_at;
    match status {
        200 => Verdict::Fine,
        504 if waited + RESPONSE_SLACK < deadline && !is_last_answer => {
            let text = format!("was answered as timed out after {waited:?}");
            Verdict::violates(Rule::NotTimedOutEarly, text)
        }
        429 | 500 | 502 | 503 | 504 => judge_failure(context, request, status),
        _ => Verdict::violates(Rule::ValidRequest, format!("was answered {status}")),
    }
}

/// A request has failed: no server without a fault may have processed it in time.
fn judge_failure(context: &DayContext, request: &RequestRecord, status: u16) -> Verdict {
    let due = (request.written_at + context.day.deadline).min(context.last_answers_at);
    let processed = context
        .events_of(request, ServerEvent::Executed)
        .find(|event| {
            context.fault_of(event.server) == Some(ServerFault::None)
                && event.at + RESPONSE_SLACK < due
        });
    match processed {
        None => Verdict::Fine,
        Some(event) => Verdict::Violates {
            rule: Rule::ServersAnswer,
            overrun: Some(due - event.at),
            text: format!(
                "was processed by server {}, and answered {status}",
                event.server
            ),
        },
    }
}

/// An answer that was cut short through a fault of its server has failed, and is not lost.
fn judge_cut(context: &DayContext, request: &RequestRecord) -> Verdict {
    let is_due_to_server = context
        .events_of(request, ServerEvent::Received)
        .any(|attempt| {
            let fault = context.fault_of(attempt.server);
            fault.is_some_and(|fault| fault != ServerFault::None)
        });
    if is_due_to_server {
        Verdict::Fine
    } else {
        Verdict::violates(Rule::Answered, "has an answer that was cut short")
    }
}
