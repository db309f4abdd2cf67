//! Start and end of machines, and loss of their disks.

use super::World;
use crate::control::clock::Clock;
use crate::control::machine::Machine;

impl World {
    /// Starts a machine, with the disk of its previous process if there is one.
    pub fn start(&mut self, endpoint: u32) {
        let now = self.network.now();
        let disk = self.disks.remove(&endpoint).unwrap_or_default();
        let clock = self.clocks.get(endpoint as usize).copied();
        let clock = clock.unwrap_or(Clock::TRUE);
        let machine = if self.layout.nodes().contains(&endpoint) {
            let config = self
                .layout
                .node_config(endpoint, self.region(endpoint), now);
            let selectors = self.layout.selectors_of(endpoint);
            Machine::node(config, &selectors, clock, disk, now)
        } else if self.layout.publishers().contains(&endpoint) {
            Machine::publisher(
                self.layout.publisher_config(endpoint, now),
                clock,
                disk,
                now,
            )
        } else {
            Machine::relay(self.layout.relay_config(endpoint, now), clock, disk, now)
        };
        self.network.start(endpoint, machine);
    }

    /// Ends a machine and retains its disk.
    pub fn kill(&mut self, endpoint: u32) {
        self.collect_applied_of(endpoint);
        if let Some(machine) = self.network.kill(endpoint) {
            self.disks.insert(endpoint, machine.into_disk());
        }
    }

    /// Erases the disk of a machine that does not run.
    pub fn erase_disk(&mut self, endpoint: u32) {
        self.disks.remove(&endpoint);
        self.checker.forget_node(endpoint);
    }

    /// The nodes that run.
    pub fn running_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        self.layout
            .nodes()
            .filter(|node| self.network.endpoint(*node).is_some())
    }

    /// The region of an endpoint.
    pub fn region(&self, endpoint: u32) -> u16 {
        let site = self.network.topology().site(endpoint);
        site.map_or(0, |site| site.region)
    }
}
