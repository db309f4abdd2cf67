//! Partitions of a [`Network`]: sets of endpoints that can't reach each other. They are checked when a frame is sent.

use super::Network;
use crate::control::endpoint::Endpoint;
use crate::control::topology::Scope;

/// A one-way partition: frames from one set of endpoints to another are dropped.
pub(super) struct Partition {
    from: Scope,
    to: Scope,
}

impl<E: Endpoint> Network<E> {
    /// Drops all frames that are sent from one set to another from now on.
    pub fn partition(&mut self, from: Scope, to: Scope) {
        self.partitions.push(Partition { from, to });
    }

    /// Drops all frames between two sets from now on, in both directions.
    pub fn partition_both(&mut self, one: Scope, other: Scope) {
        self.partition(one, other);
        self.partition(other, one);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub(super) fn is_partitioned(&self, from: u32, to: u32) -> bool {
        if self.partitions.is_empty() {
            return false;
        }
        let (Some(from_site), Some(to_site)) = (self.topology.site(from), self.topology.site(to))
        else {
            return true;
        };
        let separates = |partition: &Partition| {
            from != to
                && partition.from.contains(from, from_site)
                && partition.to.contains(to, to_site)
        };
        self.partitions.iter().any(separates)
    }
}
