//! A fleet of nodes: its membership, and the table of entries that its nodes replicate.
//!
//! No I/O: datagrams, times and randomness are arguments, and datagrams to send are returned as values.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`node`] | the identity of a node: name, address, incarnation |
//! | [`entry`] | what nodes replicate: typed keys and values with owners, versions and times to live |
//! | [`table`] | merging entries, their ages and expiry, what still has to be gossiped |
//! | [`freshness`] | how old a datagram can be at most, by the receiver's own clock |
//! | [`wire`] | datagrams: bounded, versioned, authenticated by the fleet's key |
//! | [`members`] | membership: probes, suspicion, refutation (SWIM) |
//! | [`observer`] | this node's observations of servers, as failure reports |
//! | [`quorum`] | what several nodes' reports make of a server, and which node probes it |
//! | [`fleet`] | all of it together: one node's part in a fleet |
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

/// Seconds on the reader's own monotonic clock; only differences matter.
pub type Time = f64;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1e3;

/// The maximum drift of a clock, as a share. Crystals keep within 100 parts per million, a clock that is being slewed
/// within 500 (`adjtimex`: `MAXFREQ`).
pub const DRIFT: f64 = 500e-6;
