//! A node with its discovery, servers and clients on loopback sockets, for tests that control every byte.
//!
//! Uses blocking sockets with one thread per connection: slow, but the order of events is easy to follow. Used by the
//! integration tests of this package. Unexpected input panics, so that the test fails.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `sockets` | listeners, and a thread for each connection |
//! | `message` | HTTP message parser |
//! | `discovery` | the platform's discovery service, which sends the lines that a test specifies |
//! | `server` | servers that respond as a test specifies |
//! | `node` | the process of the program under test |
//! | `configuration` | the configuration that the platform writes |
//! | `client` | requests from clients and operators |

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
pub use configuration::{NodeSettings, PlatformConfiguration};
pub use discovery::{endpoint_list, Discovery, ListedServer};
pub use message::{Header, Message};
pub use node::Node;
pub use server::{ok_response, GatedServer, Server};
pub use sockets::{listener_with_full_backlog, serve, wait_for_connection_attempt};

use std::time::Duration;

/// Timeout of all waits. It is far longer than a passing test needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
