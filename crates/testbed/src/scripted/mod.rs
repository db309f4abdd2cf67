//! A node with its discovery, servers and clients, all on loopback sockets, for tests that prescribe every byte.
//!
//! Threads and blocking sockets, one thread for each connection: slow, but the order of events is plain.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `sockets` | listeners, and a thread for each connection |
//! | `message` | one HTTP message |
//! | `discovery` | the discovery service of the platform |
//! | `server` | servers that respond as a test prescribes |
//! | `node` | the program under test |
//! | `client` | requests of clients and operators |

mod client;
mod discovery;
mod message;
mod node;
mod server;
mod sockets;

pub use crate::node::Program;
pub use client::{
    call, connect, exchange, get, read_request, read_response, write_request, Response,
};
pub use discovery::{endpoint_list, Discovery};
pub use message::Message;
pub use node::Node;
pub use server::{ok_response, HoldingServer, Server};
pub use sockets::{listener_with_full_backlog, serve, wait_for_connection_attempt};

use std::time::Duration;

/// No wait in these tests is longer; a passing one needs a small part of it.
pub const PATIENCE: Duration = Duration::from_secs(20);
