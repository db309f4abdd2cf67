//! Leases over the fleet's socket, and a keeper's storage on a thread of its own. The decisions are made by
//! [`reelfall_lease`]; this module sends, schedules and writes. Started by [`crate::standalone`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `admin` | management requests that concern leases |
//! | `call` | the periodic calls of a lease's holder |
//! | `disk` | the thread that writes a keeper's storage folder |
//! | `dispatch` | messages and disk events to the state machines, and their effects back |

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
use reelfall_lease::token::{InvalidLeaseName, LeaseName, Operation};
use reelfall_lease::Micros;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, VecDeque};
use std::hash::BuildHasher;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, Notify};

/// A lease that was released for a while is acquired again after so many times its length.
const LENGTHS_UNTIL_REACQUIRED: u64 = 2;
/// The shortest sleep of the event loop, in microseconds.
const MIN_SLEEP: Micros = 1_000;
/// The longest sleep of the event loop, in microseconds.
const MAX_SLEEP: Micros = 1_000_000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Parts per million in a whole.
const PPM: f64 = 1e6;

/// Length of a group identifier, in bytes.
const GROUP_ID_LEN: usize = 8;

/// Why the leases can't be started.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// The thread of the keeper's storage can't be started.
    #[error("leases: {0}")]
    StorageThread(#[source] io::Error),
    /// A call has no valid lease name.
    #[error("leases: call `{name}`: {source}")]
    InvalidCallName {
        /// The name of the call.
        name: String,
        /// What is wrong with it.
        source: InvalidLeaseName,
    },
}

/// The identifier of all nodes with the same keepers in the same order.
///
/// Majorities of two different lists of keepers need not intersect, so each could have a holder of its own. With this
/// identifier in each message, a node counts in the group of its own list alone.
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

/// This node's leases, and its keeper if it is one.
pub struct Leases {
    fleet: Rc<FleetRuntime>,
    keepers: Vec<String>,
    /// The first bytes of each message.
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
    /// Number of random numbers so far.
    random_count: Cell<u64>,
    log: Log,
}

impl Leases {
    /// Starts the leases, and the keeper with its storage if this node is one.
    ///
    /// # Errors
    /// If the storage thread can't be started, or a call has no valid name. A folder that can't be used now is no error: it
    /// is opened again later.
    pub fn start(
        fleet: &Rc<FleetRuntime>,
        fleet_settings: &model::Fleet,
        settings: &model::Leases,
    ) -> Result<Rc<Leases>, LeaseError> {
        let (sender, disk_events) = mpsc::unbounded_channel();
        let local_keeper = LocalKeeper::start(&fleet_settings.node, settings, sender)?;
        let leases = Rc::new(Leases::new(fleet, settings, local_keeper));
        leases.receive_messages();
        tokio::task::spawn_local(leases.clone().run(disk_events));
        for call in &settings.calls {
            leases.start_call(call)?;
        }
        Ok(leases)
    }

    fn new(
        fleet: &Rc<FleetRuntime>,
        settings: &model::Leases,
        local_keeper: Option<LocalKeeper>,
    ) -> Leases {
        let margins = Margins {
            drift_ppm: (settings.drift * PPM).ceil() as u32,
        };
        let length = (settings.duration * MICROS_PER_SECOND) as Micros;
        Leases {
            fleet: fleet.clone(),
            keepers: settings.keepers.clone(),
            group_id: group_id(&settings.keepers),
            config: Config {
                margins,
                ..Config::new(settings.keepers.len(), length)
            },
            max_length: length,
            local_keeper,
            local_leases: RefCell::default(),
            loopback: RefCell::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            random: RandomState::new(),
            random_count: Cell::new(0),
            log: Log::default(),
        }
    }

    /// Acquires the lease of a call, and starts the task that calls while it is held.
    fn start_call(self: &Rc<Self>, call: &model::Call) -> Result<(), LeaseError> {
        let name = LeaseName::try_from(call.name.clone());
        let name = name.map_err(|source| LeaseError::InvalidCallName {
            name: call.name.clone(),
            source,
        })?;
        self.acquire(&name);
        tokio::task::spawn_local(call::run(self.clone(), name, call.clone()));
        Ok(())
    }

    fn now(&self) -> Micros {
        self.fleet.micros()
    }

    /// A new random number, uniform over all values.
    fn next_random(&self) -> u32 {
        self.random_count.set(self.random_count.get() + 1);
        self.random.hash_one(self.random_count.get()) as u32
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
        let leases = leases
            .values()
            .filter_map(|local| local.lease.deadline().or(local.reacquire_at));
        let keeper = self
            .local_keeper
            .iter()
            .filter_map(|local| local.keeper.borrow().as_ref().map(Keeper::deadline));
        leases.chain(keeper).min().unwrap_or(Micros::MAX)
    }

    fn tick(&self) {
        let now = self.now();
        for local in self.local_leases.borrow_mut().values_mut() {
            if local.reacquire_at.take_if(|at| *at <= now).is_some() {
                local.lease.acquire(now);
            }
            if local.lease.deadline().is_some_and(|due| due <= now) {
                local.lease.tick(now, self.next_random());
            }
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

    /// Acquires the lease, and renews it from then on.
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
            local.reacquire_at = Some(now + self.config.length * LENGTHS_UNTIL_REACQUIRED);
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
