//! What one subscription of a child is sent.

use crate::coverage::{Coverage, Span, SPANS_MANY, SPANS_URGENT_MOST};
use crate::epoch::Epoch;
use crate::log::Log;
use crate::message::{Chunk, Payload, Subscribe, MANIFEST_KEYS};
use crate::resource::{Change, Selector, Version};
use crate::Time;

/// What a frame of changes takes beside the changes.
pub(crate) const CHANGES_OVERHEAD: usize = 64;
/// What a frame with a part of a body takes beside the part.
const CHUNK_OVERHEAD: usize = 288;
/// What one digest takes in a frame at most.
const DIGEST_BYTES: usize = 10;

/// What a relay or an author has to send.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The changes.
    pub log: &'a Log,
    /// Which versions they cover.
    pub coverage: &'a Coverage,
    /// Whether they cover all versions up to the greatest.
    pub whole: bool,
    /// All removals up to this version are known.
    pub removals_known: Version,
    /// How old that is, in seconds, if it is known.
    pub age: Option<Time>,
    /// Who the author is.
    pub epoch: Option<&'a Epoch>,
}

/// How far a list of keys has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pass {
    /// Keys up to this version have been listed.
    after: Version,
    /// The log's floor when it began.
    pub floor: Version,
    first: bool,
}

/// The last [`Payload::Current`] that the child was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    pub count: u64,
    pub head: Version,
    pub removals: Version,
}

/// How far a body in parts has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Partial {
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
    known: Version,
    pub pass: Option<Pass>,
    /// What is to be sent next, and whether that is urgent.
    pub queued: Option<(bool, Version)>,
    /// The last [`Payload::Current`] that is taken into account in `coverage` and `known`.
    settled: u64,
}

impl Subscription {
    pub fn new(asked: Subscribe, told: Told, source: Source) -> Subscription {
        // Who has nothing has no removals to hear of.
        let has_nothing = asked.coverage.is_empty() && !asked.has_changes;
        let known = if has_nothing {
            source.log.floor()
        } else {
            asked.floor
        };
        Subscription {
            selector: asked.selector,
            coverage: asked.coverage,
            known,
            pass: None,
            queued: None,
            settled: told.count,
        }
    }

    /// Takes into account that the child was told that all had been sent.
    pub fn settle(&mut self, told: Told) {
        if self.settled < told.count {
            self.settled = told.count;
            self.coverage.add(Span {
                after: Version::ZERO,
                upto: told.head,
            });
            self.known = self.known.max(told.removals);
        }
    }

    /// All removals up to here are known to the child.
    pub fn known(&self, told: Told) -> Version {
        if self.settled == told.count {
            self.known
        } else {
            self.known.max(told.removals)
        }
    }

    /// A list of keys was sent to its end.
    pub fn list_sent(&mut self, floor: Version) {
        self.known = self.known.max(floor);
    }

    /// A span was sent.
    pub fn span_sent(&mut self, span: Span) {
        self.coverage.add(span);
    }

    /// What is to be sent next, and whether that is urgent. Where what is covered has come to many spans, gaps are filled
    /// before new spans are opened.
    pub fn next(&self, source: Source) -> Option<(bool, Version)> {
        let urgent_fits = self.coverage.spans().len() < SPANS_URGENT_MOST;
        let urgent = || {
            source
                .log
                .newest_urgent(&self.selector, &self.coverage)
                .filter(|_| urgent_fits)
        };
        let gap = || self.earliest_gap(source).filter(|_| self.is_scattered());
        let newest = || source.log.newest(&self.selector, &self.coverage);
        let normal = || gap().or_else(newest).map(|version| (false, version));
        urgent().map(|version| (true, version)).or_else(normal)
    }

    /// Whether what is covered has come to so many spans that gaps are filled first.
    fn is_scattered(&self) -> bool {
        self.coverage.spans().len() >= SPANS_MANY
    }

    /// The earliest uncovered change before which all is covered from the end of a span on, or from zero on: a frame that
    /// begins with it makes that span longer and opens none.
    fn earliest_gap(&self, source: Source) -> Option<Version> {
        let ends = self.coverage.spans().iter().map(|span| span.upto);
        let mut starts = std::iter::once(Version::ZERO).chain(ends);
        starts.find_map(|start| {
            let version = source
                .log
                .oldest_after(&self.selector, &self.coverage, start)?;
            let own = source.coverage.span_of(version)?;
            (own.after <= start).then_some(version)
        })
    }

    /// The widest span around an uncovered version in which the source itself lacks nothing, the child has nothing, and
    /// nothing is later.
    fn reach(&self, version: Version, source: Source) -> Span {
        let point = point(version);
        let own = source.coverage.span_of(version).unwrap_or(point);
        let above = self.coverage.next_above(version).unwrap_or(own.upto);
        let below = self.coverage.next_below(version);
        let upto = own.upto.min(above).max(version);
        // A body in parts may have been overtaken by later changes, which the child has not got.
        let later = source
            .log
            .later(&self.selector, version)
            .filter(|later| *later <= upto);
        Span {
            after: own.after.max(below),
            upto: if later.is_some() { version } else { upto },
        }
    }

    /// Whole changes that begin with a version, as the child is to see them.
    pub fn batch(
        &self,
        id: u32,
        first: Version,
        urgent: bool,
        source: Source,
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
        source: Source,
        room: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<(Payload, Span)> {
        let own = source.coverage.span_of(oldest).unwrap_or(point(oldest));
        let lacked_before = source
            .log
            .newest_before(&self.selector, &self.coverage, oldest);
        let after = lacked_before.map_or(own.after, |lacked| lacked.max(own.after));
        let mut span = Span {
            after,
            upto: own.upto,
        };
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD;
        let mut next = Some(oldest);
        while let Some(version) = next.filter(|version| *version <= own.upto) {
            let change = view(source.log.at(version)?);
            bytes += change.size();
            if bytes > room {
                span.upto = version.before();
                break;
            }
            changes.push(change);
            next = source
                .log
                .oldest_after(&self.selector, &self.coverage, version);
        }
        Some((Payload::Changes { id, span, changes }, span))
    }

    /// Whole changes from a version downwards; of urgent ones, that one alone.
    fn batch_downwards(
        &self,
        id: u32,
        newest: Version,
        urgent: bool,
        source: Source,
        room: usize,
        view: impl Fn(&Change) -> Change,
    ) -> Option<(Payload, Span)> {
        let mut span = self.reach(newest, source);
        let least = span.after;
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD;
        let mut next = Some(newest);
        while let Some(version) = next {
            let change = view(source.log.at(version)?);
            bytes += change.size();
            if bytes > room {
                break;
            }
            changes.push(change);
            let earlier = source.log.earlier(&self.selector, version);
            span.after = earlier.map_or(least, |earlier| earlier.max(least));
            next = earlier.filter(|earlier| *earlier > least && !urgent);
        }
        let span = if urgent { point(newest) } else { span };
        Some((Payload::Changes { id, span, changes }, span))
    }

    /// The next part of a long body; the span, if it is the last part; else how far it has come.
    pub fn part(
        &self,
        partial: Partial,
        urgent: bool,
        source: Source,
        room: usize,
    ) -> Option<(Payload, Result<Span, Partial>)> {
        let Partial {
            id,
            version,
            offset,
        } = partial;
        let change = source.log.at(version)?;
        let body = change.content.bytes();
        let end = body.len().min(offset + room.saturating_sub(CHUNK_OVERHEAD));
        let reach = self.reach(version, source);
        let earlier = source.log.earlier(&self.selector, version);
        let after = earlier.map_or(reach.after, |earlier| earlier.max(reach.after));
        let span = if urgent {
            point(version)
        } else {
            Span { after, ..reach }
        };
        let chunk = Chunk {
            key: change.key.clone(),
            version,
            urgency: change.urgency,
            express: urgent,
            part: change.part,
            replaces: change.replaces,
            total: u32::try_from(body.len()).ok()?,
            hash: change.hash(),
            offset: u32::try_from(offset).ok()?,
            bytes: body.get(offset..end)?.to_vec(),
        };
        let rest = if end == body.len() {
            Ok(span)
        } else {
            Err(Partial {
                offset: end,
                ..partial
            })
        };
        Some((Payload::Chunk { id, span, chunk }, rest))
    }

    /// The next digests of keys; how far the list has come, none if to its end; the floor that it is for.
    pub fn list(&self, id: u32, source: Source, room: usize) -> (Payload, Option<Pass>, Version) {
        let fresh = Pass {
            after: Version::ZERO,
            floor: source.log.floor(),
            first: true,
        };
        let pass = self.pass.unwrap_or(fresh);
        let count = MANIFEST_KEYS
            .min(room.saturating_sub(CHANGES_OVERHEAD) / DIGEST_BYTES)
            .max(1);
        let keys: Vec<_> = source
            .log
            .keys_after(&self.selector, pass.after)
            .take(count)
            .collect();
        let last = keys.len() < count;
        let digests = keys.iter().map(|(_, key)| key.digest()).collect();
        let after = keys.last().map_or(pass.after, |(version, _)| *version);
        let next = (!last).then_some(Pass {
            after,
            first: false,
            ..pass
        });
        let payload = Payload::Manifest {
            id,
            first: pass.first,
            last,
            floor: pass.floor,
            digests,
        };
        (payload, next, pass.floor)
    }
}

fn point(version: Version) -> Span {
    Span {
        after: version.before(),
        upto: version,
    }
}
