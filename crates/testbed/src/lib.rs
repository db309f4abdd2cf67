//! Stand-ins, load generation and fault injection for testing and measuring reelfall on loopback addresses.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`pool`] | upstream servers with a fixed capacity and injected faults, which count the effects of requests |
//! | [`graphql`] | a GraphQL application with a small schema, which runs on those servers |
//! | [`discovery`] | the platform's discovery service |
//! | [`registry`] | a stand-in for a ZooKeeper ensemble |
//! | [`membership`] | servers with entries in that registry |
//! | [`link`] | a TCP proxy that delays, freezes, cuts, throttles or half-opens connections |
//! | [`fleet`] | many nodes that gossip, network faults between them, and a common history of events |
//! | [`load`] | open-loop load generator: requests at random times, independent of responses |
//! | [`client`] | an HTTP client with a connection pool |
//! | [`node`] | the program under test, as a separate process |
//! | [`relay`] | a round-robin proxy: the baseline for CPU time |
//! | [`scenario`] | checks of guarantees under load and faults |
//! | [`demo`] | a node with its stand-ins, for manual use |
//! | [`measure`] | CPU time, latency and memory of a node |
//! | [`scripted`] | peers with blocking sockets, for tests that control every byte |
//! | [`slow_answers`] | servers that write answers slowly, and clients that record when each part comes |
//! | [`soak`] | long randomized runs, each checked against the records of clients and servers |
//! | [`test_node`] | a node of either kind, for tests with blocking sockets |
//! | [`ports`] | port reservations on the loopback address |

pub mod client;
pub mod demo;
pub mod discovery;
pub mod fleet;
pub mod graphql;
pub mod link;
pub mod load;
pub mod measure;
pub mod membership;
pub mod node;
pub mod pool;
pub mod ports;
mod random;
pub mod registry;
pub mod relay;
pub mod scenario;
pub mod scripted;
pub mod slow_answers;
pub mod soak;
mod task;
pub mod test_node;

pub use random::SeededRng;
pub use task::{shutdown_signal, spawn, AbortOnDrop};

/// Any error of the test bed.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// The result of a fallible operation of the test bed.
pub type Result<T> = std::result::Result<T, Error>;
