//! What datagrams of a fleet contain, for figures.

use reelfall_cluster::wire::{GossipDatagram, Secret};

/// What datagrams contained, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// How many there were.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of the membership protocol's part: probes, and the news of members that they carry.
    pub swim_bytes: u64,
    /// Members told in the answers to comparisons.
    pub members: u64,
    /// Entries of the table, such as bans.
    pub entries: u64,
}

impl Contents {
    /// What was added since an earlier state of the same sum.
    pub fn since(&self, earlier: &Contents) -> Contents {
        Contents {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
            swim_bytes: self.swim_bytes - earlier.swim_bytes,
            members: self.members - earlier.members,
            entries: self.entries - earlier.entries,
        }
    }
}

/// Opens datagrams with the fleet's key and sums up what is in them.
pub struct Inspector {
    secret: Secret,
    /// The sum so far.
    pub seen: Contents,
}

impl Inspector {
    /// One that has seen nothing yet.
    pub fn new(secret: Secret) -> Inspector {
        Inspector {
            secret,
            seen: Contents::default(),
        }
    }

    /// A datagram was sent.
    pub fn add(&mut self, datagram: &[u8]) {
        self.seen.datagrams += 1;
        self.seen.bytes += datagram.len() as u64;
        // Messages of applications are of another kind and have none of these parts.
        let Ok(GossipDatagram { header, entries }) = GossipDatagram::open(&self.secret, datagram)
        else {
            return;
        };
        self.seen.swim_bytes += header.swim.len() as u64;
        self.seen.members += header.members.len() as u64;
        self.seen.entries += entries.len() as u64;
    }
}
