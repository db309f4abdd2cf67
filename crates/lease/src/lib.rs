//! Leases for tasks that one node performs for a whole fleet: two holders never act at once.
//!
//! No I/O: messages, times and randomness are arguments; messages to send, and records that have to be on disk before
//! that, are returned as values.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`clock`] | how long holder and keeper count, on clocks that drift |
//! | [`token`] | lease names, fencing tokens, operations that can't be built without one, fences that reject lower ones |
//! | [`message`] | the messages between clients and keepers |
//! | [`durable`] | the state that a keeper has on its disk |
//! | [`queue`] | the clients that wait, in a fair order |
//! | [`keeper`] | promises and grants of one keeper (an acceptor) |
//! | [`recovery`] | whether a keeper's storage is the one that its peers know |
//! | [`holder`] | one node's part in one lease (a proposer): requesting, holding, renewing, releasing |
//!
//! A lease is held by grant of a majority of a few keepers, in the manner of PaxosLease (Trencseni, Gazso, Reinhardt,
//! "PaxosLease: Diskless Paxos for Leases", 2012), with one difference: promises are on disk before they are sent, so that
//! ballot numbers are fencing tokens in the sense of Gray and Cheriton and of Kleppmann. The proof is in
//! `docs/design/leases.md`.

pub mod clock;
pub mod durable;
pub mod holder;
pub mod keeper;
pub mod message;
pub mod queue;
pub mod recovery;
pub mod token;

/// Microseconds on one process's own monotonic clock; only differences matter.
pub type Micros = u64;

/// The size of a majority of so many keepers.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}
