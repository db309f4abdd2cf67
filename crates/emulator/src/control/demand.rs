//! Tenants that nodes ask for when they first meet them, and how long the first request of each waits.

use super::contents::Resource;
use reelfall_distribution::resource::Name;
use std::collections::{BTreeMap, BTreeSet};

/// See the module.
#[derive(Default)]
pub struct Demands {
    /// The tenants that each node has asked for.
    asked: BTreeMap<u32, BTreeSet<u32>>,
    /// When a node met a tenant that has not come yet.
    open: BTreeMap<(u32, Name), f64>,
    /// How long those that came were waited for, in seconds.
    waits: Vec<f64>,
}

impl Demands {
    /// A node meets a tenant; whether it is the first time.
    pub fn meet(&mut self, node: u32, tenant: u32, now: f64) -> bool {
        let first = self.asked.entry(node).or_default().insert(tenant);
        if first {
            self.open
                .insert((node, Resource::Tenant(tenant).name()), now);
        }
        first
    }

    /// A resource is in force at a node.
    pub fn applied(&mut self, node: u32, name: &Name, at: f64) {
        if self.open.is_empty() {
            return;
        }
        if let Some(since) = self.open.remove(&(node, name.clone())) {
            self.waits.push(at - since);
        }
    }

    /// The tenants that a node has asked for.
    pub fn of(&self, node: u32) -> impl Iterator<Item = u32> + '_ {
        self.asked.get(&node).into_iter().flatten().copied()
    }

    /// How many have not come yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// How long those that came were waited for since this was last called.
    pub fn take_waits(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.waits)
    }
}
