//! Machines of the world that start, end and lose their disks.

use super::World;
use crate::control::clock::Clock;
use crate::control::machine::Machine;

impl World {
    /// A machine begins, with what its disk has.
    pub fn start(&mut self, endpoint: u32) {
        let now = self.network.now();
        let disk = self.disks.remove(&endpoint).unwrap_or_default();
        let clock = self
            .clocks
            .get(endpoint as usize)
            .copied()
            .unwrap_or(Clock::TRUE);
        let machine = if self.layout.nodes().contains(&endpoint) {
            let region = self
                .network
                .topology()
                .site(endpoint)
                .map_or(0, |site| site.region);
            let config = self.layout.node_config(endpoint, region, now);
            Machine::node(
                config,
                &self.layout.selectors_of(endpoint),
                clock,
                disk,
                now,
            )
        } else if self.layout.authors().contains(&endpoint) {
            Machine::author(self.layout.author_config(endpoint, now), clock, disk, now)
        } else {
            Machine::relay(self.layout.relay_config(endpoint, now), clock, disk, now)
        };
        self.network.start(endpoint, machine);
    }

    /// A machine ends; its disk stays.
    pub fn kill(&mut self, endpoint: u32) {
        self.collect_applied(endpoint);
        if let Some(machine) = self.network.kill(endpoint) {
            self.disks.insert(endpoint, machine.into_disk());
        }
    }

    /// A machine's disk is lost.
    pub fn erase(&mut self, endpoint: u32) {
        self.disks.remove(&endpoint);
        self.checker.forget_node(endpoint);
    }

    /// Nodes that run.
    pub fn running_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        self.layout
            .nodes()
            .filter(|node| self.network.endpoint(*node).is_some())
    }
}
