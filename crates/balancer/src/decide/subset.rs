//! Subsetting: the servers of a long list that this node prefers. Each server is preferred by a contiguous block of the
//! nodes, in an order that scatters nodes with neighbouring indices. Thus all servers have the same number of nodes, a
//! new server does not change the nodes of the others, and the loss of a zone's nodes affects all servers equally.

use super::servers::relative_size;
use super::Balancer;
use crate::random::{coprime_stride, fraction_of};

/// Requests per second that a node should send to each server of its subset, so that running averages are recent,
/// connections are reused before they are closed, and few nodes have to detect each faulty server.
const REQUESTS_PER_SERVER: f64 = 2.0;
/// The least size of a subset, and half of the least number of nodes that prefer each server.
const MIN_SUBSET: f64 = 8.0;

/// Determines which servers this node prefers.
pub(super) struct Subset {
    node_count: u32,
    node_index: Option<u32>,
    /// Requests per second that tenants may send to all nodes.
    total_rate: f64,
    /// Distance, in the order of the blocks, between two nodes with successive indices.
    stride: u64,
}

impl Subset {
    /// Creates the subset of the node with this index; `total_rate` is the sum of all quotas.
    pub(super) fn new(node_count: u32, node_index: Option<u32>, total_rate: f64) -> Self {
        let stride = coprime_stride(u64::from(node_count));
        Subset {
            node_count,
            node_index,
            total_rate,
            stride,
        }
    }

    /// Number of nodes that prefer each server of a list of this length: all of them if the rate is unknown, the nodes
    /// have no indices, or there are few nodes.
    pub(super) fn nodes_per_server(&self, servers: f64) -> u32 {
        let nodes = f64::from(self.node_count);
        if self.node_index.is_none() || self.total_rate <= 0.0 || nodes < 2.0 * MIN_SUBSET {
            return self.node_count;
        }
        let size = (self.total_rate / nodes / REQUESTS_PER_SERVER).max(MIN_SUBSET);
        (nodes * size / servers.max(1.0))
            .clamp(2.0 * MIN_SUBSET, nodes)
            .ceil() as u32
    }

    /// Whether this node prefers a server, if each server is preferred by `nodes_per_server` nodes.
    pub(super) fn contains(&self, server_hash: u64, nodes_per_server: u32) -> bool {
        let nodes = u64::from(self.node_count);
        let first = (fraction_of(server_hash) * nodes as f64) as u64;
        let position = u64::from(self.node_index.unwrap_or(0)) * self.stride;
        (position + nodes - first) % nodes < u64::from(nodes_per_server)
    }

    /// Whether every node prefers every server.
    fn is_whole_list(&self, nodes_per_server: u32) -> bool {
        nodes_per_server >= self.node_count
    }
}

impl Balancer {
    /// Concentrates the probability vector on the subset: by listed weights if nothing was learned yet, otherwise by
    /// changing only the servers that join or leave the subset.
    pub(super) fn update_subset(&mut self, nothing_learned: bool) {
        let nodes_per_server = self.subset.nodes_per_server(self.servers.len() as f64);
        let is_whole_list = self.subset.is_whole_list(nodes_per_server);
        if is_whole_list && self.servers.iter().all(|server| server.is_in_subset) {
            return;
        }
        let is_in_subset = |hash| self.subset.contains(hash, nodes_per_server);
        let members: Vec<bool> = self
            .servers
            .iter()
            .map(|server| is_in_subset(server.endpoint.hash))
            .collect();
        if nothing_learned {
            self.start_subset(&members);
        } else {
            self.change_subset(&members);
        }
        for (server, is_member) in self.servers.iter_mut().zip(members) {
            server.is_in_subset = is_member;
        }
        self.automaton.normalize();
    }

    fn start_subset(&mut self, members: &[bool]) {
        let mean_weight = self.servers.mean_weight();
        let has_weights = self.settings.has_server_weights;
        let probabilities = self.automaton.probability.iter_mut();
        for ((probability, server), is_member) in
            probabilities.zip(self.servers.iter()).zip(members)
        {
            let size = relative_size(has_weights, server.endpoint.weight / mean_weight);
            *probability = if *is_member { size } else { 0.0 };
        }
    }

    /// Gives servers that join the subset the mean probability of its members, and those that leave it no probability.
    fn change_subset(&mut self, members: &[bool]) {
        let probabilities = &mut self.automaton.probability;
        let total: f64 = members
            .iter()
            .zip(&*probabilities)
            .filter(|(is_member, _)| **is_member)
            .map(|(_, p)| p)
            .sum();
        let mean = total
            / members
                .iter()
                .filter(|is_member| **is_member)
                .count()
                .max(1) as f64;
        for ((probability, server), is_member) in probabilities
            .iter_mut()
            .zip(self.servers.iter())
            .zip(members)
        {
            if *is_member != server.is_in_subset {
                *probability = if *is_member { mean } else { 0.0 };
            }
        }
    }
}
