//! The admin handlers for the fleet.

use super::{FleetRuntime, FollowedList};
use crate::report::Report;
use hyper::StatusCode;
use reelfall_admin::request::FleetRequest;
use reelfall_cluster::entry::{self, Key, ServerInstance, Value};
use reelfall_cluster::fleet::Fleet;
use reelfall_cluster::table::HeldEntry;
use reelfall_cluster::Time;
use std::collections::BTreeMap;

impl FleetRuntime {
    /// Handles a management request.
    pub fn handle_request(&self, request: &FleetRequest) -> (StatusCode, String) {
        let now = self.clock.now();
        match request {
            FleetRequest::Members => (StatusCode::OK, self.report_members(now)),
            FleetRequest::Verdicts => (
                StatusCode::OK,
                report_entries(&self.fleet.borrow(), &self.lists.borrow(), now),
            ),
            FleetRequest::Explain(server) => (StatusCode::OK, self.explain(server, now)),
            // Handled by the leases.
            FleetRequest::Leases | FleetRequest::Release { .. } => {
                (StatusCode::NOT_FOUND, String::new())
            }
            FleetRequest::Ban {
                server,
                seconds,
                by,
            } => self.ban(now, server, *seconds, by),
            FleetRequest::Lift { server, by } => self.lift(now, server, by),
        }
    }

    fn ban(&self, now: Time, server: &str, seconds: Option<u32>, by: &str) -> (StatusCode, String) {
        let ban = self
            .fleet
            .borrow_mut()
            .ban(now, server, by, seconds.map(f64::from));
        // In force here when the caller hears of it, and on its way to the others.
        self.tick();
        self.wake.notify_one();
        match ban {
            Some(_) => (
                StatusCode::OK,
                format!("{server} is out, and the fleet is told\n"),
            ),
            None => {
                let why = "not done: another process has this node's name, or there is no room\n";
                (StatusCode::CONFLICT, why.to_owned())
            }
        }
    }

    fn lift(&self, now: Time, server: &str, by: &str) -> (StatusCode, String) {
        let n = self.fleet.borrow_mut().lift(now, server, by);
        self.tick();
        self.wake.notify_one();
        (
            StatusCode::OK,
            format!("{n} bans of {server} are lifted, and the fleet is told\n"),
        )
    }

    fn report_members(&self, now: Time) -> String {
        let fleet = self.fleet.borrow();
        let (members, counters) = (fleet.members(), fleet.counters());
        let me = members.me();
        let mut report = Report::default();
        report.add(format_args!(
            "{} at {}, life {}, this node; doubt of its own health {}{}",
            me.name,
            me.address,
            me.incarnation.number,
            members.health_score(),
            if fleet.has_name_conflict(now) {
                "; stands aside, another process has its name"
            } else {
                ""
            }
        ));
        let mut others: Vec<_> = members.others().collect();
        others.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        for n in others {
            report.add(format_args!(
                "{} at {}, life {}",
                n.name, n.address, n.incarnation.number
            ));
        }
        report.add(format_args!(
            "datagrams: {} sent, {} not taken by the system, {} taken",
            counters.sent,
            self.unsent.get(),
            counters.received
        ));
        for (why, n) in &counters.dropped {
            report.add(format_args!("datagrams dropped: {n} {why}"));
        }
        report.add(format_args!(
            "verdicts: {} held, {} unproven, {} too late, {} refused",
            fleet.table().len(),
            counters.unproven,
            counters.expired,
            counters.rejected
        ));
        report.finish()
    }

    fn explain(&self, server: &str, now: Time) -> String {
        let fleet = self.fleet.borrow();
        let mut report = Report::default();
        match fleet.ban_left(server, now) {
            Some(left) => report.add(format_args!(
                "{server}: out by hand, for {left:.0} s at most"
            )),
            None => report.add(format_args!("{server}: not out by hand")),
        }
        let instances: Vec<ServerInstance> = fleet
            .votes(now)
            .keys()
            .filter(|s| s.name == server)
            .map(|s| (*s).clone())
            .collect();
        let condemned = fleet.condemned_servers(now, self.shared.listed_server_count());
        for instance in &instances {
            let since = instance.since;
            match condemned.iter().find(|c| c.server == *instance) {
                Some(c) => {
                    report.add(format_args!(
                        "start {since}: fails several nodes, for {:.1} s",
                        c.left
                    ));
                }
                None => report.add(format_args!("start {since}: not condemned")),
            }
            for published in fleet.reports(instance, now) {
                let (by, evidence, age) = (published.by, describe(published.report), published.age);
                report.add(format_args!("  {by}: {evidence}, {age:.1} s ago"));
            }
        }
        let is_on_server = |key: &Key| matches!(key, Key::Ban { server: s, .. } if s == server);
        for (key, held) in fleet.table().live(now).filter(|(key, _)| is_on_server(key)) {
            add_ban(&mut report, key, held, now);
        }
        report.finish()
    }
}

fn report_entries(fleet: &Fleet, lists: &BTreeMap<String, FollowedList>, now: Time) -> String {
    let mut report = Report::default();
    let banned: Vec<&str> = fleet.banned_servers(now).into_iter().collect();
    report.add(format_args!("out by hand: {}", banned.join(", ")));
    for (key, held) in fleet.table().live(now) {
        match (key, &held.value) {
            (Key::Report { server, by }, Value::Report(evidence)) => {
                report.add(format_args!(
                    "{} since {}: {by} says {}, {:.1} s ago, for {:.1} s",
                    server.name,
                    server.since,
                    describe(evidence),
                    held.age(now),
                    held.left(now)
                ));
            }
            (Key::Ban { .. }, _) => add_ban(&mut report, key, held, now),
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
                    held.version.n
                ));
            }
            (Key::Report { .. }, _) => {}
        }
    }
    report.finish()
}

fn describe(report: &entry::Report) -> String {
    let zone = if report.zone.is_empty() {
        String::new()
    } else {
        format!(" (zone {})", report.zone)
    };
    format!(
        "{:?}: {} bad, {} good; faults with {} of {}{zone}",
        report.finding, report.bad, report.good, report.accused, report.listed
    )
}

fn add_ban(report: &mut Report, key: &Key, held: &HeldEntry, now: Time) {
    let Key::Ban { server, id } = key else { return };
    let (what, by) = match &held.value {
        Value::Banned { by } => ("out", by),
        Value::BanLifted { by } => ("lifted", by),
        _ => return,
    };
    report.add(format_args!(
        "{server}: {what} by {by}, call {} at {}, {:.0} s ago, for {:.0} s",
        id.number,
        id.node,
        held.age(now),
        held.left(now)
    ));
}
