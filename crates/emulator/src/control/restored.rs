//! Publishers, relays and nodes that are restored from records, without a network. The scale runs measure their memory.
//!
//! Unlike the disks of machines in a network ([`super::machine::Disk`]), the records are not retained, so that they do not
//! count as memory.

use super::layout::{Layout, LayoutError};
use super::resources::Resource;
use super::sizes::Sizes;
use reelfall_distribution::coverage::Coverage;
use reelfall_distribution::output::Record;
use reelfall_distribution::publisher::Publisher;
use reelfall_distribution::relay::Relay;
use reelfall_distribution::resource::{
    Change, Content, Key, NodeFraction, Selector, Slot, Urgency, Version,
};
use reelfall_distribution::subscriber::Subscriber;

/// Fencing token of all changes.
const TOKEN: u64 = 1;

/// A machine that was restored.
pub enum RestoredMachine {
    /// A publisher.
    Publisher(Box<Publisher>),
    /// A relay without downstream sessions.
    Relay(Box<Relay>),
    /// A node.
    Node(Box<Subscriber>),
}

impl RestoredMachine {
    /// Number of resources that it has, or has applied if it is a node.
    pub fn resource_count(&self) -> usize {
        match self {
            RestoredMachine::Publisher(publisher) => publisher.log().changes().count(),
            RestoredMachine::Relay(relay) => relay.log().changes().count(),
            RestoredMachine::Node(node) => node.applied_changes().count(),
        }
    }
}

/// Restores machines of one system.
pub struct MachineRestorer {
    layout: Layout,
}

impl MachineRestorer {
    /// Restores machines of a system of these sizes.
    ///
    /// # Errors
    /// If the sizes are invalid.
    pub fn new(sizes: Sizes) -> Result<MachineRestorer, LayoutError> {
        let layout = Layout::place(sizes, "settings", 1)?.layout;
        Ok(MachineRestorer { layout })
    }

    /// Restores a publisher with all resources.
    pub fn publisher(&self) -> RestoredMachine {
        let config = self.layout.publisher_config(0, 0.0);
        let publisher = Publisher::restore(config, self.all_records(), 0.0);
        RestoredMachine::Publisher(Box::new(publisher))
    }

    /// Restores a relay with all resources.
    pub fn relay(&self) -> RestoredMachine {
        let config = self.layout.relay_config(0, 0.0);
        let relay = Relay::restore(config, self.all_records(), 0.0);
        RestoredMachine::Relay(Box::new(relay))
    }

    /// Restores a node with the services of its group and this many tenants.
    pub fn node(&self, tenant_count: u32) -> RestoredMachine {
        let services = self
            .layout
            .services_of(0)
            .flat_map(|service| self.layout.sizes.service_resources(service));
        let tenants = (0..tenant_count).map(Resource::Tenant);
        let tenant_selectors = tenants
            .clone()
            .map(|tenant| Selector::Group(tenant.name().group));
        let selectors = self.layout.selectors_of(0).into_iter();
        self.node_with(services.chain(tenants), selectors.chain(tenant_selectors))
    }

    /// Restores a node with all services.
    pub fn node_of_all_services(&self) -> RestoredMachine {
        let sizes = self.layout.sizes;
        let resources =
            (0..sizes.services).flat_map(move |service| sizes.service_resources(service));
        self.node_with(resources, [Selector::Services])
    }

    fn node_with(
        &self,
        resources: impl IntoIterator<Item = Resource>,
        selectors: impl IntoIterator<Item = Selector>,
    ) -> RestoredMachine {
        // The node has applied every change that it has received.
        let changes = initial_changes(resources)
            .flat_map(|change| [Record::Put(change.clone()), Record::Applied(change)]);
        let coverage = selectors
            .into_iter()
            .map(|selector| coverage_through(selector, u64::MAX));
        let config = self.layout.node_config(0, 0, 0.0);
        let records = changes.chain(coverage);
        let subscriber = Subscriber::restore(config, records, Some(0.0), 0.0);
        RestoredMachine::Node(Box::new(subscriber))
    }

    fn all_records(&self) -> impl Iterator<Item = Record> {
        let resources = self.layout.sizes.resources();
        let head = self.layout.sizes.resources().count() as u64;
        initial_changes(resources)
            .map(Record::Put)
            .chain([coverage_through(Selector::Everything, head)])
    }
}

/// A record that states that all changes of a selector up to a sequence number are known.
fn coverage_through(selector: Selector, sequence: u64) -> Record {
    let version = Version {
        token: TOKEN,
        sequence,
    };
    Record::Covered {
        selector,
        coverage: Coverage::up_to(version),
        removals_known: version,
    }
}

/// The first change of each resource.
fn initial_changes(resources: impl IntoIterator<Item = Resource>) -> impl Iterator<Item = Change> {
    (1..).zip(resources).map(|(sequence, resource)| Change {
        key: Key {
            name: resource.name(),
            slot: Slot::Stable,
        },
        version: Version {
            token: TOKEN,
            sequence,
        },
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content: Content::body(&vec![1; resource.body_bytes()]),
    })
}
