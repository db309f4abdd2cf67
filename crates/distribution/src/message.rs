//! The wire format: frames between an upstream and its children.
//!
//! ```text
//! "rD" | version | first 8 bytes of BLAKE3 of what follows | head (postcard) | payload (postcard)
//! ```
//!
//! The hash detects truncated and corrupt frames; it does not authenticate them. That is up to the driver's transport.

use crate::close_reason::CloseReason;
use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::frame::MAX_FRAME_BYTES;
use crate::peer::PeerId;
use crate::report::Report;
use crate::resource::{Change, ContentHash, Key, NodeFraction, Selector, Urgency, Version};
use serde::{Deserialize, Serialize};

/// Maximum number of keys in one [`Payload::Manifest`].
pub const MAX_MANIFEST_KEYS: usize = 256;

const MAGIC: [u8; 3] = *b"rD\x01";
const CHECKSUM_BYTES: usize = 8;

/// The last clock value that the sender received from the receiver of this frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's clock when it sent that value, in microseconds.
    pub stamp_us: u64,
    /// Microseconds on the sender's clock since it received the value, rounded down.
    pub elapsed_us: u64,
}

/// Head of every frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The session's id, chosen by the child.
    pub session: u64,
    /// Whether the child sent the frame.
    pub from_child: bool,
    /// Sequence number of the payload, from 1; 0 if it needs no acknowledgement.
    pub number: u64,
    /// All payloads of the receiver up to this number have arrived.
    pub acknowledged: u64,
    /// The sender's clock, in microseconds.
    pub sent_at_us: u64,
    /// Echo of the receiver's clock, once a frame of it has arrived.
    pub echo: Option<Echo>,
}

/// One chunk of a body that takes several frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The key of the change.
    pub key: Key,
    /// The version of the change.
    pub version: Version,
    /// The change's urgency.
    pub urgency: Urgency,
    /// Whether it overtakes other changes. One urgent and one other body may be in transit at a time.
    pub is_urgent: bool,
    /// The nodes that the change is for.
    pub fraction: NodeFraction,
    /// The version that the change replaces.
    pub replaces: Version,
    /// Length of the complete body, in bytes.
    pub total: u32,
    /// Hash of the complete body.
    pub hash: ContentHash,
    /// Offset of these bytes in the body.
    pub offset: u32,
    /// The bytes of this chunk.
    pub bytes: Vec<u8>,
}

/// One subscription of a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The subscription's id in this session, chosen by the child.
    pub id: u32,
    /// The resources that it asks for.
    pub selector: Selector,
    /// The versions that the child covers already.
    pub coverage: Coverage,
    /// The child knows all removals up to this version.
    pub removals_known: Version,
    /// Whether the child has changes that the selector matches, regardless of its coverage: it then needs all later
    /// removals.
    pub has_changes: bool,
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// No content: acknowledges by its head alone.
    Acknowledge,
    /// A child opens a session.
    Open {
        /// Whether the child is a relay or a publisher, which also needs changes for other nodes.
        is_relay: bool,
    },
    /// A child adds subscriptions.
    Subscribe(Vec<Subscribe>),
    /// A child ends subscriptions.
    Unsubscribe(Vec<u32>),
    /// A child reports to the publisher.
    Reports(Vec<Report>),
    /// The session has ended, or is unknown.
    Close {
        /// Why it ended.
        reason: CloseReason,
        /// Time after which the child may reconnect, in milliseconds.
        retry_after_ms: u32,
    },
    /// The term of the current publisher.
    Epoch(Epoch),
    /// Complete changes of a subscription. For each key whose latest change is in the span, this change is included
    /// or was sent before.
    Changes {
        /// The subscription's id.
        id: u32,
        /// The span that is covered.
        span: Span,
        /// The changes.
        changes: Vec<Change>,
    },
    /// A chunk of a body. The last chunk stands for [`Payload::Changes`] with this change and span.
    Chunk {
        /// The subscription's id.
        id: u32,
        /// The span that is covered after the last chunk.
        span: Span,
        /// The chunk.
        chunk: Chunk,
    },
    /// Digests of all keys of a subscription, without removed ones, for a child that missed pruned tombstones.
    Manifest {
        /// The subscription's id.
        id: u32,
        /// Whether this is the first page.
        is_first: bool,
        /// Whether this is the last page.
        is_last: bool,
        /// A key with a version up to this one that is not listed was removed.
        pruned_through: Version,
        /// Digests of the keys.
        digests: Vec<u64>,
    },
    /// The sender has sent everything that it has for all subscriptions.
    UpToDate {
        /// The last version of the sender.
        head: Version,
        /// All removals up to this version were sent.
        removals: Version,
        /// Tombstones up to this version may have been pruned.
        pruned_through: Version,
        /// Upper bound of the sender's staleness in microseconds, if it is known.
        age_us: Option<u64>,
    },
}

/// Encodes a frame.
pub fn encode(head: &Head, payload: &Payload) -> Vec<u8> {
    let body = postcard::to_allocvec(&(head, payload)).unwrap_or_default();
    let mut frame = Vec::with_capacity(MAGIC.len() + CHECKSUM_BYTES + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&blake3::hash(&body).as_bytes()[..CHECKSUM_BYTES]);
    frame.extend_from_slice(&body);
    frame
}

/// A received frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The sender.
    pub from: PeerId,
    /// Length of the frame.
    pub bytes: usize,
    /// The head.
    pub head: Head,
    /// The payload.
    pub payload: Payload,
}

/// Decodes a received frame; `None` if it is invalid.
pub fn parse(from: PeerId, frame: &[u8]) -> Option<Received> {
    let (head, payload) = decode(frame)?;
    Some(Received {
        from,
        bytes: frame.len(),
        head,
        payload,
    })
}

/// Decodes a frame; `None` if it is invalid.
pub fn decode(frame: &[u8]) -> Option<(Head, Payload)> {
    if frame.len() > MAX_FRAME_BYTES {
        return None;
    }
    let rest = frame.strip_prefix(&MAGIC)?;
    let (checksum, body) = rest.split_at_checked(CHECKSUM_BYTES)?;
    if &blake3::hash(body).as_bytes()[..CHECKSUM_BYTES] != checksum {
        return None;
    }
    postcard::from_bytes(body).ok()
}
