//! A fleet of simulated nodes on loopback sockets, driven by a few threads. [`single`](super::single) and
//! [`fleet`](super::fleet) start it, [`window`](super::window) measures it, [`faults`](super::faults) injects faults.

use super::counters::Totals;
use super::discovery_stub::DiscoveryStub;
use super::error::ScaleError;
use super::fleet_state::{FleetState, NodeSlot, NodeState, PropagationTimes, ZONES};
use super::{drive, machine};
use reelfall_testbed::{Result, SeededRng};
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;

/// Multiplier of the seed, so that the random streams of different seeds don't overlap.
const STREAM_FACTOR: u64 = 0x9e37_79b9;
/// Microseconds per second.
const MICROSECONDS: f64 = 1e6;

/// The simulated nodes and the threads that drive them, which stop when this is dropped.
pub struct Network {
    /// State shared by all threads.
    pub state: Arc<FleetState>,
    threads: Vec<JoinHandle<()>>,
    /// Resident memory of this process before the nodes were created, in bytes.
    resident_before: u64,
}

impl Network {
    /// Opens a socket for each node and starts the threads that drive them.
    ///
    /// # Errors
    /// If a socket can't be opened or a thread can't be started.
    pub fn start(
        nodes: usize,
        discovery: Arc<DiscoveryStub>,
        seed: u64,
        threads: usize,
    ) -> Result<Network> {
        let resident_before = machine::resident_memory()?;
        let sockets = open_sockets(nodes)?;
        let mut slots = Vec::with_capacity(nodes);
        for (index, socket) in sockets.iter().enumerate() {
            slots.push(NodeSlot::new(socket.local_addr()?, index % ZONES));
        }
        let threads = threads.clamp(1, nodes.max(1));
        let mut network = Network {
            state: Arc::new(FleetState::new(slots, discovery, threads, seed)?),
            threads: Vec::with_capacity(threads),
            resident_before,
        };
        network.start_threads(sockets, threads)?;
        Ok(network)
    }

    /// Distributes the nodes over the threads round-robin, and starts the threads.
    fn start_threads(&mut self, sockets: Vec<UdpSocket>, threads: usize) -> Result<()> {
        let mut nodes_by_thread: Vec<Vec<drive::OpenNode>> =
            (0..threads).map(|_| Vec::new()).collect();
        for (index, socket) in sockets.into_iter().enumerate() {
            nodes_by_thread[index % threads].push(drive::OpenNode { index, socket });
        }
        for (thread, nodes) in nodes_by_thread.into_iter().enumerate() {
            let state = self.state.clone();
            let handle = std::thread::Builder::new()
                .name(format!("scale-{thread}"))
                .spawn(move || drive::run_thread(state, thread, nodes))?;
            self.threads.push(handle);
        }
        Ok(())
    }

    /// Returns the number of nodes, in any state.
    pub fn node_count(&self) -> usize {
        self.state.nodes.len()
    }

    /// Returns the number of threads that drive the nodes.
    pub fn thread_count(&self) -> usize {
        self.threads.len().max(1)
    }

    /// Returns the indexes of the running nodes.
    pub fn running_nodes(&self) -> Vec<usize> {
        let runs = |index: &usize| self.state.nodes[*index].state() == NodeState::Running;
        (0..self.node_count()).filter(runs).collect()
    }

    /// Returns whether each running node knows as many members as there are running nodes here and `external_nodes` outside of
    /// this process.
    pub fn has_converged(&self, external_nodes: usize) -> bool {
        let running = self.running_nodes();
        let expected = running.len() + external_nodes;
        let knows_all = |index: &usize| {
            let members = &self.state.nodes[*index].counters.members;
            members.load(Ordering::Relaxed) + 1 == expected
        };
        running.iter().all(knows_all)
    }

    /// Starts, suspends or stops a node.
    pub fn set_state(&self, index: usize, state: NodeState) {
        self.state.nodes[index].set_state(state);
    }

    /// Returns the indexes of the nodes in some zones.
    pub fn nodes_in_zones(&self, zones: Range<usize>) -> Vec<usize> {
        (0..self.node_count())
            .filter(|index| zones.contains(&self.state.nodes[*index].zone))
            .collect()
    }

    /// Partitions two zones, or ends their partition.
    pub fn set_partitioned(&self, zone: usize, other_zone: usize, is_partitioned: bool) {
        self.state.set_partitioned(zone, other_zone, is_partitioned);
    }

    /// Assigns a node outside of this process to a zone.
    pub fn add_external(&self, address: SocketAddr, zone: usize) {
        self.state.set_zone(address, zone);
    }

    /// Bans a server at a node for `seconds` seconds; the server's name contains the time of the ban.
    pub fn ban(&self, index: usize, seconds: f64) {
        self.state.nodes[index].request_ban(seconds);
    }

    /// Takes snapshots of all lists for nodes that start from now on.
    pub fn refresh_snapshots(&self) {
        self.state.refresh_snapshots();
    }

    /// Sums the counters of all nodes and the processor time of all threads.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for node in &self.state.nodes {
            totals.add(&node.counters);
        }
        let read = |cpu_us: &AtomicU64| cpu_us.load(Ordering::Relaxed);
        let cpu_us: u64 = self.state.cpu_us.iter().map(read).sum();
        totals.cpu = cpu_us as f64 / MICROSECONDS;
        totals
    }

    /// Begins a window: resets peaks, the sample and propagation times. Returns the totals at its start.
    pub fn begin_window(&self) -> Totals {
        self.state.window.fetch_add(1, Ordering::Relaxed);
        self.state
            .window_started_us
            .store(self.state.now_us(), Ordering::Relaxed);
        self.state.sampler.take();
        self.take_propagation_times();
        self.totals()
    }

    /// Takes the propagation times of all threads.
    pub fn take_propagation_times(&self) -> PropagationTimes {
        let mut all = PropagationTimes::default();
        for times in &self.state.propagation {
            let taken = std::mem::take(&mut *times.lock().unwrap_or_else(PoisonError::into_inner));
            all.bans.extend(taken.bans);
            all.list_updates.extend(taken.list_updates);
        }
        all
    }

    /// Returns the most bytes of any node within one second of the window.
    pub fn peak_bytes(&self) -> f64 {
        let peaks = self
            .state
            .nodes
            .iter()
            .map(|node| node.counters.peak_bytes.load(Ordering::Relaxed));
        peaks.max().unwrap_or(0) as f64
    }

    /// Returns the mean memory of a node, in bytes: the growth of this process since before the nodes were created.
    ///
    /// # Errors
    /// If the system does not report it.
    pub fn memory_per_node(&self) -> Result<f64> {
        let growth = machine::resident_memory()?.saturating_sub(self.resident_before);
        Ok(growth as f64 / self.node_count().max(1) as f64)
    }

    /// Creates a random generator for one stream of the run.
    pub fn rng(&self, stream: u64) -> SeededRng {
        SeededRng(
            self.state
                .seed
                .wrapping_mul(STREAM_FACTOR)
                .wrapping_add(stream),
        )
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.state.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn open_sockets(nodes: usize) -> Result<Vec<UdpSocket>> {
    let mut sockets = Vec::with_capacity(nodes);
    for node in 0..nodes {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(|source| ScaleError::Socket {
            node,
            nodes,
            source,
        })?;
        socket.set_nonblocking(true)?;
        sockets.push(socket);
    }
    Ok(sockets)
}
