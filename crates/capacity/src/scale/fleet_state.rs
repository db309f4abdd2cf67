//! The state that the threads of [`network`](super::network) share: the nodes, the partitions between zones, and the
//! measurements.

use super::counters::Counters;
use super::discovery_stub::{DiscoveryStub, ListMessage};
use super::sampler::Sampler;
use super::simulated_node::NodeConfig;
use reelfall_testbed::Result;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Zones that nodes are assigned to in turn.
pub const ZONES: usize = 6;
/// Number of zones in each region: zones 0 to 2 form the first region, 3 to 5 the second.
pub const ZONES_PER_REGION: usize = 3;
/// Number of nodes through which others join, one in each zone.
pub const SEEDS: usize = ZONES;
/// Marks a port that belongs to no node.
const NO_ZONE: u8 = u8::MAX;
/// Bits of [`FleetState::partitions`] for each zone.
const BITS_PER_ZONE: usize = 8;

/// The state of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum NodeState {
    /// The process runs.
    Running = 0,
    /// The process is suspended; datagrams queue in its socket.
    Frozen = 1,
    /// There is no process.
    Stopped = 2,
}

/// One simulated node, as all threads see it.
pub struct NodeSlot {
    /// The address of its socket.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: usize,
    /// Traffic counters of the node.
    pub counters: Counters,
    state: AtomicU8,
    /// Durations of the bans that an operator requested at this node, in seconds.
    bans: Mutex<Vec<f64>>,
}

impl NodeSlot {
    /// Creates the slot of a running node.
    pub fn new(address: SocketAddr, zone: usize) -> NodeSlot {
        NodeSlot {
            address,
            zone,
            counters: Counters::default(),
            state: AtomicU8::new(NodeState::Running as u8),
            bans: Mutex::default(),
        }
    }

    /// The state of its process.
    pub fn state(&self) -> NodeState {
        match self.state.load(Ordering::Relaxed) {
            0 => NodeState::Running,
            1 => NodeState::Frozen,
            _ => NodeState::Stopped,
        }
    }

    /// Starts, suspends or stops its process.
    pub fn set_state(&self, state: NodeState) {
        self.state.store(state as u8, Ordering::Relaxed);
    }

    /// Requests a ban at this node for `seconds` seconds.
    pub fn request_ban(&self, seconds: f64) {
        self.bans
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(seconds);
    }

    /// Takes the durations of the requested bans, in seconds.
    pub fn take_bans(&self) -> Vec<f64> {
        std::mem::take(&mut *self.bans.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Times from a change until a node applied it, in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PropagationTimes {
    /// Times of bans.
    pub bans: Vec<f64>,
    /// Times of list updates.
    pub list_updates: Vec<f64>,
}

/// The state of a simulated fleet.
pub struct FleetState {
    started: Instant,
    /// The nodes.
    pub nodes: Vec<NodeSlot>,
    /// The source of endpoint lists.
    pub discovery: Arc<DiscoveryStub>,
    /// Snapshots of all lists, for nodes that start.
    snapshots: RwLock<Arc<Vec<ListMessage>>>,
    /// Number of the current window; peaks are reset when it changes.
    pub window: AtomicU32,
    /// Start of the window, in microseconds of the run's clock. Older bans are ignored, as nodes that start receive them too.
    pub window_started_us: AtomicU64,
    /// Tells all threads to stop.
    pub is_stopping: AtomicBool,
    /// Samples datagrams by kind.
    pub sampler: Sampler,
    /// Propagation times, by thread.
    pub propagation: Vec<Mutex<PropagationTimes>>,
    /// Processor time of each thread, in microseconds.
    pub cpu_us: Vec<AtomicU64>,
    /// A bit for each pair of zones that can't reach each other.
    partitions: AtomicU64,
    /// The zone behind each port.
    zones_by_port: Vec<AtomicU8>,
    /// The seed of all nodes.
    pub seed: u64,
}

impl FleetState {
    /// Creates the state of a run that starts now, with these nodes, driven by `threads` threads.
    ///
    /// # Errors
    /// If the sampler's thread can't be started.
    pub fn new(
        nodes: Vec<NodeSlot>,
        discovery: Arc<DiscoveryStub>,
        threads: usize,
        seed: u64,
    ) -> Result<FleetState> {
        let state = FleetState {
            started: Instant::now(),
            snapshots: RwLock::new(Arc::new(take_snapshots(&discovery, 0))),
            nodes,
            discovery,
            window: AtomicU32::new(0),
            window_started_us: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            sampler: Sampler::start()?,
            propagation: (0..threads).map(|_| Mutex::default()).collect(),
            cpu_us: (0..threads).map(|_| AtomicU64::new(0)).collect(),
            partitions: AtomicU64::new(0),
            zones_by_port: (0..=u16::MAX).map(|_| AtomicU8::new(NO_ZONE)).collect(),
            seed,
        };
        for node in &state.nodes {
            state.set_zone(node.address, node.zone);
        }
        Ok(state)
    }

    /// Returns the run's clock: the seconds since the run started.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// The run's clock in microseconds.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant of a time of the run's clock.
    pub fn instant(&self, at: f64) -> Instant {
        self.started + Duration::from_secs_f64(at.max(0.0))
    }

    /// The configuration of a node.
    pub fn node_config(&self, index: usize) -> NodeConfig {
        let node = &self.nodes[index];
        NodeConfig {
            name: node_name(index),
            zone: zone_name(node.zone),
            address: node.address,
            seeds: self.seeds(),
            fleet_size: u32::try_from(self.nodes.len()).unwrap_or(u32::MAX),
        }
    }

    /// The addresses through which nodes join.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .take(SEEDS)
            .map(|node| node.address)
            .collect()
    }

    /// Returns whether a zone and an address reach each other. Addresses in no zone are reachable from all zones.
    pub fn is_reachable(&self, zone: usize, other: SocketAddr) -> bool {
        let partitions = self.partitions.load(Ordering::Relaxed);
        if partitions == 0 {
            return true;
        }
        let other_zone = self.zones_by_port[usize::from(other.port())].load(Ordering::Relaxed);
        other_zone == NO_ZONE || partitions & partition_bit(zone, usize::from(other_zone)) == 0
    }

    /// Assigns an address to a zone.
    pub fn set_zone(&self, address: SocketAddr, zone: usize) {
        self.zones_by_port[usize::from(address.port())].store(zone as u8, Ordering::Relaxed);
    }

    /// Partitions two zones, or ends their partition.
    pub fn set_partitioned(&self, zone: usize, other_zone: usize, is_partitioned: bool) {
        let bit = partition_bit(zone, other_zone);
        if is_partitioned {
            self.partitions.fetch_or(bit, Ordering::Relaxed);
        } else {
            self.partitions.fetch_and(!bit, Ordering::Relaxed);
        }
    }

    /// Takes snapshots of all lists for nodes that start from now on.
    pub fn refresh_snapshots(&self) {
        let snapshots = Arc::new(take_snapshots(&self.discovery, self.now_us()));
        *self
            .snapshots
            .write()
            .unwrap_or_else(PoisonError::into_inner) = snapshots;
    }

    /// Snapshots of all lists, for nodes that start.
    pub fn snapshots(&self) -> Arc<Vec<ListMessage>> {
        self.snapshots
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Returns the name of a node.
pub fn node_name(index: usize) -> String {
    format!("hollow-{index}")
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The bit of a pair of zones, in either order.
fn partition_bit(zone: usize, other_zone: usize) -> u64 {
    1 << (zone.min(other_zone) * BITS_PER_ZONE + zone.max(other_zone))
}

fn take_snapshots(discovery: &DiscoveryStub, now_us: u64) -> Vec<ListMessage> {
    (0..discovery.list_count())
        .map(|list| discovery.snapshot(list, now_us))
        .collect()
}
