//! What this node has seen of servers by itself, as reports for the others.
//!
//! Each attempt is an outcome of its own; two retries of one request at one server do not happen. A report is made when
//! the evidence of the last [`WINDOW`] comes to a finding, made anew when that changes or the last one is a third of its
//! time old while evidence still comes, and otherwise left to end.
//!
//! An attempt that has waited past its aim tells before it ends: a server that stands still would otherwise be sent the
//! requests of all nodes until the first of them have waited their whole time. Such evidence is provisional. Whoever is
//! answered after all takes it back.

use crate::verdict::{Finding, Report, ServerStart};
use crate::Time;
use std::collections::{BTreeMap, VecDeque};

/// Outcomes count for so long, in seconds.
pub const WINDOW: Time = 5.0;
/// Most outcomes that are kept of one server; the latest count.
pub const OUTCOMES_MOST: usize = 32;
/// Most servers of which something is kept.
pub const SERVERS_MOST: usize = 4096;
/// Attempts that have to tell the same where one could be chance: a broken connection or a late answer can come from any
/// server, and one good answer from a sick one.
pub const LEAST: usize = 2;
/// Late answers in a row that are a finding: a busy moment makes several late, of any server.
pub const SLOW_LEAST: usize = 4;

/// How an attempt ended, as far as it tells of the server; the strongest evidence last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Saw {
    /// It was answered in time.
    Answer,
    /// It was turned away, or broke off at a cold server.
    Tipped,
    /// There was no connection.
    Unreached,
    /// It was answered late.
    Late,
    /// The connection broke.
    Broken,
    /// It was not answered at all.
    Silence,
    /// The server said that it failed.
    Failure,
}

impl Saw {
    fn finding(self) -> Finding {
        match self {
            Saw::Answer => Finding::Well,
            Saw::Tipped => Finding::Tipped,
            Saw::Unreached => Finding::Unreached,
            Saw::Late => Finding::Slow,
            Saw::Silence => Finding::Silent,
            Saw::Broken | Saw::Failure => Finding::Failing,
        }
    }

    /// One of these tells of a sick server by itself.
    fn is_plain(self) -> bool {
        matches!(self, Saw::Unreached | Saw::Silence | Saw::Failure)
    }
}

/// An attempt whose answer is waited for past its aim.
#[derive(Clone, Debug, PartialEq)]
pub struct Overdue {
    /// At which start of which server.
    pub server: ServerStart,
    /// Since when an answer is waited for, and since when it is late, in seconds.
    pub since: Time,
    /// See [`Overdue::since`].
    pub late_from: Time,
}

#[derive(Debug, Default)]
struct Seen {
    outcomes: VecDeque<(Time, Saw)>,
    /// When the server was last heard: it said something to this node, be it that it fails.
    heard: Time,
    /// Attempts that are overdue, and since when the latest is.
    overdue: usize,
    overdue_from: Time,
    told: Option<Told>,
}

/// What was told last.
#[derive(Clone, Copy, Debug)]
struct Told {
    finding: Finding,
    at: Time,
    /// It stood on attempts that were still waited for, and on nothing else.
    provisional: bool,
}

/// What evidence comes to.
#[derive(Clone, Copy, Debug)]
struct Found {
    finding: Finding,
    bad: usize,
    good: usize,
    provisional: bool,
}

impl Seen {
    /// What the evidence comes to, with how many attempts tell against the server and for it.
    ///
    /// What was before the last trouble tells of then: the outcomes since the last answer count. A node meets a server that
    /// failed it once in seconds, if at all, so that one plain failure has to be enough; that others are served well is
    /// said by them.
    fn finding(&self) -> Option<Found> {
        let ended = self.ended();
        if self.overdue == 0 || ended.is_some_and(|f| f.finding >= Finding::Silent) {
            return ended;
        }
        let good = self.outcomes.iter().filter(|(_, saw)| *saw == Saw::Answer).count();
        let bad = self.outcomes.len() - good + self.overdue;
        Some(Found { finding: Finding::Silent, bad, good, provisional: true })
    }

    /// The same by attempts that have ended.
    fn ended(&self) -> Option<Found> {
        let found = |finding, bad, good| Found { finding, bad, good, provisional: false };
        let latest = || self.outcomes.iter().rev().map(|(_, saw)| *saw);
        let good = self.outcomes.iter().filter(|(_, saw)| *saw == Saw::Answer).count();
        let bad = self.outcomes.len() - good;
        let answers = latest().take_while(|saw| *saw == Saw::Answer).count();
        if answers > 0 {
            return (answers >= LEAST).then_some(found(Finding::Well, bad, good));
        }
        let trouble = latest().take_while(|saw| *saw != Saw::Answer);
        let worst = trouble.clone().max()?;
        let least = if worst == Saw::Late { SLOW_LEAST } else { LEAST };
        (worst.is_plain() || trouble.count() >= least).then_some(found(worst.finding(), bad, good))
    }

    /// What was told on the strength of attempts that waited, and they were answered.
    fn taken_back(&self) -> Option<Found> {
        let provisional = self.told.is_some_and(|told| told.provisional);
        let found = Found { finding: Finding::Unclear, bad: 0, good: 0, provisional: false };
        provisional.then_some(found)
    }

    /// Whether it has to be told: another finding than was told last, or the same on fresh evidence after a third of the
    /// time that a report counts. Evidence is told once: the same attempts told anew would make a verdict outlive what it
    /// stands on.
    fn is_news(&self, found: Found, now: Time, lasts: Time) -> bool {
        self.told.is_none_or(|told| {
            told.finding != found.finding || (now - told.at > lasts / 3.0 && self.last() > told.at)
        })
    }

    /// When the last of the evidence was there.
    fn last(&self) -> Time {
        let ended = self.outcomes.back().map_or(f64::MIN, |(at, _)| *at);
        if self.overdue > 0 {
            ended.max(self.overdue_from)
        } else {
            ended
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct Witness {
    seen: BTreeMap<ServerStart, Seen>,
    zone: String,
    lasts: Time,
}

impl Witness {
    /// A witness in a zone, whose reports count for so long, in seconds.
    pub fn new(zone: String, lasts: Time) -> Witness {
        Witness { seen: BTreeMap::new(), zone, lasts }
    }

    /// What is kept of a server; what is new waits until something else is forgotten: nobody can push out what is known of
    /// others.
    fn of(&mut self, server: &ServerStart) -> Option<&mut Seen> {
        if !self.seen.contains_key(server) {
            if self.seen.len() >= SERVERS_MOST {
                return None;
            }
            self.seen.insert(server.clone(), Seen::default());
        }
        self.seen.get_mut(server)
    }

    /// An attempt has ended.
    pub fn saw(&mut self, now: Time, server: &ServerStart, saw: Saw) {
        let Some(seen) = self.of(server) else { return };
        if matches!(saw, Saw::Answer | Saw::Tipped | Saw::Late | Saw::Failure) {
            seen.heard = now;
        }
        if seen.outcomes.len() >= OUTCOMES_MOST {
            seen.outcomes.pop_front();
        }
        seen.outcomes.push_back((now, saw));
    }

    /// All attempts that are overdue now, in place of those that were. Whether there is new evidence in it.
    ///
    /// One that was sent before the server was last heard tells nothing: the server is there, and has others to serve first.
    pub fn waits(&mut self, overdue: &[Overdue]) -> bool {
        self.seen.values_mut().for_each(|seen| seen.overdue = 0);
        let mut new = false;
        for Overdue { server, since, late_from } in overdue {
            let Some(seen) = self.of(server).filter(|seen| seen.heard <= *since) else { continue };
            seen.overdue += 1;
            new |= *late_from > seen.overdue_from;
            seen.overdue_from = seen.overdue_from.max(*late_from);
        }
        new
    }

    /// The reports that are due, each with the age of its last evidence, in seconds. `listed` is how many servers the node
    /// knows; `accused` says whether others find fault with a server, for only then it matters to them that it is well.
    pub fn due(
        &mut self, now: Time, listed: usize, mut accused: impl FnMut(&ServerStart) -> bool,
    ) -> Vec<(ServerStart, Report, Time)> {
        self.seen.retain(|_, seen| {
            while seen.outcomes.front().is_some_and(|(at, _)| now - at > WINDOW) {
                seen.outcomes.pop_front();
            }
            !seen.outcomes.is_empty() || seen.overdue > 0 || seen.told.is_some_and(|told| told.provisional)
        });
        let faults =
            self.seen.values().filter(|s| s.finding().is_some_and(|f| f.finding.finds_fault())).count();
        let lasts = self.lasts;
        let mut due = Vec::new();
        for (server, seen) in &mut self.seen {
            let Some(found) = seen.finding().or_else(|| seen.taken_back()) else { continue };
            let matters = found.finding != Finding::Well
                || seen.told.is_some_and(|told| told.finding != Finding::Well)
                || accused(server);
            if !seen.is_news(found, now, lasts) || !matters {
                continue;
            }
            seen.told = Some(Told { finding: found.finding, at: now, provisional: found.provisional });
            let small = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
            let report = Report {
                finding: found.finding,
                bad: small(found.bad),
                good: small(found.good),
                zone: self.zone.clone(),
                accused: small(faults),
                listed: small(listed),
            };
            // As old as what it stands on: told late, it ends no later.
            let age = match found.finding {
                Finding::Unclear => 0.0,
                _ => (now - seen.last()).clamp(0.0, lasts),
            };
            due.push((server.clone(), report, age));
        }
        due
    }
}
