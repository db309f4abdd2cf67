//! Overwrites orphans: changes of earlier publishers that did not reach the current publisher before it took over.

use super::{Publisher, State};
use crate::output::{Event, Output};
use crate::publish::PendingChange;
use crate::resource::{ChangeId, Content, Key, NodeFraction, Urgency, Version};
use crate::Time;

/// Maximum number of orphans that are overwritten in one term; further reports are ignored.
const MAX_OVERWRITTEN_ORPHANS: usize = 100_000;

impl Publisher {
    /// Publishes changes of this publisher's own log again that its epoch does not list as known: other replicas cover
    /// their versions without having the changes.
    pub(super) fn republish_orphaned(
        &mut self,
        now: Time,
        orphans: Vec<ChangeId>,
        outputs: &mut Vec<Output>,
    ) {
        for ChangeId { key, .. } in orphans {
            let Some(change) = self.log().get(&key) else {
                continue;
            };
            let (content, fraction) = (change.content.clone(), change.fraction);
            let change = PendingChange {
                key,
                content,
                urgency: Urgency::Normal,
                fraction,
            };
            self.publish_or_report_capacity(now, change, outputs);
        }
    }

    pub(super) fn publish_or_report_capacity(
        &mut self,
        now: Time,
        change: PendingChange,
        outputs: &mut Vec<Output>,
    ) {
        let (key, version) = (change.key.clone(), self.head());
        if self.publish_pending(now, vec![change], outputs).is_err() {
            outputs.push(Output::Event(Event::CapacityExceeded { key, version }));
        }
    }

    /// Overwrites an orphan with the content that the publisher has.
    pub(super) fn overwrite_orphan(
        &mut self,
        now: Time,
        key: Key,
        version: Version,
        outputs: &mut Vec<Output>,
    ) {
        let own = self.replica.log.get(&key);
        let is_newer = own.is_some_and(|own| own.version >= version);
        let State::Publishing {
            epoch,
            overwritten_orphans,
            ..
        } = &mut self.state
        else {
            return;
        };
        if is_newer
            || version.token >= epoch.claim.token
            || *overwritten_orphans >= MAX_OVERWRITTEN_ORPHANS
        {
            return;
        }
        *overwritten_orphans += 1;
        let content = own.map_or(Content::Removed, |own| own.content.clone());
        let fraction = own.map_or(NodeFraction::ALL, |own| own.fraction);
        let change = PendingChange {
            key,
            content,
            urgency: Urgency::Urgent,
            fraction,
        };
        self.publish_or_report_capacity(now, change, outputs);
    }
}
