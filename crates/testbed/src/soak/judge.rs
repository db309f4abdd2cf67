//! The findings of a day of endings, by what clients and servers saw alone. Bounds are those of the pages.

use super::plan::{EndingsPlan, ServerFault};
use super::process::DRAIN_GRACE;
use super::record::{Record, RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use super::stalls::Stall;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// How much later than its deadline an answer may come; later it is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request that was written so shortly before its connection ended may have crossed the end.
const CROSSING_TIME: Duration = Duration::from_millis(100);
/// An attempt may begin so long after its client has closed the connection.
const ABORT_DETECTION_TIME: Duration = Duration::from_millis(100);
/// The rules allow this much more time on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A rule of the pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was taken has its final answer.
    Answered,
    /// No connection ends behind a request that it had time to read.
    NotClosedUnanswered,
    /// It has it in time.
    AnsweredInTime,
    /// The answer is the one that was made for it.
    OwnAnswer,
    /// No effect happens twice where the class forbids it.
    NoSecondEffect,
    /// Nothing new goes to a draining server past the grace.
    NothingToDraining,
    /// Nothing new is sent for a client that has left.
    NothingForLeft,
    /// The process ends in time.
    Ends,
    /// A server that responds again is used again.
    UsedAgain,
}

impl Rule {
    /// Whether a delay of the machine can look like a violation.
    fn is_about_time(self) -> bool {
        !matches!(
            self,
            Rule::Answered | Rule::OwnAnswer | Rule::NoSecondEffect
        )
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// From when on a delay of the machine may have caused it.
    pub from: Duration,
    /// When it was seen.
    pub at: Duration,
    /// What was seen.
    pub text: String,
    /// The longest delay of the machine in that time, if the rule is about time.
    pub disturbed_for: Option<Duration>,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(formatter, "{:?} at {at:.3}: {}", self.rule, self.text)?;
        match self.disturbed_for {
            Some(length) => write!(
                formatter,
                " (disturbed, the machine stood still for {length:?})"
            ),
            None => Ok(()),
        }
    }
}

/// The end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// When the first SIGTERM was sent.
    pub terminated_at: Duration,
    /// When the process had ended; `None` if it had not at the time of SIGKILL.
    pub exited_at: Option<Duration>,
    /// Whether it ended by a signal other than SIGTERM.
    pub has_crashed: bool,
    /// When SIGKILL was sent, or would have been.
    pub killed_at: Duration,
    /// When discovery announced that the first server drains, if it did.
    pub drain_announced_at: Option<Duration>,
}

/// What came of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judgement {
    /// Violations of rules.
    pub findings: Vec<Finding>,
    /// Number of requests.
    pub requests: usize,
    /// Requests that crossed the end of their connection and had no effect: their clients can repeat them.
    pub crossed: usize,
}

/// Judges a day.
pub fn judge(plan: &EndingsPlan, record: &Record, end: &ProcessEnd, stalls: &[Stall]) -> Judgement {
    let requests = record.requests();
    let events = record.server_events();
    let mut judgement = Judgement {
        requests: requests.len(),
        ..Judgement::default()
    };
    let attempts = attempts_by_id(&events);
    for request in &requests {
        match judge_request(plan, request, &attempts) {
            Verdict::Fine => {}
            Verdict::Crossed => judgement.crossed += 1,
            Verdict::Violates(rule, text) => judgement.findings.push(Finding {
                rule,
                from: request.written_at,
                at: request.ended_at,
                text: format!("{} {text}", request.id),
                disturbed_for: None,
            }),
        }
    }
    judgement
        .findings
        .extend(second_effects(&requests, &events));
    judgement
        .findings
        .extend(attempts_for_left_clients(plan, &requests, &attempts));
    judgement
        .findings
        .extend(attempts_at_draining(end, &events));
    judgement.findings.extend(late_exit(end));
    mark_disturbed(&mut judgement.findings, stalls);
    judgement
}

/// Notes the longest delay of the machine in the time of each finding that is about time.
pub fn mark_disturbed(findings: &mut [Finding], stalls: &[Stall]) {
    for finding in findings
        .iter_mut()
        .filter(|finding| finding.rule.is_about_time())
    {
        finding.disturbed_for = stalls
            .iter()
            .filter(|stall| stall.from <= finding.at && finding.from <= stall.to)
            .map(|stall| stall.to - stall.from)
            .max();
    }
}

enum Verdict {
    Fine,
    Crossed,
    Violates(Rule, String),
}

type AttemptsById<'a> = HashMap<&'a str, Vec<&'a ServerRecord>>;

fn attempts_by_id(events: &[ServerRecord]) -> AttemptsById<'_> {
    let mut attempts: AttemptsById = HashMap::new();
    for event in events {
        if event.event == ServerEvent::Received {
            attempts.entry(&event.id).or_default().push(event);
        }
    }
    attempts
}

fn judge_request(plan: &EndingsPlan, request: &RequestRecord, attempts: &AttemptsById) -> Verdict {
    let waited = request.ended_at.saturating_sub(request.written_at);
    let sent_to = attempts.get(request.id.as_str());
    match request.end {
        RequestEnd::Answered { is_own: false, .. } => Verdict::Violates(
            Rule::OwnAnswer,
            "has the answer of another request".to_owned(),
        ),
        RequestEnd::Answered { status, .. } if waited > plan.deadline + ANSWER_SLACK => {
            let text = format!("was answered {status} after {waited:?}");
            Verdict::Violates(Rule::AnsweredInTime, text)
        }
        RequestEnd::Answered { .. } | RequestEnd::ClientLeft => Verdict::Fine,
        RequestEnd::NoAnswer => {
            Verdict::Violates(Rule::Answered, format!("has no answer after {waited:?}"))
        }
        RequestEnd::CutShort => {
            let is_due_to_server = sent_to.into_iter().flatten().any(|attempt| {
                plan.servers
                    .get(attempt.server)
                    .is_some_and(|fault| *fault != ServerFault::None)
            });
            if is_due_to_server {
                Verdict::Fine
            } else {
                Verdict::Violates(
                    Rule::Answered,
                    "has an answer that was cut short".to_owned(),
                )
            }
        }
        RequestEnd::ConnectionEnded {
            was_reset,
            was_announced,
        } => {
            let how = if was_reset { "reset" } else { "closed" };
            if sent_to.is_some() {
                let text = format!("was forwarded, and its connection {how} after {waited:?}");
                return Verdict::Violates(Rule::Answered, text);
            }
            let may_be_shut_unread = request.is_first && plan.has_crowd;
            if was_announced || waited < CROSSING_TIME || may_be_shut_unread {
                return Verdict::Crossed;
            }
            let text = format!("was not forwarded, and its connection {how} after {waited:?}");
            Verdict::Violates(Rule::NotClosedUnanswered, text)
        }
    }
}

fn second_effects(requests: &[RequestRecord], events: &[ServerRecord]) -> Vec<Finding> {
    let at_most_once: HashSet<&str> = requests
        .iter()
        .filter(|request| request.at_most_once)
        .map(|request| request.id.as_str())
        .collect();
    let mut executed: HashSet<&str> = HashSet::new();
    let executions = events
        .iter()
        .filter(|event| event.event == ServerEvent::Executed);
    let second = executions
        .filter(|event| !executed.insert(&event.id) && at_most_once.contains(event.id.as_str()));
    second
        .map(|event| Finding {
            rule: Rule::NoSecondEffect,
            from: event.at,
            at: event.at,
            text: format!(
                "{} had its effect again, at server {}",
                event.id, event.server
            ),
            disturbed_for: None,
        })
        .collect()
}

fn attempts_for_left_clients(
    plan: &EndingsPlan,
    requests: &[RequestRecord],
    attempts: &AttemptsById,
) -> Vec<Finding> {
    let left = requests
        .iter()
        .filter(|request| request.end == RequestEnd::ClientLeft);
    let late = left.flat_map(|request| {
        let attempts = attempts.get(request.id.as_str()).into_iter().flatten();
        attempts
            .filter(|attempt| attempt.at > request.ended_at + ABORT_DETECTION_TIME)
            // The path to such a server delays requests as well.
            .filter(|attempt| {
                plan.servers.get(attempt.server) != Some(&ServerFault::RespondsInPieces)
            })
            .map(|attempt| Finding {
                rule: Rule::NothingForLeft,
                from: request.ended_at,
                at: attempt.at,
                text: format!(
                    "{} reached server {} {:?} after its client had left",
                    request.id,
                    attempt.server,
                    attempt.at - request.ended_at
                ),
                disturbed_for: None,
            })
    });
    late.collect()
}

fn attempts_at_draining(end: &ProcessEnd, events: &[ServerRecord]) -> Vec<Finding> {
    let Some(announced_at) = end.drain_announced_at else {
        return Vec::new();
    };
    let late = events.iter().filter(|event| {
        event.server == 0
            && event.event == ServerEvent::Received
            && event.at > announced_at + DRAIN_GRACE + SOCKET_SLACK
    });
    late.map(|event| Finding {
        rule: Rule::NothingToDraining,
        from: announced_at,
        at: event.at,
        text: format!(
            "{} was sent {:?} after the announcement",
            event.id,
            event.at - announced_at
        ),
        disturbed_for: None,
    })
    .collect()
}

fn late_exit(end: &ProcessEnd) -> Option<Finding> {
    let text = if end.has_crashed {
        "the process has crashed".to_owned()
    } else if end.exited_at.is_none() {
        let after = end.killed_at - end.terminated_at;
        format!("the process runs {after:?} after SIGTERM")
    } else {
        return None;
    };
    Some(Finding {
        rule: Rule::Ends,
        from: end.terminated_at,
        at: end.exited_at.unwrap_or(end.killed_at),
        text,
        disturbed_for: None,
    })
}
