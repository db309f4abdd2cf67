//! Follows the ephemeral entries of a registry in the manner of ZooKeeper, without I/O: bytes, times and randomness are
//! arguments, and what is to be done comes back.
//!
//! | module | does |
//! | --- | --- |
//! | [`wire`] | frames, records and operations of the protocol |
//! | [`session`] | one session with the registry, over connections to its members in turn |
//! | [`entry`] | what an entry says of its server, checked |
//! | [`follow`] | keeps a mirror of the entries under a path, whatever watches fire or are lost |
//! | [`roster`] | which servers that makes: who counts of two, who is to wait, what is not to be trusted |
//! | [`own`] | the entry that this node has of its own |
//!
//! Sources: the ZooKeeper Programmer's Guide, Internals and record definitions, release 3.9.

pub mod entry;
pub mod follow;
pub mod own;
pub mod roster;
pub mod session;
pub mod wire;

/// Seconds of Unix time; only what lists say of starts needs more than differences.
pub type Time = f64;
