//! Management requests that concern the fleet. Called by [`crate::standalone`].

use super::{FleetRuntime, FollowedList};
use crate::net::management::ManagementResponse;
use crate::report::Report;
use hyper::StatusCode;
use reelfall_admin::request::FleetRequest;
use reelfall_cluster::entry::{Key, Report as ServerReport, ServerInstance, Value};
use reelfall_cluster::fleet::{EjectedServer, Fleet};
use reelfall_cluster::table::StoredEntry;
use reelfall_cluster::Time;
use std::collections::BTreeMap;

impl FleetRuntime {
    /// Handles a management request.
    pub fn handle_request(&self, request: &FleetRequest) -> ManagementResponse {
        let now = self.clock.now();
        match request {
            FleetRequest::Members => ManagementResponse::ok(self.report_members(now)),
            FleetRequest::Verdicts => ManagementResponse::ok(report_entries(
                &self.fleet.borrow(),
                &self.lists.borrow(),
                now,
            )),
            FleetRequest::Explain(server) => ManagementResponse::ok(self.explain(server, now)),
            // Handled by `crate::lease`.
            FleetRequest::Leases | FleetRequest::Release { .. } => {
                ManagementResponse::new(StatusCode::NOT_FOUND, "")
            }
            FleetRequest::Ban {
                server,
                seconds,
                by,
            } => self.ban(now, server, *seconds, by),
            FleetRequest::Lift { server, by } => self.lift(now, server, by),
        }
    }

    fn ban(&self, now: Time, server: &str, seconds: Option<u32>, by: &str) -> ManagementResponse {
        let duration = seconds.map(f64::from);
        let ban = self.fleet.borrow_mut().ban(now, server, by, duration);
        self.apply_and_send();
        if ban.is_none() {
            let text = "not done: another process has this node's name, or there is no room\n";
            return ManagementResponse::new(StatusCode::CONFLICT, text);
        }
        ManagementResponse::ok(format!("{server} is out, and the fleet is told\n"))
    }

    fn lift(&self, now: Time, server: &str, by: &str) -> ManagementResponse {
        let lifted = self.fleet.borrow_mut().lift(now, server, by);
        self.apply_and_send();
        ManagementResponse::ok(format!(
            "{lifted} bans of {server} are lifted, and the fleet is told\n"
        ))
    }

    /// Applies a change at this node before the request is answered, and wakes the event loop to send it to the others.
    fn apply_and_send(&self) {
        self.tick();
        self.wake.notify_one();
    }

    fn report_members(&self, now: Time) -> String {
        let fleet = self.fleet.borrow();
        let mut report = Report::default();
        add_this_node(&mut report, &fleet, now);
        let mut others: Vec<_> = fleet.members().others().collect();
        others.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        for node in others {
            report.add(format_args!(
                "{} at {}, life {}",
                node.name, node.address, node.incarnation.number
            ));
        }
        self.add_counters(&mut report, &fleet);
        report.finish()
    }

    fn add_counters(&self, report: &mut Report, fleet: &Fleet) {
        let counters = fleet.counters();
        report.add(format_args!(
            "datagrams: {} sent, {} not taken by the system, {} taken",
            counters.sent_datagrams,
            self.unsent.get(),
            counters.received_datagrams
        ));
        for (reason, count) in &counters.dropped_datagrams {
            report.add(format_args!("datagrams dropped: {count} {reason}"));
        }
        report.add(format_args!(
            "verdicts: {} held, {} unproven, {} too late, {} refused",
            fleet.table().len(),
            counters.unproven_entries,
            counters.expired_entries,
            counters.rejected_entries
        ));
    }

    fn explain(&self, server: &str, now: Time) -> String {
        let fleet = self.fleet.borrow();
        let mut report = Report::default();
        match fleet.remaining_ban(server, now) {
            Some(left) => report.add(format_args!(
                "{server}: out by hand, for {left:.0} s at most"
            )),
            None => report.add(format_args!("{server}: not out by hand")),
        }
        let instances: Vec<ServerInstance> = fleet
            .votes(now)
            .keys()
            .filter(|instance| instance.name == server)
            .map(|instance| (*instance).clone())
            .collect();
        let ejected = fleet.ejected_servers(now, self.shared.listed_server_count());
        for instance in &instances {
            add_instance(&mut report, &fleet, instance, &ejected, now);
        }
        for (key, entry) in fleet.table().live(now) {
            if matches!(key, Key::Ban { server: banned, .. } if banned == server) {
                add_ban(&mut report, key, entry, now);
            }
        }
        report.finish()
    }
}

fn add_this_node(report: &mut Report, fleet: &Fleet, now: Time) {
    let members = fleet.members();
    let me = members.local_node();
    let conflict = if fleet.has_name_conflict(now) {
        "; stands aside, another process has its name"
    } else {
        ""
    };
    report.add(format_args!(
        "{} at {}, life {}, this node; doubt of its own health {}{conflict}",
        me.name,
        me.address,
        me.incarnation.number,
        members.health_score(),
    ));
}

/// Adds whether an instance of a server is ejected, and each node's report on it.
fn add_instance(
    report: &mut Report,
    fleet: &Fleet,
    instance: &ServerInstance,
    ejected: &[EjectedServer],
    now: Time,
) {
    let since = instance.started_ms;
    match ejected.iter().find(|found| found.server == *instance) {
        Some(found) => report.add(format_args!(
            "start {since}: fails several nodes, for {:.1} s",
            found.remaining
        )),
        None => report.add(format_args!("start {since}: not condemned")),
    }
    for published in fleet.reports(instance, now) {
        let (by, evidence, age) = (
            published.reporter,
            describe_report(published.report),
            published.age,
        );
        report.add(format_args!("  {by}: {evidence}, {age:.1} s ago"));
    }
}

fn report_entries(fleet: &Fleet, lists: &BTreeMap<String, FollowedList>, now: Time) -> String {
    let mut report = Report::default();
    let banned: Vec<&str> = fleet.banned_servers(now).into_iter().collect();
    report.add(format_args!("out by hand: {}", banned.join(", ")));
    for (key, entry) in fleet.table().live(now) {
        match (key, &entry.value) {
            (Key::Report { server, reporter }, Value::Report(evidence)) => {
                report.add(format_args!(
                    "{} since {}: {reporter} says {}, {:.1} s ago, for {:.1} s",
                    server.name,
                    server.started_ms,
                    describe_report(evidence),
                    entry.age(now),
                    entry.remaining_ttl(now)
                ));
            }
            (Key::Ban { .. }, _) => add_ban(&mut report, key, entry, now),
            (Key::Leaving { node, incarnation }, _) => {
                report.add(format_args!(
                    "{node}, life {}: on its way out",
                    incarnation.number
                ));
            }
            (Key::ListIndex { list }, _) => {
                let here = lists
                    .get(list)
                    .map_or("none".to_owned(), |followed| followed.index.to_string());
                report.add(format_args!(
                    "list {list}: index {} was seen; here {here}",
                    entry.version.sequence
                ));
            }
            (Key::Report { .. }, _) => {}
        }
    }
    report.finish()
}

/// Describes a report, for the management interface and the log.
pub(super) fn describe_report(report: &ServerReport) -> String {
    let zone = if report.zone.is_empty() {
        String::new()
    } else {
        format!(" (zone {})", report.zone)
    };
    format!(
        "{:?}: {} bad, {} good; faults with {} of {}{zone}",
        report.finding,
        report.failures,
        report.successes,
        report.faulty_servers,
        report.listed_servers
    )
}

fn add_ban(report: &mut Report, key: &Key, entry: &StoredEntry, now: Time) {
    let Key::Ban { server, id } = key else { return };
    let (state, operator) = match &entry.value {
        Value::Banned { operator } => ("out", operator),
        Value::BanLifted { operator } => ("lifted", operator),
        _ => return,
    };
    report.add(format_args!(
        "{server}: {state} by {operator}, call {} at {}, {:.0} s ago, for {:.0} s",
        id.number,
        id.node,
        entry.age(now),
        entry.remaining_ttl(now)
    ));
}
