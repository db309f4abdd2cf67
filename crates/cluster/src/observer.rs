//! This node's own observations of servers, as failure reports for the others.
//!
//! Each attempt is an outcome of its own; two retries of one request at one server do not happen. A report is made when the
//! evidence of the last [`WINDOW`] leads to a finding, renewed when that changes or when the last report is a third of its
//! time to live old while evidence still comes, and otherwise left to expire.
//!
//! An attempt that has waited past its target counts before it ends: a server that hangs would otherwise be sent the
//! requests of all nodes until the first of them have timed out. Such evidence is provisional: if the attempt is answered
//! after all, the report is withdrawn, and if it fails, the report is renewed as a confirmed one.
//!
//! A report says how many servers this node finds faulty, and is ignored by its readers where these are too many. If that
//! was so when it was made and no longer is, it is renewed: the others have recovered, and this server has not.

use crate::entry::{Finding, Report, ServerInstance};
use crate::quorum::Quorum;
use crate::Time;
use std::collections::{BTreeMap, VecDeque};

/// Outcomes count for so long, in seconds.
pub const WINDOW: Time = 5.0;
/// Maximum number of outcomes stored per server; the latest count.
pub const MAX_OUTCOMES: usize = 32;
/// Maximum number of servers that are observed.
pub const MAX_SERVERS: usize = 4096;
/// Minimum number of concurring attempts where one could be chance: a broken connection or a late answer can come from any
/// server, and one good answer from a faulty one.
pub const MIN_CONCURRING_OUTCOMES: usize = 2;
/// Minimum number of late answers in a row: a busy moment makes several late, of any server.
pub const MIN_LATE_ANSWERS: usize = 4;
/// A report is renewed after this part of its time to live.
const RENEWALS_PER_TTL: f64 = 3.0;

/// How an attempt ended, as far as it tells about the server; the strongest evidence last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// It was answered in time.
    Answered,
    /// It was shed, or broke off at a cold server.
    Shed,
    /// The connection could not be established.
    Unreachable,
    /// It was answered late.
    AnsweredLate,
    /// The connection broke.
    ConnectionBroken,
    /// It was not answered at all.
    TimedOut,
    /// The server reported an error.
    ServerError,
}

impl AttemptOutcome {
    fn finding(self) -> Finding {
        match self {
            AttemptOutcome::Answered => Finding::Well,
            AttemptOutcome::Shed => Finding::Tipped,
            AttemptOutcome::Unreachable => Finding::Unreached,
            AttemptOutcome::AnsweredLate => Finding::Slow,
            AttemptOutcome::TimedOut => Finding::Silent,
            AttemptOutcome::ConnectionBroken | AttemptOutcome::ServerError => Finding::Failing,
        }
    }

    /// Whether one such outcome is conclusive.
    fn is_conclusive(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Unreachable | AttemptOutcome::TimedOut | AttemptOutcome::ServerError
        )
    }

    /// Whether the server answered anything, be it that it fails.
    fn is_response(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Answered
                | AttemptOutcome::Shed
                | AttemptOutcome::AnsweredLate
                | AttemptOutcome::ServerError
        )
    }
}

/// An attempt that has been waiting for an answer past its target.
#[derive(Clone, Debug, PartialEq)]
pub struct OverdueAttempt {
    /// The server.
    pub server: ServerInstance,
    /// When the wait began, in seconds.
    pub started_at: Time,
    /// When the attempt became late, in seconds.
    pub overdue_since: Time,
}

/// A report that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct DueReport {
    /// The server.
    pub server: ServerInstance,
    /// The report.
    pub report: Report,
    /// The age of its last evidence, in seconds.
    pub evidence_age: Time,
}

/// The observations of one server.
#[derive(Debug, Default)]
struct Observations {
    outcomes: VecDeque<(Time, AttemptOutcome)>,
    /// When the server last answered anything.
    last_response_at: Time,
    /// Number of overdue attempts.
    overdue: usize,
    /// When the latest overdue attempt became late.
    overdue_from: Time,
    last_report: Option<LastReport>,
}

/// The last report that was made.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    finding: Finding,
    at: Time,
    /// It was based on overdue attempts, and on nothing else.
    is_provisional: bool,
    /// Its readers do not ignore it.
    is_credible: bool,
}

/// What the evidence leads to.
#[derive(Clone, Copy, Debug)]
struct Assessment {
    finding: Finding,
    bad: usize,
    good: usize,
    is_provisional: bool,
}

impl Observations {
    /// Assesses the evidence.
    ///
    /// What was before the last trouble does not count any more: the outcomes since the last answer count. A node meets a
    /// server that failed it once in seconds, if at all, so that one conclusive failure has to be enough; that others are
    /// served well is reported by them.
    fn assess(&self) -> Option<Assessment> {
        let ended = self.assess_ended();
        if self.overdue == 0 || ended.is_some_and(|a| a.finding >= Finding::Silent) {
            return ended;
        }
        let good = self.answered();
        let bad = self.outcomes.len() - good + self.overdue;
        Some(Assessment {
            finding: Finding::Silent,
            bad,
            good,
            is_provisional: true,
        })
    }

    /// Assesses the attempts that have ended.
    fn assess_ended(&self) -> Option<Assessment> {
        let good = self.answered();
        let bad = self.outcomes.len() - good;
        let assessment = |finding| Assessment {
            finding,
            bad,
            good,
            is_provisional: false,
        };
        let latest = || self.outcomes.iter().rev().map(|(_, outcome)| *outcome);
        let answers = latest()
            .take_while(|outcome| *outcome == AttemptOutcome::Answered)
            .count();
        if answers > 0 {
            return (answers >= MIN_CONCURRING_OUTCOMES).then_some(assessment(Finding::Well));
        }
        let failures = latest().take_while(|outcome| *outcome != AttemptOutcome::Answered);
        let worst = failures.clone().max()?;
        let needed = if worst == AttemptOutcome::AnsweredLate {
            MIN_LATE_ANSWERS
        } else {
            MIN_CONCURRING_OUTCOMES
        };
        let is_enough = worst.is_conclusive() || failures.count() >= needed;
        is_enough.then_some(assessment(worst.finding()))
    }

    fn answered(&self) -> usize {
        self.outcomes
            .iter()
            .filter(|(_, outcome)| *outcome == AttemptOutcome::Answered)
            .count()
    }

    /// Withdraws a provisional report whose attempts were answered, or have ended without an outcome.
    fn withdrawal(&self) -> Option<Assessment> {
        let last = self.last_report.filter(|last| last.is_provisional)?;
        let has_responded = self.last_response_at >= last.at;
        Some(Assessment {
            finding: Finding::Unclear,
            bad: 0,
            good: usize::from(has_responded),
            is_provisional: false,
        })
    }

    fn is_provisional(&self) -> bool {
        self.last_report.is_some_and(|last| last.is_provisional)
    }

    /// Whether a report is due: another finding than the last one, the same confirmed or now credible, or the same on fresh
    /// evidence after a third of the time to live of a report. A report is as old as its evidence, so that none outlives it.
    fn is_due(&self, assessment: Assessment, is_credible: bool, now: Time, ttl: Time) -> bool {
        self.last_report.is_none_or(|last| {
            let has_fresh_evidence =
                now - last.at > ttl / RENEWALS_PER_TTL && self.last_evidence() > last.at;
            let is_confirmed = last.is_provisional && !assessment.is_provisional;
            let became_credible = is_credible && !last.is_credible;
            last.finding != assessment.finding
                || is_confirmed
                || became_credible
                || has_fresh_evidence
        })
    }

    /// When the last evidence was recorded.
    fn last_evidence(&self) -> Time {
        let ended = self.outcomes.back().map_or(f64::MIN, |(at, _)| *at);
        if self.overdue > 0 {
            ended.max(self.overdue_from)
        } else {
            ended
        }
    }

    fn forget_old(&mut self, now: Time) {
        while self
            .outcomes
            .front()
            .is_some_and(|(at, _)| now - at > WINDOW)
        {
            self.outcomes.pop_front();
        }
    }
}

/// Observes the servers that this node sends requests to. See the module.
#[derive(Debug)]
pub struct Observer {
    servers: BTreeMap<ServerInstance, Observations>,
    zone: String,
    report_ttl: Time,
    quorum: Quorum,
}

impl Observer {
    /// An observer in a zone, whose reports live for so long, in seconds, and are read by the rules of this quorum.
    pub fn new(zone: String, report_ttl: Time, quorum: Quorum) -> Observer {
        Observer {
            servers: BTreeMap::new(),
            zone,
            report_ttl,
            quorum,
        }
    }

    /// The observations of a server; `None` for a new server at the limit, which evicts no other.
    fn observations(&mut self, server: &ServerInstance) -> Option<&mut Observations> {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            self.servers.insert(server.clone(), Observations::default());
        }
        self.servers.get_mut(server)
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now: Time, server: &ServerInstance, outcome: AttemptOutcome) {
        let Some(observations) = self.observations(server) else {
            return;
        };
        if outcome.is_response() {
            observations.last_response_at = now;
        }
        if observations.outcomes.len() >= MAX_OUTCOMES {
            observations.outcomes.pop_front();
        }
        observations.outcomes.push_back((now, outcome));
    }

    /// Replaces the overdue attempts; returns whether there is new evidence among them.
    ///
    /// One that was sent before the server last answered tells nothing: the server is there, and serves others first.
    pub fn set_overdue(&mut self, attempts: &[OverdueAttempt]) -> bool {
        self.servers
            .values_mut()
            .for_each(|observations| observations.overdue = 0);
        let mut is_new = false;
        for OverdueAttempt {
            server,
            started_at,
            overdue_since,
        } in attempts
        {
            let observations = self
                .observations(server)
                .filter(|o| o.last_response_at <= *started_at);
            let Some(observations) = observations else {
                continue;
            };
            observations.overdue += 1;
            is_new |= *overdue_since > observations.overdue_from;
            observations.overdue_from = observations.overdue_from.max(*overdue_since);
        }
        is_new
    }

    /// Takes the reports that are due. `listed` is how many servers the node knows; `is_reported` says whether others report
    /// a fault of a server, for only then it matters to them that it is healthy.
    pub fn take_due_reports(
        &mut self,
        now: Time,
        listed_servers: usize,
        mut is_reported: impl FnMut(&ServerInstance) -> bool,
    ) -> Vec<DueReport> {
        self.forget_old(now);
        let (faulty, ttl) = (self.count_faulty(), self.report_ttl);
        let (faulty, listed_servers) = (saturate(faulty), saturate(listed_servers));
        let mut due = Vec::new();
        for (server, observations) in &mut self.servers {
            let assessment = observations.assess().or_else(|| observations.withdrawal());
            let Some(assessment) = assessment else {
                continue;
            };
            let matters = assessment.finding != Finding::Well
                || observations
                    .last_report
                    .is_some_and(|last| last.finding != Finding::Well)
                || is_reported(server);
            let is_credible = self
                .quorum
                .is_credible(assessment.finding, faulty, listed_servers);
            if !observations.is_due(assessment, is_credible, now, ttl) || !matters {
                continue;
            }
            let Assessment {
                finding,
                bad,
                good,
                is_provisional,
            } = assessment;
            observations.last_report = Some(LastReport {
                finding,
                at: now,
                is_provisional,
                is_credible,
            });
            let report = Report {
                finding,
                failures: saturate(bad),
                successes: saturate(good),
                zone: self.zone.clone(),
                faulty_servers: faulty,
                listed_servers,
            };
            // As old as its evidence: reported late, it expires no later.
            let evidence_age = match finding {
                Finding::Unclear => 0.0,
                _ => (now - observations.last_evidence()).clamp(0.0, ttl),
            };
            due.push(DueReport {
                server: server.clone(),
                report,
                evidence_age,
            });
        }
        due
    }

    fn forget_old(&mut self, now: Time) {
        self.servers.retain(|_, observations| {
            observations.forget_old(now);
            !observations.outcomes.is_empty()
                || observations.overdue > 0
                || observations.is_provisional()
        });
    }

    fn count_faulty(&self) -> usize {
        let is_faulty = |o: &&Observations| o.assess().is_some_and(|a| a.finding.is_fault());
        self.servers.values().filter(is_faulty).count()
    }
}

fn saturate(n: usize) -> u16 {
    u16::try_from(n).unwrap_or(u16::MAX)
}
