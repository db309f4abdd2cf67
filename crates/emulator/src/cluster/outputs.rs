//! Handles the outputs of a [`Cluster`]'s node after each call: sends its datagrams, and records updates of verdicts and
//! nodes that it has declared dead.

use super::address::node_at;
use super::entry_version::EntryVersion;
use super::invariants::ViolationKind;
use super::Cluster;
use reelfall_cluster::entry::{Key, Value};
use reelfall_cluster::fleet::FleetEvent;
use reelfall_cluster::members::MemberEvent;
use reelfall_cluster::node::Node;

/// How often healthy nodes were declared dead, by the health of the node that declared it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthyDeclaredDead {
    /// By another healthy node.
    pub by_healthy: u64,
    /// By an impaired node.
    pub by_impaired: u64,
}

impl Cluster {
    /// Sends the datagrams of a node and records its events.
    pub(super) fn handle_outputs(&mut self, node: usize) {
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        let datagrams: Vec<_> = std::iter::from_fn(|| process.fleet.next_datagram()).collect();
        let mut updated = Vec::new();
        let mut declared_dead = Vec::new();
        while let Some(event) = process.fleet.next_event() {
            match event {
                FleetEvent::Updated(key) => updated.push(key),
                FleetEvent::Expired(key) => drop(process.applied_bans.remove(&key)),
                FleetEvent::Member(MemberEvent::Down(node)) => declared_dead.push(node),
                _ => {}
            }
        }
        for key in updated {
            self.record_update(node, key);
        }
        self.record_deaths(node, &declared_dead);
        for datagram in datagrams {
            self.send(node, datagram.to, &datagram.bytes);
        }
    }

    /// Records when an entry was created, and which bans the node applies or knows to be lifted.
    fn record_update(&mut self, node: usize, key: Key) {
        let now = self.now;
        let Some(process) = &mut self.processes[node] else {
            return;
        };
        let local_time = process.local_time(now);
        let Some(entry) = process.fleet.table().get(&key, local_time) else {
            return;
        };
        // Every node that sees a list index publishes it again, so that there is no single time of creation.
        if !matches!(key, Key::ListIndex { .. }) {
            let created = EntryVersion {
                key: key.clone(),
                version: entry.version,
            };
            self.created_at.entry(created).or_insert(now);
        }
        match entry.value {
            Value::BanLifted { .. } => {
                process.applied_bans.remove(&key);
                process.lifted_bans.insert(key);
            }
            Value::Banned { .. } if process.lifted_bans.contains(&key) => {
                self.record_violation(ViolationKind::LiftedBanReturned { node });
            }
            Value::Banned { .. } => drop(process.applied_bans.insert(key)),
            _ => {}
        }
    }

    /// Counts false positives: running nodes, and healthy nodes, that a node has declared dead.
    fn record_deaths(&mut self, by: usize, declared_dead: &[Node]) {
        let is_running = |node: &&Node| {
            let mut processes = self.processes.iter().flatten();
            let process = processes.find(|process| process.fleet.members().local_node() == *node);
            process.is_some_and(|process| !process.is_frozen)
        };
        self.false_positives += declared_dead.iter().filter(is_running).count() as u64;
        if let Some(healthy_nodes) = self.healthy_nodes {
            let is_healthy = |node: &&Node| node_at(node.address) < healthy_nodes;
            let count = declared_dead.iter().filter(is_healthy).count() as u64;
            if by < healthy_nodes {
                self.healthy_declared_dead.by_healthy += count;
            } else {
                self.healthy_declared_dead.by_impaired += count;
            }
        }
    }
}
