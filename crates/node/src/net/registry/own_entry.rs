//! The entry that this node has in a registry, from when it is wanted until the node ends.

use super::driver::{Driver, SessionUser};
use super::RegistryAccess;
use crate::net::shared::Shared;
use reelfall_balancer::interface::Time;
use reelfall_registry_client::registration::{EntryData, Registration, Report};
use reelfall_registry_client::session::{Event, Session};
use reelfall_registry_client::wire::{Acl, Op};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// This node's entry in one registry.
pub struct OwnEntry {
    wanted: Cell<Wanted>,
    changed: Notify,
    withdrawn: Notify,
    done: Cell<bool>,
}

#[derive(Clone, Copy, PartialEq)]
enum Wanted {
    Pending,
    Published,
    Withdrawn,
}

impl OwnEntry {
    /// Starts the task that keeps the entry.
    pub fn keep(
        shared: &Rc<Shared>,
        access: RegistryAccess,
        path: String,
        data: EntryData,
        guarded: bool,
    ) -> Rc<OwnEntry> {
        let entry = Rc::new(OwnEntry {
            wanted: Cell::new(Wanted::Pending),
            changed: Notify::new(),
            withdrawn: Notify::new(),
            done: Cell::new(false),
        });
        let acl = if guarded {
            vec![Acl::creator(), Acl::read_only()]
        } else {
            vec![Acl::open()]
        };
        let registration = Registration::new(path.clone(), data, acl);
        let user = EntryKeeper {
            entry: entry.clone(),
            shared: shared.clone(),
            path,
            registration: RefCell::new(registration),
        };
        let driver = Driver::new(&access, user, shared.clock);
        let keeping = entry.clone();
        tokio::task::spawn_local(async move {
            driver.run(&keeping.changed).await;
            keeping.done.set(true);
            keeping.withdrawn.notify_one();
        });
        entry
    }

    /// Registers the node: it is ready.
    pub fn publish(&self) {
        if self.wanted.get() == Wanted::Pending {
            self.wanted.set(Wanted::Published);
            self.changed.notify_one();
        }
    }

    /// Removes the entry: the node is shutting down. Waits until it is removed, but not for long.
    pub async fn withdraw(&self, within: Duration) {
        self.wanted.set(Wanted::Withdrawn);
        self.changed.notify_one();
        if !self.done.get() {
            let _ = tokio::time::timeout(within, self.withdrawn.notified()).await;
        }
    }
}

struct EntryKeeper {
    entry: Rc<OwnEntry>,
    shared: Rc<Shared>,
    path: String,
    registration: RefCell<Registration>,
}

impl SessionUser for EntryKeeper {
    fn handle_event(&mut self, now: Time, session: &Session, event: &Event) {
        self.registration
            .get_mut()
            .handle_event(now, session.id(), event);
    }

    fn next_request(&mut self) -> Option<(u64, Op)> {
        self.registration.get_mut().next_request()
    }

    fn tick(&mut self, now: Time, _session: &Session) {
        let registration = self.registration.get_mut();
        match self.entry.wanted.get() {
            Wanted::Pending => {}
            Wanted::Published => registration.register(),
            Wanted::Withdrawn => registration.deregister(),
        }
        registration.tick(now);
    }

    fn deadline(&self) -> Time {
        self.registration.borrow().deadline()
    }

    fn events_handled(&mut self, _now: Time) {
        let registration = self.registration.get_mut();
        let Some(report) = registration.next_report() else {
            return;
        };
        let (log, path) = (&self.shared.log, &self.path);
        match report {
            Report::Registered => log.write_line(format_args!("own entry {path}: registered")),
            Report::PathTaken(_) => log.write_line(format_args!(
                "own entry {path}: registered by another owner"
            )),
            Report::Superseded => log.write_line(format_args!(
                "own entry {path}: registered by a later run of this node"
            )),
            Report::Refused(why) => log.write_line(format_args!("own entry {path}: {why}")),
        }
    }

    fn is_done(&self) -> bool {
        self.entry.wanted.get() == Wanted::Withdrawn && self.registration.borrow().is_deregistered()
    }
}
