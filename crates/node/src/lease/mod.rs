//! Leases over the fleet's socket, and a keeper's storage on a thread of its own. The decisions are made by
//! [`reelfall_lease`]; this module sends, schedules and writes.

mod admin;
mod call;
mod disk;
mod dispatch;

use crate::fleet::FleetRuntime;
use crate::net::Log;
use disk::{Disk, DiskEvent};
use reelfall_config::model;
use reelfall_lease::clock::Margins;
use reelfall_lease::holder::{Config, Lease};
use reelfall_lease::keeper::Keeper;
use reelfall_lease::message::{ClientId, Message};
use reelfall_lease::token::{LeaseName, Operation};
use reelfall_lease::Micros;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, VecDeque};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// A lease that an operator released is acquired again after so many times its length.
const LENGTHS_UNTIL_REACQUIRED: u32 = 2;
/// The shortest and the longest rest of the event loop, in microseconds.
const REST: (Micros, Micros) = (1_000, 1_000_000);
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Length of a group identifier, in bytes.
const GROUP_ID_LEN: usize = 8;

/// The identifier of all nodes with the same keepers in the same order.
///
/// Guards against files that name other keepers: two majorities of two lists need not intersect, and each would have a
/// holder of its own. A process has one list, and with this identifier it counts in one group alone. Harm: nodes whose files
/// differ keep and hold nothing together.
fn group_id(keepers: &[String]) -> [u8; GROUP_ID_LEN] {
    let mut hasher = blake3::Hasher::new();
    for name in keepers {
        hasher
            .update(&(name.len() as u64).to_le_bytes())
            .update(name.as_bytes());
    }
    hasher
        .finalize()
        .as_bytes()
        .first_chunk()
        .copied()
        .unwrap_or_default()
}

/// The keeper on this node, and its storage.
struct LocalKeeper {
    /// Its place in the list of keepers.
    place: usize,
    disk: Disk,
    /// `None` while the storage folder can't be used.
    keeper: RefCell<Option<Keeper>>,
    /// The opening of the folder that the keeper belongs to.
    opening: Cell<u64>,
    /// The last failure or status that was logged.
    last_status: RefCell<String>,
    /// Requests that were dropped while too many writes waited for the disk.
    dropped_requests: Cell<u64>,
}

/// A lease that this node may hold.
struct LocalLease {
    lease: Lease,
    /// When it is acquired again after a release.
    reacquire_at: Option<Micros>,
}

/// This node's leases, and its keeper if it is one. See the module.
pub struct Leases {
    fleet: Rc<FleetRuntime>,
    keepers: Vec<String>,
    /// Precedes each message.
    group_id: [u8; GROUP_ID_LEN],
    config: Config,
    max_length: Micros,
    local_keeper: Option<LocalKeeper>,
    local_leases: RefCell<BTreeMap<LeaseName, LocalLease>>,
    /// Messages of this node to itself.
    loopback: RefCell<VecDeque<Message>>,
    /// There may be something to do.
    wake: Notify,
    /// A lease was acquired, released or lost.
    changed: Notify,
    random: RandomState,
    /// Counts random numbers.
    drawn: Cell<u64>,
    log: Log,
}

impl Leases {
    /// Starts the leases, and the keeper with its storage if this node is one.
    ///
    /// # Errors
    /// If the node can't have what it needs. A folder that can't be used now is no error: it is tried again.
    pub fn start(
        fleet: &Rc<FleetRuntime>,
        fleet_settings: &model::Fleet,
        settings: &model::Leases,
    ) -> Result<Rc<Leases>, String> {
        let margins = Margins {
            drift_ppm: (settings.drift * 1e6).ceil() as u32,
        };
        let length = (settings.duration * MICROS_PER_SECOND) as Micros;
        let (sender, disk_events) = mpsc::unbounded_channel();
        let leases = Rc::new(Leases {
            fleet: fleet.clone(),
            keepers: settings.keepers.clone(),
            group_id: group_id(&settings.keepers),
            config: Config {
                margins,
                ..Config::new(settings.keepers.len(), length)
            },
            max_length: length,
            local_keeper: LocalKeeper::start(&fleet_settings.node, settings, sender)?,
            local_leases: RefCell::default(),
            loopback: RefCell::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            random: RandomState::new(),
            drawn: Cell::new(0),
            log: Log::default(),
        });
        leases.receive_messages();
        tokio::task::spawn_local(leases.clone().run(disk_events));
        for call in &settings.calls {
            let name = LeaseName::try_from(call.name.clone())
                .map_err(|e| format!("leases: call `{}`: {e}", call.name))?;
            leases.acquire(&name);
            tokio::task::spawn_local(call::run(leases.clone(), name, call.clone()));
        }
        Ok(leases)
    }

    fn now(&self) -> Micros {
        self.fleet.micros()
    }

    /// A new random number, uniform over all values.
    fn draw(&self) -> u32 {
        self.drawn.set(self.drawn.get() + 1);
        self.random.hash_one(self.drawn.get()) as u32
    }

    /// A random tag for a new storage folder.
    fn random_tag(&self) -> u64 {
        self.random.hash_one("storage") | 1
    }

    fn client_id(&self) -> ClientId {
        let me = self.fleet.me();
        ClientId {
            name: me.name,
            tag: me.incarnation.tag,
        }
    }

    /// Does what is due for as long as it is polled.
    async fn run(self: Rc<Self>, mut disk_events: mpsc::UnboundedReceiver<DiskEvent>) {
        loop {
            self.tick();
            let rest = self
                .deadline()
                .saturating_sub(self.now())
                .clamp(REST.0, REST.1);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_micros(rest)) => {}
                () = self.wake.notified() => {}
                Some(event) = disk_events.recv() => self.handle_disk_event(event),
            }
        }
    }

    fn deadline(&self) -> Micros {
        let leases = self.local_leases.borrow();
        let leases = leases
            .values()
            .filter_map(|local| local.lease.deadline().or(local.reacquire_at));
        let keeper = self
            .local_keeper
            .iter()
            .filter_map(|k| k.keeper.borrow().as_ref().map(Keeper::deadline));
        leases.chain(keeper).min().unwrap_or(Micros::MAX)
    }

    fn tick(&self) {
        let now = self.now();
        for local in self.local_leases.borrow_mut().values_mut() {
            if local.reacquire_at.take_if(|at| *at <= now).is_some() {
                local.lease.acquire(now);
            }
            if local.lease.deadline().is_some_and(|due| due <= now) {
                local.lease.tick(now, self.draw());
            }
        }
        if let Some(local) = &self.local_keeper {
            let is_due = |k: &&mut Keeper| k.deadline() <= now && local.disk.has_room();
            if let Some(keeper) = local.keeper.borrow_mut().as_mut().filter(is_due) {
                keeper.tick(now);
            }
        }
        self.process_effects();
    }

    /// Acquires the lease, and keeps it.
    fn acquire(&self, name: &LeaseName) {
        let now = self.now();
        let new = || LocalLease {
            lease: Lease::new(name.clone(), self.config),
            reacquire_at: None,
        };
        let mut leases = self.local_leases.borrow_mut();
        leases
            .entry(name.clone())
            .or_insert_with(new)
            .lease
            .acquire(now);
        self.wake.notify_one();
    }

    /// An operation that is performed under the lease, if that is held at this moment.
    pub fn operation<T>(&self, name: &LeaseName, payload: T) -> Option<Operation<T>> {
        let leases = self.local_leases.borrow();
        let operation = leases
            .get(name)?
            .lease
            .held(self.now())
            .map(|held| held.operation(payload));
        operation
    }

    /// Waits until the lease is held.
    async fn until_held(&self, name: &LeaseName) {
        loop {
            let changed = self.changed.notified();
            if self.operation(name, ()).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Releases the lease for a while, so that another node acquires it; returns whether it was held.
    fn release_for_a_while(&self, name: &LeaseName) -> bool {
        let now = self.now();
        let was_held = self.operation(name, ()).is_some();
        if let Some(local) = self.local_leases.borrow_mut().get_mut(name) {
            local.lease.release(now);
            local.reacquire_at =
                Some(now + self.config.length * u64::from(LENGTHS_UNTIL_REACQUIRED));
        }
        self.process_effects();
        self.wake.notify_one();
        was_held
    }

    /// Releases all leases for good, as the node shuts down.
    pub fn leave(&self) {
        let now = self.now();
        for local in self.local_leases.borrow_mut().values_mut() {
            local.lease.release(now);
            local.reacquire_at = None;
        }
        self.process_effects();
    }
}
