//! Leases for tasks that one node performs for a whole fleet. Two holders of a lease never act at the same time.
//!
//! No I/O: messages, times and random numbers are arguments; messages to send, and the records that must be on disk
//! before them, are returned as values.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`clock`] | how long a lease lasts for its holder and for the keepers, on clocks that drift |
//! | [`token`] | lease names, fencing tokens, the operations that carry them, and fences that reject stale tokens |
//! | [`message`] | the messages between clients and keepers, and between keepers |
//! | [`durable`] | the durable state of a keeper, and the log records that change it |
//! | [`queue`] | the clients that wait for a lease, longest wait first |
//! | [`keeper`] | the promises and grants of one keeper (a Paxos acceptor) |
//! | [`recovery`] | checks with a keeper's peers that its storage is current, before the keeper votes |
//! | [`holder`] | one node's part in one lease (a Paxos proposer): acquiring, holding, renewing, releasing |
//!
//! A lease is granted by a majority of the keepers, as in PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless
//! Paxos for Leases", 2012), with one difference: a promise is on disk before it is sent, so that ballot numbers are
//! fencing tokens in the sense of Gray and Cheriton and of Kleppmann. The proof is in `docs/design/leases.md`.

pub mod clock;
pub mod durable;
pub mod holder;
pub mod keeper;
pub mod message;
pub mod queue;
pub mod recovery;
pub mod token;

/// A duration in microseconds, or a reading of the process's own monotonic clock, of which only differences matter.
pub type Micros = u64;

/// The number of votes that are a majority among this number of keepers.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}
