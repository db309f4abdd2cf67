//! The subscriptions of a process, which outlive sessions: what has been received of each, and which are still to be
//! sent to the present upstream.

use crate::coverage::Coverage;
use crate::resource::{Selector, Version};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a subscription, in whatever session.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionState {
    /// Which versions have come.
    pub coverage: Coverage,
    /// All removals up to this version are known.
    pub removals_known: Version,
    /// All of it had come at some time.
    pub is_complete: bool,
    /// Changes of it may be here, also where nothing is covered.
    pub has_changes: bool,
    pub(crate) id: Option<u32>,
    pub(crate) subscribed_in: Option<u64>,
}

/// Subscriptions by what they ask for, and those that the upstream has not been asked for yet.
#[derive(Debug, Default)]
pub(crate) struct Subscriptions {
    pub by_selector: BTreeMap<Selector, SubscriptionState>,
    pub pending: BTreeSet<Selector>,
}

impl Subscriptions {
    /// A session has ended: the next one is asked for all.
    pub fn reset_for_new_session(&mut self) {
        for subscription in self.by_selector.values_mut() {
            subscription.id = None;
            subscription.subscribed_in = None;
        }
        self.pending = self.by_selector.keys().cloned().collect();
    }
}
