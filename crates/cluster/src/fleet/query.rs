//! Queries: the bans and reports of servers, and the indexes of lists, according to the table of entries.

use super::Fleet;
use crate::entry::{Key, Report, ServerInstance, Value};
use crate::quorum::{self, Votes};
use crate::table::{StoredEntry, Table};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A server that the reports in this node's table eject.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectedServer {
    /// The ejected instance; a later instance of the server is not affected.
    pub server: ServerInstance,
    /// The votes as they count in this node's zone.
    pub votes: Votes,
    /// Whether this node probes the server in the current interval.
    pub is_prober: bool,
    /// The remaining time for which the server can stay ejected without further reports, in seconds.
    pub remaining: Time,
}

/// A report in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublishedReport<'a> {
    /// The name of the reporting node.
    pub reporter: &'a str,
    /// The finding with its evidence.
    pub report: &'a Report,
    /// An upper bound of the report's age, in seconds.
    pub age: Time,
}

impl Fleet {
    /// The bans of a server that have neither expired nor been lifted.
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

    /// The remaining time of the longest ban of a server, in seconds; `None` if it is not banned.
    pub fn remaining_ban(&self, server: &str, now: Time) -> Option<Time> {
        self.bans_of(server, now)
            .map(|(_, stored)| stored.remaining_ttl(now))
            .reduce(f64::max)
    }

    /// The names of the banned servers.
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

    /// The latest index of an endpoint list that any node has published.
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

    /// The votes on each server with reports, as they count in this node's zone.
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

    /// The servers that the reports of several nodes eject. `listed_servers` is the number of servers in the endpoint
    /// lists. The reports of a single node eject no server here: its outlier ejection has these observations already.
    pub fn ejected_servers(&self, now: Time, listed_servers: usize) -> Vec<EjectedServer> {
        let votes = self.votes(now);
        let votes = votes.iter().map(|(server, votes)| (*server, *votes));
        let ejected = quorum::select_ejected(votes, listed_servers, &self.config.quorum);
        let interval = (now / self.config.ejected_probe_interval) as u64;
        let (own_name, nodes) = (
            self.members.local_node().name.as_str(),
            self.members.other_count() + 1,
        );
        let to_ejected = |(server, votes): (&ServerInstance, Votes)| EjectedServer {
            server: server.clone(),
            votes,
            is_prober: quorum::is_prober(server, interval, own_name, nodes),
            remaining: self.remaining_ejection(server, now),
        };
        ejected.into_iter().map(to_ejected).collect()
    }

    /// Whether a server has responded to a member, and too few members still report a fault to eject it. Expired
    /// reports, and those that were withdrawn without a response, are no evidence of a recovery.
    pub fn has_recovered(&self, server: &ServerInstance, now: Time) -> bool {
        let mut votes = Votes::default();
        let mut has_responded = false;
        let reports = self.reports(server, now);
        for published in reports
            .iter()
            .filter(|report| self.members.contains(report.reporter))
        {
            votes.add(published.report, &self.config.zone, &self.config.quorum);
            has_responded |= published.report.shows_response();
        }
        has_responded && votes.ejection_margin(&self.config.quorum).is_none()
    }

    /// How long a server can remain ejected: until so many reports have expired that the rest are no quorum.
    fn remaining_ejection(&self, server: &ServerInstance, now: Time) -> Time {
        let is_vote_against = |report: &Report| {
            let mut votes = Votes::default();
            votes.add(report, &self.config.zone, &self.config.quorum);
            votes.failed + votes.unreachable > 0
        };
        let mut remaining: Vec<Time> = reports_on(&self.table, server, now)
            .filter(|(_, reporter, stored)| {
                self.members.contains(reporter)
                    && matches!(&stored.value, Value::Report(r) if is_vote_against(r))
            })
            .map(|(_, _, stored)| stored.remaining_ttl(now))
            .collect();
        remaining.sort_by(|a, b| b.total_cmp(a));
        remaining
            .get(self.config.quorum.min_reporters.saturating_sub(1))
            .copied()
            .unwrap_or(0.0)
    }

    /// The reports on one server that have not expired.
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

/// The reports on one server that have not expired, each with its key and the name of the reporting node.
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
