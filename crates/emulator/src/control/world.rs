//! Distribution of configuration in a fleet: publishers, relays and nodes over a network, the changes that are published, and
//! when each node applies them. [`super::scenarios`] drives it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `machines` | machines that start, end and lose their disks |
//! | `lease` | which publisher holds the lease |
//! | `changes` | changes: requested, published, reverted |
//! | `tracking` | which nodes have applied a change, and the staleness that nodes state |
//! | `relays` | whether relays have all resources |
//! | `invariants` | invariants of the whole world |

mod changes;
mod invariants;
mod lease;
mod machines;
mod relays;
mod tracking;

pub use self::invariants::{check_agreement, check_bandwidth};
pub use self::lease::LEASE_DURATION;
pub use self::tracking::{Ages, ApplyTimes, TrackedChange};
pub use super::errors::{RelayProgress, RelaysBehind, WriteError};

use self::changes::RequestedChange;
use self::lease::LeaseState;
use super::clock::Clock;
use super::invariants::{has_same_content, InvariantChecker};
use super::layout::{Layout, LayoutError, PlacedLayout};
use super::links::Links;
use super::machine::{Disk, Machine};
use super::network::Network;
use super::resources::Resource;
use super::sizes::Sizes;
use super::tenant_subscriptions::TenantSubscriptions;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_distribution::resource::Name;
use reelfall_distribution::token_bucket::TRANSPORT_OVERHEAD_BYTES;
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// How often the lease and the changes that nodes have applied are looked at, in seconds.
const STEP: f64 = 0.25;
/// Number of resources that are published at once at the start.
const INITIAL_BATCH: usize = 500;
/// How long the initial resources may take to reach all relays, in seconds: 640,000 of them, 16 KiB per round trip between
/// regions.
const LOAD_TIMEOUT: f64 = 3_600.0;
/// Clocks that drift start within this range, in seconds.
const CLOCK_OFFSET_RANGE: f64 = 1_000.0;
/// Sets the random numbers of clocks apart from the others of the seed.
const CLOCK_SEED: u64 = 0xc10c;

/// Links that count headers as the distribution does.
pub fn links() -> Links {
    Links {
        overhead: TRANSPORT_OVERHEAD_BYTES,
        ..Links::default()
    }
}

/// Why a world can't be made.
#[derive(Clone, Debug, Error)]
pub enum WorldError {
    /// The system can't be placed.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// No publisher started to publish in time.
    #[error("no publisher writes")]
    NoPublisher,
    /// The initial resources were not published.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The initial resources did not reach all relays in time.
    #[error(transparent)]
    RelaysBehind(#[from] RelaysBehind),
}

/// Machines over a network, with what is known of their configuration.
pub struct World {
    /// The machines and their links.
    pub network: Network<Machine>,
    /// The roles of endpoints.
    pub layout: Layout,
    /// Violations of invariants.
    pub checker: InvariantChecker,
    /// Tenants that nodes have subscribed to.
    pub tenant_subscriptions: TenantSubscriptions,
    /// The staleness that nodes state, if it is compared with the true one.
    pub ages: Option<Ages>,
    /// The clock of each machine.
    clocks: Vec<Clock>,
    /// Disks of machines that have ended.
    disks: BTreeMap<u32, Disk>,
    lease: LeaseState,
    /// Changes that wait for a publisher.
    requested: VecDeque<RequestedChange>,
    /// Changes that not all nodes have applied.
    tracked: BTreeMap<Name, Vec<TrackedChange>>,
    /// Changes that all nodes have applied.
    completed: Vec<TrackedChange>,
    /// Number of bodies so far.
    bodies: u64,
    rng: Pcg64Mcg,
}

impl World {
    /// A world whose publishers and relays run and have every service's resources. Its nodes do not run yet.
    ///
    /// # Errors
    /// If the sizes are invalid, or the resources do not reach the relays.
    pub fn new(sizes: Sizes, links: Links, seed: u64) -> Result<World, WorldError> {
        World::with_drift(sizes, links, seed, 0.0)
    }

    /// The same with clocks of machines that run between `1 - drift` and `1 + drift` times as fast as the world's.
    ///
    /// # Errors
    /// As [`World::new`].
    pub fn with_drift(
        sizes: Sizes,
        links: Links,
        seed: u64,
        drift: f64,
    ) -> Result<World, WorldError> {
        let PlacedLayout { layout, topology } = Layout::place(sizes, "settings", seed)?;
        let clocks = clocks(topology.len(), seed, drift);
        let mut world = World {
            network: Network::new(topology, links, seed),
            layout,
            checker: InvariantChecker::default(),
            tenant_subscriptions: TenantSubscriptions::default(),
            ages: None,
            clocks,
            disks: BTreeMap::new(),
            lease: LeaseState::default(),
            requested: VecDeque::new(),
            tracked: BTreeMap::new(),
            completed: Vec::new(),
            bodies: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        let control_machines: Vec<u32> = world.layout.control_machines().collect();
        control_machines
            .into_iter()
            .for_each(|machine| world.start(machine));
        world.load()?;
        Ok(world)
    }

    /// Publishes all resources at one instant and waits until all relays have them.
    fn load(&mut self) -> Result<(), WorldError> {
        self.run_until(LOAD_TIMEOUT, |world| world.publishing_publisher().is_some())
            .ok_or(WorldError::NoPublisher)?;
        let resources: Vec<Resource> = self.layout.sizes.resources().collect();
        resources
            .chunks(INITIAL_BATCH)
            .try_for_each(|batch| self.publish(batch))?;
        let loaded = self.run_until(LOAD_TIMEOUT, World::relays_have_all);
        loaded.map(drop).ok_or_else(|| self.relays_behind().into())
    }

    /// Runs for this many seconds.
    pub fn run(&mut self, seconds: f64) {
        let end = self.network.now() + seconds;
        loop {
            self.maintain_lease();
            self.publish_requested();
            let remaining = end - self.network.now();
            if remaining <= 0.0 {
                return;
            }
            self.network.run(remaining.min(STEP));
            self.collect_applied();
            self.compare_ages();
        }
    }

    /// Runs until a condition holds; how long it took, or `None` if it does not hold within `timeout` seconds.
    pub fn run_until(&mut self, timeout: f64, condition: impl Fn(&World) -> bool) -> Option<f64> {
        let started_at = self.network.now();
        while !condition(self) {
            if self.network.now() - started_at >= timeout {
                return None;
            }
            self.run(STEP);
        }
        Some(self.network.now() - started_at)
    }

    /// Whether a node has applied what the publisher has.
    pub fn is_up_to_date(&self, node: u32) -> bool {
        let Some(publisher) = self.publisher() else {
            return false;
        };
        let Some(machine) = self.network.endpoint(node).and_then(Machine::as_node) else {
            return false;
        };
        let is_same = |name: &Name| has_same_content(publisher, machine, name);
        let has_services = self.layout.resources_of(node).iter().all(is_same);
        let mut tenants = self.tenant_subscriptions.of_node(node);
        has_services && tenants.all(|tenant| is_same(&Resource::Tenant(tenant).name()))
    }
}

/// The clocks of this many machines.
fn clocks(machines: usize, seed: u64, drift: f64) -> Vec<Clock> {
    if drift == 0.0 {
        return vec![Clock::TRUE; machines];
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ CLOCK_SEED);
    let clock = |_| {
        let rate = 1.0 + drift * rng.random_range(-1.0..=1.0);
        Clock {
            offset: rng.random_range(0.0..CLOCK_OFFSET_RANGE),
            rate,
        }
    };
    (0..machines).map(clock).collect()
}
