//! The findings of a day of endings, by what clients and servers saw alone. Bounds are those of the pages.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `request` | the end of one request |
//! | [`load`] | whether the load reached the servers, and was served |

pub mod load;
mod request;

use self::load::LoadSummary;
use self::request::{judge_request, DayConditions, DayContext, Verdict};
use super::plan::{EndingsPlan, ServerFault};
use super::process::DRAIN_GRACE;
use super::record::{Record, RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use super::stalls::Stall;
use super::upgrade_plan::UpgradePlan;
use super::upgrades::SeenUpgrades;
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

/// An attempt may begin so long after its client has closed the connection.
const ABORT_DETECTION_TIME: Duration = Duration::from_millis(100);
/// The rules allow this much more time on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A rule of the pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// The load was served before the trouble began: the day tells nothing otherwise.
    LoadServed,
    /// Each request that was taken has its final answer.
    Answered,
    /// No connection ends behind a request that it had time to read.
    NotClosedUnanswered,
    /// It has it in time.
    AnsweredInTime,
    /// A request with time left is not answered as timed out.
    NotTimedOutEarly,
    /// The answer is the one that was made for it.
    OwnAnswer,
    /// A request that a server has processed in time has the server's answer.
    ServersAnswer,
    /// No request is answered as invalid: none is.
    ValidRequest,
    /// No effect happens twice where the class forbids it.
    NoSecondEffect,
    /// A request that was refused, and must have its effect at most once, had none.
    NoEffectOfRefused,
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
    /// A server that is silent is ejected by all nodes in time.
    Ejected,
    /// A server that responds is not ejected.
    NotEjected,
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
    /// When the trouble began, right before the signals.
    pub trouble_at: Duration,
    /// When the first SIGTERM was sent.
    pub terminated_at: Duration,
    /// When the process had ended; `None` if it had not at the time of SIGKILL.
    pub exited_at: Option<Duration>,
    /// Whether it ended with a failure, or by a signal other than SIGTERM.
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
    /// What became of the load.
    pub load: LoadSummary,
    /// Requests that crossed the end of their connection, by how.
    pub crossed: BTreeMap<Crossing, usize>,
}

/// How a request crossed the end of its connection: all but the last had no effect, and their clients can repeat them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Crossing {
    /// Behind an answer that announced the end.
    Announced,
    /// Right before an end that was not announced, as of an idle connection.
    Unannounced,
    /// On a new connection that was shut unread, in a crowd.
    Unread,
    /// With a process that was killed.
    Killed,
}

impl fmt::Display for Crossing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Crossing::Announced => "announced",
            Crossing::Unannounced => "unannounced",
            Crossing::Unread => "unread",
            Crossing::Killed => "killed",
        })
    }
}

/// Judges a day of endings.
pub fn judge(plan: &EndingsPlan, record: &Record, end: &ProcessEnd, stalls: &[Stall]) -> Judgement {
    let (requests, events) = (record.requests(), record.server_events());
    let day = DayConditions {
        deadline: plan.deadline,
        has_crowd: plan.has_crowd,
        servers: &plan.servers,
        terminated_at: Some(end.terminated_at),
        killed_at: &[],
    };
    let mut judgement = judge_requests(day, &requests, &events);
    let findings = &mut judgement.findings;
    findings.extend(load::unserved_load(plan, end, &requests));
    let drain = end.drain_announced_at.map(|announced_at| Drain {
        announced_at,
        lifted_at: Duration::MAX,
    });
    findings.extend(attempts_at_draining(drain.as_slice(), &events));
    findings.extend(late_exit(end));
    mark_disturbed(findings, stalls);
    judgement
}

/// Judges a day of upgrades.
pub fn judge_upgrades(
    plan: &UpgradePlan,
    record: &Record,
    seen: &SeenUpgrades,
    stalls: &[Stall],
) -> Judgement {
    let (requests, events) = (record.requests(), record.server_events());
    let day = DayConditions {
        deadline: plan.deadline,
        has_crowd: false,
        servers: &plan.servers,
        terminated_at: None,
        killed_at: &seen.killed_at,
    };
    let mut judgement = judge_requests(day, &requests, &events);
    let findings = &mut judgement.findings;
    findings.extend(load::unserved_requests(
        &requests,
        Duration::ZERO,
        record.now(),
    ));
    findings.extend(attempts_at_draining(&seen.drains, &events));
    findings.extend(seen.ends.iter().filter_map(late_exit));
    mark_disturbed(findings, stalls);
    judgement
}

/// What the judgement of all requests comes to, whatever kind of day it is.
fn judge_requests(
    day: DayConditions,
    requests: &[RequestRecord],
    events: &[ServerRecord],
) -> Judgement {
    let context = DayContext::new(day, requests, events);
    let mut judgement = Judgement {
        load: LoadSummary::of_record(requests, events),
        ..Judgement::default()
    };
    for request in requests {
        match judge_request(&context, request) {
            Verdict::Fine => {}
            Verdict::Crossed(how) => *judgement.crossed.entry(how).or_default() += 1,
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
    judgement.findings.extend(effects(requests, events));
    judgement
        .findings
        .extend(attempts_for_left_clients(requests, &context));
    judgement
}

/// Notes the findings that are explained by delays of the machine.
pub fn mark_disturbed(findings: &mut [Finding], stalls: &[Stall]) {
    for finding in findings {
        let delay: Duration = stalls
            .iter()
            .map(|stall| stall.overlap(finding.from, finding.at))
            .sum();
        let is_explained = finding.overrun.is_some_and(|overrun| overrun <= delay);
        finding.disturbed_for = is_explained.then_some(delay);
    }
}

/// Effects that a request must not have had: a second one, or one although it was refused.
fn effects(requests: &[RequestRecord], events: &[ServerRecord]) -> Vec<Finding> {
    let at_most_once = requests.iter().filter(|request| request.at_most_once);
    let refused: HashSet<&str> = at_most_once
        .clone()
        .filter(|request| request.end.is_refusal())
        .map(|request| request.id.as_str())
        .collect();
    let at_most_once: HashSet<&str> = at_most_once.map(|request| request.id.as_str()).collect();
    let mut executed: HashSet<&str> = HashSet::new();
    let executions = events
        .iter()
        .filter(|event| event.event == ServerEvent::Executed);
    let violations = executions.filter_map(|event| {
        let id = event.id.as_str();
        let is_second = !executed.insert(id) && at_most_once.contains(id);
        let (rule, text) = if is_second {
            (Rule::NoSecondEffect, "had its effect again")
        } else if refused.contains(id) {
            (Rule::NoEffectOfRefused, "was refused, and had its effect")
        } else {
            return None;
        };
        Some(Finding {
            rule,
            from: event.at,
            at: event.at,
            overrun: None,
            text: format!("{id} {text}, at server {}", event.server),
            disturbed_for: None,
        })
    });
    violations.collect()
}

fn attempts_for_left_clients(requests: &[RequestRecord], context: &DayContext) -> Vec<Finding> {
    let left = requests
        .iter()
        .filter(|request| request.end == RequestEnd::ClientLeft);
    let late = left.flat_map(|request| {
        let allowed_until = request.ended_at + ABORT_DETECTION_TIME;
        context
            .events_of(request, ServerEvent::Received)
            .filter(move |attempt| attempt.at > allowed_until)
            // The path to such a server delays requests as well.
            .filter(|attempt| context.fault_of(attempt.server) != Some(ServerFault::SlowPath))
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

/// The time in which the first server drains, as discovery has announced it.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When it was announced.
    pub announced_at: Duration,
    /// When it was announced to be over.
    pub lifted_at: Duration,
}

fn attempts_at_draining(drains: &[Drain], events: &[ServerRecord]) -> Vec<Finding> {
    let attempts = events
        .iter()
        .filter(|event| event.server == 0 && event.event == ServerEvent::Received);
    let late = attempts.filter_map(|event| {
        let drain = drains.iter().find(|drain| {
            let allowed_until = drain.announced_at + DRAIN_GRACE + SOCKET_SLACK;
            event.at > allowed_until && event.at < drain.lifted_at
        })?;
        let allowed_until = drain.announced_at + DRAIN_GRACE + SOCKET_SLACK;
        Some(Finding {
            rule: Rule::NothingToDraining,
            from: drain.announced_at,
            at: event.at,
            overrun: Some(event.at - allowed_until),
            text: format!(
                "{} was sent {:?} after the announcement",
                event.id,
                event.at - drain.announced_at
            ),
            disturbed_for: None,
        })
    });
    late.collect()
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
