//! Authors, relays and nodes by themselves with what they would have stored, for what they hold in memory.
//!
//! What a machine has stored is not kept beside it, as it is where machines are played ([`super::machine::Disk`]).

use super::contents::Resource;
use super::layout::Layout;
use super::sizes::Sizes;
use reelfall_distribution::author::Author;
use reelfall_distribution::coverage::Coverage;
use reelfall_distribution::output::Record;
use reelfall_distribution::relay::Relay;
use reelfall_distribution::resource::{
    Change, Content, Key, NodeFraction, Selector, Slot, Urgency, Version,
};
use reelfall_distribution::subscriber::Subscriber;

/// A machine that began from what was stored.
pub enum Holder {
    /// An author.
    Author(Box<Author>),
    /// A relay, without children.
    Relay(Box<Relay>),
    /// A node.
    Node(Box<Subscriber>),
}

impl Holder {
    /// How many resources it has.
    pub fn resources(&self) -> usize {
        match self {
            Holder::Author(author) => author.log().changes().count(),
            Holder::Relay(relay) => relay.log().changes().count(),
            Holder::Node(node) => node.applied_changes().count(),
        }
    }
}

/// What there is, and machines that hold of it.
pub struct Holdings {
    layout: Layout,
}

impl Holdings {
    /// Of a system.
    ///
    /// # Errors
    /// If it can't be placed.
    pub fn new(sizes: Sizes) -> Result<Holdings, String> {
        let (layout, _) = Layout::new(sizes, "settings", 1)?;
        Ok(Holdings { layout })
    }

    /// An author that has all.
    pub fn author(&self) -> Holder {
        let author = Author::restore(
            self.layout.author_config(0, 0.0),
            self.records_of_all(),
            0.0,
        );
        Holder::Author(Box::new(author))
    }

    /// A relay that has all.
    pub fn relay(&self) -> Holder {
        let relay = Relay::restore(self.layout.relay_config(0, 0.0), self.records_of_all(), 0.0);
        Holder::Relay(Box::new(relay))
    }

    /// A node that has its services and so many tenants.
    pub fn node(&self, tenants: u32) -> Holder {
        let services = self
            .layout
            .services_of(0)
            .flat_map(|service| self.layout.sizes.service_resources(service));
        let resources = services.chain((0..tenants).map(Resource::Tenant));
        let asked =
            (0..tenants).map(|tenant| Selector::Group(Resource::Tenant(tenant).name().group));
        let selectors = self.layout.selectors_of(0).into_iter().chain(asked);
        self.node_with(resources, selectors)
    }

    /// A node that has all services.
    pub fn node_of_all_services(&self) -> Holder {
        let sizes = self.layout.sizes;
        let services =
            (0..sizes.services).flat_map(move |service| sizes.service_resources(service));
        self.node_with(services, [Selector::Services])
    }

    fn node_with(
        &self,
        resources: impl IntoIterator<Item = Resource>,
        selectors: impl IntoIterator<Item = Selector>,
    ) -> Holder {
        // The change that is in force is the one that was put, as where a node has taken it in.
        let changes = changes(resources)
            .flat_map(|change| [Record::Put(change.clone()), Record::Applied(change)]);
        let covered = selectors
            .into_iter()
            .map(|selector| covered(selector, u64::MAX));
        let config = self.layout.node_config(0, 0, 0.0);
        Holder::Node(Box::new(Subscriber::restore(
            config,
            changes.chain(covered),
            Some(0.0),
            0.0,
        )))
    }

    fn records_of_all(&self) -> impl Iterator<Item = Record> {
        let all = self.layout.sizes.resources();
        let head = self.layout.sizes.resources().count() as u64;
        changes(all)
            .map(Record::Put)
            .chain([covered(Selector::Everything, head)])
    }
}

fn covered(selector: Selector, head: u64) -> Record {
    let floor = Version {
        token: 1,
        sequence: head,
    };
    Record::Covered {
        selector,
        coverage: Coverage::up_to(floor),
        removals_known: floor,
    }
}

/// The first change of each resource.
fn changes(resources: impl IntoIterator<Item = Resource>) -> impl Iterator<Item = Change> {
    (1..).zip(resources).map(|(sequence, resource)| Change {
        key: Key {
            name: resource.name(),
            slot: Slot::Stable,
        },
        version: Version { token: 1, sequence },
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content: Content::body(&vec![1; resource.body_bytes()]),
    })
}
