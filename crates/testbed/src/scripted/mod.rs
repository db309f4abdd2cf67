//! A node with its discovery, servers and clients, all on loopback sockets, for tests that prescribe every byte.
//!
//! Threads and blocking sockets, one thread for each connection: slow, but the order of events is plain. The integration
//! tests of this package call it; a peer that a test did not prescribe panics, so that the test fails.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `sockets` | listeners, and a thread for each connection |
//! | `message` | parsing of one HTTP message |
//! | `discovery` | the discovery service of the platform, with the lines that a test prescribes |
//! | `server` | servers that respond as a test prescribes |
//! | `node` | the process of the program under test |
//! | `configuration` | the configuration of a platform |
//! | `client` | requests of clients and operators |

mod client;
mod configuration;
mod discovery;
mod message;
mod node;
mod server;
mod sockets;

pub use crate::node::Program;
pub use client::{
    call_management, connect, exchange, get, read_request, read_response, write_request, Response,
};
pub use configuration::PlatformConfiguration;
pub use discovery::{endpoint_list, Discovery, ListedServer};
pub use message::{Header, Message};
pub use node::Node;
pub use server::{ok_response, GatedServer, Server};
pub use sockets::{listener_with_full_backlog, serve, wait_for_connection_attempt};

use std::time::Duration;

/// Longest wait in these tests; one that passes needs a small part of it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
