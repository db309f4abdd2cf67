//! Clients that leave, and ids that come back, on the real program: nothing is sent for a client that has left, and no unsafe
//! request runs twice.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `servers` | servers that record when each request ran |
//! | `ids` | ids that come back on another connection or at another process |
//! | `departures` | clients that leave behind requests that were not read |

mod departures;
mod ids;
mod servers;

use reelfall_testbed::scripted::{Discovery, Node, Program};
use std::net::SocketAddr;

const MAX_SOCKETS: usize = 512;

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Starts a node of the platform with these servers.
fn start_node(servers: &[SocketAddr]) -> (Discovery, Node) {
    let discovery = Discovery::listing(servers);
    let node = Node::start(&program(), discovery.address, MAX_SOCKETS);
    (discovery, node)
}
