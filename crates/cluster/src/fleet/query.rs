//! What the entries in the table say of servers and lists.

use super::Fleet;
use crate::entry::{Key, Report, ServerInstance, Value};
use crate::quorum::{self, Votes};
use crate::table::{StoredEntry, Table};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// An ejected server, as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectedServer {
    /// The server.
    pub server: ServerInstance,
    /// The votes on it.
    pub votes: Votes,
    /// Whether this node checks its health in the present interval.
    pub is_prober: bool,
    /// How long this can hold without further reports, in seconds.
    pub remaining: Time,
}

/// A report on a server in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublishedReport<'a> {
    /// The reporting node.
    pub reporter: &'a str,
    /// The report.
    pub report: &'a Report,
    /// Its age, in seconds.
    pub age: Time,
}

impl Fleet {
    /// The live bans of a server.
    pub(super) fn bans_of<'a>(
        &'a self,
        server: &'a str,
        now: Time,
    ) -> impl Iterator<Item = (&'a Key, &'a StoredEntry)> {
        let from = Key::first_ban(server.to_owned());
        let is_on_server =
            move |key: &Key| matches!(key, Key::Ban { server: s, .. } if s == server);
        let all = self
            .table
            .live_from(&from, now)
            .take_while(move |(key, _)| is_on_server(key));
        all.filter(|(_, stored)| matches!(stored.value, Value::Banned { .. }))
    }

    /// For how many seconds a server is banned, without further calls; `None` if it is not banned.
    pub fn remaining_ban(&self, server: &str, now: Time) -> Option<Time> {
        self.bans_of(server, now)
            .map(|(_, stored)| stored.remaining_ttl(now))
            .reduce(f64::max)
    }

    /// The banned servers.
    pub fn banned_servers(&self, now: Time) -> BTreeSet<&str> {
        let all = self.table.live_from(&Key::first(), now);
        let bans = all.take_while(|(key, _)| matches!(key, Key::Ban { .. }));
        let banned = bans.filter(|(_, stored)| matches!(stored.value, Value::Banned { .. }));
        banned
            .filter_map(|(key, _)| match key {
                Key::Ban { server, .. } => Some(server.as_str()),
                _ => None,
            })
            .collect()
    }

    /// The latest index of a list that any node has seen.
    pub fn latest_list_index(&self, list: &str, now: Time) -> Option<u64> {
        self.table
            .get(
                &Key::ListIndex {
                    list: list.to_owned(),
                },
                now,
            )
            .map(|stored| stored.version.sequence)
    }

    /// The votes on each server that there are reports on, as they count in this node's zone.
    pub fn votes(&self, now: Time) -> BTreeMap<&ServerInstance, Votes> {
        let mut votes: BTreeMap<&ServerInstance, Votes> = BTreeMap::new();
        for (key, stored) in self.table.live_from(&Key::first_report(), now) {
            let (Key::Report { server, reporter }, Value::Report(report)) = (key, &stored.value)
            else {
                break;
            };
            let on_server = votes.entry(server).or_default();
            if self.members.contains(reporter) {
                on_server.add(report, &self.config.zone, &self.config.quorum);
            } else {
                on_server.ignored += 1;
            }
        }
        votes
    }

    /// The servers of a list of so many that several nodes' reports eject. A single node ejects nobody here: its
    /// decision module knows its own observations.
    pub fn ejected_servers(&self, now: Time, listed: usize) -> Vec<EjectedServer> {
        let votes = self.votes(now);
        let votes = votes.iter().map(|(server, votes)| (*server, *votes));
        let ejected = quorum::select_ejected(votes, listed, &self.config.quorum);
        let interval = (now / self.config.ejected_probe_interval) as u64;
        let (me, nodes) = (
            self.members.local_node().name.as_str(),
            self.members.other_count() + 1,
        );
        let to_ejected = |(server, votes): (&ServerInstance, Votes)| EjectedServer {
            server: server.clone(),
            votes,
            is_prober: quorum::is_prober(server, interval, me, nodes),
            remaining: self.ejected_for(server, now),
        };
        ejected.into_iter().map(to_ejected).collect()
    }

    /// Whether a server has responded to a member, and too few still report a fault to eject it. Reports that have expired,
    /// or were withdrawn without a response, show nothing.
    pub fn has_recovered(&self, server: &ServerInstance, now: Time) -> bool {
        let mut votes = Votes::default();
        let mut responds = false;
        let reports = self.reports(server, now);
        for published in reports
            .iter()
            .filter(|report| self.members.contains(report.reporter))
        {
            votes.add(published.report, &self.config.zone, &self.config.quorum);
            responds |= published.report.shows_response();
        }
        responds && votes.ejection_margin(&self.config.quorum).is_none()
    }

    /// How long a server can remain ejected: until so many of the reports have expired that they are no quorum.
    fn ejected_for(&self, server: &ServerInstance, now: Time) -> Time {
        let counts = |report: &Report| {
            let mut votes = Votes::default();
            votes.add(report, &self.config.zone, &self.config.quorum);
            votes.failed + votes.unreachable > 0
        };
        let mut left: Vec<Time> = reports_on(&self.table, server, now)
            .filter(|(_, reporter, stored)| {
                self.members.contains(reporter)
                    && matches!(&stored.value, Value::Report(r) if counts(r))
            })
            .map(|(_, _, stored)| stored.remaining_ttl(now))
            .collect();
        left.sort_by(|a, b| b.total_cmp(a));
        left.get(self.config.quorum.min_reporters.saturating_sub(1))
            .copied()
            .unwrap_or(0.0)
    }

    /// The live reports on one server.
    pub fn reports<'a>(
        &'a self,
        server: &'a ServerInstance,
        now: Time,
    ) -> Vec<PublishedReport<'a>> {
        let all = reports_on(&self.table, server, now);
        all.filter_map(|(_, reporter, stored)| match &stored.value {
            Value::Report(report) => Some(PublishedReport {
                reporter,
                report,
                age: stored.age(now),
            }),
            _ => None,
        })
        .collect()
    }
}

/// The live reports on one server, with the reporting nodes.
pub(super) fn reports_on<'a>(
    table: &'a Table,
    server: &'a ServerInstance,
    now: Time,
) -> impl Iterator<Item = (&'a Key, &'a str, &'a StoredEntry)> {
    let from = Key::Report {
        server: server.clone(),
        reporter: String::new(),
    };
    let reporter = move |key: &'a Key| match key {
        Key::Report {
            server: s,
            reporter,
        } if s == server => Some(reporter.as_str()),
        _ => None,
    };
    table
        .live_from(&from, now)
        .map_while(move |(key, stored)| Some((key, reporter(key)?, stored)))
}
