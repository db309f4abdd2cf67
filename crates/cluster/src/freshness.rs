//! Upper bounds of the age of a datagram.
//!
//! An entry is sent with its age at the time of writing. How long the datagram was in transit is unknown: the network
//! may delay it, and so may the receive buffer of a paused process. Therefore each datagram echoes the last value of
//! the receiver's clock that its sender has received, and how long ago the sender received it. As that value was sent
//! before the datagram was written, the transit time is at most the time that has passed on the receiver's clock since
//! that value, less the time for which the sender held it. Only differences of the same clock are used.
//!
//! The entries of a datagram without an echo are ignored, since their age is unknown. Otherwise a process that was
//! paused before it read a datagram, or an attacker who replays one, could make an expired entry count again.

use crate::{Time, DRIFT, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A peer's clock is echoed for this time after it was received, in seconds; the error of the bound grows with it by
/// [`DRIFT`].
pub const MAX_ECHO_AGE: Time = 120.0;
/// Entries in a datagram that may have been in transit for longer than this, in seconds, are ignored.
pub const MAX_TRANSIT: Time = 60.0;
/// Duplicates are detected among this many of a peer's last sequence numbers.
const REPLAY_WINDOW: u64 = 64;

/// The last value of the receiver's clock that the sender of a datagram has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockEcho {
    /// The value, in microseconds of the receiver's clock.
    pub clock_us: u64,
    /// How long ago the sender received that value, in microseconds of the sender's clock, rounded down.
    pub elapsed_us: u64,
}

/// An upper bound of the time for which a datagram with this echo was in transit, in seconds; `None` if the echo is
/// invalid or too old, or the bound exceeds [`MAX_TRANSIT`].
pub fn max_transit(now: Time, echo: ClockEcho) -> Option<Time> {
    let round_trip = now - echo.clock_us as f64 / MICROS_PER_SECOND;
    let elapsed = echo.elapsed_us as f64 / MICROS_PER_SECOND;
    if round_trip < 0.0 || elapsed > MAX_ECHO_AGE {
        return None;
    }
    let transit = (round_trip / (1.0 - DRIFT) - elapsed / (1.0 + DRIFT)).max(0.0);
    (transit <= MAX_TRANSIT).then_some(transit)
}

/// For each peer, by the tag of its incarnation: the last value of its clock, and which of its datagrams were received.
#[derive(Debug)]
pub struct PeerClocks {
    peers: HashMap<u64, PeerClock>,
    /// The tags of the peers, in the order in which they were recorded first.
    order: VecDeque<u64>,
    max_peers: usize,
}

#[derive(Debug)]
struct PeerClock {
    clock_us: u64,
    received_at: Time,
    /// The greatest sequence number received.
    last_sequence: u64,
    /// Bit `n` is set if sequence number `last_sequence - n` was received.
    window: u64,
}

impl PeerClocks {
    /// Stores at most `max_peers` peers: a new one replaces the one that was recorded first.
    pub fn new(max_peers: usize) -> PeerClocks {
        PeerClocks {
            peers: HashMap::new(),
            order: VecDeque::new(),
            max_peers: max_peers.max(1),
        }
    }

    /// Records a datagram's sequence number and clock. Returns whether the datagram is new: a duplicate is not, nor is
    /// one that is `REPLAY_WINDOW` or more sequence numbers behind the greatest one of its sender.
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
        let distance = peer.last_sequence - sequence;
        let bit = 1u64
            .checked_shl(u32::try_from(distance).unwrap_or(u32::MAX))
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

    /// The echo to send to a peer; `None` if its clock is unknown or was received more than [`MAX_ECHO_AGE`] ago.
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
