//! Which versions a holder has been told of.
//!
//! A holder covers a version if, were this version the latest of its key, the holder would have it. Changes may come
//! urgent ones first and newest first, so this is a set of spans. To forget a span is safe: its changes come again.

use crate::resource::Version;
use serde::{Deserialize, Serialize};

/// Most spans that are kept; of more, the smallest but the first is forgotten.
pub const MAX_SPANS: usize = 64;
/// From so many spans on changes that are not urgent are sent with the earliest first, which opens no new spans.
pub const GAP_FILL_MIN_SPANS: usize = 48;
/// From so many spans on urgent changes wait, too: one span is left for a body in parts that is under way, and one for the
/// versions from zero on.
pub const MAX_SPANS_FOR_URGENT: usize = MAX_SPANS - 2;

/// The versions between `after` (not in it) and `upto` (in it).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Span {
    /// Its lower end.
    pub after: Version,
    /// Its upper end.
    pub through: Version,
}

/// A set of versions: spans that neither meet nor overlap, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Coverage {
    spans: Vec<Span>,
}

impl Coverage {
    /// Without versions.
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

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Its spans.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Whether its spans are in order, and not too many: what comes from elsewhere may be anything.
    pub fn is_valid(&self) -> bool {
        let each = self.spans.iter().all(|span| span.after < span.through);
        let order = self
            .spans
            .windows(2)
            .all(|pair| pair[0].through < pair[1].after);
        each && order && self.spans.len() <= MAX_SPANS
    }

    /// Whether a version is in it.
    pub fn contains(&self, version: Version) -> bool {
        self.spans
            .iter()
            .any(|span| span.after < version && version <= span.through)
    }

    /// All versions up to this one are in it.
    pub fn contiguous_end(&self) -> Version {
        match self.spans.first() {
            Some(span) if span.after == Version::ZERO => span.through,
            _ => Version::ZERO,
        }
    }

    /// The greatest version in it.
    pub fn last_version(&self) -> Version {
        self.spans.last().map_or(Version::ZERO, |span| span.through)
    }

    /// The lower end of the first span above a version.
    pub fn next_start_at_or_above(&self, version: Version) -> Option<Version> {
        self.spans
            .iter()
            .find(|span| span.after >= version)
            .map(|span| span.after)
    }

    /// The upper end of the last span below a version.
    pub fn last_end_below(&self, version: Version) -> Version {
        self.spans
            .iter()
            .rev()
            .map(|span| span.through)
            .find(|through| *through < version)
            .unwrap_or(Version::ZERO)
    }

    /// Whether it is all versions up to its top.
    pub fn is_contiguous(&self) -> bool {
        self.spans.len() == 1 && self.contiguous_end() == self.last_version()
    }

    /// The span that a version is in.
    pub fn span_containing(&self, version: Version) -> Option<Span> {
        self.spans
            .iter()
            .copied()
            .find(|span| span.after < version && version <= span.through)
    }

    /// The same, of its first span and the latest others so many spans at most.
    pub fn truncated(&self, max_spans: usize) -> Coverage {
        let skip = self.spans.len().saturating_sub(max_spans.max(1));
        let first = self.spans.iter().take(usize::from(skip > 0));
        let difference = self.spans.iter().skip(if skip > 0 { skip + 1 } else { 0 });
        Coverage {
            spans: first.chain(difference).copied().collect(),
        }
    }

    /// What is in both.
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

    /// What is in this one alone.
    pub fn difference(&self, other: &Coverage) -> Coverage {
        let mut difference = Coverage::EMPTY;
        for span in &self.spans {
            let mut after = span.after;
            for taken in &other.spans {
                difference.add(Span {
                    after,
                    through: span.through.min(taken.after),
                });
                after = after.max(taken.through);
            }
            difference.add(Span {
                after,
                through: span.through,
            });
        }
        difference
    }

    /// Adds a span.
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
        let place = merged.partition_point(|span| span.through < after);
        merged.insert(place, Span { after, through });
        self.spans = merged;
        self.trim();
    }

    /// Forgets the smallest spans of which there are too many, never the first: it is what is filled up from the earliest
    /// version on, so it only grows.
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
