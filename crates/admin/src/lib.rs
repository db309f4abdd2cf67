//! Operation of a running node, without I/O: management requests, bans, drains and takeovers. Used by the node program
//! and its command line.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`request`] | parsing and formatting of requests on the management address |
//! | [`ban`] | which servers are banned, and the start time of one whose ban was lifted |
//! | [`drain`] | whether a node is draining, and when its idle connections are closed |
//! | [`ledger`] | the stored form of bans and drains |
//! | [`takeover`] | the frames that two processes of a node exchange while one takes over from the other |
//! | [`succession`] | which of the two processes accepts connections, and which has the clients |
//!
//! Functions that depend on the time take it as an argument, in seconds of Unix time.

pub mod ban;
pub mod drain;
mod error;
pub mod ledger;
pub mod request;
pub mod succession;
pub mod takeover;

/// Seconds of Unix time.
pub type Time = f64;
