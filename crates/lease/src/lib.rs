//! Leases for tasks that one node does for a whole fleet: two holders never act at once.
//!
//! No I/O: messages, moments and chance are arguments; what is to be sent, and what has to be on the disk before that,
//! comes back as values.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`clock`] | how long holder and keeper count, on clocks that drift |
//! | [`token`] | names, tokens that only grow, acts that can't be written without one, fences that refuse lower ones |
//! | [`say`] | what askers and keepers say to each other |
//! | [`image`] | what a keeper has on its disk |
//! | [`queue`] | who waits, in a fair order |
//! | [`keeper`] | who has promised and granted what |
//! | [`trust`] | whether a keeper's folder is what its fellows know it to be |
//! | [`holder`] | one node's part in one lease: asking, holding, renewing, giving back |
//!
//! A lease is held by grace of a majority of a few keepers, in the manner of PaxosLease (Trencseni, Gazso, Reinhardt,
//! "PaxosLease: Diskless Paxos for Leases", 2012), with one difference: what is promised is on the disk before it is
//! said, so that its numbers are tokens in the sense of Gray and Cheriton's and Kleppmann's fences. The proof is in
//! `docs/design/leases.md`.

pub mod clock;
pub mod holder;
pub mod image;
pub mod keeper;
pub mod queue;
pub mod say;
pub mod token;
pub mod trust;

/// Microseconds on one process's own monotonic clock; only differences matter.
pub type Micros = u64;

/// How many of so many keepers are a majority.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}
