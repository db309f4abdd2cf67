//! Leases over the fleet's socket, with a keeper's storage on a thread of its own. The decisions are made by
//! [`reelfall_lease`]; this module sends messages, runs timers and writes to disk. Started by [`crate::standalone`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `admin` | management requests that concern leases |
//! | `call` | the periodic calls of a lease's holder |
//! | `disk` | the thread that writes a keeper's storage folder |
//! | `dispatch` | delivers messages to the state machines, and sends theirs |
//! | `group` | the identifier of the nodes with the same keepers |
//! | `local_keeper` | the keeper on this node and its storage |
//! | `local_lease` | a lease that this node holds or tries to acquire, and its call in progress |
//! | `random` | random numbers |
//! | `start` | the start of the leases, the keeper and the calls |

mod admin;
mod call;
mod disk;
mod dispatch;
mod group;
mod local_keeper;
mod local_lease;
mod random;
mod start;

pub use start::LeaseError;

use crate::fleet::FleetRuntime;
use crate::net::Log;
use disk::DiskEvent;
use group::GroupId;
use local_keeper::LocalKeeper;
use local_lease::{LocalLease, Release};
use random::RandomNumbers;
use reelfall_lease::holder::Config;
use reelfall_lease::keeper::Keeper;
use reelfall_lease::message::{ClientId, Message};
use reelfall_lease::token::{LeaseName, Operation};
use reelfall_lease::Micros;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// The shortest sleep of the event loop, in microseconds.
const MIN_SLEEP: Micros = 1_000;
/// The longest sleep of the event loop, in microseconds.
const MAX_SLEEP: Micros = 1_000_000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// This node's leases, and its keeper if it is one.
pub struct Leases {
    fleet: Rc<FleetRuntime>,
    keepers: Vec<String>,
    group_id: GroupId,
    config: Config,
    max_duration: Micros,
    local_keeper: Option<LocalKeeper>,
    local_leases: RefCell<BTreeMap<LeaseName, LocalLease>>,
    /// Messages of this node to itself.
    loopback: RefCell<VecDeque<Message>>,
    /// Wakes the event loop after a change.
    wake: Notify,
    /// Notified when a lease was acquired, released or lost.
    changed: Notify,
    random: RandomNumbers,
    log: Log,
}

impl Leases {
    fn now(&self) -> Micros {
        self.fleet.micros()
    }

    fn client_id(&self) -> ClientId {
        let me = self.fleet.local_node();
        ClientId {
            name: me.name,
            instance_id: me.incarnation.tag,
        }
    }

    /// Runs the event loop for as long as it is polled.
    async fn run(self: Rc<Self>, mut disk_events: mpsc::UnboundedReceiver<DiskEvent>) {
        loop {
            self.tick();
            let time_to_deadline = self.deadline().saturating_sub(self.now());
            let sleep = Duration::from_micros(time_to_deadline.clamp(MIN_SLEEP, MAX_SLEEP));
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.wake.notified() => {}
                Some(event) = disk_events.recv() => self.handle_disk_event(event),
            }
        }
    }

    fn deadline(&self) -> Micros {
        let leases = self.local_leases.borrow();
        let leases = leases.values().filter_map(LocalLease::deadline);
        let keeper = self
            .local_keeper
            .iter()
            .filter_map(|local| local.keeper.borrow().as_ref().map(Keeper::deadline));
        leases.chain(keeper).min().unwrap_or(Micros::MAX)
    }

    fn tick(&self) {
        let now = self.now();
        for local in self.local_leases.borrow_mut().values_mut() {
            local.tick(now, || self.random.next());
        }
        if let Some(local) = &self.local_keeper {
            let is_due =
                |keeper: &&mut Keeper| keeper.deadline() <= now && local.disk.has_capacity();
            if let Some(keeper) = local.keeper.borrow_mut().as_mut().filter(is_due) {
                keeper.tick(now);
            }
        }
        self.process_effects();
    }

    /// Starts to acquire the lease, which is renewed once it is acquired.
    fn acquire(&self, name: &LeaseName) {
        let now = self.now();
        let new = || LocalLease::new(name, self.config);
        let mut leases = self.local_leases.borrow_mut();
        leases
            .entry(name.clone())
            .or_insert_with(new)
            .lease
            .acquire(now);
        self.wake.notify_one();
    }

    /// Whether this node holds the lease at this moment.
    fn is_active(&self, name: &LeaseName) -> bool {
        let leases = self.local_leases.borrow();
        let local = leases.get(name);
        local.is_some_and(|local| local.lease.active(self.now()).is_some())
    }

    /// Waits until the lease is active.
    async fn wait_until_active(&self, name: &LeaseName) {
        loop {
            let changed = self.changed.notified();
            if self.is_active(name) {
                return;
            }
            changed.await;
        }
    }

    /// Releases the lease, so that another node can acquire it, and acquires it again later. It is released when the call that
    /// it guards has ended, if one is in progress.
    fn release_temporarily(&self, name: &LeaseName) {
        let now = self.now();
        if let Some(local) = self.local_leases.borrow_mut().get_mut(name) {
            local.request_release(Release::Temporary, now, &self.config);
        }
        self.process_effects();
        self.wake.notify_one();
    }

    /// Begins a call that the lease guards, and attaches its fencing token; `None` if the lease is not active at this moment,
    /// or is about to be released. The lease is kept until [`Leases::end_call`].
    fn begin_call<T>(&self, name: &LeaseName, payload: T) -> Option<Operation<T>> {
        let now = self.now();
        let mut leases = self.local_leases.borrow_mut();
        let active = leases.get_mut(name)?.begin_call(now)?;
        Some(active.operation(payload))
    }

    /// Ends the call that the lease guards, if one has begun, and makes the release that has waited for it.
    fn end_call(&self, name: &LeaseName) {
        let now = self.now();
        if let Some(local) = self.local_leases.borrow_mut().get_mut(name) {
            local.end_call(now, &self.config);
        }
        self.process_effects();
        self.changed.notify_waiters();
        self.wake.notify_one();
    }

    /// Releases all leases permanently, as the node shuts down: each at once, or when the call that it guards has ended, which
    /// is waited for.
    pub async fn leave(&self) {
        let now = self.now();
        for local in self.local_leases.borrow_mut().values_mut() {
            local.request_release(Release::Permanent, now, &self.config);
        }
        self.process_effects();
        loop {
            let changed = self.changed.notified();
            if !self.is_any_in_use() {
                return;
            }
            changed.await;
        }
    }

    /// Whether a call that the lease guards is in progress.
    fn is_in_use(&self, name: &LeaseName) -> bool {
        let leases = self.local_leases.borrow();
        leases.get(name).is_some_and(LocalLease::is_in_use)
    }

    fn is_any_in_use(&self) -> bool {
        let leases = self.local_leases.borrow();
        leases.values().any(LocalLease::is_in_use)
    }
}
