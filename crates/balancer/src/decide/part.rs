//! This node's part of a long list.

use super::state::*;
use crate::chance::fraction;

/// Visits a second that a node should make to each server of its part of a long list: enough that an average
/// is of the last seconds, that a connection is met again before it is closed, and that few nodes find each
/// sick one.
const VISITS: f64 = 2.0;

/// The least part, and the least nodes that each server is a part of: chance must not decide what it gets.
const PART_LEAST: f64 = 8.0;

impl Balancer {
    /// How many nodes each server of a list of `r` is a part of: as many as make `VISITS` to it, if all nodes
    /// have their share of what the tenants may send. All of them where that is not known, or nodes are not
    /// told from each other: they would have one part.
    pub(super) fn block(&self, r: f64) -> u32 {
        let n = f64::from(self.settings.node_count);
        if self.settings.node_index.is_none() || self.quota <= 0.0 || n < 2.0 * PART_LEAST {
            return self.settings.node_count;
        }
        let part = (self.quota / n / VISITS).max(PART_LEAST);
        (n * part / r.max(1.0)).clamp(2.0 * PART_LEAST, n).ceil() as u32
    }

    /// Whether a server is of this node's part. Each server takes a block of the nodes in an order that
    /// scatters neighbours: all have as many nodes, a new one moves no other, and a zone's nodes gone are
    /// missed by all alike.
    pub(super) fn owns(&self, hash: u64, block: u32) -> bool {
        let n = u64::from(self.settings.node_count);
        let first = (fraction(hash) * n as f64) as u64;
        let place = u64::from(self.settings.node_index.unwrap_or(0)) * self.stride;
        (place + n - first) % n < u64::from(block)
    }

    /// Concentrates the vector on this node's part: at the start by listed size, later as the part changes.
    pub(super) fn part(&mut self, fresh: bool) {
        let block = self.block(self.servers.len() as f64);
        if block >= self.settings.node_count && self.servers.iter().all(|s| s.own) {
            return;
        }
        let owned: Vec<bool> = self
            .servers
            .iter()
            .map(|s| self.owns(s.entry.hash, block))
            .collect();
        let size = self.mean_size();
        let mean = owned
            .iter()
            .zip(&self.automaton.p)
            .filter(|(own, _)| **own)
            .map(|(_, p)| p)
            .sum::<f64>()
            / owned.iter().filter(|own| **own).count().max(1) as f64;
        for (i, own) in owned.into_iter().enumerate() {
            let p = &mut self.automaton.p[i];
            if fresh {
                let listed = listed(
                    self.settings.has_server_weights,
                    self.servers[i].entry.weight / size,
                );
                *p = if own { listed } else { 0.0 };
            } else if own != self.servers[i].own {
                *p = if own { mean } else { 0.0 };
            }
            self.servers[i].own = own;
        }
        self.automaton.settle();
    }
}
