//! The way of each datagram from one node of a fleet to another.
//!
//! The rig has a socket for each place of a node, and the nodes know each other by these. A datagram that comes there is
//! told by its sender's address whose it is, and goes on, or not, as the faults of that pair have it.

use crate::{AbortOnDrop, Result, SeededRng};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;

/// What all links do to what passes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share that come twice.
    pub twice: f64,
    /// Share of which a byte is changed.
    pub spoilt: f64,
    /// The least and the most that one takes; they overtake each other within it.
    pub delay: (Duration, Duration),
}

struct State {
    faults: Faults,
    /// Pairs, from and to, between which nothing passes.
    cut: BTreeSet<(usize, usize)>,
    draw: SeededRng,
    /// Whose datagrams come from an address.
    from: HashMap<SocketAddr, usize>,
    /// Where a place's process takes datagrams.
    to: Vec<Option<SocketAddr>>,
    /// The last datagrams that passed, to be said again.
    kept: Vec<(usize, Vec<u8>)>,
    passed: u64,
}

/// All links of a fleet. They end when this is dropped.
pub struct Links {
    sockets: Vec<Arc<UdpSocket>>,
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    _tasks: Vec<AbortOnDrop>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Datagrams that are kept to be said again.
const KEPT: usize = 512;

impl Links {
    /// Links between so many places, without faults.
    ///
    /// # Errors
    /// If no ports are to be had.
    pub async fn open(places: usize) -> Result<Arc<Links>> {
        let state = Arc::new(Mutex::new(State {
            faults: Faults::default(),
            cut: BTreeSet::new(),
            draw: SeededRng(1),
            from: HashMap::new(),
            to: vec![None; places],
            kept: Vec::new(),
            passed: 0,
        }));
        let (mut sockets, mut addresses, mut tasks) = (vec![], vec![], vec![]);
        for n in 0..places {
            let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
            addresses.push(socket.local_addr()?);
            tasks.push(crate::spawn(pass(n, socket.clone(), state.clone())));
            sockets.push(socket);
        }
        Ok(Arc::new(Links {
            sockets,
            addresses,
            state,
            _tasks: tasks,
        }))
    }

    /// How many places there are.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Where the nodes send what is for a place.
    pub fn address(&self, place: usize) -> SocketAddr {
        self.addresses[place]
    }

    /// The process in a place takes datagrams there, and sends its own from there.
    pub fn seat(&self, place: usize, address: SocketAddr) {
        let mut state = lock(&self.state);
        state.from.insert(address, place);
        state.to[place] = Some(address);
    }

    /// Changes what all links do.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// From now on chance is drawn from here.
    pub fn seed(&self, seed: u64) {
        lock(&self.state).draw = SeededRng(seed);
    }

    /// Nothing passes from some places to others; nor back, if both ways are cut.
    pub fn cut(&self, from: &[usize], to: &[usize], both: bool) {
        let mut state = lock(&self.state);
        for a in from {
            for b in to {
                state.cut.insert((*a, *b));
                if both {
                    state.cut.insert((*b, *a));
                }
            }
        }
    }

    /// All that was cut passes again.
    pub fn heal(&self) {
        lock(&self.state).cut.clear();
    }

    /// Datagrams that passed.
    pub fn passed(&self) -> u64 {
        lock(&self.state).passed
    }

    /// Says again what passed last, and sends a place so many datagrams that nobody of the fleet wrote.
    pub async fn flood(&self, place: usize, forged: usize) {
        let (kept, to) = {
            let state = lock(&self.state);
            (state.kept.clone(), state.to[place])
        };
        let Some(to) = to else { return };
        for (_, datagram) in kept.iter().filter(|(at, _)| *at == place) {
            let _ = self.sockets[place].send_to(datagram, to).await;
        }
        let mut draw = SeededRng(forged as u64);
        for n in 0..forged {
            let mut datagram = kept
                .get(n % kept.len().max(1))
                .map_or_else(|| vec![0; 200], |(_, d)| d.clone());
            let at = draw.next_u64() as usize % datagram.len().max(1);
            if let Some(byte) = datagram.get_mut(at) {
                *byte ^= 1 + (draw.next_u64() as u8 & 0x7f);
            }
            let _ = self.sockets[place].send_to(&datagram, to).await;
        }
    }
}

async fn pass(place: usize, socket: Arc<UdpSocket>, state: Arc<Mutex<State>>) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        // A datagram that could not be delivered is told here, too; that is nobody's end.
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let mut datagram = buffer[..n].to_vec();
        let copies = {
            let mut state = lock(&state);
            let Some(from) = state.from.get(&from).copied() else {
                continue;
            };
            let Some(to) = state.to[place] else { continue };
            let Faults {
                loss,
                twice,
                spoilt,
                delay,
            } = state.faults.clone();
            if state.cut.contains(&(from, place)) || state.draw.next_fraction() < loss {
                continue;
            }
            if state.draw.next_fraction() < spoilt {
                let at = state.draw.next_u64() as usize % n.max(1);
                datagram[at] ^= 0x20;
            }
            state.passed += 1;
            if state.kept.len() >= KEPT {
                state.kept.clear();
            }
            state.kept.push((place, datagram.clone()));
            let copies = 1 + usize::from(state.draw.next_fraction() < twice);
            let span = delay.1.saturating_sub(delay.0).as_secs_f64();
            let waits: Vec<Duration> = (0..copies)
                .map(|_| delay.0 + Duration::from_secs_f64(span * state.draw.next_fraction()))
                .collect();
            (to, waits)
        };
        let (to, waits) = copies;
        for wait in waits {
            if wait.is_zero() {
                let _ = socket.send_to(&datagram, to).await;
                continue;
            }
            let (socket, datagram) = (socket.clone(), datagram.clone());
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                let _ = socket.send_to(&datagram, to).await;
            });
        }
    }
}
