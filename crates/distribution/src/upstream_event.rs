//! What an upstream has sent, once [`crate::upstream`] has checked it.

use crate::coverage::Span;
use crate::epoch::Epoch;
use crate::resource::{Change, Selector, Version};
use crate::Time;
use std::collections::BTreeSet;

/// What an upstream has said.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// Who the author is.
    Epoch(Epoch),
    /// Changes; once they are stored, [`crate::upstream::Upstream::add_coverage`] is to be called.
    Changes {
        /// Of which subscription.
        selector: Selector,
        /// What is covered by them.
        span: Span,
        /// The changes.
        changes: Vec<Change>,
    },
    /// All keys of a selector: others with this version or an earlier one are no more.
    Manifest {
        /// Of what.
        selector: Selector,
        /// The version.
        pruned_through: Version,
        /// The digests of the keys.
        digests: BTreeSet<u64>,
    },
    /// All that the upstream was asked for when it wrote this has come.
    Current {
        /// The latest version that the upstream has.
        head: Version,
        /// Removals up to this version may have been forgotten there.
        pruned_through: Version,
        /// How old that is at most, in seconds, if it holds for everything that was complete before.
        age: Option<Time>,
    },
}
