//! One subscription of a child: what the child covers already, and which changes, chunks and manifest pages come next.
//!
//! Used only by [`crate::child`].

use crate::coverage::{Coverage, Span, GAP_FILL_MIN_SPANS, MAX_SPANS_FOR_URGENT};
use crate::message::{Chunk, Payload, Subscribe, MAX_MANIFEST_KEYS};
use crate::replica_view::ReplicaView;
use crate::resource::{Change, Selector, Version};
use crate::send_progress::{
    Batch, BodyChunk, BodyCursor, ChunkProgress, ManifestCursor, ManifestPage, QueuedChange,
    UpToDateNotice,
};

/// Size of a frame of changes without the changes, in bytes.
pub(crate) const CHANGES_OVERHEAD_BYTES: usize = 64;
/// Size of a frame with a chunk without the chunk, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 288;
/// Maximum size of the encoding of one digest, in bytes.
const MAX_DIGEST_BYTES: usize = 10;

/// State of one subscription at the sender.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub selector: Selector,
    coverage: Coverage,
    /// The version up to which the child knows all removals, as of `applied_notice`.
    removals_known: Version,
    pub manifest_cursor: Option<ManifestCursor>,
    /// The change that is sent next, as it is in the child's queue.
    pub queued: Option<QueuedChange>,
    /// Sequence of the last notice that `coverage` and `removals_known` include.
    applied_notice: u64,
}

impl Subscription {
    pub fn new(request: Subscribe, notice: UpToDateNotice, replica: ReplicaView) -> Subscription {
        // A child without any changes has nothing that a removal could concern.
        let has_nothing = request.coverage.is_empty() && !request.has_changes;
        let known = if has_nothing {
            replica.log.pruned_through()
        } else {
            request.removals_known
        };
        Subscription {
            selector: request.selector,
            coverage: request.coverage,
            removals_known: known,
            manifest_cursor: None,
            queued: None,
            applied_notice: notice.sequence,
        }
    }

    /// Applies the last [`Payload::UpToDate`] that was sent to the child.
    pub fn apply_up_to_date_notice(&mut self, notice: UpToDateNotice) {
        if self.applied_notice < notice.sequence {
            self.applied_notice = notice.sequence;
            self.coverage.add(Span {
                after: Version::ZERO,
                through: notice.head,
            });
            self.removals_known = self.removals_known.max(notice.removals);
        }
    }

    /// The version up to which the child knows all removals.
    pub fn removals_known(&self, notice: UpToDateNotice) -> Version {
        if self.applied_notice == notice.sequence {
            self.removals_known
        } else {
            self.removals_known.max(notice.removals)
        }
    }

    /// Records that the last page of a manifest was sent.
    pub fn manifest_sent(&mut self, version: Version) {
        self.removals_known = self.removals_known.max(version);
    }

    /// Records that the changes of a span were sent.
    pub fn span_sent(&mut self, span: Span) {
        self.coverage.add(span);
    }

    /// The change to send next: urgent ones first, then the latest. Once the coverage has many spans, gaps are filled
    /// before new spans are opened.
    pub fn next(&self, replica: ReplicaView) -> Option<QueuedChange> {
        let urgent_fits = self.coverage.spans().len() < MAX_SPANS_FOR_URGENT;
        let urgent = || {
            replica
                .log
                .newest_uncovered_urgent(&self.selector, &self.coverage)
                .filter(|_| urgent_fits)
        };
        let gap = || self.earliest_gap(replica).filter(|_| self.is_scattered());
        let newest = || replica.log.newest_uncovered(&self.selector, &self.coverage);
        let normal = || {
            gap().or_else(newest).map(|version| QueuedChange {
                is_urgent: false,
                version,
            })
        };
        urgent()
            .map(|version| QueuedChange {
                is_urgent: true,
                version,
            })
            .or_else(normal)
    }

    /// Whether the coverage has so many spans that gaps are filled first.
    fn is_scattered(&self) -> bool {
        self.coverage.spans().len() >= GAP_FILL_MIN_SPANS
    }

    /// The earliest uncovered change that extends a span of the child: the replica covers everything between the end of
    /// that span, or zero, and the change. A frame that begins with it opens no new span.
    fn earliest_gap(&self, replica: ReplicaView) -> Option<Version> {
        let ends = self.coverage.spans().iter().map(|span| span.through);
        let mut starts = std::iter::once(Version::ZERO).chain(ends);
        starts.find_map(|start| {
            let version =
                replica
                    .log
                    .oldest_uncovered_after(&self.selector, &self.coverage, start)?;
            let replica_span = replica.coverage.span_containing(version)?;
            (replica_span.after <= start).then_some(version)
        })
    }

    /// The widest span around an uncovered version that the replica covers completely, of which the child covers
    /// nothing, and which has no later change.
    fn widest_span(&self, version: Version, replica: ReplicaView) -> Span {
        let point = single_version(version);
        let replica_span = replica.coverage.span_containing(version).unwrap_or(point);
        let above = self
            .coverage
            .next_start_at_or_above(version)
            .unwrap_or(replica_span.through);
        let below = self.coverage.last_end_below(version);
        let through = replica_span.through.min(above).max(version);
        // Later changes that the child lacks may have overtaken a body that is sent in chunks.
        let later = replica
            .log
            .next_version(&self.selector, version)
            .filter(|later| *later <= through);
        Span {
            after: replica_span.after.max(below),
            through: if later.is_some() { version } else { through },
        }
    }

    /// A batch of complete changes that starts with a version; `view` maps a change to what the child may see.
    pub fn batch(
        &self,
        id: u32,
        first: Version,
        is_urgent: bool,
        replica: ReplicaView,
        max_bytes: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<Batch> {
        if !is_urgent && self.is_scattered() {
            self.batch_upwards(id, first, replica, max_bytes, view)
        } else {
            self.batch_downwards(id, first, is_urgent, replica, max_bytes, view)
        }
    }

    /// Uncovered changes from a version upwards. The span includes the versions around them that the replica covers and
    /// the child already has.
    fn batch_upwards(
        &self,
        id: u32,
        oldest: Version,
        replica: ReplicaView,
        max_bytes: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<Batch> {
        let replica_span = replica
            .coverage
            .span_containing(oldest)
            .unwrap_or(single_version(oldest));
        let missing_before =
            replica
                .log
                .newest_uncovered_before(&self.selector, &self.coverage, oldest);
        let after = missing_before.map_or(replica_span.after, |gap| gap.max(replica_span.after));
        let mut span = Span {
            after,
            through: replica_span.through,
        };
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD_BYTES;
        let mut next = Some(oldest);
        while let Some(version) = next.filter(|version| *version <= replica_span.through) {
            let change = view(replica.log.get_version(version)?);
            bytes += change.size_bytes();
            if bytes > max_bytes {
                span.through = version.predecessor();
                break;
            }
            changes.push(change);
            next = replica
                .log
                .oldest_uncovered_after(&self.selector, &self.coverage, version);
        }
        Some(Batch {
            payload: Payload::Changes { id, span, changes },
            span,
        })
    }

    /// Changes from a version downwards; an urgent change is sent alone.
    fn batch_downwards(
        &self,
        id: u32,
        newest: Version,
        is_urgent: bool,
        replica: ReplicaView,
        max_bytes: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<Batch> {
        let mut span = self.widest_span(newest, replica);
        let lower_end = span.after;
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD_BYTES;
        let mut next = Some(newest);
        while let Some(version) = next {
            let change = view(replica.log.get_version(version)?);
            bytes += change.size_bytes();
            if bytes > max_bytes {
                break;
            }
            changes.push(change);
            let previous = replica.log.previous_version(&self.selector, version);
            span.after = previous.map_or(lower_end, |previous| previous.max(lower_end));
            next = previous.filter(|previous| *previous > lower_end && !is_urgent);
        }
        let span = if is_urgent {
            single_version(newest)
        } else {
            span
        };
        Some(Batch {
            payload: Payload::Changes { id, span, changes },
            span,
        })
    }

    /// The next chunk of a long body.
    pub fn chunk(
        &self,
        cursor: BodyCursor,
        is_urgent: bool,
        replica: ReplicaView,
        max_bytes: usize,
    ) -> Option<BodyChunk> {
        let BodyCursor {
            subscription: id,
            version,
            offset,
        } = cursor;
        let change = replica.log.get_version(version)?;
        let body = change.content.bytes();
        let end = body
            .len()
            .min(offset + max_bytes.saturating_sub(CHUNK_OVERHEAD_BYTES));
        let widest = self.widest_span(version, replica);
        let previous = replica.log.previous_version(&self.selector, version);
        let after = previous.map_or(widest.after, |previous| previous.max(widest.after));
        let span = if is_urgent {
            single_version(version)
        } else {
            Span { after, ..widest }
        };
        let chunk = Chunk {
            key: change.key.clone(),
            version,
            urgency: change.urgency,
            is_urgent,
            fraction: change.fraction,
            replaces: change.replaces,
            total: u32::try_from(body.len()).ok()?,
            hash: change.hash(),
            offset: u32::try_from(offset).ok()?,
            bytes: body.get(offset..end)?.to_vec(),
        };
        let progress = if end == body.len() {
            ChunkProgress::Complete(span)
        } else {
            ChunkProgress::Partial(BodyCursor {
                offset: end,
                ..cursor
            })
        };
        Some(BodyChunk {
            payload: Payload::Chunk { id, span, chunk },
            progress,
        })
    }

    /// The next page of the manifest of all keys.
    pub fn manifest(&self, id: u32, replica: ReplicaView, max_bytes: usize) -> ManifestPage {
        let initial = ManifestCursor {
            listed_through: Version::ZERO,
            pruned_through: replica.log.pruned_through(),
            is_first: true,
        };
        let cursor = self.manifest_cursor.unwrap_or(initial);
        let count = MAX_MANIFEST_KEYS
            .min(max_bytes.saturating_sub(CHANGES_OVERHEAD_BYTES) / MAX_DIGEST_BYTES)
            .max(1);
        let keys: Vec<_> = replica
            .log
            .keys_after(&self.selector, cursor.listed_through)
            .take(count)
            .collect();
        let last = keys.len() < count;
        let digests = keys.iter().map(|(_, key)| key.digest()).collect();
        let after = keys
            .last()
            .map_or(cursor.listed_through, |(version, _)| *version);
        let next = (!last).then_some(ManifestCursor {
            listed_through: after,
            is_first: false,
            ..cursor
        });
        let payload = Payload::Manifest {
            id,
            is_first: cursor.is_first,
            is_last: last,
            pruned_through: cursor.pruned_through,
            digests,
        };
        ManifestPage {
            payload,
            next,
            pruned_through: cursor.pruned_through,
        }
    }
}

fn single_version(version: Version) -> Span {
    Span {
        after: version.predecessor(),
        through: version,
    }
}
