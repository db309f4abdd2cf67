//! Handling received datagrams.

use super::{Fleet, FleetEvent, NodeMessage};
use crate::entry::Entry;
use crate::freshness;
use crate::node::Node;
use crate::table::MergeOutcome;
use crate::wire::{
    AntiEntropy, AppMessage, DatagramWriter, Digests, DropReason, GossipDatagram, Header,
    MemberState, MemberUpdate, MEMBER_PARTITIONS,
};
use crate::{Time, MICROS_PER_SECOND};
use rand::RngExt;

/// Maximum number of datagrams with entries that are sent in response to one comparison of tables; the next comparison
/// continues.
pub const MAX_ENTRY_DATAGRAMS: usize = 4;
/// Maximum number of datagrams with members that are sent in response to one comparison of memberships; the next
/// comparison continues.
pub const MAX_MEMBER_DATAGRAMS: usize = 4;
/// Maximum number of received application messages that are queued for the application.
pub const MAX_MESSAGES: usize = 256;

impl Fleet {
    /// Handles a received datagram: merges what it contains, and enqueues the responses.
    pub fn receive(&mut self, now: Time, datagram: &[u8]) {
        if AppMessage::matches(datagram) {
            return self.receive_message(datagram);
        }
        let GossipDatagram { header, entries } = match self.open(now, datagram) {
            Ok(opened) => opened,
            Err(reason) => return self.count_dropped(reason),
        };
        self.counters.received_datagrams += 1;
        self.last_received_at = now;
        self.incarnations.record(&header.from);
        if let Some(newer) = header.newer_incarnation {
            self.handle_newer_incarnation(now, newer);
        }
        self.members.record_contact(now);
        if !header.swim.is_empty() {
            self.members.receive(now, &header.swim);
        }
        if !header.members.is_empty() {
            self.receive_members(now, &header);
        }
        self.merge_entries(now, &header, entries);
        self.respond(now, &header);
        self.process_output(now);
    }

    fn open(&mut self, now: Time, datagram: &[u8]) -> Result<GossipDatagram, DropReason> {
        let opened = GossipDatagram::open(&self.secret, datagram)?;
        let header = &opened.header;
        let tag = header.from.incarnation.tag;
        if tag == self.members.local_node().incarnation.tag {
            return Err(DropReason::Own);
        }
        if !self
            .clocks
            .record(now, tag, header.sequence, header.clock_us)
        {
            return Err(DropReason::Duplicate);
        }
        Ok(opened)
    }

    fn count_dropped(&mut self, reason: DropReason) {
        *self.counters.dropped_datagrams.entry(reason).or_default() += 1;
    }

    fn receive_members(&mut self, now: Time, header: &Header) {
        let mut dead = self.members.apply_updates(now, &header.members);
        self.send_members(now, &header.from, &mut dead);
        let own = self.members.local_node();
        let suspects_own =
            |update: &MemberUpdate| update.state == MemberState::Suspected && update.node == *own;
        if header.members.iter().any(suspects_own) {
            // Any message of the membership protocol contains the SWIM incarnation, which refutes the suspicion.
            self.members.announce(now, header.from.address);
        }
    }

    fn receive_message(&mut self, datagram: &[u8]) {
        let own_tag = self.members.local_node().incarnation.tag;
        let message = AppMessage::open(&self.secret, datagram);
        match message {
            Ok(message) if message.to_tag != own_tag => self.count_dropped(DropReason::Misdirected),
            Ok(message) if self.messages.len() < MAX_MESSAGES => {
                self.counters.received_datagrams += 1;
                self.messages.push_back(NodeMessage {
                    from: message.from,
                    body: message.body,
                });
            }
            // The queue is full: the message is dropped, as if it had been lost.
            Ok(_) => {}
            Err(reason) => self.count_dropped(reason),
        }
    }

    /// Merges entries, and adds the longest time for which they can have been in transit to their ages. Without a bound
    /// of that time they are ignored.
    fn merge_entries(&mut self, now: Time, header: &Header, entries: Vec<Entry>) {
        let is_addressed = header.to_tag == self.members.local_node().incarnation.tag;
        let echo = header.echo.filter(|_| is_addressed);
        let Some(transit) = echo.and_then(|echo| freshness::max_transit(now, echo)) else {
            self.counters.unproven_entries += entries.len() as u64;
            return;
        };
        let transit_us = (transit * MICROS_PER_SECOND).ceil() as u64;
        for mut entry in entries {
            entry.age_us = entry.age_us.saturating_add(transit_us);
            let key = entry.key.clone();
            match self.table.merge(now, entry) {
                MergeOutcome::Updated => self.events.push_back(FleetEvent::Updated(key)),
                MergeOutcome::Unchanged => {}
                MergeOutcome::Expired => self.counters.expired_entries += 1,
                MergeOutcome::Rejected => self.counters.rejected_entries += 1,
            }
        }
    }

    fn respond(&mut self, now: Time, header: &Header) {
        let to = &header.from;
        let newer_incarnation = self.incarnations.newer_than(to);
        match header.anti_entropy {
            Some(AntiEntropy::Request(digests)) => self.send_differences(now, to, &digests, true),
            Some(AntiEntropy::Response(digests)) => self.send_differences(now, to, &digests, false),
            None => {}
        }
        let was_awaited = self.awaiting_echo.remove(&to.incarnation.tag);
        if header.requests_echo || was_awaited || newer_incarnation.is_some() {
            let mut response = self.header(now, to);
            response.newer_incarnation = newer_incarnation;
            self.send_with_entries(now, to.address, &response);
        }
    }

    pub(super) fn digests(&self) -> Digests {
        Digests {
            entries: self.table.digests(),
            members: self.members.digests(),
        }
    }

    /// Sends the entries and members of the partitions whose digests differ from those of another node, and the local
    /// digests in response to a request.
    fn send_differences(&mut self, now: Time, to: &Node, digests: &Digests, is_request: bool) {
        let own_digests = self.digests();
        if own_digests == *digests {
            return;
        }
        let entries = self
            .table
            .entries_of_differing_partitions(now, &digests.entries);
        let mut entries = entries.iter().peekable();
        for n in 0..MAX_ENTRY_DATAGRAMS {
            let mut header = self.header(now, to);
            header.anti_entropy =
                (is_request && n == 0).then_some(AntiEntropy::Response(own_digests));
            if header.anti_entropy.is_none() && entries.peek().is_none() {
                break;
            }
            let Some(mut writer) = DatagramWriter::new(&header) else {
                return;
            };
            while entries.next_if(|entry| writer.add(entry)).is_some() {}
            self.send(to.address, writer);
        }
        self.send_unknown_members(now, to, &digests.members);
    }

    /// Sends the members that another node may not know. The library sends only some of them to a node that joins, and
    /// a node ignores the reports of nodes that it does not know.
    fn send_unknown_members(&mut self, now: Time, to: &Node, digests: &[u32; MEMBER_PARTITIONS]) {
        let mut updates = self.members.members_of_differing_partitions(digests, to);
        // Shuffled, so that several nodes that respond to the same node do not all send the same members first.
        for n in (1..updates.len()).rev() {
            updates.swap(n, self.rng.random_range(0..=n));
        }
        self.send_members(now, to, &mut updates);
    }

    pub(super) fn send_members(&mut self, now: Time, to: &Node, updates: &mut Vec<MemberUpdate>) {
        for _ in 0..MAX_MEMBER_DATAGRAMS {
            if updates.is_empty() {
                return;
            }
            let mut header = self.header(now, to);
            header.add_members(updates);
            let Some(writer) = DatagramWriter::new(&header) else {
                return;
            };
            self.send(to.address, writer);
        }
    }
}
