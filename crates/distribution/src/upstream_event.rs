//! The messages of an upstream, after [`crate::upstream`] has checked them.

use crate::coverage::Span;
use crate::epoch::Epoch;
use crate::resource::{Change, Selector, Version};
use crate::Time;
use std::collections::BTreeSet;

/// A checked message of the upstream.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// The term of the current publisher.
    Epoch(Epoch),
    /// Changes; [`crate::upstream::Upstream::add_coverage`] is to be called once they are stored.
    Changes {
        /// The selector of the subscription.
        selector: Selector,
        /// The span that they cover.
        span: Span,
        /// The changes.
        changes: Vec<Change>,
    },
    /// All keys of a selector: others up to the pruning floor were removed.
    Manifest {
        /// The selector.
        selector: Selector,
        /// The pruning floor.
        pruned_through: Version,
        /// The digests of the keys.
        digests: BTreeSet<u64>,
    },
    /// Everything that was requested before the upstream sent this has arrived.
    UpToDate {
        /// The last version of the upstream.
        head: Version,
        /// The upstream may have pruned tombstones up to this version.
        pruned_through: Version,
        /// Upper bound of the staleness in seconds, if it holds for everything that was complete before.
        age: Option<Time>,
    },
}
