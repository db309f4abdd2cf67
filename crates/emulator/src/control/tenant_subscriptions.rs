//! Subscriptions of nodes to tenants, which are made at the first request of a tenant, and how long that request waits.

use super::resources::Resource;
use reelfall_distribution::resource::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The tenants of each node, and the waiting times of first requests.
#[derive(Default)]
pub struct TenantSubscriptions {
    tenants: BTreeMap<u32, BTreeSet<u32>>,
    /// When the first request of a tenant arrived, for tenants that the node has not applied yet.
    pending: BTreeMap<PendingRequest, f64>,
    /// How long completed first requests have waited, in seconds.
    waits: Vec<f64>,
}

/// A tenant that a node has subscribed to but not applied yet.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    node: u32,
    tenant: Name,
}

impl TenantSubscriptions {
    /// Records a request of a tenant at a node; returns whether it is the first one.
    pub fn record_request(&mut self, node: u32, tenant: u32, now: f64) -> bool {
        let is_first = self.tenants.entry(node).or_default().insert(tenant);
        if is_first {
            let tenant = Resource::Tenant(tenant).name();
            self.pending.insert(PendingRequest { node, tenant }, now);
        }
        is_first
    }

    /// Records that a node has applied a resource, which may complete a first request.
    pub fn record_applied(&mut self, node: u32, name: &Name, at: f64) {
        if self.pending.is_empty() {
            return;
        }
        let request = PendingRequest {
            node,
            tenant: name.clone(),
        };
        if let Some(since) = self.pending.remove(&request) {
            self.waits.push(at - since);
        }
    }

    /// The tenants that a node has subscribed to.
    pub fn of_node(&self, node: u32) -> impl Iterator<Item = u32> + '_ {
        self.tenants.get(&node).into_iter().flatten().copied()
    }

    /// Number of first requests that are still waiting.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Takes the waiting times of first requests that were completed since the last call, in seconds.
    pub fn take_waits(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.waits)
    }
}
