//! The sizes of a system: the numbers of nodes, control machines and resources.

use super::resources::Resource;

/// Number of a service's resources that precede its routes: its settings and its endpoint list.
const RESOURCES_BEFORE_ROUTES: u32 = 2;

/// The sizes of a system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Number of zones of each region.
    pub zones: &'static [u16],
    /// Number of nodes, spread evenly over the zones.
    pub nodes: u32,
    /// Number of publishers; one in each of the first regions.
    pub publishers: u32,
    /// Number of relays, spread evenly over the regions.
    pub relays: u32,
    /// Number of services.
    pub services: u32,
    /// Number of groups of nodes; each service is served by the nodes of one group.
    pub groups: u32,
    /// Number of routes that are separate resources, over all services.
    pub routes: u32,
    /// Number of tenants that are separate resources.
    pub tenants: u32,
}

impl Sizes {
    /// The target system: 18 control machines; each node serves 20 services, and each service has 46 nodes. Routes are part of
    /// the services' settings; tenants are omitted.
    pub const TARGET: Sizes = Sizes {
        zones: &super::topology::TARGET_ZONES,
        nodes: 6_000,
        publishers: 3,
        relays: 15,
        services: 2_600,
        groups: 130,
        routes: 0,
        tenants: 0,
    };

    /// Number of routes of the target system.
    pub const TARGET_ROUTES: u32 = 74_000;
    /// Number of tenants of the target system.
    pub const TARGET_TENANTS: u32 = 560_000;

    /// A small system for tests.
    pub const SMALL: Sizes = Sizes {
        zones: &[2, 2],
        nodes: 24,
        publishers: 2,
        relays: 4,
        services: 12,
        groups: 4,
        routes: 0,
        tenants: 0,
    };
}

impl Sizes {
    /// Number of resources of a service.
    pub fn resources_of_service(&self, service: u32) -> u32 {
        RESOURCES_BEFORE_ROUTES + self.routes_of(service)
    }

    /// The resource of a service with this index: settings, endpoint list, then routes.
    pub fn resource(&self, service: u32, index: u32) -> Resource {
        match index {
            0 => Resource::Settings(service),
            1 => Resource::Servers(service),
            _ => Resource::Route {
                service,
                number: index - RESOURCES_BEFORE_ROUTES,
            },
        }
    }

    /// All resources of a service.
    pub fn service_resources(&self, service: u32) -> impl Iterator<Item = Resource> + use<> {
        let sizes = *self;
        (0..self.resources_of_service(service)).map(move |index| sizes.resource(service, index))
    }

    /// All resources of the system.
    pub fn resources(&self) -> impl Iterator<Item = Resource> + use<> {
        let sizes = *self;
        let services = (0..self.services).flat_map(move |service| sizes.service_resources(service));
        services.chain((0..self.tenants).map(Resource::Tenant))
    }

    /// Number of routes of a service. Routes are spread evenly over services.
    fn routes_of(&self, service: u32) -> u32 {
        let services = self.services.max(1);
        self.routes / services + u32::from(service < self.routes % services)
    }
}
