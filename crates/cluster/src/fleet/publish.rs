//! Publishing the local node's entries.

use super::{Fleet, FleetEvent};
use crate::entry::{
    BanId, Entry, Key, ServerInstance, Value, Version, MAX_BAN_TTL, MAX_INDEX_TTL, MAX_LEAVING_TTL,
};
use crate::node::{Incarnation, Node};
use crate::observer::{AttemptOutcome, OverdueAttempt};
use crate::quorum;
use crate::table::MergeOutcome;
use crate::{Time, MICROS_PER_SECOND, MILLIS_PER_SECOND};

/// A ban without a duration is published again when less than this fraction of its time to live remains.
const REFRESH_BELOW: f64 = 0.5;

impl Fleet {
    fn next_version(&mut self) -> Version {
        self.last_version += 1;
        Version {
            incarnation: self.members.local_node().incarnation,
            sequence: self.last_version,
        }
    }

    fn publish(&mut self, now: Time, key: Key, value: Value, ttl: Time) -> bool {
        self.publish_aged(now, key, value, ttl, 0.0)
    }

    /// Publishes an entry that is based on evidence of this age, and returns whether the table has changed. Nothing is
    /// published during a name conflict.
    fn publish_aged(&mut self, now: Time, key: Key, value: Value, ttl: Time, age: Time) -> bool {
        if self.has_name_conflict(now) {
            return false;
        }
        let version = self.next_version();
        let age_us = (age * MICROS_PER_SECOND).ceil() as u64;
        self.merge_own(
            now,
            Entry {
                key,
                version,
                value,
                ttl_ms: millis(ttl),
                age_us,
            },
        )
    }

    fn merge_own(&mut self, now: Time, entry: Entry) -> bool {
        let key = entry.key.clone();
        let is_new = self.table.merge(now, entry) == MergeOutcome::Updated;
        if is_new {
            self.events.push_back(FleetEvent::Updated(key));
            // Gossiped without waiting for the next round, since bans have to reach all nodes within a second.
            self.next_gossip = self.next_gossip.min(now);
        }
        is_new
    }

    /// Records the outcome of an attempt at a server, as evidence for this node's reports.
    pub fn record_outcome(&mut self, now: Time, server: &ServerInstance, outcome: AttemptOutcome) {
        self.observer.record_outcome(now, server, outcome);
    }

    /// Replaces the attempts that are overdue. New ones make the node publish its reports at once.
    pub fn set_overdue(&mut self, now: Time, attempts: &[OverdueAttempt]) {
        if self.observer.set_overdue(attempts) {
            // Reported without waiting for the next round: 0.1 s of delay costs the requests that arrive in that time.
            self.next_gossip = self.next_gossip.min(now);
        }
    }

    /// Publishes the reports that are due. `listed_servers` is the number of servers in the endpoint lists.
    pub(super) fn publish_reports(&mut self, now: Time, listed_servers: usize) {
        let (table, members) = (&self.table, &self.members);
        let (nodes, min_reporters) = (members.other_count() + 1, self.config.quorum.min_reporters);
        let is_reported = |server: &ServerInstance| {
            let is_fault =
                |value: &Value| matches!(value, Value::Report(r) if r.finding.is_fault());
            let reports = super::query::reports_on(table, server, now);
            let reporters = reports
                .filter(|(_, _, stored)| is_fault(&stored.value))
                .count();
            reporters + 1 >= min_reporters
                && quorum::is_healthy_reporter(
                    server,
                    &members.local_node().name,
                    nodes,
                    min_reporters,
                )
        };
        let due = self
            .observer
            .take_due_reports(now, listed_servers, is_reported);
        let (reporter, ttl) = (
            self.members.local_node().name.clone(),
            self.config.report_ttl,
        );
        for report in due {
            let key = Key::Report {
                server: report.server,
                reporter: reporter.clone(),
            };
            self.publish_aged(
                now,
                key,
                Value::Report(report.report),
                ttl,
                report.evidence_age,
            );
        }
    }

    /// Bans a server on behalf of an operator, for `duration` seconds or until the ban is lifted. Returns `None` if the
    /// node can't publish the ban.
    pub fn ban(
        &mut self,
        now: Time,
        server: &str,
        operator: &str,
        duration: Option<Time>,
    ) -> Option<BanId> {
        self.last_ban += 1;
        let local_node = self.members.local_node();
        let id = BanId {
            node: local_node.name.clone(),
            incarnation: local_node.incarnation,
            number: self.last_ban,
        };
        let key = Key::Ban {
            server: server.to_owned(),
            id: id.clone(),
        };
        let value = Value::Banned {
            operator: operator.to_owned(),
        };
        let ttl = duration.unwrap_or(MAX_BAN_TTL).min(MAX_BAN_TTL);
        if !self.publish(now, key.clone(), value, ttl) {
            return None;
        }
        if duration.is_none() {
            self.permanent_bans.insert(key);
        }
        Some(id)
    }

    /// Lifts every ban of a server that this node knows, on behalf of an operator and for all nodes. Returns the number
    /// of these bans.
    pub fn lift(&mut self, now: Time, server: &str, operator: &str) -> usize {
        let known: Vec<(Key, Version)> = self
            .bans_of(server, now)
            .map(|(key, stored)| (key.clone(), stored.version))
            .collect();
        for (key, version) in &known {
            self.permanent_bans.remove(key);
            // The tombstone takes precedence over every other value of its ban, regardless of the versions.
            let version = Version {
                sequence: version.sequence.saturating_add(1),
                ..*version
            };
            let value = Value::BanLifted {
                operator: operator.to_owned(),
            };
            let ttl_ms = millis(MAX_BAN_TTL);
            self.merge_own(
                now,
                Entry {
                    key: key.clone(),
                    version,
                    value,
                    ttl_ms,
                    age_us: 0,
                },
            );
        }
        known.len()
    }

    /// Publishes bans without a duration again before they expire, as long as this process runs.
    pub(super) fn refresh_bans(&mut self, now: Time) {
        let table = &self.table;
        let is_banned = |key: &Key| {
            table
                .get(key, now)
                .is_some_and(|stored| matches!(stored.value, Value::Banned { .. }))
        };
        self.permanent_bans.retain(is_banned);
        let is_due = |key: &&Key| {
            table
                .get(key, now)
                .is_some_and(|stored| stored.remaining_ttl(now) < MAX_BAN_TTL * REFRESH_BELOW)
        };
        let due: Vec<Key> = self.permanent_bans.iter().filter(is_due).cloned().collect();
        for key in due {
            let Some(value) = self.table.get(&key, now).map(|stored| stored.value.clone()) else {
                continue;
            };
            self.publish(now, key, value, MAX_BAN_TTL);
        }
    }

    /// Notifies the other nodes that the local node leaves.
    pub fn leave(&mut self, now: Time) {
        let Node {
            name, incarnation, ..
        } = self.members.local_node().clone();
        let key = Key::Leaving {
            node: name,
            incarnation,
        };
        self.publish(now, key, Value::Leaving, MAX_LEAVING_TTL);
        self.gossip_round(now);
        self.members.leave(now);
        self.process_output(now);
    }

    /// Publishes the index of an endpoint list that this node has seen.
    pub fn publish_list_index(&mut self, now: Time, list: &str, index: u64) {
        let key = Key::ListIndex {
            list: list.to_owned(),
        };
        let version = Version {
            incarnation: Incarnation::default(),
            sequence: index,
        };
        let ttl_ms = millis(MAX_INDEX_TTL);
        self.merge_own(
            now,
            Entry {
                key,
                version,
                value: Value::ListIndex,
                ttl_ms,
                age_us: 0,
            },
        );
    }
}

fn millis(time: Time) -> u32 {
    (time * MILLIS_PER_SECOND) as u32
}
