//! What one subscription of a child is sent.

use crate::coverage::{Coverage, SPANS_MANY};
use crate::log::Log;
use crate::message::{Chunk, Epoch, Payload, Span, Subscribe, MANIFEST_KEYS};
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
        let known = if asked.coverage.is_empty() { source.log.floor() } else { asked.floor };
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
            self.coverage.add(Span { after: Version::ZERO, upto: told.head });
            self.known = self.known.max(told.head);
        }
    }

    /// All removals up to here are known to the child.
    pub fn known(&self, told: Told) -> Version {
        if self.settled == told.count {
            self.known
        } else {
            self.known.max(told.head)
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

    /// What is to be sent next, and whether that is urgent. Where urgent changes have scattered what is covered, all go in
    /// their order until it is whole again.
    pub fn next(&self, log: &Log) -> Option<(bool, Version)> {
        let scattered = self.coverage.spans().len() >= SPANS_MANY;
        let urgent = log.newest_urgent(&self.selector, &self.coverage).filter(|_| !scattered);
        let normal = || log.newest(&self.selector, &self.coverage).map(|version| (false, version));
        urgent.map(|version| (true, version)).or_else(normal)
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
        let later = source.log.later(&self.selector, version).filter(|later| *later <= upto);
        Span { after: own.after.max(below), upto: if later.is_some() { version } else { upto } }
    }

    /// Whole changes from a version downwards, as the child is to see them.
    pub fn batch(
        &self, id: u32, newest: Version, urgent: bool, source: Source, room: usize,
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
        &self, partial: Partial, urgent: bool, source: Source, room: usize,
    ) -> Option<(Payload, Result<Span, Partial>)> {
        let Partial { id, version, offset } = partial;
        let change = source.log.at(version)?;
        let body = change.content.bytes();
        let end = body.len().min(offset + room.saturating_sub(CHUNK_OVERHEAD));
        let reach = self.reach(version, source);
        let earlier = source.log.earlier(&self.selector, version);
        let after = earlier.map_or(reach.after, |earlier| earlier.max(reach.after));
        let span = if urgent { point(version) } else { Span { after, ..reach } };
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
        let rest = if end == body.len() { Ok(span) } else { Err(Partial { offset: end, ..partial }) };
        Some((Payload::Chunk { id, span, chunk }, rest))
    }

    /// The next digests of keys; how far the list has come, none if to its end; the floor that it is for.
    pub fn list(&self, id: u32, source: Source, room: usize) -> (Payload, Option<Pass>, Version) {
        let fresh = Pass { after: Version::ZERO, floor: source.log.floor(), first: true };
        let pass = self.pass.unwrap_or(fresh);
        let count = MANIFEST_KEYS.min(room.saturating_sub(CHANGES_OVERHEAD) / DIGEST_BYTES).max(1);
        let keys: Vec<_> = source.log.keys_after(&self.selector, pass.after).take(count).collect();
        let last = keys.len() < count;
        let digests = keys.iter().map(|(_, key)| key.digest()).collect();
        let after = keys.last().map_or(pass.after, |(version, _)| *version);
        let next = (!last).then_some(Pass { after, first: false, ..pass });
        let payload = Payload::Manifest { id, first: pass.first, last, floor: pass.floor, digests };
        (payload, next, pass.floor)
    }
}

fn point(version: Version) -> Span {
    Span { after: version.before(), upto: version }
}
