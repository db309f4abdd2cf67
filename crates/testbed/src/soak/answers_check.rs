//! Checks a run of kind `answers` by what clients and servers saw. The time limits are those of the documentation.

use super::answers_plan::PlannedRequest;
use super::checker::load::LoadSummary;
use super::checker::{mark_disturbed, CheckResult, CloseRace, Finding, Rule};
use super::stalls::Stall;
use crate::slow_answers::{Class, End, Ending, Framing, Progress, Reception, MAX_LATENESS};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// The first bytes of a longer answer are timed, and the last one of others.
const MAX_SHORT_BYTES: usize = 64 << 10;
/// The rest of a long answer may be held back for less than this, and an overdue one that is not long ends after as much silence.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// Additional time for events to pass through sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Time that the node reserves for an answer to reach its client, with some margin.
const RESPONSE_SLACK: Duration = Duration::from_millis(100);
/// New connections come for this long after SIGTERM; later ones may be closed unread.
const ACCEPT_GRACE: Duration = Duration::from_millis(400);
/// The last answers of a process come this long before it is killed.
const LAST_ANSWERS_BEFORE_KILL: Duration = Duration::from_millis(250);
/// A connection that ends this soon after a request was written may have ended before it was read.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(100);

/// A request, and what its client and the servers saw of it.
pub struct ObservedRequest {
    /// Its id.
    pub id: String,
    /// How it was planned.
    pub planned: PlannedRequest,
    /// Whether its connection had carried another one.
    pub is_reused: bool,
    /// The answer.
    pub reception: Reception,
    /// When servers began answers to it.
    pub heads: Vec<Instant>,
    /// What servers wrote of their answers.
    pub written: Vec<Progress>,
}

/// The end of a process that was told to end.
#[derive(Clone, Copy, Debug)]
pub struct ProcessKill {
    /// When it got the first SIGTERM.
    pub terminated_at: Instant,
    /// When it was killed, or would have been.
    pub killed_at: Instant,
    /// When it exited by itself.
    pub exited_at: Option<Instant>,
    /// Whether it exited with a failure.
    pub has_crashed: bool,
}

/// What was seen in a run.
pub struct ObservedRun {
    /// When the run began.
    pub started: Instant,
    /// When the event began.
    pub event_at: Instant,
    /// Whether idle clients occupied all connections.
    pub exhausts_connections: bool,
    /// The ends of processes.
    pub kills: Vec<ProcessKill>,
    /// The requests.
    pub requests: Vec<ObservedRequest>,
}

/// What is wrong with a request.
struct Violation {
    rule: Rule,
    /// By how much a time limit was exceeded; `None` if a stall of the machine can't explain the violation.
    overrun: Option<Duration>,
    text: String,
}

impl Violation {
    fn new(rule: Rule, text: impl Into<String>) -> Violation {
        Violation {
            rule,
            overrun: None,
            text: text.into(),
        }
    }
}

type Verdict = Result<(), Violation>;

/// Checks all requests and processes of a run.
pub fn check(run: &ObservedRun, stalls: &[Stall]) -> CheckResult {
    let mut result = CheckResult {
        load: run.load(),
        ..CheckResult::default()
    };
    for request in &run.requests {
        if let Some(race) = run.close_race(request) {
            *result.close_races.entry(race).or_default() += 1;
            continue;
        }
        for verdict in [run.check_answer(request), check_effects(request)] {
            if let Err(violation) = verdict {
                result.findings.push(run.finding(request, violation));
            }
        }
    }
    result.findings.extend(run.check_load());
    result.findings.extend(run.check_processes());
    mark_disturbed(&mut result.findings, stalls);
    result
}

/// Checks that a request with an effect has run once at most, and not at all if it was refused.
fn check_effects(request: &ObservedRequest) -> Verdict {
    let attempts = request.heads.len();
    if request.planned.class != Class::Unsafe {
        return Ok(());
    }
    if attempts > 1 {
        let text = format!("was executed {attempts} times");
        return Err(Violation::new(Rule::NoSecondEffect, text));
    }
    if attempts > 0 && request.reception.is_refused() {
        return Err(Violation::new(
            Rule::NoEffectOfRefused,
            "was refused, but executed",
        ));
    }
    Ok(())
}

impl ObservedRequest {
    fn due_at(&self) -> Instant {
        self.reception.sent_at + self.planned.time_left
    }

    /// When the client's time is up at the earliest, as far as the node can tell: it can't see when a large body was written.
    fn earliest_due_at(&self) -> Instant {
        self.reception.started_at + self.planned.time_left
    }

    /// Whether the first bytes of its answer alone are timed.
    fn is_long(&self) -> bool {
        let script = &self.planned.script;
        let written: usize = script.parts.iter().sum();
        match script.framing {
            Framing::Announced => script.length() > MAX_SHORT_BYTES,
            _ => written > MAX_SHORT_BYTES,
        }
    }

    /// Whether a server began a sound answer early enough for its client.
    fn was_begun_in_time(&self) -> bool {
        let last_head = self.heads.last();
        self.planned.script.ending == Ending::Whole
            && last_head.is_some_and(|head_at| *head_at + RESPONSE_SLACK < self.earliest_due_at())
    }

    /// When the server of its last attempt has written the last byte, if the node does not end the attempt.
    fn complete_at(&self) -> Option<Instant> {
        let script = &self.planned.script;
        let pauses = script.first_pause + script.pause * script.parts.len() as u32;
        self.heads.last().map(|head_at| *head_at + pauses)
    }

    fn silent_since(&self) -> Instant {
        let last_written = self.written.last().map(|progress| progress.at);
        last_written
            .or(self.heads.last().copied())
            .unwrap_or(self.reception.sent_at)
    }
}

impl ObservedRun {
    /// Whether an answer ended as its process was killed. One that ends later is that of another process.
    fn ended_with_a_kill(&self, reception: &Reception) -> bool {
        let killed = self.kills.iter().filter(|kill| kill.exited_at.is_none());
        let mut since_kill = killed.map(|kill| {
            let earliest = kill.killed_at - SOCKET_SLACK;
            reception.ended_at.checked_duration_since(earliest)
        });
        since_kill.any(|since| since.is_some_and(|since| since <= 3 * SOCKET_SLACK))
    }

    /// Whether a process gave its last answers around this time.
    fn are_last_answers(&self, request: &ObservedRequest) -> bool {
        let ended_at = request.reception.ended_at;
        let mut kills = self.kills.iter();
        kills.any(|kill| {
            ended_at + LAST_ANSWERS_BEFORE_KILL + SOCKET_SLACK >= kill.killed_at
                && request.reception.sent_at < kill.killed_at
        })
    }

    /// How the connection of a request that no server has seen ended before it was read, if that is allowed.
    fn close_race(&self, request: &ObservedRequest) -> Option<CloseRace> {
        let reception = &request.reception;
        if reception.status.is_some() || !request.heads.is_empty() {
            return None;
        }
        let waited = reception.ended_at - reception.sent_at;
        let is_late_connection = !request.is_reused
            && self
                .kills
                .iter()
                .any(|kill| reception.sent_at > kill.terminated_at + ACCEPT_GRACE);
        if is_late_connection || (self.exhausts_connections && !request.is_reused) {
            Some(CloseRace::Unread)
        } else if request.is_reused && waited < CLOSE_RACE_TIME {
            Some(CloseRace::Unannounced)
        } else {
            None
        }
    }

    fn check_answer(&self, request: &ObservedRequest) -> Verdict {
        match request.reception.status {
            None => Err(Violation::new(Rule::Answered, "got no answer")),
            Some(200) if request.is_long() => self.check_long_answer(request),
            Some(200) => self.check_short_answer(request),
            Some(429 | 500 | 502 | 503 | 504) => self.check_failure(request),
            Some(status) => Err(Violation::new(
                Rule::ValidRequest,
                format!("was answered {status}"),
            )),
        }
    }

    fn check_long_answer(&self, request: &ObservedRequest) -> Verdict {
        check_content(request)?;
        let reception = &request.reception;
        check_time(request, reception.head_at, "the first bytes")?;
        let was_killed = self.ended_with_a_kill(reception);
        if request.planned.script.ending != Ending::Whole || was_killed {
            return Ok(());
        }
        if reception.end != End::Whole {
            let text = format!("was cut off after {} bytes", reception.bytes());
            return Err(Violation::new(Rule::NotCutOff, text));
        }
        for written in &request.written {
            let allowed_until = written.at + MAX_HOLD + SOCKET_SLACK;
            if reception.bytes_at(allowed_until) < written.bytes {
                let text = format!(
                    "was held back for {MAX_HOLD:?} after {} bytes",
                    written.bytes
                );
                return Err(Violation::new(Rule::NotHeldBack, text));
            }
        }
        Ok(())
    }

    fn check_short_answer(&self, request: &ObservedRequest) -> Verdict {
        check_content(request)?;
        let (reception, script) = (&request.reception, &request.planned.script);
        check_time(request, reception.head_at, "the first bytes")?;
        if reception.end == End::Whole {
            return check_time(request, reception.ended_at, "the last byte");
        }
        let last_moment = request.due_at() + MAX_LATENESS;
        let was_completed = request.complete_at().is_some_and(|complete_at| {
            let last_sure_moment = request.earliest_due_at() + MAX_LATENESS;
            script.ending == Ending::Whole && complete_at + RESPONSE_SLACK * 2 < last_sure_moment
        });
        if was_completed && !self.ended_with_a_kill(reception) {
            return Err(Violation::new(
                Rule::ServersAnswer,
                "was complete in time, but broken off",
            ));
        }
        let ends_by = (request.silent_since() + MAX_HOLD)
            .max(last_moment)
            .max(request.complete_at().unwrap_or(last_moment))
            + MAX_LATENESS;
        if reception.ended_at > ends_by {
            return Err(Violation {
                rule: Rule::Answered,
                overrun: Some(reception.ended_at - ends_by),
                text: "has ended too late after its server was silent".to_owned(),
            });
        }
        Ok(())
    }

    fn check_failure(&self, request: &ObservedRequest) -> Verdict {
        let reception = &request.reception;
        check_time(request, reception.ended_at, "the failure")?;
        let status = reception.status.unwrap_or_default();
        let is_last_answer = self.are_last_answers(request);
        let is_complete_in_time = request
            .complete_at()
            .is_some_and(|complete_at| complete_at + RESPONSE_SLACK < request.earliest_due_at());
        // What may be repeated may be given up for another attempt, and be refused if there is none in the end.
        let is_harmless = reception.is_refused() && request.planned.class != Class::Unsafe;
        let is_sound = request.is_long() || (is_complete_in_time && !is_harmless);
        // An attempt may be given up before its server has read a large body, which it answers all the same.
        let may_be_given_up = request.planned.upload.is_some() && is_harmless;
        if request.was_begun_in_time() && is_sound && !is_last_answer && !may_be_given_up {
            let text = format!("was answered {status} though its server wrote its answer");
            return Err(Violation::new(Rule::NotCutOff, text));
        }
        let left = request
            .earliest_due_at()
            .saturating_duration_since(reception.ended_at);
        if status == 504 && left > RESPONSE_SLACK && !is_last_answer {
            let text = format!("was answered as timed out with {left:?} left");
            return Err(Violation::new(Rule::NotTimedOutEarly, text));
        }
        Ok(())
    }

    /// Checks that enough requests reached a server; otherwise the run shows nothing. Without uploads these are most of those
    /// before the event. Many uploads never reach their server whole, and others are refused meanwhile.
    fn check_load(&self) -> Option<Finding> {
        let has_uploads = self.requests.iter().any(|it| it.planned.upload.is_some());
        let (considered, min_part): (Vec<&ObservedRequest>, usize) = if has_uploads {
            (self.requests.iter().collect(), 4)
        } else {
            let is_before = |it: &&ObservedRequest| it.reception.sent_at < self.event_at;
            (self.requests.iter().filter(is_before).collect(), 2)
        };
        let requests = considered.len();
        let received = considered.iter().filter(|it| !it.heads.is_empty()).count();
        (min_part * received < requests || requests == 0).then(|| Finding {
            rule: Rule::LoadServed,
            from: Duration::ZERO,
            at: self.event_at - self.started,
            overrun: None,
            text: format!("{received} of {requests} requests reached a server"),
            disturbed_for: None,
        })
    }

    fn check_processes(&self) -> Vec<Finding> {
        let crashed = self.kills.iter().filter(|kill| kill.has_crashed);
        let finding = |kill: &ProcessKill| Finding {
            rule: Rule::NoCrash,
            from: kill.terminated_at - self.started,
            at: kill.killed_at - self.started,
            overrun: None,
            text: "the process crashed".to_owned(),
            disturbed_for: None,
        };
        crashed.map(finding).collect()
    }

    fn finding(&self, request: &ObservedRequest, violation: Violation) -> Finding {
        Finding {
            rule: violation.rule,
            from: request.reception.sent_at - self.started,
            at: request.reception.ended_at - self.started,
            overrun: violation.overrun,
            text: format!("{} {}", request.id, violation.text),
            disturbed_for: None,
        }
    }

    fn load(&self) -> LoadSummary {
        let mut load = LoadSummary {
            requests: self.requests.len(),
            ..LoadSummary::default()
        };
        for request in &self.requests {
            load.attempts += request.heads.len();
            if let Some(status) = request.reception.status {
                *load.statuses.entry(status).or_default() += 1;
            }
        }
        load
    }

    /// A line for each request and each end of a process, with times in seconds since the start of the run.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let seconds = |at: Instant| (at - self.started).as_secs_f64();
        for kill in &self.kills {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "SIGTERM {:.3}, exit {:?}, SIGKILL {:.3}",
                seconds(kill.terminated_at),
                kill.exited_at.map(seconds),
                seconds(kill.killed_at)
            );
        }
        for request in &self.requests {
            let reception = &request.reception;
            let _ = writeln!(
                text,
                "{} sent {:.3} status {:?} head {:.3} {:?} after {} bytes {:.3}, heads at servers {:.3?}, written {:.3?}: {:?}",
                request.id,
                seconds(reception.sent_at),
                reception.status,
                seconds(reception.head_at),
                reception.end,
                reception.bytes(),
                seconds(reception.ended_at),
                request.heads.iter().map(|at| seconds(*at)).collect::<Vec<_>>(),
                request.written.iter().map(|it| (seconds(it.at), it.bytes)).collect::<Vec<_>>(),
                request.planned
            );
        }
        text
    }
}

/// Checks that an answer of a server came unchanged, and that one that is not whole does not look so.
fn check_content(request: &ObservedRequest) -> Verdict {
    let reception = &request.reception;
    let is_whole = reception.bytes() == request.planned.script.length();
    if !reception.is_unchanged || (reception.end == End::Whole && !is_whole) {
        let text = format!("got {} bytes that look whole", reception.bytes());
        return Err(Violation::new(Rule::OwnAnswer, text));
    }
    if reception.end == End::Silent {
        let text = format!("got {} bytes and no end", reception.bytes());
        return Err(Violation::new(Rule::Answered, text));
    }
    Ok(())
}

/// Checks that something came in time, or so little later that it only earns nothing.
fn check_time(request: &ObservedRequest, at: Instant, what: &str) -> Verdict {
    let allowed_until = request.due_at() + MAX_LATENESS + SOCKET_SLACK;
    if at <= allowed_until {
        return Ok(());
    }
    Err(Violation {
        rule: Rule::AnsweredInTime,
        overrun: Some(at - allowed_until),
        text: format!("{what} came after {:?}", at - request.reception.sent_at),
    })
}
