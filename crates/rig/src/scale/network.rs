//! Many hollow nodes on loopback sockets, driven by a few threads.

use super::counters::{Counters, Sampler, Totals};
use super::hollow::Setup;
use super::lists::{Line, Lists};
use super::{drive, machine};
use crate::{Draw, Result};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Zones that nodes are dealt into in turn.
pub const ZONES: usize = 6;
/// Zones of one region: zone 0 to 2 are the first region, 3 to 5 the second.
pub const REGION_ZONES: usize = 3;
/// Nodes where others ask to be let in, one of each zone.
pub const SEEDS: usize = ZONES;
/// A port that is no node's.
const NO_ZONE: u8 = u8::MAX;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Doing {
    /// It runs.
    Runs = 0,
    /// It stands still; what comes waits in its socket.
    Frozen = 1,
    /// There is no process.
    Gone = 2,
}

/// One place for a node.
pub struct Place {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: usize,
    /// What it counts.
    pub counters: Counters,
    doing: AtomicU8,
    /// Servers that an operator sends out at this node, each for so many seconds.
    bans: Mutex<Vec<f64>>,
}

impl Place {
    /// What the node does.
    pub fn doing(&self) -> Doing {
        match self.doing.load(Ordering::Relaxed) {
            0 => Doing::Runs,
            1 => Doing::Frozen,
            _ => Doing::Gone,
        }
    }

    /// The bans that wait to be said.
    pub fn take_bans(&self) -> Vec<f64> {
        std::mem::take(&mut *self.bans.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// When changes came into force at nodes, in seconds after they were made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forces {
    /// Bans by hand.
    pub bans: Vec<f64>,
    /// Lines of lists.
    pub lines: Vec<f64>,
}

/// What all threads share.
pub struct Shared {
    begun: Instant,
    /// The nodes.
    pub places: Vec<Place>,
    /// The stand-in for lists.
    pub lists: Arc<Lists>,
    /// Whole lists, as a node that starts reads them.
    wholes: RwLock<Arc<Vec<Line>>>,
    /// Counts windows, so that peaks begin anew in each.
    pub window: AtomicU32,
    /// When the window began, in microseconds: a node that starts hears of bans that were made before.
    pub window_us: AtomicU64,
    /// Ends all threads.
    pub stop: AtomicBool,
    /// Reads datagrams for their kinds.
    pub sampler: Sampler,
    /// When changes came into force, by thread.
    pub forces: Vec<Mutex<Forces>>,
    /// Processor time of each thread, in microseconds.
    pub cpu: Vec<AtomicU64>,
    /// Pairs of zones between which nothing passes.
    cuts: AtomicU64,
    /// The zone behind each port.
    ports: Vec<AtomicU8>,
    /// For what nodes draw.
    pub seed: u64,
}

impl Shared {
    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// The same in microseconds.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The run's clock as a moment.
    pub fn moment(&self, at: f64) -> Instant {
        self.begun + Duration::from_secs_f64(at.max(0.0))
    }

    /// What a node that starts is told of its fleet.
    pub fn setup(&self, n: usize) -> Setup {
        let place = &self.places[n];
        Setup {
            name: node_name(n),
            zone: zone_name(place.zone),
            address: place.address,
            seeds: self.seeds(),
            size: u32::try_from(self.places.len()).unwrap_or(u32::MAX),
        }
    }

    /// Where nodes ask to be let in.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.places.iter().take(SEEDS).map(|place| place.address).collect()
    }

    /// Whether a datagram between a zone and an address passes.
    pub fn passes(&self, zone: usize, other: SocketAddr) -> bool {
        let cuts = self.cuts.load(Ordering::Relaxed);
        if cuts == 0 {
            return true;
        }
        let other = self.ports[usize::from(other.port())].load(Ordering::Relaxed);
        other == NO_ZONE || cuts & cut_bit(zone, usize::from(other)) == 0
    }

    /// Whole lists, as a node that starts reads them.
    pub fn wholes(&self) -> Arc<Vec<Line>> {
        self.wholes.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A node's name.
pub fn node_name(n: usize) -> String {
    format!("hollow-{n}")
}

/// A zone's name.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The bit of a pair of zones, in whichever order.
fn cut_bit(one: usize, other: usize) -> u64 {
    1 << (one.min(other) * 8 + one.max(other))
}

/// The nodes, and their threads. They end when this is dropped.
pub struct Network {
    /// What all threads share.
    pub shared: Arc<Shared>,
    threads: Vec<std::thread::JoinHandle<()>>,
    /// Memory of this process before there were nodes, in bytes.
    resident_before: u64,
}

impl Network {
    /// Opens a socket for each node and starts the threads that drive them.
    ///
    /// # Errors
    /// If a socket or a thread is not to be had.
    pub fn start(nodes: usize, lists: Arc<Lists>, seed: u64, threads: usize) -> Result<Network> {
        let resident_before = machine::resident()?;
        let sockets = open_sockets(nodes)?;
        let ports: Vec<AtomicU8> = (0..=u16::MAX).map(|_| AtomicU8::new(NO_ZONE)).collect();
        let mut places = Vec::with_capacity(nodes);
        for (n, socket) in sockets.iter().enumerate() {
            let (address, zone) = (socket.local_addr()?, n % ZONES);
            ports[usize::from(address.port())].store(zone as u8, Ordering::Relaxed);
            places.push(Place {
                address,
                zone,
                counters: Counters::default(),
                doing: AtomicU8::new(Doing::Runs as u8),
                bans: Mutex::default(),
            });
        }
        let threads = threads.clamp(1, nodes.max(1));
        let shared = Arc::new(Shared {
            begun: Instant::now(),
            places,
            wholes: RwLock::new(Arc::new(wholes(&lists, 0))),
            lists,
            window: AtomicU32::new(0),
            window_us: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            sampler: Sampler::start()?,
            forces: (0..threads).map(|_| Mutex::default()).collect(),
            cpu: (0..threads).map(|_| AtomicU64::new(0)).collect(),
            cuts: AtomicU64::new(0),
            ports,
            seed,
        });
        let mut network = Network { shared, threads: Vec::with_capacity(threads), resident_before };
        let mut dealt: Vec<Vec<(usize, UdpSocket)>> = (0..threads).map(|_| Vec::new()).collect();
        for (n, socket) in sockets.into_iter().enumerate() {
            dealt[n % threads].push((n, socket));
        }
        for (thread, nodes) in dealt.into_iter().enumerate() {
            let shared = network.shared.clone();
            let run = move || drive::thread(shared, thread, nodes);
            let name = format!("scale-{thread}");
            network.threads.push(std::thread::Builder::new().name(name).spawn(run)?);
        }
        Ok(network)
    }

    /// How many places there are.
    pub fn nodes(&self) -> usize {
        self.shared.places.len()
    }

    /// How many threads drive them.
    pub fn threads(&self) -> usize {
        self.threads.len().max(1)
    }

    /// The nodes that run.
    pub fn running(&self) -> Vec<usize> {
        let runs = |n: &usize| self.shared.places[*n].doing() == Doing::Runs;
        (0..self.nodes()).filter(runs).collect()
    }

    /// Whether each node that runs knows all that run and so many others beside.
    pub fn gathered(&self, beside: usize) -> bool {
        let running = self.running();
        let others = running.len() + beside;
        let knows = |n: &usize| self.shared.places[*n].counters.members.load(Ordering::Relaxed) + 1 == others;
        running.iter().all(knows)
    }

    /// A node begins, stands still or ends.
    pub fn set(&self, n: usize, doing: Doing) {
        self.shared.places[n].doing.store(doing as u8, Ordering::Relaxed);
    }

    /// The nodes of some zones.
    pub fn of_zones(&self, zones: std::ops::Range<usize>) -> Vec<usize> {
        (0..self.nodes()).filter(|n| zones.contains(&self.shared.places[*n].zone)).collect()
    }

    /// Cuts two zones apart, or lets them reach each other again.
    pub fn cut(&self, one: usize, other: usize, cut: bool) {
        let bit = cut_bit(one, other);
        if cut {
            self.shared.cuts.fetch_or(bit, Ordering::Relaxed);
        } else {
            self.shared.cuts.fetch_and(!bit, Ordering::Relaxed);
        }
    }

    /// A node outside of this process is reached here, and counts as one of a zone.
    pub fn add_outside(&self, address: SocketAddr, zone: usize) {
        self.shared.ports[usize::from(address.port())].store(zone as u8, Ordering::Relaxed);
    }

    /// An operator sends a server out at a node for so many seconds; its name says when.
    pub fn ban(&self, n: usize, seconds: f64) {
        let mut bans = self.shared.places[n].bans.lock().unwrap_or_else(PoisonError::into_inner);
        bans.push(seconds);
    }

    /// Nodes that start from now on read the lists as they are now.
    pub fn refresh_lists(&self) {
        let wholes = Arc::new(wholes(&self.shared.lists, self.shared.now_us()));
        *self.shared.wholes.write().unwrap_or_else(PoisonError::into_inner) = wholes;
    }

    /// What all nodes have counted so far.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        self.shared.places.iter().for_each(|place| totals.add(&place.counters));
        let cpu: u64 = self.shared.cpu.iter().map(|cpu| cpu.load(Ordering::Relaxed)).sum();
        totals.cpu = cpu as f64 / 1e6;
        totals
    }

    /// Begins a window: peaks, kinds and times until changes are in force count anew.
    pub fn begin_window(&self) -> Totals {
        self.shared.window.fetch_add(1, Ordering::Relaxed);
        self.shared.window_us.store(self.shared.now_us(), Ordering::Relaxed);
        self.shared.sampler.take();
        self.forces();
        self.totals()
    }

    /// Takes the times until changes were in force.
    pub fn forces(&self) -> Forces {
        let mut all = Forces::default();
        for forces in &self.shared.forces {
            let taken = std::mem::take(&mut *forces.lock().unwrap_or_else(PoisonError::into_inner));
            all.bans.extend(taken.bans);
            all.lines.extend(taken.lines);
        }
        all
    }

    /// Most bytes of any node within a second of the window.
    pub fn peak(&self) -> f64 {
        let peaks = self.shared.places.iter().map(|place| place.counters.peak.load(Ordering::Relaxed));
        peaks.max().unwrap_or(0) as f64
    }

    /// Memory of each node, in bytes: what this process holds more than before there were nodes.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn memory(&self) -> Result<f64> {
        let more = machine::resident()?.saturating_sub(self.resident_before);
        Ok(more as f64 / self.nodes().max(1) as f64)
    }

    /// A generator of its own for each matter.
    pub fn draw(&self, matter: u64) -> Draw {
        Draw(self.shared.seed.wrapping_mul(0x9e37_79b9).wrapping_add(matter))
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn open_sockets(nodes: usize) -> Result<Vec<UdpSocket>> {
    let mut sockets = Vec::with_capacity(nodes);
    for n in 0..nodes {
        let socket = UdpSocket::bind("127.0.0.1:0")
            .map_err(|e| format!("the socket of node {n} of {nodes} is not to be had: {e}"))?;
        socket.set_nonblocking(true)?;
        sockets.push(socket);
    }
    Ok(sockets)
}

fn wholes(lists: &Lists, told_us: u64) -> Vec<Line> {
    (0..lists.lists()).map(|list| lists.whole(list, told_us)).collect()
}
