//! The resources that a node has applied, and the changes that its driver was asked to apply and has not answered.

use crate::output::{Output, Record};
use crate::resource::{Change, Content, Name, Version};
use std::collections::BTreeMap;

/// The versions of a resource's stable and canary changes from which its content was taken. Changes arrive in any
/// order, so the later version alone does not tell whether anything is new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotVersions {
    pub stable: Option<Version>,
    pub canary: Option<Version>,
}

/// What is applied and requested of one resource.
#[derive(Debug, Default)]
struct ResourceState {
    applied: Option<Change>,
    /// The greatest version that was applied or requested.
    version: Version,
    /// The versions that were last accepted, rejected or requested.
    decided: Option<SlotVersions>,
    /// Whether the driver has a request that it has not answered.
    is_pending: bool,
}

/// All applied resources and open requests.
#[derive(Debug, Default)]
pub(crate) struct AppliedResources {
    resources: BTreeMap<Name, ResourceState>,
    /// Open requests, by version.
    pending: BTreeMap<Version, Vec<Change>>,
}

impl AppliedResources {
    /// Restores the state from the changes that an earlier run had applied.
    pub fn restore(applied: BTreeMap<Name, Change>) -> AppliedResources {
        let restored = |change: Change| ResourceState {
            version: change.version,
            applied: Some(change),
            ..ResourceState::default()
        };
        let by_name = applied
            .into_iter()
            .map(|(name, change)| (name, restored(change)))
            .collect();
        AppliedResources {
            resources: by_name,
            pending: BTreeMap::new(),
        }
    }

    /// The applied change of a resource.
    pub fn get(&self, name: &Name) -> Option<&Change> {
        self.resources.get(name)?.applied.as_ref()
    }

    /// All applied changes.
    pub fn all(&self) -> impl Iterator<Item = &Change> {
        self.resources
            .values()
            .filter_map(|resource| resource.applied.as_ref())
    }

    /// Whether the driver has answered all requests.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty()
    }

    /// Asks the driver to apply a change, unless it was decided on already or equals what is applied. A resource has
    /// one open request at a time.
    ///
    /// After a manifest has removed a later change, the desired content may come from an earlier version. It is applied
    /// under the greatest version so far, because applied versions never decrease.
    pub fn request(
        &mut self,
        mut desired: Change,
        versions: SlotVersions,
        outputs: &mut Vec<Output>,
    ) {
        let resource = self.resources.entry(desired.key.name.clone()).or_default();
        if resource.is_pending || resource.decided == Some(versions) {
            return;
        }
        resource.decided = Some(versions);
        resource.version = resource.version.max(desired.version);
        desired.version = resource.version;
        let is_unchanged = match &resource.applied {
            Some(change) => change.content == desired.content,
            None => desired.is_removal(),
        };
        if is_unchanged {
            if let Some(change) = resource
                .applied
                .as_mut()
                .filter(|change| change.version < desired.version)
            {
                change.version = desired.version;
                outputs.push(Output::Persist(Record::Confirmed(
                    desired.key.name,
                    desired.version,
                )));
            }
            return;
        }
        resource.is_pending = true;
        self.pending
            .entry(desired.version)
            .or_default()
            .push(desired.clone());
        outputs.push(Output::Apply(desired));
    }

    /// Takes the requests of a version that the driver has answered.
    pub fn take_answered(&mut self, version: Version) -> Vec<Change> {
        let changes = self.pending.remove(&version).unwrap_or_default();
        for change in &changes {
            if let Some(resource) = self.resources.get_mut(&change.key.name) {
                resource.is_pending = false;
            }
        }
        changes
    }

    /// Records that a change was applied.
    pub fn mark_applied(&mut self, change: Change, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Applied(change.clone())));
        if let Some(resource) = self.resources.get_mut(&change.key.name) {
            resource.applied = (!change.is_removal()).then_some(change);
        }
    }

    /// Drops a resource that is neither applied nor requested.
    pub fn remove_if_idle(&mut self, name: &Name) {
        let is_idle = |resource: &ResourceState| resource.applied.is_none() && !resource.is_pending;
        if self.resources.get(name).is_some_and(is_idle) {
            self.resources.remove(name);
        }
    }

    /// Drops the resources whose names match and their open requests, and records them as no longer applied.
    pub fn remove_where(
        &mut self,
        should_remove: impl Fn(&Name) -> bool,
        outputs: &mut Vec<Output>,
    ) {
        for change in self.all().filter(|change| should_remove(&change.key.name)) {
            let removal = Change {
                content: Content::Removed,
                ..change.clone()
            };
            outputs.push(Output::Persist(Record::Applied(removal)));
        }
        self.resources.retain(|name, _| !should_remove(name));
        for changes in self.pending.values_mut() {
            changes.retain(|change| !should_remove(&change.key.name));
        }
        self.pending.retain(|_, changes| !changes.is_empty());
    }
}
