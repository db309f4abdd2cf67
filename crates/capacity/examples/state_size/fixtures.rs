//! Nodes, keys and datagrams of a cluster, for the measurements of the cluster, leases and messages.

use crate::error::{Error, Result};
use reelfall_cluster::entry::Entry;
use reelfall_cluster::freshness::ClockEcho;
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_cluster::wire::{DatagramWriter, Header, MemberState, MemberUpdate, Secret};
use std::net::SocketAddr;

/// The contents of a cluster's key file.
pub const KEY: &str = "a key for measuring sizes alone";
/// The name of the cluster.
const CLUSTER_NAME: &str = "measured";
/// The gossip port of all nodes.
const PORT: u16 = 7946;
/// The clock in datagrams, in microseconds: one day of uptime.
const CLOCK_US: u64 = 86_400_000_000;
/// The age of the echo in datagrams, in microseconds.
const ECHO_AGE_US: u64 = 500_000;
/// The sequence number of the first datagram.
const SEQUENCE: u64 = 1_000_000;

/// Derives the secret of the cluster.
pub fn secret() -> Result<Secret> {
    Ok(Secret::new(KEY.as_bytes(), CLUSTER_NAME)?)
}

/// Returns a non-zero process tag that differs for each node number.
pub fn tag(number: usize) -> u64 {
    (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
}

/// Returns the name of a node.
pub fn node_name(number: usize) -> String {
    format!("node-{number:04}")
}

/// Creates a node with a name, address and tag of its own.
pub fn node(number: usize) -> Node {
    let [low, middle, high, ..] = (number as u32).to_le_bytes();
    Node {
        name: node_name(number),
        address: SocketAddr::from(([10, high, middle, low], PORT)),
        incarnation: Incarnation {
            number: 3,
            tag: tag(number),
        },
    }
}

/// Creates the header of a datagram.
pub fn header(from: Node, to_tag: u64, members: Vec<MemberUpdate>) -> Header {
    Header {
        from,
        to_tag,
        sequence: SEQUENCE,
        clock_us: CLOCK_US,
        echo: Some(ClockEcho {
            clock_us: CLOCK_US,
            elapsed_us: ECHO_AGE_US,
        }),
        requests_echo: false,
        newer_incarnation: None,
        swim: Vec::new(),
        anti_entropy: None,
        members,
    }
}

/// Creates the member update that a node is alive.
pub fn alive(number: usize) -> MemberUpdate {
    MemberUpdate {
        node: node(number),
        swim_incarnation: 1,
        state: MemberState::Alive,
    }
}

/// Creates a sealed datagram.
pub fn datagram(secret: &Secret, header: &Header, entries: &[Entry]) -> Result<Vec<u8>> {
    let mut writer = DatagramWriter::new(header).ok_or(Error::HeaderTooLong)?;
    if !entries.iter().all(|entry| writer.add(entry)) {
        return Err(Error::EntriesTooLong);
    }
    Ok(writer.seal(secret))
}
