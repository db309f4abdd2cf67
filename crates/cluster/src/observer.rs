//! The local node's observations of servers, from which its failure reports are made.
//!
//! Each attempt counts as an outcome of its own: a request is not retried at the same server. A report is made when the
//! evidence of the last [`WINDOW`] leads to a finding. It is renewed when the finding changes, or when there is new
//! evidence after a third of the report's time to live. Otherwise it expires.
//!
//! An attempt that is waiting past its latency objective counts before it ends: otherwise all nodes would send requests
//! to a server that hangs until the first of these requests have timed out. Such evidence is provisional: if the
//! attempt is answered after all, the report is withdrawn, and if it fails, the report is renewed as a confirmed one.
//!
//! A report contains the number of servers that this node finds faulty; readers ignore it if these are too many. If a
//! report was too many when it was made and no longer is, it is renewed: the other servers have recovered, and this one
//! has not.

use crate::entry::{Finding, Report, ServerInstance};
use crate::quorum::Quorum;
use crate::Time;
use std::collections::{BTreeMap, VecDeque};

/// Outcomes count for this time, in seconds.
pub const WINDOW: Time = 5.0;
/// Maximum number of outcomes stored per server; a new one replaces the oldest.
pub const MAX_OUTCOMES: usize = 32;
/// Maximum number of servers that are observed at the same time.
pub const MAX_SERVERS: usize = 4096;
/// Minimum number of consecutive outcomes that lead to a finding where a single one could be chance: a healthy server
/// can break a connection or answer late once, and a faulty one can answer once.
pub const MIN_CONCURRING_OUTCOMES: usize = 2;
/// Minimum number of consecutive late answers that lead to a finding: a short peak of load makes several answers of any
/// server late.
pub const MIN_LATE_ANSWERS: usize = 4;
/// Number of times that a report is renewed within its time to live, while there is new evidence.
const RENEWALS_PER_TTL: f64 = 3.0;

/// How an attempt ended, in the order of increasing evidence against the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The server answered within the latency objective.
    Answered,
    /// The server rejected the request without executing it.
    Shed,
    /// The connection could not be established.
    Unreachable,
    /// The server answered after the latency objective.
    AnsweredLate,
    /// The connection broke before the answer was complete.
    ConnectionBroken,
    /// The attempt waited past the latency objective and was given up without an answer.
    TimedOut,
    /// The server answered with an error.
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

    /// Whether a single such outcome leads to a finding.
    fn is_conclusive(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Unreachable | AttemptOutcome::TimedOut | AttemptOutcome::ServerError
        )
    }

    /// Whether the server sent any answer, even an error.
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

/// An attempt that is still waiting for an answer after its latency objective.
#[derive(Clone, Debug, PartialEq)]
pub struct OverdueAttempt {
    /// The instance that has not answered.
    pub server: ServerInstance,
    /// When the wait for the answer began, in seconds.
    pub started_at: Time,
    /// When the latency objective was exceeded, in seconds.
    pub overdue_since: Time,
}

/// A report that has to be published.
#[derive(Clone, Debug, PartialEq)]
pub struct DueReport {
    /// The instance that the report is about.
    pub server: ServerInstance,
    /// The finding with its evidence.
    pub report: Report,
    /// The age of the latest evidence, in seconds; 0 for a withdrawal.
    pub evidence_age: Time,
}

/// The observations of one server.
#[derive(Debug, Default)]
struct Observations {
    outcomes: VecDeque<(Time, AttemptOutcome)>,
    /// When the server last sent any answer.
    last_response_at: Time,
    /// Number of overdue attempts.
    overdue_count: usize,
    /// The latest time at which an attempt became overdue.
    last_overdue_since: Time,
    last_report: Option<LastReport>,
}

/// The last report that was made on a server.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    finding: Finding,
    made_at: Time,
    /// Whether the finding is based on overdue attempts only.
    is_provisional: bool,
    /// Whether readers count the report.
    is_credible: bool,
}

/// The finding that the evidence on a server leads to.
#[derive(Clone, Copy, Debug)]
struct Assessment {
    finding: Finding,
    failures: usize,
    successes: usize,
    is_provisional: bool,
}

impl Observations {
    /// Assesses the attempts that have ended and those that are overdue; `None` if the evidence is not sufficient.
    ///
    /// Of the ended attempts, only the latest consecutive successes or failures determine the finding. A node sends at
    /// most one request in several seconds to a server that has failed it, so a single conclusive failure has to be
    /// sufficient; other nodes, which the server answers, report that it is healthy.
    fn assess(&self) -> Option<Assessment> {
        let ended = self.assess_ended();
        if self.overdue_count == 0 || ended.is_some_and(|a| a.finding >= Finding::Silent) {
            return ended;
        }
        let successes = self.count_answered();
        let failures = self.outcomes.len() - successes + self.overdue_count;
        Some(Assessment {
            finding: Finding::Silent,
            failures,
            successes,
            is_provisional: true,
        })
    }

    /// Assesses the attempts that have ended.
    fn assess_ended(&self) -> Option<Assessment> {
        let successes = self.count_answered();
        let failures = self.outcomes.len() - successes;
        let assessment = |finding| Assessment {
            finding,
            failures,
            successes,
            is_provisional: false,
        };
        let latest_first = || self.outcomes.iter().rev().map(|(_, outcome)| *outcome);
        let answer_count = latest_first()
            .take_while(|outcome| *outcome == AttemptOutcome::Answered)
            .count();
        if answer_count > 0 {
            return (answer_count >= MIN_CONCURRING_OUTCOMES).then_some(assessment(Finding::Well));
        }
        let latest_failures =
            latest_first().take_while(|outcome| *outcome != AttemptOutcome::Answered);
        let worst = latest_failures.clone().max()?;
        let needed = if worst == AttemptOutcome::AnsweredLate {
            MIN_LATE_ANSWERS
        } else {
            MIN_CONCURRING_OUTCOMES
        };
        let is_sufficient = worst.is_conclusive() || latest_failures.count() >= needed;
        is_sufficient.then_some(assessment(worst.finding()))
    }

    fn count_answered(&self) -> usize {
        self.outcomes
            .iter()
            .filter(|(_, outcome)| *outcome == AttemptOutcome::Answered)
            .count()
    }

    /// The withdrawal of the last report, if that was provisional: its attempts were answered, or ended without an
    /// outcome.
    fn withdrawal(&self) -> Option<Assessment> {
        let last = self.last_report.filter(|last| last.is_provisional)?;
        let has_responded = self.last_response_at >= last.made_at;
        Some(Assessment {
            finding: Finding::Unclear,
            failures: 0,
            successes: usize::from(has_responded),
            is_provisional: false,
        })
    }

    fn has_provisional_report(&self) -> bool {
        self.last_report.is_some_and(|last| last.is_provisional)
    }

    /// Whether a report has to be made: the finding differs from that of the last report, is now confirmed or now
    /// credible, or there is new evidence after a third of a report's time to live. A report is as old as its evidence
    /// and expires with it, so that a new report without new evidence would be of no use.
    fn is_due(&self, assessment: Assessment, is_credible: bool, now: Time, ttl: Time) -> bool {
        self.last_report.is_none_or(|last| {
            let has_fresh_evidence = now - last.made_at > ttl / RENEWALS_PER_TTL
                && self.last_evidence_at() > last.made_at;
            let is_confirmed = last.is_provisional && !assessment.is_provisional;
            let became_credible = is_credible && !last.is_credible;
            last.finding != assessment.finding
                || is_confirmed
                || became_credible
                || has_fresh_evidence
        })
    }

    /// The time of the latest evidence.
    fn last_evidence_at(&self) -> Time {
        let ended = self.outcomes.back().map_or(f64::MIN, |(at, _)| *at);
        if self.overdue_count > 0 {
            ended.max(self.last_overdue_since)
        } else {
            ended
        }
    }

    fn drop_old_outcomes(&mut self, now: Time) {
        while self
            .outcomes
            .front()
            .is_some_and(|(at, _)| now - at > WINDOW)
        {
            self.outcomes.pop_front();
        }
    }
}

/// Observes the servers that the local node sends requests to. See the [module](self).
#[derive(Debug)]
pub struct Observer {
    servers: BTreeMap<ServerInstance, Observations>,
    zone: String,
    report_ttl: Time,
    quorum: Quorum,
}

impl Observer {
    /// An observer in `zone`, whose reports have a time to live of `report_ttl` seconds. `quorum` determines which of
    /// them are credible.
    pub fn new(zone: String, report_ttl: Time, quorum: Quorum) -> Observer {
        Observer {
            servers: BTreeMap::new(),
            zone,
            report_ttl,
            quorum,
        }
    }

    /// The observations of a server; `None` for a new server if [`MAX_SERVERS`] are observed already.
    fn observations(&mut self, server: &ServerInstance) -> Option<&mut Observations> {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            self.servers.insert(server.clone(), Observations::default());
        }
        self.servers.get_mut(server)
    }

    /// Records the outcome of an attempt at a server.
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

    /// Replaces the overdue attempts, and returns whether there is new evidence among them.
    ///
    /// An attempt that was sent before the last answer of its server is ignored: the server is responding, to other
    /// requests first.
    pub fn set_overdue(&mut self, attempts: &[OverdueAttempt]) -> bool {
        self.servers
            .values_mut()
            .for_each(|observations| observations.overdue_count = 0);
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
            observations.overdue_count += 1;
            is_new |= *overdue_since > observations.last_overdue_since;
            observations.last_overdue_since = observations.last_overdue_since.max(*overdue_since);
        }
        is_new
    }

    /// Returns the reports that have to be published, and counts them as made. `listed_servers` is the number of
    /// servers in the endpoint lists; `is_reported` says whether others report a fault of a server, since a healthy
    /// server is not worth a report otherwise.
    pub fn take_due_reports(
        &mut self,
        now: Time,
        listed_servers: usize,
        mut is_reported: impl FnMut(&ServerInstance) -> bool,
    ) -> Vec<DueReport> {
        self.drop_old_servers(now);
        let (faulty, ttl) = (self.count_faulty(), self.report_ttl);
        let (faulty, listed_servers) = (saturate(faulty), saturate(listed_servers));
        let mut due = Vec::new();
        for (server, observations) in &mut self.servers {
            let assessment = observations.assess().or_else(|| observations.withdrawal());
            let Some(assessment) = assessment else {
                continue;
            };
            let is_relevant = assessment.finding != Finding::Well
                || observations
                    .last_report
                    .is_some_and(|last| last.finding != Finding::Well)
                || is_reported(server);
            let is_credible = self
                .quorum
                .is_credible(assessment.finding, faulty, listed_servers);
            if !observations.is_due(assessment, is_credible, now, ttl) || !is_relevant {
                continue;
            }
            let Assessment {
                finding,
                failures,
                successes,
                is_provisional,
            } = assessment;
            observations.last_report = Some(LastReport {
                finding,
                made_at: now,
                is_provisional,
                is_credible,
            });
            let report = Report {
                finding,
                failures: saturate(failures),
                successes: saturate(successes),
                zone: self.zone.clone(),
                faulty_servers: faulty,
                listed_servers,
            };
            // The report is as old as its evidence, so that it expires no later if it is made late.
            let evidence_age = match finding {
                Finding::Unclear => 0.0,
                _ => (now - observations.last_evidence_at()).clamp(0.0, ttl),
            };
            due.push(DueReport {
                server: server.clone(),
                report,
                evidence_age,
            });
        }
        due
    }

    fn drop_old_servers(&mut self, now: Time) {
        self.servers.retain(|_, observations| {
            observations.drop_old_outcomes(now);
            !observations.outcomes.is_empty()
                || observations.overdue_count > 0
                || observations.has_provisional_report()
        });
    }

    fn count_faulty(&self) -> usize {
        let is_faulty = |o: &&Observations| o.assess().is_some_and(|a| a.finding.is_fault());
        self.servers.values().filter(is_faulty).count()
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
