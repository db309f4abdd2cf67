//! Statistics of the contents of a cluster's datagrams, for the scale runs.

use reelfall_cluster::wire::{GossipDatagram, Secret};

/// Totals over datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramStats {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size of the datagrams, in bytes.
    pub bytes: u64,
    /// Bytes of the membership protocol: probes, and the member updates that they carry.
    pub swim_bytes: u64,
    /// Number of members in anti-entropy responses.
    pub members: u64,
    /// Number of table entries, such as bans.
    pub entries: u64,
}

impl DatagramStats {
    /// The increase since earlier totals.
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

/// Decodes datagrams with the cluster's key and counts their contents.
pub struct Inspector {
    secret: Secret,
    /// The totals so far.
    pub stats: DatagramStats,
}

impl Inspector {
    /// An inspector for datagrams that are sealed with this key, with empty totals.
    pub fn new(secret: Secret) -> Inspector {
        Inspector {
            secret,
            stats: DatagramStats::default(),
        }
    }

    /// Adds a datagram to the totals.
    pub fn add(&mut self, datagram: &[u8]) {
        self.stats.datagrams += 1;
        self.stats.bytes += datagram.len() as u64;
        // Application datagrams, and those of another key, can't be opened as gossip; only their size is counted.
        let Ok(GossipDatagram { header, entries }) = GossipDatagram::open(&self.secret, datagram)
        else {
            return;
        };
        self.stats.swim_bytes += header.swim.len() as u64;
        self.stats.members += header.members.len() as u64;
        self.stats.entries += entries.len() as u64;
    }
}
