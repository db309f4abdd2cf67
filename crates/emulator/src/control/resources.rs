//! The resources of a system: their names and the lengths of their bodies.

use reelfall_distribution::resource::Name;

/// Length of a service's settings, in bytes.
const SETTINGS_BYTES: usize = 2_000;
/// Length of a service's endpoint list, in bytes.
const SERVERS_BYTES: usize = 1_000;
/// Length of a route in the format of a settings file, in bytes.
const ROUTE_BYTES: usize = 90;
/// Length of a tenant with its quota in the format of the platform's configuration, in bytes.
const TENANT_BYTES: usize = 42;
/// The name of the item that contains a tenant's quota.
const TENANT_ITEM: &str = "quota";

/// One resource of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// The settings of a service.
    Settings(u32),
    /// The endpoint list of a service.
    Servers(u32),
    /// A route of a service.
    Route {
        /// The service.
        service: u32,
        /// Number of the route within the service.
        number: u32,
    },
    /// A tenant, to which a node subscribes at the tenant's first request.
    Tenant(u32),
}

impl Resource {
    /// The name under which the resource is distributed.
    pub fn name(self) -> Name {
        match self {
            Resource::Settings(service) => Name::service(&service_name(service), "settings"),
            Resource::Servers(service) => Name::service(&service_name(service), "servers"),
            Resource::Route { service, number } => {
                Name::service(&service_name(service), &format!("route-{number}"))
            }
            Resource::Tenant(tenant) => Name::tenant(&tenant_name(tenant), TENANT_ITEM),
        }
    }

    /// Length of the resource's body, in bytes.
    pub fn body_bytes(self) -> usize {
        match self {
            Resource::Settings(_) => SETTINGS_BYTES,
            Resource::Servers(_) => SERVERS_BYTES,
            Resource::Route { .. } => ROUTE_BYTES,
            Resource::Tenant(_) => TENANT_BYTES,
        }
    }
}

/// The name of the service with this number.
pub fn service_name(service: u32) -> String {
    format!("service-{service}")
}

/// The name of the tenant with this number.
pub fn tenant_name(tenant: u32) -> String {
    format!("tenant-{tenant}")
}
