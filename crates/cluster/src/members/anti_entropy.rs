//! Comparison of two nodes' memberships by digests.

use super::library::{to_member, to_update};
use super::Members;
use crate::node::{Incarnation, Node};
use crate::wire::{MemberState, MemberUpdate, MEMBER_PARTITIONS};
use crate::Time;
use foca::{Member, State};
use std::collections::HashSet;

/// What a member's incarnation contributes to the digests.
struct DigestContribution {
    /// The index of the digest that it contributes to.
    partition: usize,
    digest: u32,
}

impl DigestContribution {
    fn of(incarnation: &Incarnation) -> DigestContribution {
        let mixed = (incarnation.tag ^ incarnation.number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .wrapping_mul(0xd6e8_feb8_6659_fd93);
        DigestContribution {
            partition: (mixed >> 61) as usize % MEMBER_PARTITIONS,
            digest: (mixed >> 16) as u32,
        }
    }
}

impl Members {
    /// A digest of each partition of the members, the local node included. Partitions with equal digests have the same
    /// members, except for collisions.
    pub fn digests(&self) -> [u32; MEMBER_PARTITIONS] {
        let mut digests = [0; MEMBER_PARTITIONS];
        for node in self.by_tag.values().chain([&self.local_node]) {
            let contribution = DigestContribution::of(&node.incarnation);
            digests[contribution.partition] ^= contribution.digest;
        }
        digests
    }

    /// The members, suspected ones included, of the partitions whose digests differ from those of the node `from`;
    /// without that node.
    pub fn members_of_differing_partitions(
        &self,
        digests: &[u32; MEMBER_PARTITIONS],
        from: &Node,
    ) -> Vec<MemberUpdate> {
        let own = self.digests();
        let differs = |node: &Node| {
            let partition = DigestContribution::of(&node.incarnation).partition;
            own[partition] != digests[partition] && node != from
        };
        self.library
            .iter_members()
            .filter(|member| differs(member.id()))
            .map(to_update)
            .collect()
    }

    /// Applies the member updates of another node. Returns the nodes that it believes to be alive and that the local
    /// node knows to be dead: otherwise the other node would detect these deaths only by its own probes.
    pub fn apply_updates(&mut self, now: Time, updates: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let is_known = |update: &&MemberUpdate| {
            self.by_tag.get(&update.node.incarnation.tag) == Some(&update.node)
        };
        let unknown: HashSet<&Node> = updates
            .iter()
            .filter(|update| update.state != MemberState::Dead && !is_known(update))
            .map(|update| &update.node)
            .collect();
        let is_dead =
            |member: &&Member<Node>| member.state() == State::Down && unknown.contains(member.id());
        let dead = self
            .library
            .iter_membership_state()
            .filter(is_dead)
            .map(to_update)
            .collect();
        // The updates are not gossiped on: a node that lacks one receives it when it compares its own digests.
        let members = updates.iter().map(to_member);
        let _ = self.library.apply_many(members, false, &mut self.output);
        self.process_output(now);
        dead
    }
}
