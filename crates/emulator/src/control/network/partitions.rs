//! Partitions of a [`Network`]: which endpoints can't reach which. They are checked when a frame is sent.

use super::Network;
use crate::control::endpoint::Endpoint;
use crate::control::topology::Scope;

/// Nothing passes from one set of endpoints to another.
pub(super) struct Partition {
    from: Scope,
    to: Scope,
}

impl<E: Endpoint> Network<E> {
    /// From now on nothing that is sent passes from one set to another.
    pub fn partition(&mut self, from: Scope, to: Scope) {
        self.partitions.push(Partition { from, to });
    }

    /// From now on nothing passes between two sets, either way.
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
