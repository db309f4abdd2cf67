//! What operators do to a running node, decided without I/O.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`request`] | what a request on the management address asks for, or why it is rejected |
//! | [`ban`] | which servers are banned, and from when one whose ban was lifted counts as started |
//! | [`drain`] | what a node that is draining tells its clients, and when their idle connections are closed |
//! | [`ledger`] | the stored form of bans and drains, so that they outlive the process that was told |
//! | [`takeover`] | what two processes of a node tell each other while one takes over from the other |
//! | [`succession`] | who accepts and who has the clients meanwhile |
//!
//! Time is an argument everywhere, in seconds of Unix time.

pub mod ban;
pub mod drain;
mod fault;
pub mod ledger;
pub mod request;
pub mod succession;
pub mod takeover;

/// Seconds of Unix time.
pub type Time = f64;
