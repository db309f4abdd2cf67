//! Publishers, relays and nodes of [`reelfall_distribution`] as endpoints of a network, with the driver that executes their
//! outputs. [`super::world`] starts and ends them.
//!
//! A [`Disk`] survives the process that writes it: the world passes it from a machine that ends to its next process.

use super::clock::Clock;
use super::endpoint::{Endpoint, OutgoingFrame};
use reelfall_distribution::output::{Event, Output, Record};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publisher::{Publisher, PublisherConfig};
use reelfall_distribution::relay::{Relay, RelayConfig};
use reelfall_distribution::resource::{Change, Key, Name, Selector, Version};
use reelfall_distribution::subscriber::{Subscriber, SubscriberConfig, TooManySubscriptions};
use std::collections::BTreeMap;

/// The records that a machine has persisted, compacted to their latest state.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    changes: BTreeMap<Key, Change>,
    applied: BTreeMap<Name, Change>,
    coverage: BTreeMap<Selector, Record>,
    pruned_through: Option<Record>,
    epoch: Option<Record>,
}

impl Disk {
    fn store(&mut self, record: Record) {
        match record {
            Record::Put(change) => drop(self.changes.insert(change.key.clone(), change)),
            Record::Applied(change) => drop(self.applied.insert(change.key.name.clone(), change)),
            Record::Forget(key) => drop(self.changes.remove(&key)),
            Record::Confirmed(name, version) => {
                if let Some(change) = self.applied.get_mut(&name) {
                    change.version = change.version.max(version);
                }
            }
            Record::PrunedThrough(_) => self.pruned_through = Some(record),
            Record::Epoch(_) => self.epoch = Some(record),
            Record::Covered { ref selector, .. } => {
                drop(self.coverage.insert(selector.clone(), record));
            }
            Record::Unsubscribed(selector) => drop(self.coverage.remove(&selector)),
        }
    }

    /// The records in the order in which a restarted process reads them.
    fn records(&self) -> Vec<Record> {
        let changes = self.changes.values().cloned().map(Record::Put);
        let applied = self.applied.values().cloned().map(Record::Applied);
        let progress = self
            .pruned_through
            .iter()
            .chain(&self.epoch)
            .chain(self.coverage.values())
            .cloned();
        changes.chain(applied).chain(progress).collect()
    }
}

/// A change that a node has applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedChange {
    /// The resource.
    pub name: Name,
    /// Its version.
    pub version: Version,
    /// The simulation time at which it was applied, in seconds.
    pub at: f64,
}

/// A node of the fleet, as a subscriber of the distribution.
pub struct Node {
    /// The state machine that receives changes.
    pub subscriber: Subscriber,
    /// The changes that it has applied since the last [`Machine::take_applied`].
    pub applied: Vec<AppliedChange>,
}

enum Role {
    Publisher(Box<Publisher>),
    Relay(Box<Relay>),
    Node(Box<Node>),
}

/// A machine with its clock and its disk. All times in its interface are simulation times.
pub struct Machine {
    role: Role,
    clock: Clock,
    disk: Disk,
    /// Number of sessions with upstream or downstream peers that have ended.
    pub sessions_ended: u64,
}

impl Machine {
    fn new(role: Role, clock: Clock, disk: Disk) -> Machine {
        Machine {
            role,
            clock,
            disk,
            sessions_ended: 0,
        }
    }

    /// A publisher that starts with the disk of an earlier process.
    pub fn publisher(config: PublisherConfig, clock: Clock, disk: Disk, now: f64) -> Machine {
        let publisher = Publisher::restore(config, disk.records(), clock.local(now));
        Machine::new(Role::Publisher(Box::new(publisher)), clock, disk)
    }

    /// A relay that starts with the disk of an earlier process.
    pub fn relay(config: RelayConfig, clock: Clock, disk: Disk, now: f64) -> Machine {
        let relay = Relay::restore(config, disk.records(), clock.local(now));
        Machine::new(Role::Relay(Box::new(relay)), clock, disk)
    }

    /// A node that starts with the disk of an earlier process, and subscribes to the selectors.
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
            .filter(|selector| !disk.coverage.contains_key(*selector))
        {
            // A subscription beyond the limit is skipped; the check that nodes agree with the publisher detects it.
            let _ = subscriber.subscribe(selector.clone());
        }
        let node = Node {
            subscriber,
            applied: Vec::new(),
        };
        Machine::new(Role::Node(Box::new(node)), clock, disk)
    }

    /// Ends the machine and returns its disk.
    pub fn into_disk(self) -> Disk {
        self.disk
    }

    /// The publisher, if it is one.
    pub fn as_publisher(&self) -> Option<&Publisher> {
        match &self.role {
            Role::Publisher(publisher) => Some(publisher),
            _ => None,
        }
    }

    /// The relay, if it is one.
    pub fn as_relay(&self) -> Option<&Relay> {
        match &self.role {
            Role::Relay(relay) => Some(relay),
            _ => None,
        }
    }

    /// The node, if it is one.
    pub fn as_node(&self) -> Option<&Node> {
        match &self.role {
            Role::Node(node) => Some(node),
            _ => None,
        }
    }

    /// Takes the changes that this node has applied since the last call.
    pub fn take_applied(&mut self) -> Vec<AppliedChange> {
        match &mut self.role {
            Role::Node(node) => std::mem::take(&mut node.applied),
            _ => Vec::new(),
        }
    }

    /// The machine's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Calls the publisher, if this is one, with the time of its local clock, and executes its outputs.
    pub fn with_publisher<R>(
        &mut self,
        now: f64,
        outgoing: &mut Vec<OutgoingFrame>,
        call: impl FnOnce(&mut Publisher, f64, &mut Vec<Output>) -> R,
    ) -> Option<R> {
        let local = self.clock.local(now);
        let Role::Publisher(publisher) = &mut self.role else {
            return None;
        };
        let mut outputs = Vec::new();
        let result = call(publisher, local, &mut outputs);
        publisher.poll(local, &mut outputs);
        self.execute_outputs(now, outputs, outgoing);
        Some(result)
    }

    /// Adds a subscription of a node; does nothing if this is no node.
    ///
    /// # Errors
    /// If the node already has the maximum number of subscriptions.
    pub fn subscribe(
        &mut self,
        now: f64,
        selector: Selector,
        outgoing: &mut Vec<OutgoingFrame>,
    ) -> Result<(), TooManySubscriptions> {
        let local = self.clock.local(now);
        let Role::Node(node) = &mut self.role else {
            return Ok(());
        };
        let mut outputs = Vec::new();
        node.subscriber.subscribe(selector)?;
        node.subscriber.poll(local, &mut outputs);
        self.execute_outputs(now, outputs, outgoing);
        Ok(())
    }

    /// The staleness of its configuration that a node reports, in seconds; `None` if this is no node.
    pub fn staleness(&self, now: f64) -> Option<f64> {
        Some(self.as_node()?.subscriber.staleness(self.clock.local(now)))
    }

    /// Executes outputs in order, and then the outputs that result from them.
    fn execute_outputs(
        &mut self,
        now: f64,
        outputs: Vec<Output>,
        outgoing: &mut Vec<OutgoingFrame>,
    ) {
        let mut outputs = outputs;
        while !outputs.is_empty() {
            let mut further = Vec::new();
            for output in outputs {
                self.execute_output(now, output, outgoing, &mut further);
            }
            outputs = further;
        }
    }

    fn execute_output(
        &mut self,
        now: f64,
        output: Output,
        outgoing: &mut Vec<OutgoingFrame>,
        further: &mut Vec<Output>,
    ) {
        match output {
            Output::Send { to, frame } => outgoing.push(OutgoingFrame { to: to.0, frame }),
            Output::Persist(record) => self.disk.store(record),
            Output::Apply(change) => {
                let local = self.clock.local(now);
                if let Role::Node(node) = &mut self.role {
                    node.apply(now, local, &change, further);
                }
            }
            Output::Event(event) => self.count_event(&event),
        }
    }

    fn count_event(&mut self, event: &Event) {
        if matches!(event, Event::Left { .. } | Event::ChildLost { .. }) {
            self.sessions_ended += 1;
        }
    }

    fn poll_role(&mut self, local: f64, outputs: &mut Vec<Output>) {
        match &mut self.role {
            Role::Publisher(publisher) => publisher.poll(local, outputs),
            Role::Relay(relay) => relay.poll(local, outputs),
            Role::Node(node) => node.subscriber.poll(local, outputs),
        }
    }
}

impl Node {
    fn apply(&mut self, now: f64, local: f64, change: &Change, further: &mut Vec<Output>) {
        let (name, version) = (change.key.name.clone(), change.version);
        self.applied.push(AppliedChange {
            name,
            version,
            at: now,
        });
        self.subscriber.accepted(version, further);
        self.subscriber.poll(local, further);
    }
}

impl Endpoint for Machine {
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], outgoing: &mut Vec<OutgoingFrame>) {
        let mut outputs = Vec::new();
        let (from, local) = (PeerId(from), self.clock.local(now));
        match &mut self.role {
            Role::Publisher(publisher) => publisher.receive(local, from, frame, &mut outputs),
            Role::Relay(relay) => relay.receive(local, from, frame, &mut outputs),
            Role::Node(node) => node.subscriber.receive(local, from, frame, &mut outputs),
        }
        self.poll_role(local, &mut outputs);
        self.execute_outputs(now, outputs, outgoing);
    }

    fn poll(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>) {
        let mut outputs = Vec::new();
        self.poll_role(self.clock.local(now), &mut outputs);
        self.execute_outputs(now, outputs, outgoing);
    }

    fn next_wakeup(&self) -> f64 {
        let local = match &self.role {
            Role::Publisher(publisher) => publisher.next_wakeup(),
            Role::Relay(relay) => relay.next_wakeup(),
            Role::Node(node) => node.subscriber.next_wakeup(),
        };
        self.clock.world(local)
    }
}
