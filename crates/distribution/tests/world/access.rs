//! Access to the machines of a world.

use super::{Config, Machine, World};
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publisher::Publisher;
use reelfall_distribution::relay::Relay;
use reelfall_distribution::resource::Name;
use reelfall_distribution::subscriber::Subscriber;
use reelfall_distribution::Time;
use std::collections::BTreeSet;

impl World {
    pub fn node_of(&self, id: u32) -> &Subscriber {
        match self.processes[&PeerId(id)].machine.as_ref() {
            Some(Machine::Node(node)) => node,
            _ => panic!("{id} is no running node"),
        }
    }

    pub fn relay_of(&self, id: u32) -> &Relay {
        match self.processes[&PeerId(id)].machine.as_ref() {
            Some(Machine::Relay(relay)) => relay,
            _ => panic!("{id} is no running relay"),
        }
    }

    pub fn publisher_of(&self, id: u32) -> &Publisher {
        match self.processes[&PeerId(id)].machine.as_ref() {
            Some(Machine::Publisher(publisher)) => publisher,
            _ => panic!("{id} is no running publisher"),
        }
    }

    /// Calls a publisher, if it runs and is not paused.
    pub fn with_publisher<T>(
        &mut self,
        id: u32,
        call: impl FnOnce(&mut Publisher, Time, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        if self.now < self.processes[&PeerId(id)].paused_until {
            return None;
        }
        self.act(PeerId(id), |machine, now, outputs| match machine {
            Machine::Publisher(publisher) => Some(call(publisher, now, outputs)),
            _ => None,
        })
        .flatten()
    }

    /// Calls a node, if it runs.
    pub fn with_node<T>(
        &mut self,
        id: u32,
        call: impl FnOnce(&mut Subscriber, Time, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        self.act(PeerId(id), |machine, now, outputs| match machine {
            Machine::Node(node) => Some(call(node, now, outputs)),
            _ => None,
        })
        .flatten()
    }

    /// The body of a resource that a node applies.
    pub fn bytes_at(&self, node: u32, name: &Name) -> Option<Vec<u8>> {
        self.node_of(node)
            .applied_change(name)
            .map(|change| change.content.bytes().to_vec())
    }

    /// The processes of a kind.
    pub fn ids(&self, kind: fn(&Config) -> bool) -> BTreeSet<PeerId> {
        self.processes
            .iter()
            .filter(|(_, process)| kind(&process.config))
            .map(|(id, _)| *id)
            .collect()
    }
}
