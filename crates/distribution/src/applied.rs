//! What is in force at a node, and what its driver was asked to apply and has not answered.

use crate::output::{Output, Record};
use crate::resource::{Change, Content, Name, Version};
use std::collections::BTreeMap;

/// What a resource's content was taken from: the versions of what is for all nodes and of what is on trial. Changes come in
/// any order, so the later of the two alone does not tell whether something new is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotVersions {
    pub stable: Option<Version>,
    pub canary: Option<Version>,
}

/// What is known of one resource.
#[derive(Debug, Default)]
struct ResourceState {
    applied: Option<Change>,
    /// The greatest version that was in force or asked for.
    version: Version,
    /// What was accepted or rejected last, or is asked for.
    decided: Option<SlotVersions>,
    /// The driver was asked and has not answered.
    is_pending: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct AppliedResources {
    resources: BTreeMap<Name, ResourceState>,
    /// By version.
    pending: BTreeMap<Version, Vec<Change>>,
}

impl AppliedResources {
    /// What was in force before.
    pub fn restore(applied: BTreeMap<Name, Change>) -> AppliedResources {
        let restored = |change: Change| ResourceState {
            version: change.version,
            applied: Some(change),
            ..ResourceState::default()
        };
        let names = applied
            .into_iter()
            .map(|(name, change)| (name, restored(change)))
            .collect();
        AppliedResources {
            resources: names,
            pending: BTreeMap::new(),
        }
    }

    /// What is in force of a resource.
    pub fn get(&self, name: &Name) -> Option<&Change> {
        self.resources.get(name)?.applied.as_ref()
    }

    /// All that is in force.
    pub fn all(&self) -> impl Iterator<Item = &Change> {
        self.resources
            .values()
            .filter_map(|resource| resource.applied.as_ref())
    }

    /// Whether the driver has answered all that it was asked.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty()
    }

    /// Asks the driver for what a resource is to be, if that was not decided and is another than what is in force. While
    /// the driver has not answered it is not asked for more of that resource.
    ///
    /// What is wanted may come from an earlier version than the last one, where a list of keys has ended that one. It goes
    /// under the greatest version all the same: versions never go back.
    pub fn request(&mut self, mut wanted: Change, basis: SlotVersions, outputs: &mut Vec<Output>) {
        let resource = self.resources.entry(wanted.key.name.clone()).or_default();
        if resource.is_pending || resource.decided == Some(basis) {
            return;
        }
        resource.decided = Some(basis);
        resource.version = resource.version.max(wanted.version);
        wanted.version = resource.version;
        let is_unchanged = match &resource.applied {
            Some(change) => change.content == wanted.content,
            None => wanted.is_removal(),
        };
        if is_unchanged {
            if let Some(change) = resource
                .applied
                .as_mut()
                .filter(|change| change.version < wanted.version)
            {
                change.version = wanted.version;
                outputs.push(Output::Persist(Record::Confirmed(
                    wanted.key.name,
                    wanted.version,
                )));
            }
            return;
        }
        resource.is_pending = true;
        self.pending
            .entry(wanted.version)
            .or_default()
            .push(wanted.clone());
        outputs.push(Output::Apply(wanted));
    }

    /// The driver has answered for a version: what it was asked.
    pub fn take_answered(&mut self, version: Version) -> Vec<Change> {
        let changes = self.pending.remove(&version).unwrap_or_default();
        for change in &changes {
            if let Some(resource) = self.resources.get_mut(&change.key.name) {
                resource.is_pending = false;
            }
        }
        changes
    }

    /// A change is in force.
    pub fn mark_applied(&mut self, change: Change, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Applied(change.clone())));
        if let Some(resource) = self.resources.get_mut(&change.key.name) {
            resource.applied = (!change.is_removal()).then_some(change);
        }
    }

    /// Forgets a resource of which nothing is in force and nothing was asked.
    pub fn remove_if_idle(&mut self, name: &Name) {
        let is_idle = |resource: &ResourceState| resource.applied.is_none() && !resource.is_pending;
        if self.resources.get(name).is_some_and(is_idle) {
            self.resources.remove(name);
        }
    }

    /// Forgets resources, whatever is in force of them.
    pub fn remove_where(
        &mut self,
        should_remove: impl Fn(&Name) -> bool,
        outputs: &mut Vec<Output>,
    ) {
        for change in self.all().filter(|change| should_remove(&change.key.name)) {
            let end = Change {
                content: Content::Removed,
                ..change.clone()
            };
            outputs.push(Output::Persist(Record::Applied(end)));
        }
        self.resources.retain(|name, _| !should_remove(name));
        for changes in self.pending.values_mut() {
            changes.retain(|change| !should_remove(&change.key.name));
        }
        self.pending.retain(|_, changes| !changes.is_empty());
    }
}
