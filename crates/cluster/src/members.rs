//! The membership of the fleet: the SWIM protocol by the `foca` library, extended by Lifeguard's local health.
//!
//! The caller drives the library with [`Members::tick`] and sends what [`Members::next_datagram`] returns. The
//! library's timers are stored here, so that they can be extended while this node is unhealthy: Lifeguard's local
//! health multiplier (a score from 0 to [`MAX_HEALTH_SCORE`]) extends the intervals and timeouts of probes and the
//! suspicion timeouts of other nodes. The score falls with each probe that succeeds, and rises
//!
//! - with each suspicion of this node that it has to refute,
//! - with a probe that fails while nothing was received from any other node. The paper uses the nacks of the indirect
//!   probers to tell a fault of this node from one of the probed node. The library has no nacks, so any datagram of
//!   another node stands in for them. If every failed probe counted, each death would delay the detection of the next.
//!
//! Of Lifeguard, the local-health-aware probe, the local-health-aware suspicion and the buddy system are implemented.
//! The dynamic suspicion timeout is not, since the library does not support independent confirmations of a suspicion.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `anti_entropy` | comparison of two nodes' memberships by digests |
//! | `config` | the configuration of the protocol |
//! | `library` | the interface to the library |
//! | `timers` | the timers of the library, and notices to suspected members |
//!
//! Sources: Das, Gupta, Motivala, "SWIM", 2002; Dadgar, Phillips, Currey, "Lifeguard", 2018 (sections IV.A to IV.C).

mod anti_entropy;
mod config;
mod library;
mod timers;

pub use config::{max_transmissions, MembershipConfig};

use crate::node::{Incarnation, Node};
use crate::wire::MemberUpdate;
use crate::Time;
use foca::{Foca, NoCustomBroadcast, PostcardCodec, Timer};
pub use library::SwimDatagram;
use library::{LibraryEvent, LibraryOutput};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use timers::TimerKey;

/// The default of the worst health score; S in the paper.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A node has become a member.
    Up(Node),
    /// A member was declared dead, or has left.
    Down(Node),
    /// This node was declared dead, and has rejoined as a later incarnation.
    Rejoined(Incarnation),
}

/// The members of the fleet from the local node's point of view.
pub struct Members {
    library: Foca<Node, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    output: LibraryOutput,
    timers: BTreeMap<TimerKey, Timer<Node>>,
    /// The number of the last timer or notice that was scheduled.
    last_timer_number: u64,
    local_node: Node,
    /// The other members by their tags.
    by_tag: HashMap<u64, Node>,
    /// The tags of the other members by their names.
    tags_by_name: HashMap<String, u64>,
    events: VecDeque<MemberEvent>,
    health_score: u32,
    config: MembershipConfig,
    swim_incarnation: u16,
    /// Scheduled notices to suspected members.
    suspicion_notices: BTreeMap<TimerKey, MemberUpdate>,
    /// When the last datagram of another node was received.
    last_contact: Time,
    /// When the current probe was sent.
    probe_started_at: Time,
}

impl Members {
    /// The membership of a node that knows no other nodes yet.
    pub fn new(local_node: Node, config: MembershipConfig, seed: u64) -> Members {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let library = Foca::new(
            local_node.clone(),
            config.library_config(),
            rng,
            PostcardCodec,
        );
        Members {
            library,
            output: LibraryOutput::default(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            local_node,
            by_tag: HashMap::new(),
            tags_by_name: HashMap::new(),
            events: VecDeque::new(),
            health_score: 0,
            config,
            swim_incarnation: 0,
            suspicion_notices: BTreeMap::new(),
            last_contact: f64::MIN,
            probe_started_at: f64::MIN,
        }
    }

    /// The current identity of the local node.
    pub fn local_node(&self) -> &Node {
        &self.local_node
    }

    /// The members without the local node, in no particular order.
    pub fn others(&self) -> impl Iterator<Item = &Node> {
        self.by_tag.values()
    }

    /// Number of members without the local node.
    pub fn other_count(&self) -> usize {
        self.by_tag.len()
    }

    /// Whether a node of this name is a member. The local node is one.
    pub fn contains(&self, name: &str) -> bool {
        self.local_node.name == name || self.tags_by_name.contains_key(name)
    }

    /// The other member whose incarnation has this tag.
    pub fn by_tag(&self, tag: u64) -> Option<&Node> {
        self.by_tag.get(&tag)
    }

    /// The other member of this name.
    pub fn by_name(&self, name: &str) -> Option<&Node> {
        self.tags_by_name
            .get(name)
            .and_then(|tag| self.by_tag.get(tag))
    }

    /// The local health score: 0 for a healthy node.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Sends an announcement to an address where a member may be found, in order to join its fleet.
    pub fn announce(&mut self, now: Time, to: SocketAddr) {
        let to = Node {
            name: String::new(),
            address: to,
            incarnation: Incarnation::default(),
        };
        // An error is ignored like the loss of the datagram: the caller announces the node again.
        let _ = self.library.announce(to, &mut self.output);
        self.process_output(now);
    }

    /// Handles the membership protocol's part of an authenticated datagram.
    pub fn receive(&mut self, now: Time, data: &[u8]) {
        // On an error, the library has ignored the data: for example, that of another version.
        let _ = self.library.handle_data(data, &mut self.output);
        self.process_output(now);
    }

    /// Records that a datagram of any kind was received from another node.
    pub fn record_contact(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Replaces the incarnation of the local node, unless the library rejects the new one.
    pub fn change_incarnation(&mut self, now: Time, incarnation: Incarnation) {
        let local_node = Node {
            incarnation,
            ..self.local_node.clone()
        };
        if self
            .library
            .change_identity(local_node.clone(), &mut self.output)
            .is_ok()
        {
            self.local_node = local_node;
        }
        self.process_output(now);
    }

    /// Notifies other members that the local node leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.library.leave_cluster(&mut self.output);
        self.process_output(now);
    }

    /// Removes and returns the next datagram to send.
    pub fn next_datagram(&mut self) -> Option<SwimDatagram> {
        self.output.datagrams.pop_front()
    }

    /// Removes and returns the next event.
    pub fn next_event(&mut self) -> Option<MemberEvent> {
        self.events.pop_front()
    }

    fn process_output(&mut self, now: Time) {
        // The library increments its incarnation in order to refute a suspicion of the local node.
        if self.output.swim_incarnation > self.swim_incarnation {
            self.degrade_health();
        }
        self.swim_incarnation = self.output.swim_incarnation;
        for timer in std::mem::take(&mut self.output.timers) {
            self.set_timer(now, timer);
        }
        for event in std::mem::take(&mut self.output.events) {
            self.process_event(event);
        }
    }

    fn process_event(&mut self, event: LibraryEvent) {
        let LibraryEvent { event, successor } = event;
        match event {
            MemberEvent::Up(node) => self.add_member(node),
            MemberEvent::Down(node) => {
                let was_member = self.remove_member(&node);
                // If its predecessor was no member, the library reports the successor in an event of its own.
                if let Some(node) = successor.filter(|_| was_member) {
                    self.add_member(node);
                }
            }
            MemberEvent::Rejoined(incarnation) => {
                self.local_node.incarnation = incarnation;
                self.events.push_back(event);
            }
        }
    }

    fn add_member(&mut self, node: Node) {
        let tag = node.incarnation.tag;
        self.tags_by_name.insert(node.name.clone(), tag);
        self.by_tag.insert(tag, node.clone());
        self.events.push_back(MemberEvent::Up(node));
    }

    /// Removes a member and returns whether it was one: a later incarnation of the same process may have replaced it.
    fn remove_member(&mut self, node: &Node) -> bool {
        let tag = node.incarnation.tag;
        if self.by_tag.get(&tag) != Some(node) {
            return false;
        }
        self.by_tag.remove(&tag);
        if self.tags_by_name.get(&node.name) == Some(&tag) {
            self.tags_by_name.remove(&node.name);
        }
        self.events.push_back(MemberEvent::Down(node.clone()));
        true
    }
}
