//! Tracks which nodes have applied which changes, and compares the staleness that nodes report with the actual one.

use super::World;
use crate::control::invariants::ViolationKind;
use crate::control::machine::{AppliedChange, Machine};
use crate::control::resources::Resource;
use crate::control::times::Times;
use reelfall_distribution::resource::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A published change, and which nodes have applied it.
#[derive(Clone, Debug)]
pub struct TrackedChange {
    /// The resource.
    pub resource: Resource,
    /// The version of the change.
    pub version: Version,
    /// When the change was requested.
    pub requested_at: f64,
    /// When the publisher published it.
    pub published_at: f64,
    /// Nodes that need the change and have not applied it yet.
    pub missing: BTreeSet<u32>,
    /// When each other node applied it, in seconds after the request.
    pub apply_times: Vec<f64>,
}

/// How long it took nodes to apply changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ApplyTimes {
    /// Time from the request of a change until a node applied it, over all changes and nodes.
    pub times: Option<Times>,
    /// Number of pairs of a node and a change that the node has not applied yet.
    pub missing: usize,
}

/// Comparison of the staleness that nodes report of their configuration with the actual one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ages {
    /// Number of comparisons. Only nodes that lack a change are compared.
    pub compared: u64,
    /// Minimum of the reported minus the actual staleness, in seconds; negative if a node understated it.
    pub least_margin: f64,
    /// The maximum actual staleness, in seconds.
    pub oldest: f64,
}

impl Ages {
    fn add(&mut self, stated: f64, actual: f64) {
        let margin = stated - actual;
        self.least_margin = if self.compared == 0 {
            margin
        } else {
            self.least_margin.min(margin)
        };
        self.compared += 1;
        self.oldest = self.oldest.max(actual);
    }
}

impl World {
    /// Starts to track a change that has just been published.
    pub(super) fn track(&mut self, resource: Resource, version: Version, requested_at: f64) {
        let tracked = TrackedChange {
            resource,
            version,
            requested_at,
            published_at: self.network.now(),
            missing: self.nodes_needing(resource),
            apply_times: Vec::new(),
        };
        self.tracked
            .entry(resource.name())
            .or_default()
            .push(tracked);
    }

    /// The running nodes that need a resource.
    fn nodes_needing(&self, resource: Resource) -> BTreeSet<u32> {
        match resource {
            Resource::Settings(service)
            | Resource::Servers(service)
            | Resource::Route { service, .. } => {
                let is_running = |node: &u32| self.network.endpoint(*node).is_some();
                self.layout.nodes_of(service).filter(is_running).collect()
            }
            Resource::Tenant(tenant) => {
                let needs = |node: &u32| {
                    let mut tenants = self.tenant_subscriptions.of_node(*node);
                    tenants.any(|other| other == tenant)
                };
                self.running_nodes().filter(needs).collect()
            }
        }
    }

    /// The change with the greatest version since the last [`World::take_apply_times`].
    pub fn latest_change(&self) -> Option<TrackedChange> {
        let all = self.tracked.values().flatten().chain(&self.completed);
        all.max_by_key(|tracked| tracked.version).cloned()
    }

    /// Collects the changes that nodes have applied since the last call.
    pub(super) fn collect_applied(&mut self) {
        let nodes: Vec<u32> = self.running_nodes().collect();
        nodes
            .into_iter()
            .for_each(|node| self.collect_applied_of(node));
        self.move_completed();
    }

    pub(super) fn collect_applied_of(&mut self, node: u32) {
        let has_none =
            |machine: &Machine| machine.as_node().is_none_or(|node| node.applied.is_empty());
        if self.network.endpoint(node).is_none_or(has_none) {
            return;
        }
        let applied = self
            .network
            .with(node, |machine, _, _| machine.take_applied())
            .unwrap_or_default();
        applied
            .iter()
            .for_each(|applied| self.record_applied(node, applied));
    }

    fn record_applied(&mut self, node: u32, applied: &AppliedChange) {
        self.checker.check_applied(node, applied);
        self.tenant_subscriptions
            .record_applied(node, &applied.name, applied.at);
        let Some(tracked) = self.tracked.get_mut(&applied.name) else {
            return;
        };
        for tracked in tracked
            .iter_mut()
            .filter(|tracked| tracked.version <= applied.version)
        {
            if tracked.missing.remove(&node) {
                tracked.apply_times.push(applied.at - tracked.requested_at);
            }
        }
    }

    fn move_completed(&mut self) {
        let completed = &mut self.completed;
        self.tracked.retain(|_, changes| {
            completed.extend(changes.extract_if(.., |tracked| tracked.missing.is_empty()));
            !changes.is_empty()
        });
    }

    /// Takes the apply times of all changes since the last call, and stops tracking these changes.
    ///
    /// A change is not missing at a node that has applied a later version of the resource; changes of a partitioned publisher
    /// may be superseded in this way.
    pub fn take_apply_times(&mut self) -> ApplyTimes {
        let incomplete = std::mem::take(&mut self.tracked).into_values().flatten();
        let changes: Vec<TrackedChange> = incomplete
            .chain(std::mem::take(&mut self.completed))
            .collect();
        let missing = changes.iter().map(|tracked| self.count_missing(tracked));
        let missing = missing.sum();
        let times = changes.into_iter().flat_map(|tracked| tracked.apply_times);
        ApplyTimes {
            times: Times::of(times.collect()),
            missing,
        }
    }

    fn count_missing(&self, tracked: &TrackedChange) -> usize {
        let name = tracked.resource.name();
        let is_missing = |node: &&u32| {
            let machine = self.network.endpoint(**node).and_then(Machine::as_node);
            let change = machine.and_then(|node| node.subscriber.applied_change(&name));
            change.is_none_or(|change| change.version < tracked.version)
        };
        tracked.missing.iter().filter(is_missing).count()
    }

    /// Checks that no node reports a staleness that is less than the time since the publication of a change that it lacks.
    pub(super) fn compare_ages(&mut self) {
        let Some(mut ages) = self.ages else { return };
        let now = self.network.now();
        for tracked in self.tracked.values().flatten() {
            let actual = now - tracked.published_at;
            for node in &tracked.missing {
                let machine = self.network.endpoint(*node);
                let Some(stated) = machine.and_then(|machine| machine.staleness(now)) else {
                    continue;
                };
                ages.add(stated, actual);
                if stated - actual < 0.0 {
                    let kind = ViolationKind::StalenessUnderstated {
                        node: *node,
                        stated,
                        actual,
                    };
                    self.checker.record(now, kind);
                }
            }
        }
        self.ages = Some(ages);
    }
}
