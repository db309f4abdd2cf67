//! Stand-ins, load and faults for trying, testing and measuring reelfall on loopback addresses.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`pool`] | upstream servers with a fixed capacity, injected faults and a count of effects |
//! | [`graphql`] | a GraphQL application with a small schema, to run on those servers |
//! | [`discovery`] | the platform's discovery service |
//! | [`registry`] | a ZooKeeper-like registry |
//! | [`membership`] | servers with entries in that registry |
//! | [`link`] | a network path that delays, freezes, cuts, throttles or half-opens connections |
//! | [`fleet`] | many nodes that gossip, faults between them, and one history of events |
//! | [`load`] | open-loop load: requests at random times, independent of responses |
//! | [`client`] | one HTTP client with pooled connections |
//! | [`node`] | the program under test, as a process of its own |
//! | [`relay`] | a round-robin proxy: the baseline for processor time |
//! | [`scenario`] | checks of guarantees under load and faults |
//! | [`demo`] | a node with its stand-ins, for manual use |
//! | [`measure`] | processor time, latency and memory of a node |
//! | [`scripted`] | peers whose bytes a test sets one by one, in blocking code |
//! | [`soak`] | many drawn days, each judged by what clients and servers saw |
//! | [`ports`] | free ports of the loopback address |

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
pub mod soak;
mod task;

pub use random::SeededRng;
pub use task::{shutdown_signal, spawn, AbortOnDrop};

/// The error of a stand-in itself.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// The result of a stand-in.
pub type Result<T> = std::result::Result<T, Error>;
