//! The publishers of [`two_publishers_and_relays`](super::two_publishers_and_relays), with the tokens by which they write.

use reelfall_distribution::peer::PeerId;
use reelfall_distribution::Time;

/// A publisher and the token of the lease by which it writes.
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
/// Succeeds the first one where a case says so.
pub const SECOND_WRITER: Writer = Writer {
    publisher: 2,
    token: 2,
};
/// Follow both publishers.
pub const RELAYS: [u32; 2] = [10, 11];
/// Longer than any case, in seconds.
pub const LEASE_DURATION: Time = 1e6;
