//! The publishers of [`two_publishers_and_relays`](super::two_publishers_and_relays), with the tokens of the leases
//! under which they publish.

use reelfall_distribution::peer::PeerId;
use reelfall_distribution::Time;

/// A publisher and the token of the lease under which it publishes.
#[derive(Clone, Copy)]
pub struct Writer {
    pub publisher: u32,
    pub token: u64,
}

impl Writer {
    pub fn peer(self) -> PeerId {
        PeerId(self.publisher)
    }
}

/// Holds the lease from the start.
pub const FIRST_WRITER: Writer = Writer {
    publisher: 1,
    token: 1,
};
/// Succeeds the first one in cases that grant it the lease.
pub const SECOND_WRITER: Writer = Writer {
    publisher: 2,
    token: 2,
};
/// The relays, which follow both publishers.
pub const RELAYS: [u32; 2] = [10, 11];
/// Duration of a lease in seconds, longer than any case takes.
pub const LEASE_DURATION: Time = 1e6;
