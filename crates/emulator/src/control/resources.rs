//! The resources of a system: their names, and the lengths of their bodies.

use reelfall_distribution::resource::Name;

/// Bytes of a service's settings.
const SETTINGS_BYTES: usize = 2_000;
/// Bytes of a service's endpoint list.
const SERVERS_BYTES: usize = 1_000;
/// Bytes of a route, as operators write it in a settings file.
const ROUTE_BYTES: usize = 90;
/// Bytes of a tenant and its quota, as the platform's configuration has it.
const TENANT_BYTES: usize = 42;
/// The item of a tenant that contains its quota.
const TENANT_ITEM: &str = "quota";

/// One resource of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// A service's settings.
    Settings(u32),
    /// A service's endpoint list.
    Servers(u32),
    /// A service's route.
    Route {
        /// The service.
        service: u32,
        /// Its number within the service.
        number: u32,
    },
    /// A tenant, which nodes subscribe to at its first request.
    Tenant(u32),
}

impl Resource {
    /// Its name.
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

    /// The length of its body.
    pub fn body_bytes(self) -> usize {
        match self {
            Resource::Settings(_) => SETTINGS_BYTES,
            Resource::Servers(_) => SERVERS_BYTES,
            Resource::Route { .. } => ROUTE_BYTES,
            Resource::Tenant(_) => TENANT_BYTES,
        }
    }
}

/// A service's name.
pub fn service_name(service: u32) -> String {
    format!("service-{service}")
}

/// A tenant's name.
pub fn tenant_name(tenant: u32) -> String {
    format!("tenant-{tenant}")
}
