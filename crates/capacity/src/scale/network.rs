//! Many hollow nodes on loopback sockets, driven by a few threads.

use super::counters::Totals;
use super::lists::Lists;
use super::shared::{Doing, Forces, Place, Shared, ZONES};
use super::{drive, machine};
use reelfall_testbed::{Result, SeededRng};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

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
        let mut places = Vec::with_capacity(nodes);
        for (n, socket) in sockets.iter().enumerate() {
            places.push(Place::new(socket.local_addr()?, n % ZONES));
        }
        let threads = threads.clamp(1, nodes.max(1));
        let shared = Arc::new(Shared::new(places, lists, threads, seed)?);
        let mut network = Network {
            shared,
            threads: Vec::with_capacity(threads),
            resident_before,
        };
        let mut dealt: Vec<Vec<(usize, UdpSocket)>> = (0..threads).map(|_| Vec::new()).collect();
        for (n, socket) in sockets.into_iter().enumerate() {
            dealt[n % threads].push((n, socket));
        }
        for (thread, nodes) in dealt.into_iter().enumerate() {
            let shared = network.shared.clone();
            let run = move || drive::thread(shared, thread, nodes);
            let name = format!("scale-{thread}");
            network
                .threads
                .push(std::thread::Builder::new().name(name).spawn(run)?);
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
        let knows = |n: &usize| {
            self.shared.places[*n]
                .counters
                .members
                .load(Ordering::Relaxed)
                + 1
                == others
        };
        running.iter().all(knows)
    }

    /// A node begins, stands still or ends.
    pub fn set(&self, n: usize, doing: Doing) {
        self.shared.places[n].set(doing);
    }

    /// The nodes of some zones.
    pub fn of_zones(&self, zones: std::ops::Range<usize>) -> Vec<usize> {
        (0..self.nodes())
            .filter(|n| zones.contains(&self.shared.places[*n].zone))
            .collect()
    }

    /// Cuts two zones apart, or lets them reach each other again.
    pub fn cut(&self, one: usize, other: usize, cut: bool) {
        self.shared.cut(one, other, cut);
    }

    /// A node outside of this process is reached here, and counts as one of a zone.
    pub fn add_outside(&self, address: SocketAddr, zone: usize) {
        self.shared.set_zone(address, zone);
    }

    /// An operator sends a server out at a node for so many seconds; its name says when.
    pub fn ban(&self, n: usize, seconds: f64) {
        self.shared.places[n].ban(seconds);
    }

    /// Nodes that start from now on read the lists as they are now.
    pub fn refresh_lists(&self) {
        self.shared.refresh_lists();
    }

    /// What all nodes have counted so far.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        self.shared
            .places
            .iter()
            .for_each(|place| totals.add(&place.counters));
        let cpu: u64 = self
            .shared
            .cpu
            .iter()
            .map(|cpu| cpu.load(Ordering::Relaxed))
            .sum();
        totals.cpu = cpu as f64 / 1e6;
        totals
    }

    /// Begins a window: peaks, kinds and times until changes are in force count anew.
    pub fn begin_window(&self) -> Totals {
        self.shared.window.fetch_add(1, Ordering::Relaxed);
        self.shared
            .window_us
            .store(self.shared.now_us(), Ordering::Relaxed);
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
        let peaks = self
            .shared
            .places
            .iter()
            .map(|place| place.counters.peak.load(Ordering::Relaxed));
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
    pub fn draw(&self, matter: u64) -> SeededRng {
        SeededRng(
            self.shared
                .seed
                .wrapping_mul(0x9e37_79b9)
                .wrapping_add(matter),
        )
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
