//! Coverage: the set of versions that a process has received.
//!
//! A process that covers a version has the change of this version, if that is still the latest change of its key.
//! Urgent and recent changes are sent first, so a coverage has gaps and is stored as spans. Dropping a span is always
//! safe: its changes are sent again.
//!
//! Used by the log's readers, subscriptions and stored records alike.

use crate::resource::Version;
use serde::{Deserialize, Serialize};

/// Maximum number of spans of a coverage; beyond it the narrowest span is dropped, but never the first one.
pub const MAX_SPANS: usize = 64;
/// From this number of spans on, changes that are not urgent are sent oldest first, which fills gaps and opens no new
/// spans.
pub const GAP_FILL_MIN_SPANS: usize = 48;
/// From this number of spans on, urgent changes wait, too: one span is reserved for a body that is being sent in
/// chunks, and one for the versions from zero on.
pub const MAX_SPANS_FOR_URGENT: usize = MAX_SPANS - 2;

/// The versions after `after` (exclusive) up to `through` (inclusive).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The exclusive lower end.
    pub after: Version,
    /// The inclusive upper end.
    pub through: Version,
}

/// A set of versions: sorted spans that neither overlap nor touch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Coverage {
    spans: Vec<Span>,
}

impl Coverage {
    /// No versions.
    pub const EMPTY: Coverage = Coverage { spans: Vec::new() };

    /// All versions up to this one.
    pub fn up_to(version: Version) -> Coverage {
        let mut coverage = Coverage::default();
        coverage.add(Span {
            after: Version::ZERO,
            through: version,
        });
        coverage
    }

    /// Whether it covers no version.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// The spans, in ascending order.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Whether the spans are sorted, disjoint and within [`MAX_SPANS`]; has to be checked on received and stored
    /// values.
    pub fn is_valid(&self) -> bool {
        let are_nonempty = self.spans.iter().all(|span| span.after < span.through);
        let are_sorted = self
            .spans
            .windows(2)
            .all(|pair| pair[0].through < pair[1].after);
        are_nonempty && are_sorted && self.spans.len() <= MAX_SPANS
    }

    /// Whether a version is covered.
    pub fn contains(&self, version: Version) -> bool {
        self.spans
            .iter()
            .any(|span| span.after < version && version <= span.through)
    }

    /// The end of the span that starts at zero; [`Version::ZERO`] if there is none.
    pub fn contiguous_end(&self) -> Version {
        match self.spans.first() {
            Some(span) if span.after == Version::ZERO => span.through,
            _ => Version::ZERO,
        }
    }

    /// The last covered version.
    pub fn last_version(&self) -> Version {
        self.spans.last().map_or(Version::ZERO, |span| span.through)
    }

    /// The start of the first span at or above a version.
    pub fn next_start_at_or_above(&self, version: Version) -> Option<Version> {
        self.spans
            .iter()
            .find(|span| span.after >= version)
            .map(|span| span.after)
    }

    /// The end of the last span below a version.
    pub fn last_end_below(&self, version: Version) -> Version {
        self.spans
            .iter()
            .rev()
            .map(|span| span.through)
            .find(|through| *through < version)
            .unwrap_or(Version::ZERO)
    }

    /// Whether there is exactly one span, and it starts at zero.
    pub fn is_contiguous(&self) -> bool {
        self.spans.len() == 1 && self.contiguous_end() == self.last_version()
    }

    /// The span that contains a version.
    pub fn span_containing(&self, version: Version) -> Option<Span> {
        self.spans
            .iter()
            .copied()
            .find(|span| span.after < version && version <= span.through)
    }

    /// The first span and the last of the others, `max_spans` in all.
    pub fn truncated(&self, max_spans: usize) -> Coverage {
        let skip = self.spans.len().saturating_sub(max_spans.max(1));
        let first = self.spans.iter().take(usize::from(skip > 0));
        let last = self.spans.iter().skip(if skip > 0 { skip + 1 } else { 0 });
        Coverage {
            spans: first.chain(last).copied().collect(),
        }
    }

    /// The versions that both cover.
    pub fn intersection(&self, other: &Coverage) -> Coverage {
        let mut intersection = Coverage::EMPTY;
        for left in &self.spans {
            for right in &other.spans {
                intersection.add(Span {
                    after: left.after.max(right.after),
                    through: left.through.min(right.through),
                });
            }
        }
        intersection
    }

    /// The versions that `self` covers and `other` does not.
    pub fn difference(&self, other: &Coverage) -> Coverage {
        let mut difference = Coverage::EMPTY;
        for span in &self.spans {
            let mut after = span.after;
            for removed in &other.spans {
                difference.add(Span {
                    after,
                    through: span.through.min(removed.after),
                });
                after = after.max(removed.through);
            }
            difference.add(Span {
                after,
                through: span.through,
            });
        }
        difference
    }

    /// Adds a span; merges it with the spans that it overlaps or touches.
    pub fn add(&mut self, new: Span) {
        if new.after >= new.through {
            return;
        }
        let (mut after, mut through) = (new.after, new.through);
        let mut merged = Vec::with_capacity(self.spans.len() + 1);
        for span in self.spans.drain(..) {
            if span.through < after || through < span.after {
                merged.push(span);
            } else {
                after = after.min(span.after);
                through = through.max(span.through);
            }
        }
        let position = merged.partition_point(|span| span.through < after);
        merged.insert(position, Span { after, through });
        self.spans = merged;
        self.trim();
    }

    /// Drops the narrowest spans beyond [`MAX_SPANS`]. The first span stays, since it only ever grows.
    fn trim(&mut self) {
        while self.spans.len() > MAX_SPANS {
            let width = |span: &Span| {
                (
                    span.through.token - span.after.token,
                    span.through.sequence.wrapping_sub(span.after.sequence),
                )
            };
            let narrowest = (1..self.spans.len())
                .min_by_key(|&index| width(&self.spans[index]))
                .unwrap_or(0);
            self.spans.remove(narrowest);
        }
    }
}
