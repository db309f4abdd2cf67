//! What one subscription of a child is sent.

use crate::coverage::{Coverage, Span, GAP_FILL_MIN_SPANS, MAX_SPANS_FOR_URGENT};
use crate::epoch::Epoch;
use crate::log::ChangeLog;
use crate::message::{Chunk, Payload, Subscribe, MAX_MANIFEST_KEYS};
use crate::resource::{Change, Selector, Version};
use crate::Time;

/// What a frame of changes takes beside the changes.
pub(crate) const CHANGES_OVERHEAD_BYTES: usize = 64;
/// What a frame with a part of a body takes beside the part.
const CHUNK_OVERHEAD_BYTES: usize = 288;
/// What one digest takes in a frame at most.
const MAX_DIGEST_BYTES: usize = 10;

/// What a relay or an author has to send.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaView<'a> {
    /// The changes.
    pub log: &'a ChangeLog,
    /// Which versions they cover.
    pub coverage: &'a Coverage,
    /// Whether they cover all versions up to the greatest.
    pub is_contiguous: bool,
    /// All removals up to this version are known.
    pub removals_known: Version,
    /// How old that is, in seconds, if it is known.
    pub age: Option<Time>,
    /// Who the author is.
    pub epoch: Option<&'a Epoch>,
}

/// How far a list of keys has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ManifestCursor {
    /// Keys up to this version have been listed.
    listed_through: Version,
    /// The log's floor when it began.
    pub pruned_through: Version,
    is_first: bool,
}

/// The last [`Payload::Current`] that the child was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentNotice {
    pub sequence: u64,
    pub head: Version,
    pub removals: Version,
}

/// How far a body in parts has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyCursor {
    pub id: u32,
    pub version: Version,
    pub offset: usize,
}

/// See the module.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub selector: Selector,
    coverage: Coverage,
    /// All removals up to here are known to the child.
    removals_known: Version,
    pub manifest_cursor: Option<ManifestCursor>,
    /// What is to be sent next, and whether that is urgent.
    pub queued: Option<(bool, Version)>,
    /// The last [`Payload::Current`] that is taken into account in `coverage` and `known`.
    applied_notice: u64,
}

impl Subscription {
    pub fn new(asked: Subscribe, told: CurrentNotice, source: ReplicaView) -> Subscription {
        // Who has nothing has no removals to hear of.
        let has_nothing = asked.coverage.is_empty() && !asked.has_changes;
        let known = if has_nothing {
            source.log.pruned_through()
        } else {
            asked.removals_known
        };
        Subscription {
            selector: asked.selector,
            coverage: asked.coverage,
            removals_known: known,
            manifest_cursor: None,
            queued: None,
            applied_notice: told.sequence,
        }
    }

    /// Takes into account that the child was told that all had been sent.
    pub fn apply_current_notice(&mut self, told: CurrentNotice) {
        if self.applied_notice < told.sequence {
            self.applied_notice = told.sequence;
            self.coverage.add(Span {
                after: Version::ZERO,
                through: told.head,
            });
            self.removals_known = self.removals_known.max(told.removals);
        }
    }

    /// All removals up to here are known to the child.
    pub fn removals_known(&self, told: CurrentNotice) -> Version {
        if self.applied_notice == told.sequence {
            self.removals_known
        } else {
            self.removals_known.max(told.removals)
        }
    }

    /// A list of keys was sent to its end.
    pub fn manifest_sent(&mut self, floor: Version) {
        self.removals_known = self.removals_known.max(floor);
    }

    /// A span was sent.
    pub fn span_sent(&mut self, span: Span) {
        self.coverage.add(span);
    }

    /// What is to be sent next, and whether that is urgent. Where what is covered has come to many spans, gaps are filled
    /// before new spans are opened.
    pub fn next(&self, source: ReplicaView) -> Option<(bool, Version)> {
        let urgent_fits = self.coverage.spans().len() < MAX_SPANS_FOR_URGENT;
        let urgent = || {
            source
                .log
                .newest_uncovered_urgent(&self.selector, &self.coverage)
                .filter(|_| urgent_fits)
        };
        let gap = || self.earliest_gap(source).filter(|_| self.is_scattered());
        let newest = || source.log.newest_uncovered(&self.selector, &self.coverage);
        let normal = || gap().or_else(newest).map(|version| (false, version));
        urgent().map(|version| (true, version)).or_else(normal)
    }

    /// Whether what is covered has come to so many spans that gaps are filled first.
    fn is_scattered(&self) -> bool {
        self.coverage.spans().len() >= GAP_FILL_MIN_SPANS
    }

    /// The earliest uncovered change before which all is covered from the end of a span on, or from zero on: a frame that
    /// begins with it makes that span longer and opens none.
    fn earliest_gap(&self, source: ReplicaView) -> Option<Version> {
        let ends = self.coverage.spans().iter().map(|span| span.through);
        let mut starts = std::iter::once(Version::ZERO).chain(ends);
        starts.find_map(|start| {
            let version =
                source
                    .log
                    .oldest_uncovered_after(&self.selector, &self.coverage, start)?;
            let own = source.coverage.span_containing(version)?;
            (own.after <= start).then_some(version)
        })
    }

    /// The widest span around an uncovered version in which the source itself lacks nothing, the child has nothing, and
    /// nothing is later.
    fn widest_span(&self, version: Version, source: ReplicaView) -> Span {
        let point = single_version(version);
        let own = source.coverage.span_containing(version).unwrap_or(point);
        let above = self
            .coverage
            .next_start_at_or_above(version)
            .unwrap_or(own.through);
        let below = self.coverage.last_end_below(version);
        let upto = own.through.min(above).max(version);
        // A body in parts may have been overtaken by later changes, which the child has not got.
        let later = source
            .log
            .next_version(&self.selector, version)
            .filter(|later| *later <= upto);
        Span {
            after: own.after.max(below),
            through: if later.is_some() { version } else { upto },
        }
    }

    /// Whole changes that begin with a version, as the child is to see them.
    pub fn batch(
        &self,
        id: u32,
        first: Version,
        urgent: bool,
        source: ReplicaView,
        room: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<(Payload, Span)> {
        if !urgent && self.is_scattered() {
            self.batch_upwards(id, first, source, room, view)
        } else {
            self.batch_downwards(id, first, urgent, source, room, view)
        }
    }

    /// Uncovered changes from a version upwards. The span reaches over all around them that the source covers and that the
    /// child has got already.
    fn batch_upwards(
        &self,
        id: u32,
        oldest: Version,
        source: ReplicaView,
        room: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<(Payload, Span)> {
        let own = source
            .coverage
            .span_containing(oldest)
            .unwrap_or(single_version(oldest));
        let lacked_before =
            source
                .log
                .newest_uncovered_before(&self.selector, &self.coverage, oldest);
        let after = lacked_before.map_or(own.after, |lacked| lacked.max(own.after));
        let mut span = Span {
            after,
            through: own.through,
        };
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD_BYTES;
        let mut next = Some(oldest);
        while let Some(version) = next.filter(|version| *version <= own.through) {
            let change = view(source.log.get_version(version)?);
            bytes += change.size_bytes();
            if bytes > room {
                span.through = version.predecessor();
                break;
            }
            changes.push(change);
            next = source
                .log
                .oldest_uncovered_after(&self.selector, &self.coverage, version);
        }
        Some((Payload::Changes { id, span, changes }, span))
    }

    /// Whole changes from a version downwards; of urgent ones, that one alone.
    fn batch_downwards(
        &self,
        id: u32,
        newest: Version,
        urgent: bool,
        source: ReplicaView,
        room: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<(Payload, Span)> {
        let mut span = self.widest_span(newest, source);
        let least = span.after;
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD_BYTES;
        let mut next = Some(newest);
        while let Some(version) = next {
            let change = view(source.log.get_version(version)?);
            bytes += change.size_bytes();
            if bytes > room {
                break;
            }
            changes.push(change);
            let earlier = source.log.previous_version(&self.selector, version);
            span.after = earlier.map_or(least, |earlier| earlier.max(least));
            next = earlier.filter(|earlier| *earlier > least && !urgent);
        }
        let span = if urgent { single_version(newest) } else { span };
        Some((Payload::Changes { id, span, changes }, span))
    }

    /// The next part of a long body; the span, if it is the last part; else how far it has come.
    pub fn chunk(
        &self,
        partial: BodyCursor,
        urgent: bool,
        source: ReplicaView,
        room: usize,
    ) -> Option<(Payload, Result<Span, BodyCursor>)> {
        let BodyCursor {
            id,
            version,
            offset,
        } = partial;
        let change = source.log.get_version(version)?;
        let body = change.content.bytes();
        let end = body
            .len()
            .min(offset + room.saturating_sub(CHUNK_OVERHEAD_BYTES));
        let reach = self.widest_span(version, source);
        let earlier = source.log.previous_version(&self.selector, version);
        let after = earlier.map_or(reach.after, |earlier| earlier.max(reach.after));
        let span = if urgent {
            single_version(version)
        } else {
            Span { after, ..reach }
        };
        let chunk = Chunk {
            key: change.key.clone(),
            version,
            urgency: change.urgency,
            is_urgent: urgent,
            fraction: change.fraction,
            replaces: change.replaces,
            total: u32::try_from(body.len()).ok()?,
            hash: change.hash(),
            offset: u32::try_from(offset).ok()?,
            bytes: body.get(offset..end)?.to_vec(),
        };
        let rest = if end == body.len() {
            Ok(span)
        } else {
            Err(BodyCursor {
                offset: end,
                ..partial
            })
        };
        Some((Payload::Chunk { id, span, chunk }, rest))
    }

    /// The next digests of keys; how far the list has come, none if to its end; the floor that it is for.
    pub fn manifest(
        &self,
        id: u32,
        source: ReplicaView,
        room: usize,
    ) -> (Payload, Option<ManifestCursor>, Version) {
        let fresh = ManifestCursor {
            listed_through: Version::ZERO,
            pruned_through: source.log.pruned_through(),
            is_first: true,
        };
        let pass = self.manifest_cursor.unwrap_or(fresh);
        let count = MAX_MANIFEST_KEYS
            .min(room.saturating_sub(CHANGES_OVERHEAD_BYTES) / MAX_DIGEST_BYTES)
            .max(1);
        let keys: Vec<_> = source
            .log
            .keys_after(&self.selector, pass.listed_through)
            .take(count)
            .collect();
        let last = keys.len() < count;
        let digests = keys.iter().map(|(_, key)| key.digest()).collect();
        let after = keys
            .last()
            .map_or(pass.listed_through, |(version, _)| *version);
        let next = (!last).then_some(ManifestCursor {
            listed_through: after,
            is_first: false,
            ..pass
        });
        let payload = Payload::Manifest {
            id,
            first: pass.is_first,
            last,
            floor: pass.pruned_through,
            digests,
        };
        (payload, next, pass.pruned_through)
    }
}

fn single_version(version: Version) -> Span {
    Span {
        after: version.predecessor(),
        through: version,
    }
}
