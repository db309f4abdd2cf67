//! Handles the fleet's events: applies bans and ejections to the pools, and logs changes.

use super::admin::describe_report;
use super::FleetRuntime;
use crate::net::shared::{OverdueRequest, QuorumEjection};
use reelfall_cluster::entry::{Key, ServerInstance};
use reelfall_cluster::fleet::{EjectedServer, FleetEvent};
use reelfall_cluster::members::MemberEvent;
use reelfall_cluster::observer::OverdueAttempt;
use reelfall_cluster::Time;
use std::collections::BTreeMap;

/// Interval at which ejections are applied to the pools again, in seconds, for servers that have joined a list since.
pub(super) const EJECTION_UPDATE_INTERVAL: Time = 0.1;
/// Delay until a changed report is applied, in seconds: a flood of reports costs one evaluation in each such interval.
const EJECTION_UPDATE_DELAY: Time = 0.02;
/// How long a list may lag behind that of other nodes before this is logged, in seconds. Shorter lags are common, since a
/// discovery service notifies its watchers one after the other.
const LIST_LAG_TOLERANCE: Time = 2.0;
/// Minimum interval of log lines about dropped datagrams, in seconds.
const DROPPED_LOG_INTERVAL: Time = 10.0;

/// Whether a list lags behind that of other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ListLag {
    /// It is up to date.
    None,
    /// It has lagged since this time.
    Since(Time),
    /// It lags, and that has been logged.
    Logged,
}

/// When dropped datagrams were last logged, and how many there were.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoggedDropped {
    at: Time,
    count: u64,
}

impl FleetRuntime {
    /// Reports the attempts that have exceeded their latency objective to the fleet.
    pub(super) fn report_overdue(&self, now: Time) {
        let to_attempt = |request: OverdueRequest| {
            let started_at = now - request.waited;
            OverdueAttempt {
                server: request.server,
                started_at,
                overdue_since: started_at + request.latency_objective,
            }
        };
        let overdue: Vec<OverdueAttempt> = self
            .shared
            .overdue_requests()
            .into_iter()
            .map(to_attempt)
            .collect();
        self.fleet.borrow_mut().set_overdue(now, &overdue);
    }

    /// Applies changed bans to the pools, schedules the next update of the ejections, and logs the events.
    pub(super) fn handle_events(&self, events: &[FleetEvent], now: Time) {
        let changed_keys = || events.iter().filter_map(changed_key);
        if changed_keys().any(|key| matches!(key, Key::Ban { .. })) {
            // Not borrowed while the bans are applied, since the pools may report attempts to the fleet.
            let banned = self
                .fleet
                .borrow()
                .banned_servers(now)
                .into_iter()
                .map(str::to_owned)
                .collect();
            self.shared.set_fleet_bans(&banned);
        }
        if changed_keys().any(|key| matches!(key, Key::Report { .. })) {
            let soon =
                self.next_ejection_update.get() - EJECTION_UPDATE_INTERVAL + EJECTION_UPDATE_DELAY;
            self.next_ejection_update
                .set(self.next_ejection_update.get().min(soon));
        }
        for event in events {
            self.log_event(event, now);
        }
    }

    /// Applies the ejections by quorum to the pools, and logs those that begin or end.
    pub(super) fn apply_quorum_ejections(&self, now: Time) {
        let pool_clock = self.shared.clock.now();
        let new = self.ejections(now, pool_clock);
        let old = self.ejected.replace(new.clone());
        for server in old.keys().filter(|server| !new.contains_key(server)) {
            let name = &server.name;
            self.ejection_log
                .write_line(format_args!("fleet: {name} is no longer ejected"));
            let ended = QuorumEjection {
                server: server.clone(),
                until: pool_clock,
                is_prober: false,
            };
            self.shared.apply_quorum_ejection(&ended);
            if self.fleet.borrow().has_recovered(server, now) {
                self.shared.readmit(server);
            }
        }
        for (server, ejection) in &new {
            if !old.contains_key(server) {
                let (name, left) = (&server.name, ejection.until - pool_clock);
                self.ejection_log.write_line(format_args!(
                    "fleet: {name} is ejected, a quorum of nodes reports it as faulty, for {left:.1} s"
                ));
            }
            self.shared.apply_quorum_ejection(ejection);
        }
    }

    fn ejections(&self, now: Time, pool_clock: Time) -> BTreeMap<ServerInstance, QuorumEjection> {
        let ejected = self
            .fleet
            .borrow()
            .ejected_servers(now, self.shared.listed_server_count());
        let to_ejection = |ejected: EjectedServer| {
            let ejection = QuorumEjection {
                server: ejected.server.clone(),
                until: pool_clock + ejected.remaining,
                is_prober: ejected.is_prober,
            };
            (ejected.server, ejection)
        };
        ejected.into_iter().map(to_ejection).collect()
    }

    fn log_event(&self, event: &FleetEvent, now: Time) {
        let log = &self.shared.log;
        match event {
            FleetEvent::Member(MemberEvent::Up(node)) => {
                let (name, address) = (&node.name, node.address);
                log.write_line(format_args!("fleet: {name} at {address} is up"));
            }
            FleetEvent::Member(MemberEvent::Down(node)) => {
                let (name, address) = (&node.name, node.address);
                log.write_line(format_args!("fleet: {name} at {address} is down"));
            }
            FleetEvent::Member(MemberEvent::Rejoined(_)) => {
                log.write_line(format_args!(
                    "fleet: this node was declared dead, and has rejoined"
                ));
            }
            FleetEvent::Updated(Key::Ban { server, .. })
            | FleetEvent::Expired(Key::Ban { server, .. }) => self.log_ban(server, now),
            FleetEvent::Updated(Key::Leaving { node, .. }) => {
                log.write_line(format_args!("fleet: {node} is leaving"));
            }
            FleetEvent::Updated(Key::Report { server, reporter }) => {
                self.log_own_report(server, reporter, now);
            }
            FleetEvent::Updated(_) | FleetEvent::Expired(_) => {}
            FleetEvent::NameConflict => {
                self.name_conflict_log.write_line(format_args!(
                    "fleet: another process has this node's name; this one publishes nothing"
                ));
            }
        }
    }

    /// Logs this node's report on a server. Other nodes log their own.
    fn log_own_report(&self, server: &ServerInstance, reporter: &str, now: Time) {
        let fleet = self.fleet.borrow();
        if reporter != fleet.members().local_node().name {
            return;
        }
        let reports = fleet.reports(server, now);
        if let Some(own) = reports
            .iter()
            .find(|published| published.reporter == reporter)
        {
            let (name, report) = (&server.name, describe_report(own.report));
            self.report_log
                .write_line(format_args!("fleet: report on {name}: {report}"));
        }
    }

    fn log_ban(&self, server: &str, now: Time) {
        match self.fleet.borrow().remaining_ban(server, now) {
            Some(left) => {
                self.ban_log.write_line(format_args!(
                    "fleet: {server} is banned, for {left:.0} s at most"
                ));
            }
            None => self
                .ban_log
                .write_line(format_args!("fleet: {server} is not banned")),
        }
    }

    /// Logs each list, once, that has lagged behind other nodes for some time: its discovery service lags, or the watch
    /// is broken.
    pub(super) fn log_lagging_lists(&self, now: Time) {
        let fleet = self.fleet.borrow();
        for (list, followed) in self.lists.borrow_mut().iter_mut() {
            let latest = fleet.latest_list_index(list, now);
            let Some(latest) = latest.filter(|latest| *latest > followed.index) else {
                continue;
            };
            match followed.lag {
                ListLag::None => followed.lag = ListLag::Since(now),
                ListLag::Since(since) if now - since > LIST_LAG_TOLERANCE => {
                    followed.lag = ListLag::Logged;
                    let index = followed.index;
                    self.shared.log.write_line(format_args!(
                        "fleet: list {list} has index {index} here and {latest} at other nodes"
                    ));
                }
                ListLag::Since(_) | ListLag::Logged => {}
            }
        }
    }

    /// Logs the number of dropped datagrams by reason, if it has increased since the last such line.
    pub(super) fn log_dropped(&self, now: Time) {
        let logged = self.logged_dropped.get();
        let fleet = self.fleet.borrow();
        let by_reason = &fleet.counters().dropped_datagrams;
        let dropped: u64 = by_reason.values().sum();
        if dropped > logged.count && now - logged.at >= DROPPED_LOG_INTERVAL {
            let (at, count) = (now, dropped);
            self.logged_dropped.set(LoggedDropped { at, count });
            let by_reason: Vec<String> = by_reason
                .iter()
                .map(|(reason, count)| format!("{count} {reason}"))
                .collect();
            self.shared.log.write_line(format_args!(
                "fleet: datagrams dropped so far: {}",
                by_reason.join(", ")
            ));
        }
    }
}

/// The key of the entry that was updated or has expired.
fn changed_key(event: &FleetEvent) -> Option<&Key> {
    match event {
        FleetEvent::Updated(key) | FleetEvent::Expired(key) => Some(key),
        FleetEvent::Member(_) | FleetEvent::NameConflict => None,
    }
}
