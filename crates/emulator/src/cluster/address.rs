//! Names and addresses of a cluster's nodes, and their default configuration and shared key.

use reelfall_cluster::fleet::Config;
use reelfall_cluster::wire::Secret;
use std::net::SocketAddr;

/// The port of the first node.
const FIRST_PORT: u16 = 10_000;
/// Number of seed nodes, which a node contacts to join.
const SEED_NODES: usize = 3;

/// The address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

/// The index of the node with an address; out of range for an unknown address.
pub(super) fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port()).wrapping_sub(usize::from(FIRST_PORT))
}

/// The default name of a node.
pub fn name(node: usize) -> String {
    format!("node-{node}")
}

/// The default configuration, with the first nodes as seed nodes.
pub fn default_config() -> Config {
    Config {
        seeds: (0..SEED_NODES).map(address).collect(),
        ..Config::default()
    }
}

/// The key that authenticates the cluster's datagrams.
pub fn secret() -> Secret {
    match Secret::new(b"a key of this world's own", "lagos") {
        Ok(secret) => secret,
        Err(_) => unreachable!("the key is long enough"),
    }
}
