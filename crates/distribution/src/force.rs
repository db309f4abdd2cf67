//! What is in force at a node, and what its driver was asked to apply and has not answered.

use crate::output::{Output, Record};
use crate::resource::{Change, Content, Name, Version};
use std::collections::BTreeMap;

/// What a resource's content was taken from: the versions of what is for all nodes and of what is on trial. Changes come in
/// any order, so the later of the two alone does not tell whether something new is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Basis {
    pub whole: Option<Version>,
    pub trial: Option<Version>,
}

/// What is known of one resource.
#[derive(Debug, Default)]
struct Held {
    in_force: Option<Change>,
    /// The greatest version that was in force or asked for.
    version: Version,
    /// What was accepted or rejected last, or is asked for.
    decided: Option<Basis>,
    /// The driver was asked and has not answered.
    asked: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Force {
    names: BTreeMap<Name, Held>,
    /// By version.
    asked: BTreeMap<Version, Vec<Change>>,
}

impl Force {
    /// What was in force before.
    pub fn restore(in_force: BTreeMap<Name, Change>) -> Force {
        let held = |change: Change| Held {
            version: change.version,
            in_force: Some(change),
            ..Held::default()
        };
        let names = in_force
            .into_iter()
            .map(|(name, change)| (name, held(change)))
            .collect();
        Force {
            names,
            asked: BTreeMap::new(),
        }
    }

    /// What is in force of a resource.
    pub fn get(&self, name: &Name) -> Option<&Change> {
        self.names.get(name)?.in_force.as_ref()
    }

    /// All that is in force.
    pub fn all(&self) -> impl Iterator<Item = &Change> {
        self.names
            .values()
            .filter_map(|held| held.in_force.as_ref())
    }

    /// Whether the driver has answered all that it was asked.
    pub fn is_settled(&self) -> bool {
        self.asked.is_empty()
    }

    /// Asks the driver for what a resource is to be, if that was not decided and is another than what is in force. While
    /// the driver has not answered it is not asked for more of that resource.
    ///
    /// What is wanted may come from an earlier version than the last one, where a list of keys has ended that one. It goes
    /// under the greatest version all the same: versions never go back.
    pub fn want(&mut self, mut wanted: Change, basis: Basis, outputs: &mut Vec<Output>) {
        let held = self.names.entry(wanted.key.name.clone()).or_default();
        if held.asked || held.decided == Some(basis) {
            return;
        }
        held.decided = Some(basis);
        held.version = held.version.max(wanted.version);
        wanted.version = held.version;
        let same = match &held.in_force {
            Some(change) => change.content == wanted.content,
            None => wanted.removes(),
        };
        if same {
            if let Some(change) = held
                .in_force
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
        held.asked = true;
        self.asked
            .entry(wanted.version)
            .or_default()
            .push(wanted.clone());
        outputs.push(Output::Apply(wanted));
    }

    /// The driver has answered for a version: what it was asked.
    pub fn answered(&mut self, version: Version) -> Vec<Change> {
        let changes = self.asked.remove(&version).unwrap_or_default();
        for change in &changes {
            if let Some(held) = self.names.get_mut(&change.key.name) {
                held.asked = false;
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
        let idle = |held: &Held| held.in_force.is_none() && !held.asked;
        if self.names.get(name).is_some_and(idle) {
            self.names.remove(name);
        }
    }

    /// Forgets resources, whatever is in force of them.
    pub fn drop_where(&mut self, gone: impl Fn(&Name) -> bool, outputs: &mut Vec<Output>) {
        for change in self.all().filter(|change| gone(&change.key.name)) {
            let end = Change {
                content: Content::Removed,
                ..change.clone()
            };
            outputs.push(Output::Persist(Record::InForce(end)));
        }
        self.names.retain(|name, _| !gone(name));
        for changes in self.asked.values_mut() {
            changes.retain(|change| !gone(&change.key.name));
        }
        self.asked.retain(|_, changes| !changes.is_empty());
    }
}
