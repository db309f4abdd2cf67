//! The membership of the fleet: SWIM, by a library, with Lifeguard's local health around it.
//!
//! The library is told the time by [`Members::tick`] and returns what is to be sent. Its timers are kept here, so that a
//! node in trouble can take its time: Lifeguard's local health multiplier (a score from 0 to [`MAX_HEALTH_SCORE`])
//! stretches probes and suspicions of others. The score falls with each probe that succeeds, and rises
//!
//! - with each suspicion of this node that it has to refute,
//! - with a probe that fails while nobody else was heard either. The paper tells by the nacks of the indirect probers whose
//!   trouble it is; the library has none, so that whatever comes from others meanwhile stands for them. Were every probe
//!   that fails to count, each death would double the time until it is detected, and the death of many at once would take
//!   nine times as long.
//!
//! Of Lifeguard there is: local health aware probe and suspicion, and the buddy system. Not there: the dynamic suspicion
//! time-out by independent confirmations, which the library has no place for.
//!
//! Sources: Das, Gupta, Motivala, "SWIM", 2002; Dadgar, Phillips, Currey, "Lifeguard", 2018 (sections IV.A to IV.C).

use crate::node::{Incarnation, Node};
use crate::wire::{MemberState, MemberUpdate, MAX_SWIM_LEN, MEMBER_PARTITIONS};
use crate::{Time, MICROS_PER_SECOND};
use foca::{
    Config, Foca, Member, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime,
    State, Timer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The worst health score of a node, by default; the paper's S.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// How often a suspected node is notified by whoever began to suspect it.
const SUSPICION_NOTICES: u32 = 3;
/// A dead member is remembered for so long, in seconds.
const REMOVE_DEAD_AFTER: Time = 3600.0;
/// Interval of the library's announcements to a member, in seconds.
const ANNOUNCE_INTERVAL: Time = 10.0;
/// Interval of the library's announcements to a dead member, in seconds.
const ANNOUNCE_TO_DEAD_INTERVAL: Time = 2.0;
/// Interval and fan-out of the library's gossip.
const GOSSIP: (Time, usize) = (0.2, 3);

/// How members are probed. The fields are named after the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Interval of probes, in seconds; each goes to one other member.
    pub probe_every: Time,
    /// A probe that is not answered directly within this time, in seconds, is repeated indirectly.
    pub answer_within: Time,
    /// A member that is suspected for so long without refuting it is dead, in seconds.
    pub suspect_for: Time,
    /// Number of members that an indirect probe goes through.
    pub indirect_probes: usize,
    /// The expected number of nodes: updates are retransmitted the oftener the more there are.
    pub size: u32,
    /// The worst health score: probes and suspicions take so many times longer, and once more. At 0 the node never doubts
    /// its own health.
    pub max_health_score: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_every: 1.0,
            answer_within: 0.3,
            suspect_for: 4.0,
            indirect_probes: 3,
            size: 32,
            max_health_score: MAX_HEALTH_SCORE,
        }
    }
}

/// How often each node retransmits an update: 4 log10(N + 1), as in the library's own settings for a LAN.
pub fn max_transmissions(size: usize) -> u32 {
    ((size as f64 + 1.0).log10() * 4.0).ceil().clamp(2.0, 32.0) as u32
}

impl MembershipConfig {
    fn library_config(&self) -> Config {
        let seconds = Duration::from_secs_f64;
        let nonzero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let periodic = |interval: Time, n: usize| {
            Some(PeriodicParams {
                frequency: seconds(interval),
                num_members: nonzero(n),
            })
        };
        let transmissions = max_transmissions(self.size as usize) as u8;
        Config {
            probe_period: seconds(self.probe_every),
            probe_rtt: seconds(self.answer_within),
            num_indirect_probes: nonzero(self.indirect_probes),
            max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: seconds(self.suspect_for),
            remove_down_after: Some(seconds(REMOVE_DEAD_AFTER)),
            max_packet_size: nonzero(MAX_SWIM_LEN),
            notify_down_members: true,
            periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
            // Dead members are asked again and again, so that the parts of a healed partition find each other.
            periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DEAD_INTERVAL, 1),
            periodic_gossip: periodic(GOSSIP.0, GOSSIP.1),
        }
    }
}

/// The partition in which an incarnation is compared, and what it contributes to the digest.
fn partition(incarnation: &Incarnation) -> (usize, u32) {
    let mixed = (incarnation.tag ^ incarnation.number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xd6e8_feb8_6659_fd93);
    (
        (mixed >> 61) as usize % MEMBER_PARTITIONS,
        (mixed >> 16) as u32,
    )
}

fn to_update(member: &Member<Node>) -> MemberUpdate {
    let state = match member.state() {
        State::Alive => MemberState::Alive,
        State::Suspect => MemberState::Suspected,
        State::Down => MemberState::Dead,
    };
    MemberUpdate {
        node: member.id().clone(),
        swim_incarnation: member.incarnation(),
        state,
    }
}

fn to_member(update: &MemberUpdate) -> Member<Node> {
    let state = match update.state {
        MemberState::Alive => State::Alive,
        MemberState::Suspected => State::Suspect,
        MemberState::Dead => State::Down,
    };
    Member::new(update.node.clone(), update.swim_incarnation, state)
}

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

/// What the library has requested.
#[derive(Default)]
struct LibraryOutput {
    datagrams: VecDeque<(Node, Vec<u8>)>,
    timers: Vec<(Timer<Node>, Duration)>,
    /// Events, with the successor where a later incarnation takes an earlier one's place: that is reported as the end of
    /// the earlier one and, if that was a member, the beginning of its successor.
    events: Vec<(MemberEvent, Option<Node>)>,
    failed_probes: u32,
    swim_incarnation: u16,
}

impl Runtime<Node> for LibraryOutput {
    fn notify(&mut self, notification: Notification<'_, Node>) {
        match notification {
            Notification::MemberUp(node) => self.events.push((MemberEvent::Up(node.clone()), None)),
            Notification::MemberDown(node) => {
                self.events.push((MemberEvent::Down(node.clone()), None))
            }
            Notification::Rename(old, new) => {
                self.events
                    .push((MemberEvent::Down(old.clone()), Some(new.clone())));
            }
            Notification::Rejoin(node) => {
                self.events
                    .push((MemberEvent::Rejoined(node.incarnation), None));
            }
            Notification::ProbeFailed(..) => self.failed_probes += 1,
            Notification::DataSent(header) => self.swim_incarnation = header.src_incarnation,
            Notification::Active | Notification::Idle | Notification::Defunct => {}
            Notification::DataReceived(_) => {}
        }
    }

    fn send_to(&mut self, to: Node, data: &[u8]) {
        self.datagrams.push_back((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Node>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// The members of the fleet, as this node knows them. See the module.
pub struct Members {
    library: Foca<Node, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    output: LibraryOutput,
    /// Timers by when they are due, in microseconds, and in the order in which they were set.
    timers: BTreeMap<(u64, u64), Timer<Node>>,
    /// Counts timers and notices.
    next_number: u64,
    me: Node,
    /// The other members, by their tags.
    by_tag: HashMap<u64, Node>,
    /// Their tags, by their names.
    tags: HashMap<String, u64>,
    events: VecDeque<MemberEvent>,
    health_score: u32,
    config: MembershipConfig,
    swim_incarnation: u16,
    /// Notices to suspected members, by when they are due, in microseconds.
    suspicion_notices: BTreeMap<(u64, u64), MemberUpdate>,
    /// When any other node was last heard.
    heard_at: Time,
    /// When the current probe began.
    probe_began: Time,
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
            next_number: 0,
            me,
            by_tag: HashMap::new(),
            tags: HashMap::new(),
            events: VecDeque::new(),
            health_score: 0,
            config,
            swim_incarnation: 0,
            suspicion_notices: BTreeMap::new(),
            heard_at: f64::MIN,
            probe_began: f64::MIN,
        }
    }

    /// This node as the others know it.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// The other members.
    pub fn others(&self) -> impl Iterator<Item = &Node> {
        self.by_tag.values()
    }

    /// Number of other members.
    pub fn count(&self) -> usize {
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

    /// Asks a node that may be a member to let this one join.
    pub fn announce(&mut self, now: Time, to: SocketAddr) {
        let to = Node {
            name: String::new(),
            address: to,
            incarnation: Incarnation::default(),
        };
        // What can't be encoded or sent is as good as lost; the next one may not be.
        let _ = self.library.announce(to, &mut self.output);
        self.process_output(now);
    }

    /// Handles the membership protocol's part of a datagram.
    pub fn receive(&mut self, now: Time, data: &[u8]) {
        // It is authentic; an error is a matter of two versions, and loses that datagram alone.
        let _ = self.library.handle_data(data, &mut self.output);
        self.process_output(now);
    }

    /// Notes that a datagram of any kind was received from another node.
    pub fn note_heard(&mut self, now: Time) {
        self.heard_at = now;
    }

    /// A digest of each partition of the members, this node included. Partitions with equal digests have the same members,
    /// up to collisions.
    pub fn digests(&self) -> [u32; MEMBER_PARTITIONS] {
        let mut digests = [0; MEMBER_PARTITIONS];
        for node in self.by_tag.values().chain([&self.me]) {
            let (partition, digest) = partition(&node.incarnation);
            digests[partition] ^= digest;
        }
        digests
    }

    /// The members, suspected ones included, of the partitions in which another node's digests differ; without that node.
    pub fn differing(&self, digests: &[u32; MEMBER_PARTITIONS], from: &Node) -> Vec<MemberUpdate> {
        let mine = self.digests();
        let differs = |node: &Node| {
            let (partition, _) = partition(&node.incarnation);
            mine[partition] != digests[partition] && node != from
        };
        self.library
            .iter_members()
            .filter(|m| differs(m.id()))
            .map(to_update)
            .collect()
    }

    /// Applies the member updates of another node. Returns those members of which it does not know that they are dead: the
    /// end of an incarnation is final, and whoever missed it would hold on to the member until its own probe.
    pub fn apply_updates(&mut self, now: Time, updates: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let is_known = |update: &&MemberUpdate| {
            self.by_tag.get(&update.node.incarnation.tag) == Some(&update.node)
        };
        let unknown: HashSet<&Node> = updates
            .iter()
            .filter(|update| update.state != MemberState::Dead && !is_known(update))
            .map(|update| &update.node)
            .collect();
        let is_dead = |m: &&Member<Node>| m.state() == State::Down && unknown.contains(m.id());
        let dead = self
            .library
            .iter_membership_state()
            .filter(is_dead)
            .map(to_update)
            .collect();
        // They are not forwarded from here: whoever misses one compares.
        let members = updates.iter().map(to_member);
        let _ = self.library.apply_many(members, false, &mut self.output);
        self.process_output(now);
        dead
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

    /// Tells the others that this node leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.library.leave_cluster(&mut self.output);
        self.process_output(now);
    }

    /// When [`Members::tick`] has something to do.
    pub fn deadline(&self) -> Option<Time> {
        let timer = self.timers.first_key_value().map(|((due, _), _)| *due);
        let notice = self
            .suspicion_notices
            .first_key_value()
            .map(|((due, _), _)| *due);
        [timer, notice]
            .into_iter()
            .flatten()
            .min()
            .map(|due| due as f64 / MICROS_PER_SECOND)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Time) {
        while let Some(first) = self.timers.first_entry() {
            let due = first.key().0;
            if due > (now * MICROS_PER_SECOND) as u64 {
                break;
            }
            let timer = first.remove();
            let is_late = now - due as f64 / MICROS_PER_SECOND > self.config.answer_within;
            if is_late && matches!(timer, Timer::ChangeSuspectToDown { .. }) {
                // Guards whoever refuted while this process was paused, if that message was lost. Harm: a dead member is
                // detected later by as long.
                let again = Duration::from_secs_f64(self.config.suspect_for);
                self.output.timers.push((timer, again));
            } else {
                self.handle_timer(now, timer);
            }
            self.process_output(now);
        }
    }

    fn handle_timer(&mut self, now: Time, timer: Timer<Node>) {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
        self.output.failed_probes = 0;
        // A timer that comes too late is an error to the library, and none here.
        let _ = self.library.handle_timer(timer, &mut self.output);
        if !is_probe {
            return;
        }
        let began = std::mem::replace(&mut self.probe_began, now);
        if self.output.failed_probes == 0 {
            self.health_score = self.health_score.saturating_sub(1);
        } else if self.heard_at < began {
            self.degrade_health();
        }
    }

    /// Takes the next notice that is due, to a member that this node suspects.
    ///
    /// The paper's buddy system: a suspected member is told in time to refute. By gossip alone it would hear it by chance,
    /// in a large fleet with lossy links much too late. Harm: three datagrams for each suspicion.
    pub fn next_suspicion_notice(&mut self, now: Time) -> Option<MemberUpdate> {
        let first = self.suspicion_notices.first_entry()?;
        (first.key().0 <= (now * MICROS_PER_SECOND) as u64).then(|| first.remove())
    }

    /// Schedules the notices to a suspected member, evenly over the time that it has to refute.
    fn schedule_notices(&mut self, now: Time, timer: &Timer<Node>, time: Time) {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return;
        };
        for n in 0..SUSPICION_NOTICES {
            self.next_number += 1;
            let due = now + time * f64::from(n) / f64::from(SUSPICION_NOTICES);
            let notice = MemberUpdate {
                node: member_id.clone(),
                swim_incarnation: *incarnation,
                state: MemberState::Suspected,
            };
            self.suspicion_notices
                .insert(((due * MICROS_PER_SECOND) as u64, self.next_number), notice);
        }
    }

    /// Takes the next datagram to send: its receiver, and the membership protocol's part.
    pub fn next_datagram(&mut self) -> Option<(Node, Vec<u8>)> {
        self.output.datagrams.pop_front()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<MemberEvent> {
        self.events.pop_front()
    }

    fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(self.config.max_health_score);
    }

    fn process_output(&mut self, now: Time) {
        // A greater incarnation refutes a suspicion of this node.
        if self.output.swim_incarnation > self.swim_incarnation {
            self.degrade_health();
        }
        self.swim_incarnation = self.output.swim_incarnation;
        for (timer, after) in std::mem::take(&mut self.output.timers) {
            self.set_timer(now, timer, after);
        }
        for (event, successor) in std::mem::take(&mut self.output.events) {
            self.process_event(event, successor);
        }
    }

    fn set_timer(&mut self, now: Time, timer: Timer<Node>, after: Duration) {
        let is_stretched = matches!(
            timer,
            Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. }
        );
        let factor = if is_stretched {
            f64::from(1 + self.health_score)
        } else {
            1.0
        };
        let time = after.as_secs_f64() * factor;
        let due = ((now + time) * MICROS_PER_SECOND) as u64;
        self.schedule_notices(now, &timer, time);
        self.next_number += 1;
        self.timers.insert((due, self.next_number), timer);
    }

    fn process_event(&mut self, event: MemberEvent, successor: Option<Node>) {
        match event {
            MemberEvent::Up(node) => self.add_member(node),
            MemberEvent::Down(node) => {
                let was_member = self.remove_member(&node);
                // The library reports a successor only where its predecessor was no member.
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
