//! Configuration distribution in a fleet: publishers, relays and nodes on a network, the changes that are published, and when
//! each node applies them. [`super::scenarios`] run in it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `machines` | start and end of machines, and loss of their disks |
//! | `lease` | which publisher holds the lease |
//! | `changes` | requesting, publishing and reverting changes |
//! | `tracking` | which nodes have applied a change, and the staleness that nodes report |
//! | `relays` | whether relays have all resources |
//! | `invariants` | invariants that scenarios check at their end |

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

/// Interval at which the lease is maintained and the changes that nodes have applied are collected, in seconds.
const STEP: f64 = 0.25;
/// Number of resources in each batch that is published at the start.
const INITIAL_BATCH: usize = 500;
/// How long the initial resources may take to reach all relays, in seconds: up to 640,000 resources are transferred at 16 KiB
/// per round trip between regions.
const LOAD_TIMEOUT: f64 = 3_600.0;
/// Range of the initial offsets of drifting clocks, in seconds.
const CLOCK_OFFSET_RANGE: f64 = 1_000.0;
/// Separates the random numbers of clocks from others that are derived from the same seed.
const CLOCK_SEED: u64 = 0xc10c;

/// Default links, with the header overhead that the distribution assumes in its own traffic limits.
pub fn links() -> Links {
    Links {
        overhead: TRANSPORT_OVERHEAD_BYTES,
        ..Links::default()
    }
}

/// Why a world could not be created.
#[derive(Clone, Debug, Error)]
pub enum WorldError {
    /// The endpoints can't be placed.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// No publisher was ready to publish in time.
    #[error("no publisher became ready to publish")]
    NoPublisher,
    /// The initial resources were not published.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The initial resources did not reach all relays in time.
    #[error(transparent)]
    RelaysBehind(#[from] RelaysBehind),
}

/// Machines on a network, with the state by which the distribution of changes is tracked and checked.
pub struct World {
    /// The machines and their links.
    pub network: Network<Machine>,
    /// The endpoints by role.
    pub layout: Layout,
    /// Records violations of invariants.
    pub checker: InvariantChecker,
    /// Subscriptions of nodes to tenants.
    pub tenant_subscriptions: TenantSubscriptions,
    /// Comparison of the staleness that nodes report with the actual one; `None` disables the comparison.
    pub ages: Option<Ages>,
    /// The clock of each machine, by endpoint.
    clocks: Vec<Clock>,
    /// Disks of machines that do not run, by endpoint.
    disks: BTreeMap<u32, Disk>,
    lease: LeaseState,
    /// Requested changes that no publisher has published yet.
    requested: VecDeque<RequestedChange>,
    /// Published changes that not all nodes have applied.
    tracked: BTreeMap<Name, Vec<TrackedChange>>,
    /// Published changes that all nodes have applied.
    completed: Vec<TrackedChange>,
    /// Number of bodies generated so far, which makes each body unique.
    bodies: u64,
    rng: Pcg64Mcg,
}

impl World {
    /// Creates a world whose publishers and relays run and have all resources. Its nodes do not run yet.
    ///
    /// # Errors
    /// If the sizes are invalid, or the resources do not reach the relays.
    pub fn new(sizes: Sizes, links: Links, seed: u64) -> Result<World, WorldError> {
        World::with_drift(sizes, links, seed, 0.0)
    }

    /// Like [`World::new`], but the clocks of machines run between `1 - drift` and `1 + drift` times as fast as simulation time.
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

    /// Publishes all resources at once and waits until all relays have them.
    fn load(&mut self) -> Result<(), WorldError> {
        self.run_until(LOAD_TIMEOUT, |world| world.ready_publisher().is_some())
            .ok_or(WorldError::NoPublisher)?;
        let resources: Vec<Resource> = self.layout.sizes.resources().collect();
        resources
            .chunks(INITIAL_BATCH)
            .try_for_each(|batch| self.publish(batch))?;
        let loaded = self.run_until(LOAD_TIMEOUT, World::relays_are_up_to_date);
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

    /// Runs until a condition holds. Returns how long that took, in seconds, or `None` if it does not hold within `timeout`
    /// seconds.
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

    /// Whether a node has applied the publisher's content of all its resources.
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

/// Samples the clocks of this many machines, whose rates differ from 1 by up to `drift`.
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
