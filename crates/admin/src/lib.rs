//! What operators do to a running node, decided without I/O: the node program and its command line call this crate.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`request`] | the requests on the management address, and why one is rejected |
//! | [`ban`] | which servers are banned, and from when one whose ban was lifted counts as started |
//! | [`drain`] | whether a node that is draining is healthy, and when idle connections are closed |
//! | [`ledger`] | the stored form of bans and drains |
//! | [`takeover`] | the frames that two processes of a node exchange while one takes over from the other |
//! | [`succession`] | which of the two accepts connections meanwhile, and which has the clients |
//!
//! Time is an argument everywhere, in seconds of Unix time.

pub mod ban;
pub mod drain;
mod error;
pub mod ledger;
pub mod request;
pub mod succession;
pub mod takeover;

/// Seconds of Unix time.
pub type Time = f64;
