//! Frames between an upstream and its children.
//!
//! ```text
//! "rD" | version | first 8 bytes of BLAKE3 of what follows | head (postcard) | payload (postcard)
//! ```
//!
//! The hash finds frames that were cut or changed under way; it proves nobody's name. Who may speak at all is for the
//! driver's transport.

use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::frame::MAX_FRAME_BYTES;
use crate::peer::PeerId;
use crate::report::Report;
use crate::resource::{Change, ContentHash, Key, NodeFraction, Selector, Urgency, Version};
use crate::session_end::CloseReason;
use serde::{Deserialize, Serialize};

/// Most keys in one [`Payload::Manifest`].
pub const MAX_MANIFEST_KEYS: usize = 256;

const MAGIC: [u8; 3] = *b"rD\x01";
const CHECKSUM_BYTES: usize = 8;

/// What a writer has heard last of its reader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The moment, in microseconds of the reader's clock.
    pub stamp_us: u64,
    /// How long ago the writer heard it, in microseconds of the writer's clock, rounded down.
    pub elapsed_us: u64,
}

/// What every frame begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The session, as the child named it.
    pub session: u64,
    /// Written by the child.
    pub from_child: bool,
    /// The number of this payload, from 1; 0 for one that needs no acknowledgement.
    pub number: u64,
    /// All payloads of the reader up to this one have come.
    pub acknowledged: u64,
    /// The writer's clock, in microseconds.
    pub sent_at_us: u64,
    /// What the writer heard last of the reader's clock.
    pub echo: Option<Echo>,
}

/// A part of a long body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Of which key.
    pub key: Key,
    /// Of which change.
    pub version: Version,
    /// The change's urgency.
    pub urgency: Urgency,
    /// Sent before other changes. One body of this kind and one of the other may be under way.
    pub is_urgent: bool,
    /// The change's part of the nodes.
    pub fraction: NodeFraction,
    /// The version that the change replaces.
    pub replaces: Version,
    /// The body's length.
    pub total: u32,
    /// The body's hash.
    pub hash: ContentHash,
    /// Where these bytes stand in it.
    pub offset: u32,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// One thing that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The child's number of this subscription, in this session.
    pub id: u32,
    /// What it asks for.
    pub selector: Selector,
    /// What the child has of it already.
    pub coverage: Coverage,
    /// Removals up to here are known to the child.
    pub removals_known: Version,
    /// The child has changes of it, whatever it covers: it has to hear of all removals since.
    pub has_changes: bool,
}

/// What a frame says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing but its head.
    Acknowledge,
    /// A child begins a session.
    Open {
        /// Whether it needs changes for other nodes than itself, as relays and authors do.
        is_relay: bool,
    },
    /// A child asks for more.
    Subscribe(Vec<Subscribe>),
    /// A child asks for less.
    Unsubscribe(Vec<u32>),
    /// A child tells what is to be told upwards.
    Reports(Vec<Report>),
    /// The session is over, or was never there.
    Close {
        /// Why.
        reason: CloseReason,
        /// When to come back at the earliest, in milliseconds.
        retry_after_ms: u32,
    },
    /// Who the author is.
    Epoch(Epoch),
    /// Whole changes of a subscription. Of each key whose latest change is in the span, this change is in here or has
    /// been sent before.
    Changes {
        /// Which subscription.
        id: u32,
        /// The span.
        span: Span,
        /// The changes.
        changes: Vec<Change>,
    },
    /// A part of a body of a subscription. The last one stands for a [`Payload::Changes`] with this change and span.
    Chunk {
        /// Which subscription.
        id: u32,
        /// The span.
        span: Span,
        /// The part.
        chunk: Chunk,
    },
    /// Digests of all keys of a subscription that are not removed, for one that has to hear of forgotten removals.
    Manifest {
        /// Which subscription.
        id: u32,
        /// Whether these are the first ones.
        first: bool,
        /// Whether these are the last ones.
        last: bool,
        /// What has an earlier version or this one, and is not listed, is no more.
        floor: Version,
        /// The digests.
        digests: Vec<u64>,
    },
    /// Everything that the writer has of all subscriptions has been sent.
    Current {
        /// The latest version that the writer has.
        head: Version,
        /// The writer knows all removals up to this version, and has told them.
        removals: Version,
        /// Removals up to this version may not be told any more.
        pruned_through: Version,
        /// The age of the writer's own knowledge at most, in microseconds; none if it can't tell.
        age_us: Option<u64>,
    },
}

/// The bytes of a frame.
pub fn encode(head: &Head, payload: &Payload) -> Vec<u8> {
    let body = postcard::to_allocvec(&(head, payload)).unwrap_or_default();
    let mut frame = Vec::with_capacity(MAGIC.len() + CHECKSUM_BYTES + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&blake3::hash(&body).as_bytes()[..CHECKSUM_BYTES]);
    frame.extend_from_slice(&body);
    frame
}

/// A frame that has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// From whom.
    pub from: PeerId,
    /// Its length.
    pub bytes: usize,
    /// What it begins with.
    pub head: Head,
    /// What it says.
    pub payload: Payload,
}

/// Reads a frame that has come; none if it is not one.
pub fn parse(from: PeerId, frame: &[u8]) -> Option<Received> {
    let (head, payload) = decode(frame)?;
    Some(Received {
        from,
        bytes: frame.len(),
        head,
        payload,
    })
}

/// Reads a frame; none if it is not one.
pub fn decode(frame: &[u8]) -> Option<(Head, Payload)> {
    if frame.len() > MAX_FRAME_BYTES {
        return None;
    }
    let rest = frame.strip_prefix(&MAGIC)?;
    let (sum, body) = rest.split_at_checked(CHECKSUM_BYTES)?;
    if &blake3::hash(body).as_bytes()[..CHECKSUM_BYTES] != sum {
        return None;
    }
    postcard::from_bytes(body).ok()
}
