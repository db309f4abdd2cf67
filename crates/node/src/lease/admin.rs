//! Management requests that concern leases. Called by [`crate::standalone`].

use super::{Leases, LocalKeeper, LocalLease, MICROS_PER_SECOND};
use crate::net::management::ManagementResponse;
use crate::report::Report;
use hyper::StatusCode;
use reelfall_lease::keeper::{Keeper, LeaseView};
use reelfall_lease::recovery::Status;
use reelfall_lease::token::LeaseName;
use reelfall_lease::Micros;

/// Describes a keeper's status; the text continues a sentence that begins with "this keeper".
pub fn describe(status: Status) -> String {
    match status {
        Status::Empty => "has an empty folder and asks its fellows what was before".to_owned(),
        Status::CatchingUp => {
            "has a new folder and reads what its fellows have promised".to_owned()
        }
        Status::Verifying => "asks its fellows whether its folder is the latest".to_owned(),
        Status::Voting => "votes".to_owned(),
        Status::Rejected(reason) => format!("does not vote: {reason}"),
    }
}

impl Leases {
    /// Reports the leases of this node and, if it is a keeper, what it has promised to which client.
    pub fn report(&self) -> ManagementResponse {
        let (now, mut report) = (self.now(), Report::default());
        for (name, local) in self.local_leases.borrow().iter() {
            add_local_lease(&mut report, name, local, now);
        }
        match &self.local_keeper {
            None => report.add(format_args!(
                "no keeper; the keepers are {}",
                self.keepers.join(", ")
            )),
            Some(local) => add_keeper(&mut report, local, now),
        }
        ManagementResponse::ok(report.finish())
    }

    /// Releases a lease temporarily, on behalf of an operator; when its call has ended, if one is in progress.
    pub fn release(&self, lease: &str, reason: &str) -> ManagementResponse {
        let name = match LeaseName::try_from(lease.to_owned()) {
            Ok(name) => name,
            Err(error) => {
                return ManagementResponse::new(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        if !self.is_active(&name) {
            let text = format!("{name} is not held here\n");
            return ManagementResponse::new(StatusCode::CONFLICT, text);
        }
        self.log.write_line(format_args!(
            "lease {name}: released by an operator: {reason}"
        ));
        let text = if self.is_in_use(&name) {
            format!("{name} is given back when its call has ended\n")
        } else {
            format!("{name} is given back\n")
        };
        self.release_temporarily(&name);
        ManagementResponse::ok(text)
    }
}

fn add_local_lease(report: &mut Report, name: &LeaseName, local: &LocalLease, now: Micros) {
    match local.lease.active(now) {
        Some(active) => report.add(format_args!(
            "{name}: held here, token {}, for {:.1} s without a renewal",
            active.token().number(),
            seconds(active.remaining())
        )),
        None if local.lease.is_wanted() => report.add(format_args!("{name}: wanted here")),
        None => report.add(format_args!("{name}: given back here")),
    }
}

fn add_keeper(report: &mut Report, local: &LocalKeeper, now: Micros) {
    let keeper = local.keeper.borrow();
    let Some(keeper) = &*keeper else {
        return report.add(format_args!(
            "this keeper does not vote: {}",
            local.last_status.borrow()
        ));
    };
    report.add(format_args!(
        "this keeper {}",
        describe(Keeper::status(keeper))
    ));
    for view in keeper.leases(now) {
        add_promised_lease(report, &view);
    }
    if local.dropped_requests.get() > 0 {
        let dropped = local.dropped_requests.get();
        report.add(format_args!(
            "{dropped} questions left, as the disk is slow"
        ));
    }
}

fn add_promised_lease(report: &mut Report, view: &LeaseView) {
    let holder = view
        .promise
        .client
        .as_ref()
        .map_or("a fellow's asker", |client| client.name.as_str());
    let granted = match view.remaining {
        Some(remaining) => format!("to {holder}, for {:.1} s", seconds(remaining)),
        None => "to nobody".to_owned(),
    };
    let waiting: Vec<&str> = view
        .waiting
        .iter()
        .map(|client| client.name.as_str())
        .collect();
    let waiting = match waiting.as_slice() {
        [] => String::new(),
        waiting => format!("; waiting: {}", waiting.join(", ")),
    };
    let (lease, ballot) = (view.lease, view.promise.ballot);
    report.add(format_args!(
        "{lease}: granted {granted}, last number {ballot}{waiting}"
    ));
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}
