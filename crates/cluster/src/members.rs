//! The membership of the fleet: SWIM, by a library, with Lifeguard's local health around it.
//!
//! The fleet drives the library by [`Members::tick`] and sends what [`Members::next_datagram`] returns. The library's timers
//! are stored here, so that an unhealthy node can take more time: Lifeguard's local health multiplier (a score from 0 to
//! [`MAX_HEALTH_SCORE`]) stretches probes and suspicions of others. The score falls with each probe that succeeds, and rises
//!
//! - with each suspicion of this node that it has to refute,
//! - with a probe that fails while no other node was in contact either. The paper attributes the fault by the nacks of the
//!   indirect probers; the library has no nacks, so that any datagram of another node stands for them. If every failed probe
//!   counted, each death would delay the detection of the next.
//!
//! Implemented of Lifeguard are local health aware probe and suspicion, and the buddy system, but not the dynamic suspicion
//! timeout by independent confirmations, which the library does not support.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `anti_entropy` | comparison of two nodes' memberships by digests |
//! | `config` | the configuration of the protocol |
//! | `library` | the interface to the library |
//! | `timers` | the timers, and notices to suspected members |
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

/// The worst health score of a node, by default; the paper's S.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member joined.
    Up(Node),
    /// A member died or left.
    Down(Node),
    /// This node was declared dead, and has rejoined as a later incarnation.
    Rejoined(Incarnation),
}

/// The members of the fleet, as this node knows them.
pub struct Members {
    library: Foca<Node, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    output: LibraryOutput,
    timers: BTreeMap<TimerKey, Timer<Node>>,
    /// Counts timers and notices.
    next_timer_number: u64,
    me: Node,
    /// The other members by their tags.
    by_tag: HashMap<u64, Node>,
    /// The tags of the other members by their names.
    tags: HashMap<String, u64>,
    events: VecDeque<MemberEvent>,
    health_score: u32,
    config: MembershipConfig,
    swim_incarnation: u16,
    /// Notices to suspected members.
    suspicion_notices: BTreeMap<TimerKey, MemberUpdate>,
    /// When a datagram was last received from any other node.
    last_contact: Time,
    /// When the current probe started.
    probe_started_at: Time,
}

impl Members {
    /// The membership of a node that knows nobody yet.
    pub fn new(me: Node, config: MembershipConfig, seed: u64) -> Members {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let library = Foca::new(me.clone(), config.library_config(), rng, PostcardCodec);
        Members {
            library,
            output: LibraryOutput::default(),
            timers: BTreeMap::new(),
            next_timer_number: 0,
            me,
            by_tag: HashMap::new(),
            tags: HashMap::new(),
            events: VecDeque::new(),
            health_score: 0,
            config,
            swim_incarnation: 0,
            suspicion_notices: BTreeMap::new(),
            last_contact: f64::MIN,
            probe_started_at: f64::MIN,
        }
    }

    /// This node as the others know it.
    pub fn local_node(&self) -> &Node {
        &self.me
    }

    /// The other members.
    pub fn others(&self) -> impl Iterator<Item = &Node> {
        self.by_tag.values()
    }

    /// Number of other members.
    pub fn other_count(&self) -> usize {
        self.by_tag.len()
    }

    /// Whether a node of this name is a member, this one included.
    pub fn contains(&self, name: &str) -> bool {
        self.me.name == name || self.tags.contains_key(name)
    }

    /// Another member, by its tag.
    pub fn by_tag(&self, tag: u64) -> Option<&Node> {
        self.by_tag.get(&tag)
    }

    /// Another member, by its name.
    pub fn by_name(&self, name: &str) -> Option<&Node> {
        self.tags.get(name).and_then(|tag| self.by_tag.get(tag))
    }

    /// This node's health score: 0 for healthy.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Announces this node to another one that may be a member, in order to join.
    pub fn announce(&mut self, now: Time, to: SocketAddr) {
        let to = Node {
            name: String::new(),
            address: to,
            incarnation: Incarnation::default(),
        };
        // An announcement that fails is repeated like one that is lost.
        let _ = self.library.announce(to, &mut self.output);
        self.process_output(now);
    }

    /// Handles the membership protocol's part of a datagram.
    pub fn receive(&mut self, now: Time, data: &[u8]) {
        // The datagram is authentic; one of another version is dropped.
        let _ = self.library.handle_data(data, &mut self.output);
        self.process_output(now);
    }

    /// Notes that a datagram of any kind was received from another node.
    pub fn record_contact(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Changes the incarnation of this node.
    pub fn change_incarnation(&mut self, now: Time, incarnation: Incarnation) {
        let me = Node {
            incarnation,
            ..self.me.clone()
        };
        if self
            .library
            .change_identity(me.clone(), &mut self.output)
            .is_ok()
        {
            self.me = me;
        }
        self.process_output(now);
    }

    /// Notifies the others that this node leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.library.leave_cluster(&mut self.output);
        self.process_output(now);
    }

    /// Takes the next datagram of the membership protocol to send.
    pub fn next_datagram(&mut self) -> Option<SwimDatagram> {
        self.output.datagrams.pop_front()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<MemberEvent> {
        self.events.pop_front()
    }

    fn process_output(&mut self, now: Time) {
        // A greater incarnation refutes a suspicion of this node.
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
                // The library itself reports a successor whose predecessor was no member.
                if let Some(node) = successor.filter(|_| was_member) {
                    self.add_member(node);
                }
            }
            MemberEvent::Rejoined(incarnation) => {
                self.me.incarnation = incarnation;
                self.events.push_back(event);
            }
        }
    }

    fn add_member(&mut self, node: Node) {
        let tag = node.incarnation.tag;
        self.tags.insert(node.name.clone(), tag);
        self.by_tag.insert(tag, node.clone());
        self.events.push_back(MemberEvent::Up(node));
    }

    /// Removes a member; returns whether it was one. A later incarnation of the same process may be one by now.
    fn remove_member(&mut self, node: &Node) -> bool {
        let tag = node.incarnation.tag;
        if self.by_tag.get(&tag) != Some(node) {
            return false;
        }
        self.by_tag.remove(&tag);
        if self.tags.get(&node.name) == Some(&tag) {
            self.tags.remove(&node.name);
        }
        self.events.push_back(MemberEvent::Down(node.clone()));
        true
    }
}
