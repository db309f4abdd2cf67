//! The machines of [`reelfall_distribution`] as endpoints of a network, with the driver that performs what they ask for.
//!
//! Disks survive the processes that write them: a [`Disk`] is kept by whoever ends a machine, and given to its successor.

use super::clock::Clock;
use super::endpoint::Endpoint;
use reelfall_distribution::author::{Author, AuthorConfig};
use reelfall_distribution::output::{Event, Output, Record};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::relay::{Relay, RelayConfig};
use reelfall_distribution::resource::{Change, Key, Name, Selector, Version};
use reelfall_distribution::subscriber::{Subscriber, SubscriberConfig, TooManySubscriptions};
use std::collections::BTreeMap;

/// What a machine has stored, without what was replaced since.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    changes: BTreeMap<Key, Change>,
    in_force: BTreeMap<Name, Change>,
    covered: BTreeMap<Selector, Record>,
    floor: Option<Record>,
    epoch: Option<Record>,
}

impl Disk {
    fn store(&mut self, record: Record) {
        match record {
            Record::Put(change) => drop(self.changes.insert(change.key.clone(), change)),
            Record::Applied(change) => drop(self.in_force.insert(change.key.name.clone(), change)),
            Record::Forget(key) => drop(self.changes.remove(&key)),
            Record::Confirmed(name, version) => {
                if let Some(change) = self.in_force.get_mut(&name) {
                    change.version = change.version.max(version);
                }
            }
            Record::PrunedThrough(_) => self.floor = Some(record),
            Record::Epoch(_) => self.epoch = Some(record),
            Record::Covered { ref selector, .. } => {
                drop(self.covered.insert(selector.clone(), record));
            }
            Record::Unsubscribed(selector) => drop(self.covered.remove(&selector)),
        }
    }

    /// The records, as a successor reads them.
    fn records(&self) -> Vec<Record> {
        let changes = self.changes.values().cloned().map(Record::Put);
        let in_force = self.in_force.values().cloned().map(Record::Applied);
        let marks = self
            .floor
            .iter()
            .chain(&self.epoch)
            .chain(self.covered.values())
            .cloned();
        changes.chain(in_force).chain(marks).collect()
    }
}

/// A change that was put in force at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Of which resource.
    pub name: Name,
    /// Its version.
    pub version: Version,
    /// When, by the world's clock.
    pub at: f64,
}

/// A node's part.
pub struct Node {
    /// The machine.
    pub subscriber: Subscriber,
    /// What was put in force since this was last taken.
    pub applied: Vec<Applied>,
}

enum Kind {
    Author(Box<Author>),
    Relay(Box<Relay>),
    Node(Box<Node>),
}

/// A machine with its clock and its disk. All moments that it is told are the world's.
pub struct Machine {
    kind: Kind,
    clock: Clock,
    disk: Disk,
    /// Sessions that ended, as upstream or as child.
    pub sessions_ended: u64,
}

impl Machine {
    fn new(kind: Kind, clock: Clock, disk: Disk) -> Machine {
        Machine {
            kind,
            clock,
            disk,
            sessions_ended: 0,
        }
    }

    /// An author with what an earlier process stored.
    pub fn author(config: AuthorConfig, clock: Clock, disk: Disk, now: f64) -> Machine {
        let author = Author::restore(config, disk.records(), clock.local(now));
        Machine::new(Kind::Author(Box::new(author)), clock, disk)
    }

    /// A relay with what an earlier process stored.
    pub fn relay(config: RelayConfig, clock: Clock, disk: Disk, now: f64) -> Machine {
        let relay = Relay::restore(config, disk.records(), clock.local(now));
        Machine::new(Kind::Relay(Box::new(relay)), clock, disk)
    }

    /// A node with what an earlier process stored, and what it subscribes to.
    pub fn node(
        config: SubscriberConfig,
        selectors: &[Selector],
        clock: Clock,
        disk: Disk,
        now: f64,
    ) -> Machine {
        let mut subscriber = Subscriber::restore(config, disk.records(), None, clock.local(now));
        for selector in selectors
            .iter()
            .filter(|selector| !disk.covered.contains_key(*selector))
        {
            // Past the bound it goes without; the check of what is in force finds it.
            let _ = subscriber.subscribe(selector.clone());
        }
        let node = Node {
            subscriber,
            applied: Vec::new(),
        };
        Machine::new(Kind::Node(Box::new(node)), clock, disk)
    }

    /// What it has stored.
    pub fn into_disk(self) -> Disk {
        self.disk
    }

    /// The author, if it is one.
    pub fn as_author(&self) -> Option<&Author> {
        match &self.kind {
            Kind::Author(author) => Some(author),
            _ => None,
        }
    }

    /// The relay, if it is one.
    pub fn as_relay(&self) -> Option<&Relay> {
        match &self.kind {
            Kind::Relay(relay) => Some(relay),
            _ => None,
        }
    }

    /// The node, if it is one.
    pub fn as_node(&self) -> Option<&Node> {
        match &self.kind {
            Kind::Node(node) => Some(node),
            _ => None,
        }
    }

    /// What was put in force at this node since this was last called.
    pub fn take_applied(&mut self) -> Vec<Applied> {
        match &mut self.kind {
            Kind::Node(node) => std::mem::take(&mut node.applied),
            _ => Vec::new(),
        }
    }

    /// Its own clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Does something at an author, if this is one, by its own clock, and what that asks for.
    pub fn with_author<R>(
        &mut self,
        now: f64,
        sends: &mut Vec<(u32, Vec<u8>)>,
        act: impl FnOnce(&mut Author, f64, &mut Vec<Output>) -> R,
    ) -> Option<R> {
        let local = self.clock.local(now);
        let Kind::Author(author) = &mut self.kind else {
            return None;
        };
        let mut outputs = Vec::new();
        let result = act(author, local, &mut outputs);
        author.poll(local, &mut outputs);
        self.perform(now, outputs, sends);
        Some(result)
    }

    /// A node asks for more; nothing happens at others.
    ///
    /// # Errors
    /// If it asks for too much already.
    pub fn subscribe(
        &mut self,
        now: f64,
        selector: Selector,
        sends: &mut Vec<(u32, Vec<u8>)>,
    ) -> Result<(), TooManySubscriptions> {
        let local = self.clock.local(now);
        let Kind::Node(node) = &mut self.kind else {
            return Ok(());
        };
        let mut outputs = Vec::new();
        node.subscriber.subscribe(selector)?;
        node.subscriber.poll(local, &mut outputs);
        self.perform(now, outputs, sends);
        Ok(())
    }

    /// How old at most is what a node knows, by its own word; none if this is no node.
    pub fn staleness(&self, now: f64) -> Option<f64> {
        Some(self.as_node()?.subscriber.staleness(self.clock.local(now)))
    }

    /// Performs outputs in their order; what a node's answers ask for comes after them.
    fn perform(&mut self, now: f64, outputs: Vec<Output>, sends: &mut Vec<(u32, Vec<u8>)>) {
        let mut outputs = outputs;
        while !outputs.is_empty() {
            let mut further = Vec::new();
            for output in outputs {
                self.perform_one(now, output, sends, &mut further);
            }
            outputs = further;
        }
    }

    fn perform_one(
        &mut self,
        now: f64,
        output: Output,
        sends: &mut Vec<(u32, Vec<u8>)>,
        further: &mut Vec<Output>,
    ) {
        match output {
            Output::Send { to, frame } => sends.push((to.0, frame)),
            Output::Persist(record) => self.disk.store(record),
            Output::Apply(change) => {
                let local = self.clock.local(now);
                if let Kind::Node(node) = &mut self.kind {
                    node.apply(now, local, &change, further);
                }
            }
            Output::Event(event) => self.note(&event),
        }
    }

    fn note(&mut self, event: &Event) {
        if matches!(event, Event::Left { .. } | Event::ChildLost { .. }) {
            self.sessions_ended += 1;
        }
    }

    fn poll_kind(&mut self, local: f64, outputs: &mut Vec<Output>) {
        match &mut self.kind {
            Kind::Author(author) => author.poll(local, outputs),
            Kind::Relay(relay) => relay.poll(local, outputs),
            Kind::Node(node) => node.subscriber.poll(local, outputs),
        }
    }
}

impl Node {
    fn apply(&mut self, now: f64, local: f64, change: &Change, further: &mut Vec<Output>) {
        let (name, version) = (change.key.name.clone(), change.version);
        self.applied.push(Applied {
            name,
            version,
            at: now,
        });
        self.subscriber.accepted(version, further);
        self.subscriber.poll(local, further);
    }
}

impl Endpoint for Machine {
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], sends: &mut Vec<(u32, Vec<u8>)>) {
        let mut outputs = Vec::new();
        let (from, local) = (PeerId(from), self.clock.local(now));
        match &mut self.kind {
            Kind::Author(author) => author.receive(local, from, frame, &mut outputs),
            Kind::Relay(relay) => relay.receive(local, from, frame, &mut outputs),
            Kind::Node(node) => node.subscriber.receive(local, from, frame, &mut outputs),
        }
        self.poll_kind(local, &mut outputs);
        self.perform(now, outputs, sends);
    }

    fn poll(&mut self, now: f64, sends: &mut Vec<(u32, Vec<u8>)>) {
        let mut outputs = Vec::new();
        self.poll_kind(self.clock.local(now), &mut outputs);
        self.perform(now, outputs, sends);
    }

    fn next_wakeup(&self) -> f64 {
        let local = match &self.kind {
            Kind::Author(author) => author.next_wakeup(),
            Kind::Relay(relay) => relay.next_wakeup(),
            Kind::Node(node) => node.subscriber.next_wakeup(),
        };
        self.clock.world(local)
    }
}
