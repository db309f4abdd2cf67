//! A fleet of nodes: its membership, and the table of entries that its nodes replicate.
//!
//! This crate does no I/O: datagrams, times and random seeds are arguments, and datagrams to send are returned as
//! values.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`node`] | the identity of a node: name, address, incarnation |
//! | [`entry`] | the replicated entries: typed keys and values with owners, versions and times to live |
//! | [`table`] | merging, aging and expiry of entries, and the queue of entries to gossip |
//! | [`freshness`] | upper bounds of the age of a datagram, by the receiver's clock |
//! | [`wire`] | datagrams: bounded, versioned, authenticated by the fleet's key |
//! | [`members`] | membership: probes, suspicion, refutation (SWIM) |
//! | [`observer`] | this node's observations of servers, as failure reports |
//! | [`quorum`] | which servers the reports of several nodes eject, and which node probes them |
//! | [`fleet`] | one node of a fleet, which combines the other modules |
//!
//! The proof of the bound on ages is in `docs/design/verdicts.md`.

pub mod entry;
pub mod fleet;
pub mod freshness;
pub mod members;
pub mod node;
pub mod observer;
pub mod quorum;
pub mod table;
pub mod wire;

/// Seconds on the local monotonic clock; only differences are meaningful.
pub type Time = f64;

const MICROS_PER_SECOND: f64 = 1e6;
const MILLIS_PER_SECOND: f64 = 1e3;

/// The maximum drift rate of a clock, as a fraction. Crystal oscillators stay within 100 parts per million, a clock
/// that is being slewed within 500 (`adjtimex`: `MAXFREQ`).
pub const DRIFT: f64 = 500e-6;
