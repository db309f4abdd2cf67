//! Datagrams between the nodes of a fleet.
//!
//! ```text
//! "rF" | version | first 16 bytes of a keyed BLAKE3 of what follows | header (postcard) | entries (postcard), to the end
//! "rL" | version | first 16 bytes of a keyed BLAKE3 of what follows | application message (postcard)
//! ```
//!
//! The key is derived from the fleet's key file and its name, so that datagrams under another key, of another fleet's name
//! or of another version are dropped. Nothing is encrypted: a datagram tells whoever sees it which servers are faulty.
//!
//! Sources: BLAKE3's keyed hash and `derive_key` (the BLAKE3 paper, sections 2.3 and 6.2); RFC 8085, section 3.2, for
//! the bound.

use crate::entry::Entry;
use crate::freshness::ClockEcho;
use crate::node::{Incarnation, Node, MAX_NAME_LEN};
use crate::table::PARTITIONS;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a datagram, in bytes: one that no path has to fragment.
pub const MAX_DATAGRAM_LEN: usize = 1200;
/// Maximum length of the membership protocol's part of it.
pub const MAX_SWIM_LEN: usize = 700;
/// Minimum length of a key file, in bytes.
pub const MIN_KEY_FILE_LEN: usize = 16;
/// Number of partitions in which memberships are compared.
pub const MEMBER_PARTITIONS: usize = 8;

const GOSSIP_MAGIC: [u8; 2] = *b"rF";
const MESSAGE_MAGIC: [u8; 2] = *b"rL";
const VERSION: u8 = 2;
const MAC_LEN: usize = 16;
/// What precedes the body: magic, version and MAC.
const PREFIX_LEN: usize = GOSSIP_MAGIC.len() + 1 + MAC_LEN;
/// Maximum length of the encoded number of member updates, in bytes.
const MAX_COUNT_LEN: usize = 2;

/// A key file is too short to be secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the key has {len} bytes, {MIN_KEY_FILE_LEN} at least")]
pub struct KeyTooShort {
    /// Its length, in bytes.
    pub len: usize,
}

/// The fleet's key.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key from the bytes of the key file and the fleet's name.
    ///
    /// # Errors
    /// If the key file is too short.
    pub fn new(file: &[u8], fleet: &str) -> Result<Secret, KeyTooShort> {
        if file.len() < MIN_KEY_FILE_LEN {
            return Err(KeyTooShort { len: file.len() });
        }
        let mut hasher = blake3::Hasher::new_derive_key("reelfall fleet datagrams, version 1");
        // The length separates the name from the key: no two pairs of them have the same concatenation.
        hasher
            .update(&(fleet.len() as u64).to_le_bytes())
            .update(fleet.as_bytes())
            .update(file);
        Ok(Secret(*hasher.finalize().as_bytes()))
    }

    fn mac(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

/// An anti-entropy exchange: a comparison of the digests of two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AntiEntropy {
    /// The writer's digests; asks for what differs, and for the reader's digests.
    Request(Digests),
    /// The writer's digests, in response.
    Response(Digests),
}

/// The digests that two nodes compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Of the partitions of the table.
    pub entries: [u64; PARTITIONS],
    /// Of the partitions of the membership.
    pub members: [u32; MEMBER_PARTITIONS],
}

/// The state of a member, as the writer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It is alive.
    Alive,
    /// It is suspected to be dead.
    Suspected,
    /// It is dead.
    Dead,
}

/// What the writer knows of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub node: Node,
    /// The latest incarnation in the sense of the membership protocol, which a node increments to refute a suspicion.
    pub swim_incarnation: u16,
    /// Its state in that.
    pub state: MemberState,
}

/// What a datagram contains beside its entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The writer.
    pub from: Node,
    /// The tag of the receiving process; 0 where that is not known.
    pub to_tag: u64,
    /// Counted by the writer.
    pub sequence: u64,
    /// The writer's clock, in microseconds.
    pub clock_us: u64,
    /// The last value of the clock of `to` that the writer has received.
    pub echo: Option<ClockEcho>,
    /// The writer has entries to send that need a proof of their age: any answer gives it an echo.
    pub requests_echo: bool,
    /// The greatest incarnation of the reader's name that the writer knows, if the reader used a smaller one.
    pub newer_incarnation: Option<Incarnation>,
    /// The membership protocol's part.
    pub swim: Vec<u8>,
    /// An anti-entropy exchange.
    pub anti_entropy: Option<AntiEntropy>,
    /// Members that the reader may not know.
    pub members: Vec<MemberUpdate>,
}

impl Header {
    /// Moves members from the end of a list into the datagram, as many as fit.
    pub fn add_members(&mut self, updates: &mut Vec<MemberUpdate>) {
        let encoded_len = |header: &Header| {
            postcard::to_stdvec(header).map_or(MAX_DATAGRAM_LEN, |bytes| bytes.len())
        };
        let mut left =
            MAX_DATAGRAM_LEN.saturating_sub(PREFIX_LEN + MAX_COUNT_LEN + encoded_len(self));
        while let Some(update) = updates.last() {
            let needed = postcard::to_stdvec(update).map_or(MAX_DATAGRAM_LEN, |bytes| bytes.len());
            if needed > left {
                return;
            }
            left -= needed;
            self.members.extend(updates.pop());
        }
    }
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DropReason {
    /// It exceeds [`MAX_DATAGRAM_LEN`].
    #[error("too long")]
    TooLong,
    /// It is of another kind or version.
    #[error("of another kind or version")]
    Foreign,
    /// It was not written with this key, or was changed in transit.
    #[error("not under this fleet's key")]
    Unauthenticated,
    /// It is authenticated and can't be decoded.
    #[error("unreadable")]
    Malformed,
    /// It was received before.
    #[error("repeated")]
    Duplicate,
    /// This node wrote it.
    #[error("this node's own")]
    Own,
    /// It is for another process of this name.
    #[error("for another process")]
    Misdirected,
}

/// A datagram under construction.
pub struct DatagramWriter {
    bytes: Vec<u8>,
    /// Number of entries in it.
    pub entry_count: usize,
}

impl DatagramWriter {
    /// A datagram with this header; `None` if it does not fit.
    pub fn new(header: &Header) -> Option<DatagramWriter> {
        DatagramWriter::with_body(GOSSIP_MAGIC, header)
    }

    fn with_body<T: Serialize>(magic: [u8; 2], body: &T) -> Option<DatagramWriter> {
        let mut bytes = vec![0; PREFIX_LEN];
        bytes[..2].copy_from_slice(&magic);
        bytes[2] = VERSION;
        let bytes = postcard::to_extend(body, bytes).ok()?;
        (bytes.len() <= MAX_DATAGRAM_LEN).then_some(DatagramWriter {
            bytes,
            entry_count: 0,
        })
    }

    /// Adds an entry; returns whether it fits.
    pub fn add(&mut self, entry: &Entry) -> bool {
        let Ok(more) = postcard::to_stdvec(entry) else {
            return false;
        };
        let fits = self.bytes.len() + more.len() <= MAX_DATAGRAM_LEN;
        if fits {
            self.bytes.extend_from_slice(&more);
            self.entry_count += 1;
        }
        fits
    }

    /// The authenticated datagram.
    pub fn seal(mut self, secret: &Secret) -> Vec<u8> {
        let mac = secret.mac(&self.bytes[PREFIX_LEN..]);
        self.bytes[3..PREFIX_LEN].copy_from_slice(&mac.as_bytes()[..MAC_LEN]);
        self.bytes
    }
}

/// A received datagram with entries and membership updates.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipDatagram {
    /// Its sender, receiver and membership updates.
    pub header: Header,
    /// Its entries.
    pub entries: Vec<Entry>,
}

impl GossipDatagram {
    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// Why it is dropped. Nothing of it is decoded before it is authenticated.
    pub fn open(secret: &Secret, datagram: &[u8]) -> Result<GossipDatagram, DropReason> {
        let body = authenticate(secret, datagram, GOSSIP_MAGIC)?;
        let (header, mut rest): (Header, &[u8]) =
            postcard::take_from_bytes(body).map_err(|_| DropReason::Malformed)?;
        let mut updates = header.members.iter();
        let are_names_valid =
            has_valid_name(&header.from) && updates.all(|update| has_valid_name(&update.node));
        if !are_names_valid {
            return Err(DropReason::Malformed);
        }
        let mut entries = Vec::new();
        while !rest.is_empty() {
            let (entry, more) =
                postcard::take_from_bytes(rest).map_err(|_| DropReason::Malformed)?;
            entries.push(entry);
            rest = more;
        }
        Ok(GossipDatagram { header, entries })
    }
}

fn has_valid_name(node: &Node) -> bool {
    !node.name.is_empty() && node.name.len() <= MAX_NAME_LEN
}

/// The body of a datagram, once it is known to be written with the key.
fn authenticate<'a>(
    secret: &Secret,
    datagram: &'a [u8],
    magic: [u8; 2],
) -> Result<&'a [u8], DropReason> {
    if datagram.len() > MAX_DATAGRAM_LEN {
        return Err(DropReason::TooLong);
    }
    let Some((prefix, body)) = datagram.split_at_checked(PREFIX_LEN) else {
        return Err(DropReason::Foreign);
    };
    if prefix[..2] != magic || prefix[2] != VERSION {
        return Err(DropReason::Foreign);
    }
    let mut received = [0; 32];
    let mac = secret.mac(body);
    received[..MAC_LEN].copy_from_slice(&prefix[3..]);
    received[MAC_LEN..].copy_from_slice(&mac.as_bytes()[MAC_LEN..]);
    // Compared in constant time, so that a forger learns nothing from how long it takes.
    if mac != received {
        return Err(DropReason::Unauthenticated);
    }
    Ok(body)
}

/// A message of an application that shares the fleet's socket, such as leases. It may be lost, duplicated, delayed or
/// reordered, and the application has to bear that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppMessage {
    /// The writer.
    pub from: Node,
    /// The tag of the receiving process.
    pub to_tag: u64,
    /// The application's part.
    pub body: Vec<u8>,
}

impl AppMessage {
    /// Whether a datagram may be one.
    pub fn matches(datagram: &[u8]) -> bool {
        datagram.starts_with(&MESSAGE_MAGIC)
    }

    /// The authenticated datagram; `None` if it would be too long.
    pub fn seal(&self, secret: &Secret) -> Option<Vec<u8>> {
        DatagramWriter::with_body(MESSAGE_MAGIC, self).map(|writer| writer.seal(secret))
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// Why it is dropped. Nothing of it is decoded before it is authenticated.
    pub fn open(secret: &Secret, datagram: &[u8]) -> Result<AppMessage, DropReason> {
        let body = authenticate(secret, datagram, MESSAGE_MAGIC)?;
        let message: AppMessage = postcard::from_bytes(body).map_err(|_| DropReason::Malformed)?;
        if has_valid_name(&message.from) {
            Ok(message)
        } else {
            Err(DropReason::Malformed)
        }
    }
}
