//! Classification of a fleet's datagrams, for [`counters`](super::counters): the kind of each, and how many of its
//! bytes are replicated entries.

use reelfall_cluster::wire::{
    self, AppMessage, DatagramWriter, GossipDatagram, Header, KeyTooShort, Secret,
};

/// Longest datagram of a fleet, in bytes.
pub const MAX_DATAGRAM_LEN: usize = wire::MAX_DATAGRAM_LEN;
/// The key file of every fleet of a scale run. It protects nothing: all sockets are on loopback.
pub const KEY_FILE: &[u8] = b"the key of a scale run on loopback";
/// The name of every fleet of a scale run.
pub const FLEET_NAME: &str = "scale";

/// The purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Probes, their acknowledgements and member updates, all in the membership library's own format.
    Membership,
    /// Digests of the entry tables.
    AntiEntropy,
    /// Members, for a node that joins.
    Introduction,
    /// Replicated entries alone. On the other kinds they are piggybacked.
    Entries,
    /// An application message.
    Application,
}

impl DatagramKind {
    /// Number of kinds.
    pub const COUNT: usize = 5;
    /// All kinds, in the order of reports.
    pub const ALL: [DatagramKind; DatagramKind::COUNT] = [
        DatagramKind::Membership,
        DatagramKind::AntiEntropy,
        DatagramKind::Introduction,
        DatagramKind::Entries,
        DatagramKind::Application,
    ];

    /// Returns the name in reports.
    pub fn label(self) -> &'static str {
        match self {
            DatagramKind::Membership => "membership",
            DatagramKind::AntiEntropy => "comparison",
            DatagramKind::Introduction => "introduction",
            DatagramKind::Entries => "verdicts",
            DatagramKind::Application => "errand",
        }
    }

    /// The kind of a datagram with this header.
    fn of_header(header: &Header) -> DatagramKind {
        if header.anti_entropy.is_some() {
            DatagramKind::AntiEntropy
        } else if !header.members.is_empty() {
            DatagramKind::Introduction
        } else if !header.swim.is_empty() {
            DatagramKind::Membership
        } else {
            DatagramKind::Entries
        }
    }
}

/// A datagram's kind and the split of its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassifiedDatagram {
    /// Purpose of the datagram.
    pub kind: DatagramKind,
    /// Bytes of everything but replicated entries.
    pub base_bytes: usize,
    /// Bytes of replicated entries.
    pub entry_bytes: usize,
}

/// Derives the key of every fleet of a scale run.
///
/// # Errors
/// If [`KEY_FILE`] is too short; the constant is long enough.
pub fn fleet_secret() -> Result<Secret, KeyTooShort> {
    Secret::new(KEY_FILE, FLEET_NAME)
}

/// Classifies a datagram; `None` if it does not belong to this fleet.
pub fn classify(secret: &Secret, datagram: &[u8]) -> Option<ClassifiedDatagram> {
    if AppMessage::matches(datagram) {
        return Some(ClassifiedDatagram {
            kind: DatagramKind::Application,
            base_bytes: datagram.len(),
            entry_bytes: 0,
        });
    }
    let GossipDatagram { header, entries } = GossipDatagram::open(secret, datagram).ok()?;
    let base_bytes = if entries.is_empty() {
        datagram.len()
    } else {
        DatagramWriter::new(&header)?.seal(secret).len()
    };
    Some(ClassifiedDatagram {
        kind: DatagramKind::of_header(&header),
        base_bytes,
        entry_bytes: datagram.len().saturating_sub(base_bytes),
    })
}
