//! What the threads share that drive hollow nodes: the nodes' places, the cuts between zones, and what was counted.

use super::counters::{Counters, Sampler};
use super::hollow::Setup;
use super::lists::{Line, Lists};
use reelfall_testbed::Result;
use std::net::SocketAddr;
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
    /// A place whose node runs.
    pub fn new(address: SocketAddr, zone: usize) -> Place {
        Place {
            address,
            zone,
            counters: Counters::default(),
            doing: AtomicU8::new(Doing::Runs as u8),
            bans: Mutex::default(),
        }
    }

    /// What the node does.
    pub fn doing(&self) -> Doing {
        match self.doing.load(Ordering::Relaxed) {
            0 => Doing::Runs,
            1 => Doing::Frozen,
            _ => Doing::Gone,
        }
    }

    /// The node begins, stands still or ends.
    pub fn set(&self, doing: Doing) {
        self.doing.store(doing as u8, Ordering::Relaxed);
    }

    /// An operator sends a server out at this node for so many seconds.
    pub fn ban(&self, seconds: f64) {
        self.bans
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(seconds);
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
    /// A run that begins now, of nodes at these places and so many threads that drive them.
    ///
    /// # Errors
    /// If the thread that reads datagrams for their kinds is not to be had.
    pub fn new(places: Vec<Place>, lists: Arc<Lists>, threads: usize, seed: u64) -> Result<Shared> {
        let shared = Shared {
            begun: Instant::now(),
            wholes: RwLock::new(Arc::new(whole_lists(&lists, 0))),
            places,
            lists,
            window: AtomicU32::new(0),
            window_us: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            sampler: Sampler::start()?,
            forces: (0..threads).map(|_| Mutex::default()).collect(),
            cpu: (0..threads).map(|_| AtomicU64::new(0)).collect(),
            cuts: AtomicU64::new(0),
            ports: (0..=u16::MAX).map(|_| AtomicU8::new(NO_ZONE)).collect(),
            seed,
        };
        shared
            .places
            .iter()
            .for_each(|place| shared.set_zone(place.address, place.zone));
        Ok(shared)
    }

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
        self.places
            .iter()
            .take(SEEDS)
            .map(|place| place.address)
            .collect()
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

    /// An address is in a zone.
    pub fn set_zone(&self, address: SocketAddr, zone: usize) {
        self.ports[usize::from(address.port())].store(zone as u8, Ordering::Relaxed);
    }

    /// Cuts two zones apart, or lets them reach each other again.
    pub fn cut(&self, one: usize, other: usize, cut: bool) {
        let bit = cut_bit(one, other);
        if cut {
            self.cuts.fetch_or(bit, Ordering::Relaxed);
        } else {
            self.cuts.fetch_and(!bit, Ordering::Relaxed);
        }
    }

    /// Nodes that start from now on read the lists as they are now.
    pub fn refresh_lists(&self) {
        let wholes = Arc::new(whole_lists(&self.lists, self.now_us()));
        *self.wholes.write().unwrap_or_else(PoisonError::into_inner) = wholes;
    }

    /// Whole lists, as a node that starts reads them.
    pub fn wholes(&self) -> Arc<Vec<Line>> {
        self.wholes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
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

/// All lists as they are now.
fn whole_lists(lists: &Lists, told_us: u64) -> Vec<Line> {
    (0..lists.lists())
        .map(|list| lists.whole(list, told_us))
        .collect()
}
