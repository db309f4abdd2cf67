//! Promises of the distribution, checked by what nodes do and not by what they say.

use super::machine::{Applied, Node};
use reelfall_distribution::author::Author;
use reelfall_distribution::resource::{Key, Name, Slot, Version};
use std::collections::HashMap;

/// What a node's link has for control, in bytes a second, over any [`super::account::LONG_SPAN`].
pub const BUDGET: f64 = 8_000.0;
/// Faults that are kept; further ones are counted alone.
const FAULTS_MOST: usize = 20;

/// See the module.
#[derive(Default)]
pub struct Checker {
    /// The last version of each resource at each node.
    versions: HashMap<(u32, Name), Version>,
    /// What was seen, the first ones.
    pub faults: Vec<String>,
    /// How many there were.
    pub faults_seen: usize,
}

impl Checker {
    /// A promise was not kept.
    pub fn fault(&mut self, now: f64, what: String) {
        self.faults_seen += 1;
        if self.faults.len() < FAULTS_MOST {
            self.faults.push(format!("{now:.3}: {what}"));
        }
    }

    /// A node has put a change in force: its version is greater than the one before.
    pub fn applied(&mut self, node: u32, applied: &Applied) {
        let last = self
            .versions
            .insert((node, applied.name.clone()), applied.version);
        if last.is_some_and(|last| last >= applied.version) {
            let what = format!(
                "node {node}: {:?} went from {last:?} to {:?}",
                applied.name, applied.version
            );
            self.fault(applied.at, what);
        }
    }

    /// A node has lost its disk: it begins with nothing.
    pub fn forget_node(&mut self, node: u32) {
        self.versions.retain(|(other, _), _| *other != node);
    }
}

/// Whether a node has of a resource what an author has.
pub fn agrees(author: &Author, node: &Node, name: &Name) -> bool {
    let key = Key {
        name: name.clone(),
        slot: Slot::Stable,
    };
    let there = author.log().get(&key).filter(|change| !change.is_removal());
    let here = node.subscriber.applied_change(name);
    there.map(|change| &change.content) == here.map(|change| &change.content)
}
