//! How old a datagram can be at most.
//!
//! An entry is sent with its age at the time of writing. How long the datagram was in transit is unknown: a link may delay
//! it, and so may the receive buffer of a process that is paused. So each datagram echoes the last value of the reader's
//! clock that its writer has received, and how long ago that was. That value was sent before the datagram was written, so
//! the datagram is no older than the reader's clock has advanced since, less the time that the writer took to send the echo. Only
//! differences of one and the same clock are used.
//!
//! A datagram without such an echo proves nothing about the age of its entries: a process that was paused over it, or an
//! attacker who replays it, can't make an old entry new.

use crate::{Time, DRIFT, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A peer's clock is echoed for this time after it was received, in seconds; the error grows with that by [`DRIFT`].
pub const MAX_ECHO_AGE: Time = 120.0;
/// Entries in a datagram that may have been in transit for longer, in seconds, are ignored.
pub const MAX_TRANSIT: Time = 60.0;
/// Number of a peer's last datagrams for which duplicates are detected.
const REPLAY_WINDOW: u64 = 64;

/// The last value of its reader's clock that a writer has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockEcho {
    /// The value, in microseconds of the reader's clock.
    pub clock_us: u64,
    /// How long ago the writer received it, in microseconds of the writer's clock, rounded down.
    pub elapsed_us: u64,
}

/// How long a datagram with this echo can have been in transit at most, in seconds; `None` if that is unknown.
pub fn max_transit(now: Time, echo: ClockEcho) -> Option<Time> {
    let since = now - echo.clock_us as f64 / MICROS_PER_SECOND;
    let elapsed = echo.elapsed_us as f64 / MICROS_PER_SECOND;
    if since < 0.0 || elapsed > MAX_ECHO_AGE {
        return None;
    }
    let transit = (since / (1.0 - DRIFT) - elapsed / (1.0 + DRIFT)).max(0.0);
    (transit <= MAX_TRANSIT).then_some(transit)
}

/// The clocks of the peers, by the tags of their incarnations, and which of their datagrams were received.
#[derive(Debug)]
pub struct PeerClocks {
    peers: HashMap<u64, PeerClock>,
    /// The tags, oldest first.
    order: VecDeque<u64>,
    max_peers: usize,
}

#[derive(Debug)]
struct PeerClock {
    clock_us: u64,
    received_at: Time,
    /// The greatest sequence number received.
    last_sequence: u64,
    /// A bit for each of the last [`REPLAY_WINDOW`] sequence numbers, set if it was received.
    window: u64,
}

impl PeerClocks {
    /// The clocks of at most this number of peers; of more, those that were recorded first are forgotten.
    pub fn new(max_peers: usize) -> PeerClocks {
        PeerClocks {
            peers: HashMap::new(),
            order: VecDeque::new(),
            max_peers: max_peers.max(1),
        }
    }

    /// Records a datagram's sequence number and clock. Returns whether the datagram is new: a duplicate is not, nor is one
    /// that was overtaken by [`REPLAY_WINDOW`] others of its writer.
    pub fn record(&mut self, now: Time, tag: u64, sequence: u64, clock_us: u64) -> bool {
        let Some(peer) = self.peers.get_mut(&tag) else {
            self.insert(
                tag,
                PeerClock {
                    clock_us,
                    received_at: now,
                    last_sequence: sequence,
                    window: 1,
                },
            );
            return true;
        };
        if sequence > peer.last_sequence {
            let shift = sequence - peer.last_sequence;
            let shifted = if shift < REPLAY_WINDOW {
                peer.window << shift
            } else {
                0
            };
            peer.window = shifted | 1;
            peer.last_sequence = sequence;
            peer.clock_us = clock_us;
            peer.received_at = now;
            return true;
        }
        let back = peer.last_sequence - sequence;
        let bit = 1u64
            .checked_shl(u32::try_from(back).unwrap_or(u32::MAX))
            .unwrap_or(0);
        let is_new = bit != 0 && peer.window & bit == 0;
        peer.window |= bit;
        is_new
    }

    fn insert(&mut self, tag: u64, peer: PeerClock) {
        if self.order.len() >= self.max_peers {
            self.order
                .pop_front()
                .and_then(|oldest| self.peers.remove(&oldest));
        }
        self.order.push_back(tag);
        self.peers.insert(tag, peer);
    }

    /// The echo of a peer's clock to send to it.
    pub fn echo(&self, now: Time, tag: u64) -> Option<ClockEcho> {
        let peer = self.peers.get(&tag)?;
        let elapsed = now - peer.received_at;
        let elapsed_us = (elapsed.max(0.0) * MICROS_PER_SECOND) as u64;
        (elapsed <= MAX_ECHO_AGE).then_some(ClockEcho {
            clock_us: peer.clock_us,
            elapsed_us,
        })
    }
}
