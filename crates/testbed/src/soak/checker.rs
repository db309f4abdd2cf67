//! Checks a run of kind `endings` or `upgrade` by what clients and servers observed alone. The time limits are those of the
//! documentation.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `request` | checks of a single request |
//! | [`load`] | whether the load reached the servers and was served |

pub mod load;
mod request;

use self::load::LoadSummary;
use self::request::{check_request, RequestOutcome, RunConditions, RunContext};
use super::plan::{EndingsPlan, ServerFault};
use super::process::DRAIN_GRACE;
use super::record::{Record, RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use super::stalls::Stall;
use super::upgrade_plan::UpgradePlan;
use super::upgrades::ObservedUpgrades;
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

/// An attempt may start up to this time after its client has closed the connection.
const ABORT_DETECTION_TIME: Duration = Duration::from_millis(100);
/// Additional time for events to pass through sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A guarantee of the documentation that runs are checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// The load was served before the faults started; otherwise the run shows nothing.
    LoadServed,
    /// Each accepted request gets its final answer.
    Answered,
    /// No connection is closed after a request that the node had time to read, without an answer.
    NotClosedUnanswered,
    /// Each answer arrives by the deadline of its request, with some slack.
    AnsweredInTime,
    /// A request with time left is not answered as timed out.
    NotTimedOutEarly,
    /// Each request gets its own answer and not that of another request.
    OwnAnswer,
    /// A request that a healthy server processed in time gets that server's answer.
    ServersAnswer,
    /// No request is answered as invalid: the clients send valid ones only.
    ValidRequest,
    /// A long answer that its server writes is passed on to its end.
    NotCutOff,
    /// Nothing of a long answer is held back for 2 s.
    NotHeldBack,
    /// No request of an at-most-once class is executed twice.
    NoSecondEffect,
    /// No at-most-once request that was refused is executed.
    NoEffectOfRefused,
    /// A draining server gets no new attempts after the drain grace.
    NothingToDraining,
    /// No new attempt is sent for a client that has disconnected.
    NothingForLeft,
    /// The process exits in time after SIGTERM.
    Ends,
    /// The process does not crash.
    NoCrash,
    /// Each node sends attempts to a server that responds again.
    UsedAgain,
    /// All nodes eject a silent server in time.
    Ejected,
    /// A server that responds is not ejected.
    NotEjected,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The rule that was violated.
    pub rule: Rule,
    /// Start of the time in which a stall of the machine may have caused the violation.
    pub from: Duration,
    /// Time of the violation.
    pub at: Duration,
    /// By how much a time limit was exceeded; `None` if a stall of the machine can't explain the finding.
    pub overrun: Option<Duration>,
    /// Description of the violation.
    pub text: String,
    /// Total length of the stalls between `from` and `at`, if they are as long as the overrun and so explain the finding.
    pub disturbed_for: Option<Duration>,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(formatter, "{:?} at {at:.3}: {}", self.rule, self.text)?;
        match self.disturbed_for {
            Some(length) => write!(
                formatter,
                " (disturbed, the machine stalled for {length:?} in total)"
            ),
            None => Ok(()),
        }
    }
}

/// The shutdown of a process, as observed from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// When the faults started, right before the signals.
    pub faults_started_at: Duration,
    /// When the first SIGTERM was sent.
    pub terminated_at: Duration,
    /// When the process exited; `None` if it was still running at the time of SIGKILL.
    pub exited_at: Option<Duration>,
    /// Whether it exited with a failure status or was terminated by a signal other than SIGTERM.
    pub has_crashed: bool,
    /// When SIGKILL was sent, or would have been.
    pub killed_at: Duration,
    /// When discovery announced that the first server drains, if it did.
    pub drain_announced_at: Option<Duration>,
}

/// The result of checking a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckResult {
    /// Violations of rules.
    pub findings: Vec<Finding>,
    /// Summary of the load.
    pub load: LoadSummary,
    /// Number of requests that raced with the close of their connection, by kind of close.
    pub close_races: BTreeMap<CloseRace, usize>,
}

/// How the connection of a request was closed before the node had read the request. Except for `Killed`, the request had
/// no effect, and its client can retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseRace {
    /// After an answer that announced the close.
    Announced,
    /// Without announcement, right after the request was written, as when the node closes an idle connection.
    Unannounced,
    /// Before the node read anything from it, while clients exhaust the node's connections.
    Unread,
    /// By a kill of the process.
    Killed,
}

impl fmt::Display for CloseRace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseRace::Announced => "announced",
            CloseRace::Unannounced => "unannounced",
            CloseRace::Unread => "unread",
            CloseRace::Killed => "killed",
        })
    }
}

/// Checks a run of kind `endings`.
pub fn check(
    plan: &EndingsPlan,
    record: &Record,
    end: &ProcessEnd,
    stalls: &[Stall],
) -> CheckResult {
    let (requests, events) = (record.requests(), record.server_events());
    let conditions = RunConditions {
        deadline: plan.deadline,
        exhausts_connections: plan.exhausts_connections,
        servers: &plan.servers,
        terminated_at: Some(end.terminated_at),
        killed_at: &[],
    };
    let mut check_result = check_requests(conditions, &requests, &events);
    let findings = &mut check_result.findings;
    findings.extend(load::unserved_load(plan, end, &requests));
    let drain = end.drain_announced_at.map(|announced_at| Drain {
        announced_at,
        lifted_at: Duration::MAX,
    });
    findings.extend(attempts_at_draining(drain.as_slice(), &events));
    findings.extend(exit_violation(end));
    mark_disturbed(findings, stalls);
    check_result
}

/// Checks a run of kind `upgrade`.
pub fn check_upgrades(
    plan: &UpgradePlan,
    record: &Record,
    observed: &ObservedUpgrades,
    stalls: &[Stall],
) -> CheckResult {
    let (requests, events) = (record.requests(), record.server_events());
    let conditions = RunConditions {
        deadline: plan.deadline,
        exhausts_connections: false,
        servers: &plan.servers,
        terminated_at: None,
        killed_at: &observed.killed_at,
    };
    let mut check_result = check_requests(conditions, &requests, &events);
    let findings = &mut check_result.findings;
    findings.extend(load::unserved_requests(
        &requests,
        Duration::ZERO,
        record.now(),
    ));
    findings.extend(attempts_at_draining(&observed.drains, &events));
    findings.extend(observed.ends.iter().filter_map(exit_violation));
    mark_disturbed(findings, stalls);
    check_result
}

/// Checks all requests and events at servers, by the rules that both kinds of runs have in common.
fn check_requests(
    conditions: RunConditions,
    requests: &[RequestRecord],
    events: &[ServerRecord],
) -> CheckResult {
    let context = RunContext::new(conditions, requests, events);
    let mut check_result = CheckResult {
        load: LoadSummary::of_record(requests, events),
        ..CheckResult::default()
    };
    for request in requests {
        match check_request(&context, request) {
            RequestOutcome::Valid => {}
            RequestOutcome::Raced(how) => *check_result.close_races.entry(how).or_default() += 1,
            RequestOutcome::Violation {
                rule,
                overrun,
                text,
            } => check_result.findings.push(Finding {
                rule,
                from: request.written_at,
                at: request.ended_at,
                overrun,
                text: format!("{} {text}", request.id),
                disturbed_for: None,
            }),
        }
    }
    check_result
        .findings
        .extend(forbidden_effects(requests, events));
    check_result
        .findings
        .extend(attempts_for_disconnected_clients(requests, &context));
    check_result
}

/// Marks the findings that stalls of the machine explain.
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

/// Finds forbidden effects of at-most-once requests: a second execution, or one of a refused request.
fn forbidden_effects(requests: &[RequestRecord], events: &[ServerRecord]) -> Vec<Finding> {
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
            (Rule::NoSecondEffect, "was executed a second time")
        } else if refused.contains(id) {
            (Rule::NoEffectOfRefused, "was refused, but executed")
        } else {
            return None;
        };
        Some(Finding {
            rule,
            from: event.at,
            at: event.at,
            overrun: None,
            text: format!("{id} {text}, by server {}", event.server),
            disturbed_for: None,
        })
    });
    violations.collect()
}

fn attempts_for_disconnected_clients(
    requests: &[RequestRecord],
    context: &RunContext,
) -> Vec<Finding> {
    let disconnected = requests
        .iter()
        .filter(|request| request.end == RequestEnd::ClientDisconnected);
    let late = disconnected.flat_map(|request| {
        let allowed_until = request.ended_at + ABORT_DETECTION_TIME;
        context
            .events_of(request, ServerEvent::Received)
            .filter(move |attempt| attempt.at > allowed_until)
            // The slow path to such a server delays requests, too.
            .filter(|attempt| context.fault_of(attempt.server) != Some(ServerFault::SlowPath))
            .map(move |attempt| Finding {
                rule: Rule::NothingForLeft,
                from: request.ended_at,
                at: attempt.at,
                overrun: Some(attempt.at - allowed_until),
                text: format!(
                    "{} reached server {} {:?} after its client had disconnected",
                    request.id,
                    attempt.server,
                    attempt.at - request.ended_at
                ),
                disturbed_for: None,
            })
    });
    late.collect()
}

/// A drain of the first server, as discovery announced it.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When it was announced.
    pub announced_at: Duration,
    /// When its end was announced; [`Duration::MAX`] if it was not.
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
                "{} was sent to the draining server {:?} after the announcement",
                event.id,
                event.at - drain.announced_at
            ),
            disturbed_for: None,
        })
    });
    late.collect()
}

fn exit_violation(end: &ProcessEnd) -> Option<Finding> {
    let (rule, text) = if end.has_crashed {
        (Rule::NoCrash, "the process crashed".to_owned())
    } else if end.exited_at.is_none() {
        let after = end.killed_at - end.terminated_at;
        (
            Rule::Ends,
            format!("the process is still running {after:?} after SIGTERM"),
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
