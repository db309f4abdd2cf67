//! The datagram network between the nodes of a fleet, with injected faults.
//!
//! The network has a socket for each node, and the nodes know each other by the addresses of these sockets. The sender of
//! a datagram is identified by its source address; the faults of the pair of nodes decide whether it is forwarded or dropped.
//! [`TestFleet`](super::TestFleet) owns it; tests and schedules inject the faults.

use crate::{AbortOnDrop, Result, SeededRng};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Maximum number of forwarded datagrams that are retained for a replay.
const REPLAY_BUFFER_LEN: usize = 512;
/// Longest datagram that is forwarded without truncation, in bytes: the maximum of UDP.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Length of a forged datagram if there is no recent one to alter, in bytes.
const FORGED_DATAGRAM_BYTES: usize = 200;
/// Mask of the bit that corruption flips in one byte of a datagram.
const CORRUPTED_BIT: u8 = 0x20;

/// Faults that apply to all datagrams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Share of datagrams that are lost.
    pub loss_ratio: f64,
    /// Share of datagrams that are delivered twice.
    pub duplicate_ratio: f64,
    /// Share of datagrams of which a byte is changed.
    pub corruption_ratio: f64,
    /// Shortest delay. Delays are random, so datagrams may be reordered.
    pub min_delay: Duration,
    /// Longest delay.
    pub max_delay: Duration,
}

/// An ordered pair of nodes: sender and receiver.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: usize,
    to: usize,
}

#[derive(Clone)]
struct ForwardedDatagram {
    to: usize,
    bytes: Vec<u8>,
}

struct State {
    faults: DatagramFaults,
    /// Directions in which all datagrams are dropped.
    partitioned: BTreeSet<Direction>,
    random: SeededRng,
    /// Nodes by the source address of their datagrams.
    node_by_address: HashMap<SocketAddr, usize>,
    /// Address that each node's process listens on; `None` before its first start.
    process_addresses: Vec<Option<SocketAddr>>,
    /// Recently forwarded datagrams.
    replay_buffer: Vec<ForwardedDatagram>,
    forwarded: u64,
}

/// The network between the nodes of a fleet. It stops when this is dropped.
pub struct DatagramNetwork {
    sockets: Vec<Arc<UdpSocket>>,
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    _tasks: Vec<AbortOnDrop>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DatagramNetwork {
    /// Opens a network for `node_count` nodes, without faults.
    ///
    /// # Errors
    /// Fails if the system has no port left.
    pub async fn open(node_count: usize) -> Result<Arc<DatagramNetwork>> {
        let state = Arc::new(Mutex::new(State {
            faults: DatagramFaults::default(),
            partitioned: BTreeSet::new(),
            random: SeededRng(1),
            node_by_address: HashMap::new(),
            process_addresses: vec![None; node_count],
            replay_buffer: Vec::new(),
            forwarded: 0,
        }));
        let (mut sockets, mut addresses, mut tasks) = (vec![], vec![], vec![]);
        for node in 0..node_count {
            let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
            addresses.push(socket.local_addr()?);
            tasks.push(crate::spawn(forward_all(
                node,
                socket.clone(),
                state.clone(),
            )));
            sockets.push(socket);
        }
        Ok(Arc::new(DatagramNetwork {
            sockets,
            addresses,
            state,
            _tasks: tasks,
        }))
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.addresses.len()
    }

    /// The address to which other nodes send datagrams for a node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    /// Sets the address at which a node's process sends and receives datagrams.
    pub fn set_process_address(&self, node: usize, address: SocketAddr) {
        let mut state = lock(&self.state);
        state.node_by_address.insert(address, node);
        state.process_addresses[node] = Some(address);
    }

    /// Changes the faults that apply to all datagrams.
    pub fn update_faults(&self, change: impl FnOnce(&mut DatagramFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Seeds the random number generator of the faults.
    pub fn set_seed(&self, seed: u64) {
        lock(&self.state).random = SeededRng(seed);
    }

    /// Drops all datagrams from some nodes to others and, with `both_directions`, also those in the other direction.
    pub fn partition(&self, from: &[usize], to: &[usize], both_directions: bool) {
        let mut state = lock(&self.state);
        for &from in from {
            for &to in to {
                state.partitioned.insert(Direction { from, to });
                if both_directions {
                    let back = Direction { from: to, to: from };
                    state.partitioned.insert(back);
                }
            }
        }
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        lock(&self.state).partitioned.clear();
    }

    /// Number of datagrams that were forwarded.
    pub fn forwarded(&self) -> u64 {
        lock(&self.state).forwarded
    }

    /// Replays recent datagrams to a node, then sends it `forged_count` forged ones.
    pub async fn flood(&self, node: usize, forged_count: usize) {
        let (recent, address) = {
            let state = lock(&self.state);
            (state.replay_buffer.clone(), state.process_addresses[node])
        };
        let Some(address) = address else { return };
        let socket = &self.sockets[node];
        for datagram in recent.iter().filter(|datagram| datagram.to == node) {
            let _ = socket.send_to(&datagram.bytes, address).await;
        }
        let mut random = SeededRng(forged_count as u64);
        for index in 0..forged_count {
            let datagram = forge(&recent, index, &mut random);
            let _ = socket.send_to(&datagram, address).await;
        }
    }
}

/// Forges a datagram: a recent one with one byte changed.
fn forge(recent: &[ForwardedDatagram], index: usize, random: &mut SeededRng) -> Vec<u8> {
    let template = recent.get(index % recent.len().max(1));
    let mut bytes = template.map_or_else(
        || vec![0; FORGED_DATAGRAM_BYTES],
        |datagram| datagram.bytes.clone(),
    );
    let position = random.next_u64() as usize % bytes.len().max(1);
    if let Some(byte) = bytes.get_mut(position) {
        *byte ^= 1 + (random.next_u64() as u8 & 0x7f);
    }
    bytes
}

/// How a datagram is forwarded.
struct Delivery {
    address: SocketAddr,
    /// The delay of each copy.
    delays: Vec<Duration>,
}

impl State {
    /// Applies random faults to a datagram; returns `None` if it is dropped.
    fn deliver(&mut self, sender: SocketAddr, to: usize, datagram: &mut [u8]) -> Option<Delivery> {
        let from = *self.node_by_address.get(&sender)?;
        let address = self.process_addresses[to]?;
        let faults = self.faults.clone();
        if self.partitioned.contains(&Direction { from, to })
            || self.random.next_fraction() < faults.loss_ratio
        {
            return None;
        }
        if self.random.next_fraction() < faults.corruption_ratio {
            let position = self.random.next_u64() as usize % datagram.len().max(1);
            datagram[position] ^= CORRUPTED_BIT;
        }
        self.forwarded += 1;
        self.retain_for_replay(to, datagram);
        let copies = 1 + usize::from(self.random.next_fraction() < faults.duplicate_ratio);
        let delays = (0..copies).map(|_| self.sample_delay(&faults)).collect();
        Some(Delivery { address, delays })
    }

    fn retain_for_replay(&mut self, to: usize, datagram: &[u8]) {
        if self.replay_buffer.len() >= REPLAY_BUFFER_LEN {
            self.replay_buffer.clear();
        }
        let bytes = datagram.to_vec();
        self.replay_buffer.push(ForwardedDatagram { to, bytes });
    }

    fn sample_delay(&mut self, faults: &DatagramFaults) -> Duration {
        let range = faults.max_delay.saturating_sub(faults.min_delay);
        let extra = range.as_secs_f64() * self.random.next_fraction();
        faults.min_delay + Duration::from_secs_f64(extra)
    }
}

/// Forwards all datagrams that arrive at a node's socket, until the task is aborted.
async fn forward_all(node: usize, socket: Arc<UdpSocket>, state: Arc<Mutex<State>>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        // The system reports an earlier datagram that could not be delivered as an error here. It is ignored.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let mut datagram = buffer[..length].to_vec();
        let delivery = lock(&state).deliver(sender, node, &mut datagram);
        if let Some(delivery) = delivery {
            send_copies(&socket, &datagram, &delivery).await;
        }
    }
}

async fn send_copies(socket: &Arc<UdpSocket>, datagram: &[u8], delivery: &Delivery) {
    let address = delivery.address;
    for delay in delivery.delays.iter().copied() {
        if delay.is_zero() {
            let _ = socket.send_to(datagram, address).await;
            continue;
        }
        let (socket, datagram) = (socket.clone(), datagram.to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&datagram, address).await;
        });
    }
}
