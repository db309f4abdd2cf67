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
    /// The process does not crash.
    NoCrash,
    /// A server that responds again is used again.
    UsedAgain,
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
    /// By how much a time was exceeded; `None` if no delay of the machine explains the finding.
    pub overrun: Option<Duration>,
    /// What was seen.
    pub text: String,
    /// The delays of the machine in that time, if they are as long as the overrun.
    pub disturbed_for: Option<Duration>,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(formatter, "{:?} at {at:.3}: {}", self.rule, self.text)?;
        match self.disturbed_for {
            Some(length) => write!(
                formatter,
                " (disturbed, the machine stood still for {length:?} in all)"
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
            Verdict::Violates {
                rule,
                overrun,
                text,
            } => judgement.findings.push(Finding {
                rule,
                from: request.written_at,
                at: request.ended_at,
                overrun,
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

/// Notes the findings that are explained by delays of the machine.
pub fn mark_disturbed(findings: &mut [Finding], stalls: &[Stall]) {
    for finding in findings {
        let within = stalls
            .iter()
            .filter(|stall| stall.from <= finding.at && finding.from <= stall.to);
        let delay: Duration = within.map(|stall| stall.to - stall.from).sum();
        let is_explained = finding.overrun.is_some_and(|overrun| overrun <= delay);
        finding.disturbed_for = is_explained.then_some(delay);
    }
}

enum Verdict {
    Fine,
    Crossed,
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
        RequestEnd::Answered { is_own: false, .. } => {
            Verdict::violates(Rule::OwnAnswer, "has the answer of another request")
        }
        RequestEnd::Answered { status, .. } => judge_answer(plan, status, waited),
        RequestEnd::ClientLeft => Verdict::Fine,
        RequestEnd::NoAnswer => {
            Verdict::violates(Rule::Answered, format!("has no answer after {waited:?}"))
        }
        RequestEnd::CutShort => judge_cut(plan, sent_to),
        RequestEnd::ConnectionEnded {
            was_reset,
            was_announced,
        } => {
            let how = if was_reset { "reset" } else { "closed" };
            let may_be_shut_unread = request.is_first && plan.has_crowd;
            if sent_to.is_some() {
                let text = format!("was forwarded, and its connection {how} after {waited:?}");
                Verdict::violates(Rule::Answered, text)
            } else if was_announced || waited < CROSSING_TIME || may_be_shut_unread {
                Verdict::Crossed
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

fn judge_answer(plan: &EndingsPlan, status: u16, waited: Duration) -> Verdict {
    let allowed = plan.deadline + ANSWER_SLACK;
    if waited <= allowed {
        return Verdict::Fine;
    }
    Verdict::Violates {
        rule: Rule::AnsweredInTime,
        overrun: Some(waited - allowed),
        text: format!("was answered {status} after {waited:?}"),
    }
}

/// An answer that was cut short through a fault of its server has failed, and is not lost.
fn judge_cut(plan: &EndingsPlan, sent_to: Option<&Vec<&ServerRecord>>) -> Verdict {
    let is_due_to_server = sent_to.into_iter().flatten().any(|attempt| {
        let fault = plan.servers.get(attempt.server);
        fault.is_some_and(|fault| *fault != ServerFault::None)
    });
    if is_due_to_server {
        Verdict::Fine
    } else {
        Verdict::violates(Rule::Answered, "has an answer that was cut short")
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
            overrun: None,
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
        let allowed_until = request.ended_at + ABORT_DETECTION_TIME;
        let attempts = attempts.get(request.id.as_str()).into_iter().flatten();
        attempts
            .filter(move |attempt| attempt.at > allowed_until)
            // The path to such a server delays requests as well.
            .filter(|attempt| plan.servers.get(attempt.server) != Some(&ServerFault::SlowPath))
            .map(move |attempt| Finding {
                rule: Rule::NothingForLeft,
                from: request.ended_at,
                at: attempt.at,
                overrun: Some(attempt.at - allowed_until),
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
    let allowed_until = announced_at + DRAIN_GRACE + SOCKET_SLACK;
    let late = events.iter().filter(|event| {
        event.server == 0 && event.event == ServerEvent::Received && event.at > allowed_until
    });
    late.map(|event| Finding {
        rule: Rule::NothingToDraining,
        from: announced_at,
        at: event.at,
        overrun: Some(event.at - allowed_until),
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
    let (rule, text) = if end.has_crashed {
        (Rule::NoCrash, "the process has crashed".to_owned())
    } else if end.exited_at.is_none() {
        let after = end.killed_at - end.terminated_at;
        (
            Rule::Ends,
            format!("the process runs {after:?} after SIGTERM"),
        )
    } else {
        return None;
    };
    Some(Finding {
        rule,
        from: end.terminated_at,
        at: end.exited_at.unwrap_or(end.killed_at),
        overrun: None,
        text,
        disturbed_for: None,
    })
}
