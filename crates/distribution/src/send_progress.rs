//! What a child is sent next, and how far bodies and manifests that take several frames have been sent.
//!
//! Shared by [`crate::child`] and its subscriptions.

use crate::coverage::Span;
use crate::message::Payload;
use crate::resource::Version;

/// Position in a manifest that is sent over several frames.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ManifestCursor {
    /// Keys up to this version have been listed.
    pub listed_through: Version,
    /// The pruning floor of the log when the manifest was started.
    pub pruned_through: Version,
    /// Whether the next page is the first one.
    pub is_first: bool,
}

/// The last [`Payload::UpToDate`] that was sent to the child.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpToDateNotice {
    /// Number of these notices in this session; 0 before the first one.
    pub sequence: u64,
    pub head: Version,
    pub removals: Version,
}

/// Position in a body that is sent over several frames.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyCursor {
    pub subscription: u32,
    pub version: Version,
    pub offset: usize,
}

/// The change that a subscription sends next. Urgent changes sort last, later versions after earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedChange {
    pub is_urgent: bool,
    pub version: Version,
}

/// Complete changes for one frame, and the span that they cover.
pub(crate) struct Batch {
    pub payload: Payload,
    pub span: Span,
}

/// One frame of a long body.
pub(crate) struct BodyChunk {
    pub payload: Payload,
    pub progress: ChunkProgress,
}

/// How far a long body has been sent after a chunk.
pub(crate) enum ChunkProgress {
    /// It was the last chunk; the child covers this span now.
    Complete(Span),
    /// The next chunk starts here.
    Partial(BodyCursor),
}

/// One frame of a manifest.
pub(crate) struct ManifestPage {
    pub payload: Payload,
    /// Where the next page starts; none after the last page.
    pub next: Option<ManifestCursor>,
    /// The pruning floor that the manifest brings the child up to.
    pub pruned_through: Version,
}
