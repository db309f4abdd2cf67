//! Follows the ephemeral entries of a registry in the manner of ZooKeeper, without I/O: bytes, times and randomness are
//! arguments, and what is to be done is returned.
//!
//! | module | does |
//! | --- | --- |
//! | [`wire`] | frames, records and operations of the protocol |
//! | [`session`] | one session with the registry, over connections to its members in turn |
//! | [`entry`] | the description of a server in an entry, checked |
//! | [`follow`] | keeps a mirror of the entries under a path, whatever watches fire or are lost |
//! | [`roster`] | the listed servers: which of two entries is in force, and whose return is held back |
//! | [`registration`] | the entry of this node itself |
//!
//! Sources: the ZooKeeper Programmer's Guide, Internals and record definitions, release 3.9.

pub mod entry;
pub mod follow;
pub mod registration;
pub mod roster;
pub mod session;
pub mod wire;

/// Seconds of Unix time; only what lists say of starts needs more than differences.
pub type Time = f64;
