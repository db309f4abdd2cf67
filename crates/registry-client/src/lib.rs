//! A client that follows and registers ephemeral entries of a ZooKeeper-like registry. It does no I/O: received bytes,
//! the time and random seeds are arguments, and what the caller has to do is returned as commands.
//!
//! | module | content |
//! | --- | --- |
//! | [`wire`] | frames, records and operations of the protocol |
//! | [`session`] | a session with the registry, over connections to one member at a time |
//! | [`entry`] | parses the description of a server in an entry |
//! | [`follow`] | mirrors the entries under a path, even if watch events are lost |
//! | [`roster`] | the listed servers: resolves conflicts between entries, and delays the return of servers that flap |
//! | [`registration`] | registers the entry of this node |
//!
//! Sources: the ZooKeeper Programmer's Guide, Internals and record definitions, release 3.9.

pub mod entry;
pub mod follow;
pub mod registration;
pub mod roster;
pub mod session;
pub mod wire;

/// Seconds of Unix time, or a duration in seconds.
pub type Time = f64;
