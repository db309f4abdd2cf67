//! What is in force at a node, and what its driver was asked to apply and has not answered.

use crate::output::{Output, Record};
use crate::resource::{Change, Name, Version};
use std::collections::BTreeMap;

/// What is known of one resource.
#[derive(Debug, Default)]
struct Held {
    in_force: Option<Change>,
    /// The version that was accepted or rejected last.
    decided: Version,
    /// The version that the driver was asked to apply and has not answered.
    asked: Option<Version>,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Force {
    names: BTreeMap<Name, Held>,
    /// By version: where a list of keys ends several resources, they have one version.
    asked: BTreeMap<Version, Vec<Change>>,
}

impl Force {
    /// What was in force before.
    pub fn restore(in_force: BTreeMap<Name, Change>) -> Force {
        let held = |change: Change| Held { decided: change.version, in_force: Some(change), asked: None };
        let names = in_force.into_iter().map(|(name, change)| (name, held(change))).collect();
        Force { names, asked: BTreeMap::new() }
    }

    /// What is in force of a resource.
    pub fn get(&self, name: &Name) -> Option<&Change> {
        self.names.get(name)?.in_force.as_ref()
    }

    /// All that is in force.
    pub fn all(&self) -> impl Iterator<Item = &Change> {
        self.names.values().filter_map(|held| held.in_force.as_ref())
    }

    /// Whether the driver has answered all that it was asked.
    pub fn is_settled(&self) -> bool {
        self.asked.is_empty()
    }

    /// Asks the driver for what a resource is to be, if it is later and another than what is in force. While the driver
    /// has not answered it is not asked for more of that resource.
    pub fn want(&mut self, wanted: Change, outputs: &mut Vec<Output>) {
        let held = self.names.entry(wanted.key.name.clone()).or_default();
        if held.asked.is_some() || wanted.version <= held.decided {
            return;
        }
        let same = match &held.in_force {
            Some(change) => change.content == wanted.content,
            None => wanted.removes(),
        };
        if same {
            held.decided = wanted.version;
            if let Some(change) = &mut held.in_force {
                change.version = wanted.version;
            }
            return;
        }
        held.asked = Some(wanted.version);
        self.asked.entry(wanted.version).or_default().push(wanted.clone());
        outputs.push(Output::Apply(wanted));
    }

    /// The driver has answered for a version: what it was asked.
    pub fn answered(&mut self, version: Version) -> Vec<Change> {
        let changes = self.asked.remove(&version).unwrap_or_default();
        for change in &changes {
            if let Some(held) = self.names.get_mut(&change.key.name) {
                held.asked = None;
                held.decided = held.decided.max(version);
            }
        }
        changes
    }

    /// A change is in force.
    pub fn accept(&mut self, change: Change, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::InForce(change.clone())));
        if let Some(held) = self.names.get_mut(&change.key.name) {
            held.in_force = (!change.removes()).then_some(change);
        }
    }

    /// Forgets a resource of which nothing is in force and nothing was asked.
    pub fn forget_idle(&mut self, name: &Name) {
        let idle = |held: &Held| held.in_force.is_none() && held.asked.is_none();
        if self.names.get(name).is_some_and(idle) {
            self.names.remove(name);
        }
    }

    /// Forgets resources, whatever is in force of them.
    pub fn drop_where(&mut self, gone: impl Fn(&Name) -> bool) {
        self.names.retain(|name, _| !gone(name));
        for changes in self.asked.values_mut() {
            changes.retain(|change| !gone(&change.key.name));
        }
        self.asked.retain(|_, changes| !changes.is_empty());
    }
}
