//! Datagrams between the nodes of a fleet.
//!
//! ```text
//! "rF" | version | first 16 bytes of a keyed BLAKE3 of what follows | header (postcard) | entries (postcard), to the
//! end "rL" | version | first 16 bytes of a keyed BLAKE3 of what follows | application message (postcard)
//! ```
//!
//! The key is derived from the fleet's key file and name, so that datagrams with another key, from a fleet of another
//! name or of another version are dropped. Datagrams are not encrypted: anyone who can read one learns which servers
//! are faulty.
//!
//! Sources: BLAKE3's keyed hash and `derive_key` (the BLAKE3 paper, sections 2.3 and 6.2); RFC 8085, section 3.2, for
//! the maximum length.

use crate::entry::Entry;
use crate::freshness::ClockEcho;
use crate::node::{Incarnation, Node, MAX_NAME_LEN};
use crate::table::PARTITIONS;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a datagram, in bytes: short enough that no path fragments it.
pub const MAX_DATAGRAM_LEN: usize = 1200;
/// Maximum length of the membership protocol's part of a datagram, in bytes.
pub const MAX_SWIM_LEN: usize = 700;
/// Minimum length of a key file, in bytes.
pub const MIN_KEY_FILE_LEN: usize = 16;
/// Number of partitions of the membership; anti-entropy compares a digest of each.
pub const MEMBER_PARTITIONS: usize = 8;

const GOSSIP_MAGIC: [u8; 2] = *b"rF";
const MESSAGE_MAGIC: [u8; 2] = *b"rL";
const VERSION: u8 = 2;
const MAC_LEN: usize = 16;
/// Length of what precedes the body: magic, version and MAC.
const PREFIX_LEN: usize = GOSSIP_MAGIC.len() + 1 + MAC_LEN;
/// Maximum length of the encoded number of member updates, in bytes.
const MAX_COUNT_LEN: usize = 2;

/// The key file is too short to be secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the key has {len} bytes, at least {MIN_KEY_FILE_LEN} are required")]
pub struct KeyTooShort {
    /// The length of the key file, in bytes.
    pub len: usize,
}

/// The key with which the fleet's datagrams are authenticated.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key from the bytes of the key file and the fleet's name.
    ///
    /// # Errors
    /// The key file is shorter than [`MIN_KEY_FILE_LEN`].
    pub fn new(file: &[u8], fleet: &str) -> Result<Secret, KeyTooShort> {
        if file.len() < MIN_KEY_FILE_LEN {
            return Err(KeyTooShort { len: file.len() });
        }
        let mut hasher = blake3::Hasher::new_derive_key("reelfall fleet datagrams, version 1");
        // The length prefix makes the concatenation of name and key unambiguous.
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

/// A message of an anti-entropy exchange, in which two nodes compare their digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AntiEntropy {
    /// The sender's digests. Requests the entries and members that differ, and the receiver's digests.
    Request(Digests),
    /// The sender's digests in response to a request. Requests the entries and members that differ.
    Response(Digests),
}

/// The digests that two nodes compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// A digest of each partition of the table.
    pub entries: [u64; PARTITIONS],
    /// A digest of each partition of the membership.
    pub members: [u32; MEMBER_PARTITIONS],
}

/// The state of a member in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// A probe failed; the member is declared dead unless it refutes the suspicion in time.
    Suspected,
    /// The member has left or was declared dead.
    Dead,
}

/// What the sender of a datagram knows of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that the update is about.
    pub node: Node,
    /// The member's latest incarnation in the SWIM protocol, which it increments in order to refute a suspicion. It is
    /// independent of [`Node::incarnation`].
    pub swim_incarnation: u16,
    /// The member's state in that SWIM incarnation.
    pub state: MemberState,
}

/// What a datagram contains besides its entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The sender.
    pub from: Node,
    /// The tag of the receiving process; 0 if the sender does not know it.
    pub to_tag: u64,
    /// Number of the datagram, which increases with each datagram of the sender.
    pub sequence: u64,
    /// The sender's clock, in microseconds.
    pub clock_us: u64,
    /// The last value of the receiver's clock that the sender has received.
    pub echo: Option<ClockEcho>,
    /// Whether the sender needs the receiver's clock, which any response contains, before it can send entries.
    pub requests_echo: bool,
    /// The greatest incarnation of the receiver's name that the sender knows, if the receiver has used a smaller one.
    pub newer_incarnation: Option<Incarnation>,
    /// A message of the membership protocol; empty for none.
    pub swim: Vec<u8>,
    /// A message of an anti-entropy exchange.
    pub anti_entropy: Option<AntiEntropy>,
    /// Members that the receiver may not know.
    pub members: Vec<MemberUpdate>,
}

impl Header {
    /// Moves as many updates as fit from the end of `updates` into the header.
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
    /// It has another magic or version.
    #[error("of another kind or version")]
    Foreign,
    /// It was written with another key, or was changed in transit.
    #[error("not under this fleet's key")]
    Unauthenticated,
    /// It is authentic, but can't be decoded.
    #[error("unreadable")]
    Malformed,
    /// It was received before, or is too far behind the latest datagram of its sender to tell.
    #[error("repeated")]
    Duplicate,
    /// The local node has sent it.
    #[error("this node's own")]
    Own,
    /// It is addressed to the incarnation of another process.
    #[error("for another process")]
    Misdirected,
}

/// Builds a datagram of at most [`MAX_DATAGRAM_LEN`] bytes.
pub struct DatagramWriter {
    bytes: Vec<u8>,
    /// Number of entries that have been added.
    pub entry_count: usize,
}

impl DatagramWriter {
    /// Begins a datagram with this header; `None` if the header does not fit.
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

    /// Adds an entry if it fits, and returns whether it does.
    pub fn add(&mut self, entry: &Entry) -> bool {
        let Ok(encoded) = postcard::to_stdvec(entry) else {
            return false;
        };
        let fits = self.bytes.len() + encoded.len() <= MAX_DATAGRAM_LEN;
        if fits {
            self.bytes.extend_from_slice(&encoded);
            self.entry_count += 1;
        }
        fits
    }

    /// Writes the MAC and returns the datagram.
    pub fn seal(mut self, secret: &Secret) -> Vec<u8> {
        let mac = secret.mac(&self.bytes[PREFIX_LEN..]);
        self.bytes[3..PREFIX_LEN].copy_from_slice(&mac.as_bytes()[..MAC_LEN]);
        self.bytes
    }
}

/// A received datagram with entries and membership updates.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipDatagram {
    /// Sender, receiver and membership updates.
    pub header: Header,
    /// Entries to merge into the table, with the ages that they had when they were sent.
    pub entries: Vec<Entry>,
}

impl GossipDatagram {
    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// The reason for which the datagram is dropped. It is authenticated before anything of it is decoded.
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
            let (entry, next) =
                postcard::take_from_bytes(rest).map_err(|_| DropReason::Malformed)?;
            entries.push(entry);
            rest = next;
        }
        Ok(GossipDatagram { header, entries })
    }
}

fn has_valid_name(node: &Node) -> bool {
    !node.name.is_empty() && node.name.len() <= MAX_NAME_LEN
}

/// Checks length, magic, version and MAC of a datagram, and returns its body.
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
    // `blake3::Hash` compares in constant time, so that an attacker learns nothing from the duration.
    if mac != received {
        return Err(DropReason::Unauthenticated);
    }
    Ok(body)
}

/// A message of an application that shares the fleet's socket, such as leases. It may be lost, duplicated, delayed or
/// reordered, which the application has to handle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppMessage {
    /// The sender.
    pub from: Node,
    /// The tag of the receiving process.
    pub to_tag: u64,
    /// The message, as encoded by the application.
    pub body: Vec<u8>,
}

impl AppMessage {
    /// Whether a datagram has the magic of application messages.
    pub fn matches(datagram: &[u8]) -> bool {
        datagram.starts_with(&MESSAGE_MAGIC)
    }

    /// Encodes the message as an authenticated datagram; `None` if it would be too long.
    pub fn seal(&self, secret: &Secret) -> Option<Vec<u8>> {
        DatagramWriter::with_body(MESSAGE_MAGIC, self).map(|writer| writer.seal(secret))
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// The reason for which the datagram is dropped. It is authenticated before anything of it is decoded.
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
