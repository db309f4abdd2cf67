//! This node's own entry in a registry: registered when the node is ready, and removed when it shuts down.

use super::driver::{Driver, SessionUser};
use super::RegistryAccess;
use crate::net::shared::Shared;
use reelfall_balancer::interface::Time;
use reelfall_registry_client::registration::{EntryData, Registration, Report};
use reelfall_registry_client::session::{Event, Session, TokenRequest};
use reelfall_registry_client::wire::Acl;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// This node's entry in one registry, maintained by a task.
pub struct OwnEntry {
    target: Cell<TargetState>,
    /// Whether the process is about to exit.
    is_in_haste: Cell<bool>,
    /// Notified when the target has changed, or the process is about to exit.
    target_changed: Notify,
    /// Notified when the session has been closed.
    closed: Notify,
    is_closed: Cell<bool>,
}

/// The target state of the entry.
#[derive(Clone, Copy, PartialEq)]
enum TargetState {
    /// Not registered yet.
    Pending,
    /// Registered.
    Published,
    /// Removed.
    Withdrawn,
}

impl OwnEntry {
    /// Starts the task that maintains the entry. With `guarded`, only this node may change it.
    pub fn maintain(
        shared: &Rc<Shared>,
        access: RegistryAccess,
        path: String,
        data: EntryData,
        guarded: bool,
    ) -> Rc<OwnEntry> {
        let entry = Rc::new(OwnEntry {
            target: Cell::new(TargetState::Pending),
            is_in_haste: Cell::new(false),
            target_changed: Notify::new(),
            closed: Notify::new(),
            is_closed: Cell::new(false),
        });
        let acl = if guarded {
            vec![Acl::creator(), Acl::read_only()]
        } else {
            vec![Acl::open()]
        };
        let registration = Registration::new(path.clone(), data, acl);
        let user = EntryMaintainer {
            entry: entry.clone(),
            shared: shared.clone(),
            path,
            registration: RefCell::new(registration),
        };
        let driver = Driver::new(&access, user, shared.clock);
        let maintained = entry.clone();
        tokio::task::spawn_local(async move {
            driver.run(&maintained.target_changed).await;
            maintained.is_closed.set(true);
            maintained.closed.notify_one();
        });
        entry
    }

    /// Registers the node; called when it is ready.
    pub fn publish(&self) {
        if self.target.get() == TargetState::Pending {
            self.target.set(TargetState::Published);
            self.target_changed.notify_one();
        }
    }

    /// Starts to remove the entry, which the task does as soon as the registry responds.
    pub fn withdraw(&self) {
        self.target.set(TargetState::Withdrawn);
        self.target_changed.notify_one();
    }

    /// Makes haste with the removal, since the process is about to exit: see [`Session::make_haste`].
    pub fn make_haste(&self) {
        self.is_in_haste.set(true);
        self.target_changed.notify_one();
    }

    /// Whether the entry is removed and its session is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Waits until the entry is removed, after [`OwnEntry::withdraw`], and its session is closed.
    pub async fn closed(&self) {
        while !self.is_closed() {
            self.closed.notified().await;
        }
    }
}

/// Registers and deregisters the entry as its target state requires.
struct EntryMaintainer {
    entry: Rc<OwnEntry>,
    shared: Rc<Shared>,
    path: String,
    registration: RefCell<Registration>,
}

impl SessionUser for EntryMaintainer {
    fn handle_event(&mut self, now: Time, session: &Session, event: &Event) {
        self.registration
            .get_mut()
            .handle_event(now, session.id(), event);
    }

    fn next_request(&mut self) -> Option<TokenRequest> {
        self.registration.get_mut().next_request()
    }

    fn tick(&mut self, now: Time, _session: &Session) {
        let registration = self.registration.get_mut();
        match self.entry.target.get() {
            TargetState::Pending => {}
            TargetState::Published => registration.register(),
            TargetState::Withdrawn => registration.deregister(),
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
            Report::Rejected(why) => log.write_line(format_args!("own entry {path}: {why}")),
        }
    }

    fn is_in_haste(&self) -> bool {
        self.entry.is_in_haste.get()
    }

    fn is_done(&self) -> bool {
        self.entry.target.get() == TargetState::Withdrawn
            && self.registration.borrow().is_deregistered()
    }
}
