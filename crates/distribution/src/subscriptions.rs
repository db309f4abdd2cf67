//! The subscriptions of a process, which outlive sessions: what has been received of each, and which are still to be
//! sent to the current upstream.

use crate::coverage::Coverage;
use crate::resource::{Selector, Version};
use std::collections::{BTreeMap, BTreeSet};

/// State of a subscription across sessions.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionState {
    /// The versions that have been received.
    pub coverage: Coverage,
    /// All removals up to this version are known.
    pub removals_known: Version,
    /// Whether everything of it has been received at least once.
    pub is_complete: bool,
    /// Whether the log may have changes that it matches, even if nothing is covered.
    pub has_changes: bool,
    pub(crate) id: Option<u32>,
    pub(crate) subscribed_in: Option<u64>,
}

/// All subscriptions, and those that were not yet sent to the current upstream.
#[derive(Debug, Default)]
pub(crate) struct Subscriptions {
    pub by_selector: BTreeMap<Selector, SubscriptionState>,
    pub pending: BTreeSet<Selector>,
}

impl Subscriptions {
    /// Marks all subscriptions as pending for the next upstream, after a session has ended.
    pub fn reset_for_new_session(&mut self) {
        for subscription in self.by_selector.values_mut() {
            subscription.id = None;
            subscription.subscribed_in = None;
        }
        self.pending = self.by_selector.keys().cloned().collect();
    }
}
