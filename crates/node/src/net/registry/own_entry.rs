//! The entry that this node has in a registry, from when it is wanted until the node ends.

use super::driver::{Driver, SessionUser};
use super::RegistryAccess;
use crate::net::shared::Shared;
use reelfall_core::interface::Time;
use reelfall_membership::own::{self, Own};
use reelfall_membership::session::{Event, Session};
use reelfall_membership::wire::{Acl, Op};
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
    /// Keeps an entry from when it is wanted until it is not.
    pub fn keep(
        shared: &Rc<Shared>, access: RegistryAccess, path: String, data: own::Data, guarded: bool,
    ) -> Rc<OwnEntry> {
        let entered = Rc::new(OwnEntry {
            wanted: Cell::new(Wanted::Pending),
            changed: Notify::new(),
            withdrawn: Notify::new(),
            done: Cell::new(false),
        });
        let acl = if guarded { vec![Acl::creator(), Acl::read_only()] } else { vec![Acl::open()] };
        let own = Own::new(path.clone(), data, acl);
        let user =
            EntryKeeper { entered: entered.clone(), shared: shared.clone(), path, own: RefCell::new(own) };
        let driver = Driver::new(&access, user, shared.clock);
        let keeping = entered.clone();
        tokio::task::spawn_local(async move {
            driver.run(&keeping.changed).await;
            keeping.done.set(true);
            keeping.withdrawn.notify_one();
        });
        entered
    }

    /// The node is ready: the entry may stand.
    pub fn publish(&self) {
        if self.wanted.get() == Wanted::Pending {
            self.wanted.set(Wanted::Published);
            self.changed.notify_one();
        }
    }

    /// The node is on its way out: the entry goes. Waits until it has, but not for long.
    pub async fn withdraw(&self, within: Duration) {
        self.wanted.set(Wanted::Withdrawn);
        self.changed.notify_one();
        if !self.done.get() {
            let _ = tokio::time::timeout(within, self.withdrawn.notified()).await;
        }
    }
}

struct EntryKeeper {
    entered: Rc<OwnEntry>,
    shared: Rc<Shared>,
    path: String,
    own: RefCell<Own>,
}

impl SessionUser for EntryKeeper {
    fn event(&mut self, now: Time, session: &Session, event: &Event) {
        self.own.get_mut().event(now, session.id(), event);
    }

    fn op(&mut self) -> Option<(u64, Op)> {
        self.own.get_mut().op()
    }

    fn tick(&mut self, now: Time, _session: &Session) {
        let own = self.own.get_mut();
        match self.entered.wanted.get() {
            Wanted::Pending => {}
            Wanted::Published => own.want(),
            Wanted::Withdrawn => own.withdraw(),
        }
        own.tick(now);
    }

    fn deadline(&self) -> Time {
        self.own.borrow().deadline()
    }

    fn events_handled(&mut self, _now: Time) {
        let own = self.own.get_mut();
        let Some(report) = own.report() else { return };
        let (log, path) = (&self.shared.log, &self.path);
        match report {
            own::Report::Stands => log.write_line(format_args!("own entry {path}: registered")),
            own::Report::Taken(_) => {
                log.write_line(format_args!("own entry {path}: registered by another owner"))
            }
            own::Report::Superseded => {
                log.write_line(format_args!("own entry {path}: registered by a later run of this node"))
            }
            own::Report::Refused(why) => log.write_line(format_args!("own entry {path}: {why}")),
        }
    }

    fn is_done(&self) -> bool {
        self.entered.wanted.get() == Wanted::Withdrawn && self.own.borrow().is_withdrawn()
    }
}
