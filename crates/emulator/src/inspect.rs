//! Statistics of the datagrams of a cluster, for the scale runs.

use reelfall_cluster::wire::{GossipDatagram, Secret};

/// Sums over datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramStats {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of the membership protocol: probes, and the member updates that they carry.
    pub swim_bytes: u64,
    /// Number of members in responses of anti-entropy.
    pub members: u64,
    /// Number of entries of the table, such as bans.
    pub entries: u64,
}

impl DatagramStats {
    /// The difference from an earlier state of the same sums.
    pub fn since(&self, earlier: &DatagramStats) -> DatagramStats {
        DatagramStats {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
            swim_bytes: self.swim_bytes - earlier.swim_bytes,
            members: self.members - earlier.members,
            entries: self.entries - earlier.entries,
        }
    }
}

/// Opens datagrams with the cluster's key and counts their contents.
pub struct Inspector {
    secret: Secret,
    /// The sums so far.
    pub stats: DatagramStats,
}

impl Inspector {
    /// An inspector that has counted nothing yet.
    pub fn new(secret: Secret) -> Inspector {
        Inspector {
            secret,
            stats: DatagramStats::default(),
        }
    }

    /// Counts a datagram.
    pub fn add(&mut self, datagram: &[u8]) {
        self.stats.datagrams += 1;
        self.stats.bytes += datagram.len() as u64;
        // Datagrams of applications are of another kind and have none of these parts.
        let Ok(GossipDatagram { header, entries }) = GossipDatagram::open(&self.secret, datagram)
        else {
            return;
        };
        self.stats.swim_bytes += header.swim.len() as u64;
        self.stats.members += header.members.len() as u64;
        self.stats.entries += entries.len() as u64;
    }
}
