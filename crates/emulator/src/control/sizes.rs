//! How large a system is: its nodes, control machines and resources.

use super::contents::Resource;

/// How large a system is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Zones of each region.
    pub zones: &'static [u16],
    /// Nodes, spread evenly over the zones.
    pub nodes: u32,
    /// Control machines that can write; one of each of the first regions.
    pub authors: u32,
    /// Control machines that serve nodes; spread evenly over the regions.
    pub relays: u32,
    /// Services.
    pub services: u32,
    /// Groups of nodes that serve the same services: each service is served by the nodes of one group.
    pub groups: u32,
    /// Routes that are resources of their own, over all services.
    pub routes: u32,
    /// Tenants that are resources.
    pub tenants: u32,
}

impl Sizes {
    /// The target system: 18 control machines; each node serves 20 services, each service has 46 nodes. Its routes are in the
    /// services' settings, its tenants are left out.
    pub const TARGET: Sizes = Sizes {
        zones: &super::topology::TARGET_ZONES,
        nodes: 6_000,
        authors: 3,
        relays: 15,
        services: 2_600,
        groups: 130,
        routes: 0,
        tenants: 0,
    };

    /// Routes of the target system.
    pub const TARGET_ROUTES: u32 = 74_000;
    /// Tenants of the target system.
    pub const TARGET_TENANTS: u32 = 560_000;

    /// A small system for tests.
    pub const SMALL: Sizes = Sizes {
        zones: &[2, 2],
        nodes: 24,
        authors: 2,
        relays: 4,
        services: 12,
        groups: 4,
        routes: 0,
        tenants: 0,
    };
}

impl Sizes {
    /// How many resources a service has.
    pub fn resources_of_service(&self, service: u32) -> u32 {
        2 + self.routes_of(service)
    }

    /// A service's resource, by its number among those of the service.
    pub fn resource(&self, service: u32, number: u32) -> Resource {
        match number {
            0 => Resource::Settings(service),
            1 => Resource::Servers(service),
            route => Resource::Route(service, route - 2),
        }
    }

    /// The resources of a service.
    pub fn service_resources(&self, service: u32) -> impl Iterator<Item = Resource> + use<> {
        let sizes = *self;
        (0..self.resources_of_service(service)).map(move |number| sizes.resource(service, number))
    }

    /// All resources.
    pub fn resources(&self) -> impl Iterator<Item = Resource> + use<> {
        let sizes = *self;
        let services = (0..self.services).flat_map(move |service| sizes.service_resources(service));
        services.chain((0..self.tenants).map(Resource::Tenant))
    }

    /// Routes are spread evenly over services.
    fn routes_of(&self, service: u32) -> u32 {
        let services = self.services.max(1);
        self.routes / services + u32::from(service < self.routes % services)
    }
}
