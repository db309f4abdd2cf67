//! Settings files generated for measurements are valid and have the requested size.

use reelfall_capacity::scale::report::Size;
use reelfall_capacity::scale::settings::settings_file;
use reelfall_config::model::ListSource;
use reelfall_config::{check, reader, Plan};

/// The target size divided by the size of the scaled-down file.
const SCALE_DIVISOR: usize = 20;

fn plan(size: &Size) -> Plan {
    reader::parse_toml("f.toml", &settings_file(size))
        .and_then(check)
        .unwrap()
}

/// Numbers of items in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Counts {
    services: usize,
    servers: usize,
    routes: usize,
    tenants: usize,
}

impl Counts {
    /// Returns the target size with these counts.
    fn to_size(self) -> Size {
        Size {
            services: self.services,
            servers: self.servers,
            routes: self.routes,
            tenants: self.tenants,
            ..Size::TARGET
        }
    }
}

fn counts(plan: &Plan) -> Counts {
    let services = &plan.model.services;
    let servers = services.iter().map(|service| match &service.list_source {
        ListSource::Static(servers) => servers.len(),
        ListSource::Discovery(_) | ListSource::Registry(_) => 0,
    });
    let tenants = services.iter().map(|service| service.tenants.len());
    Counts {
        services: services.len(),
        servers: servers.sum(),
        routes: plan.route_conditions.len(),
        tenants: tenants.sum(),
    }
}

#[test]
fn scaled_down_target_size_is_valid() {
    let target = Size::TARGET;
    let scaled = Counts {
        services: target.services / SCALE_DIVISOR,
        servers: target.servers / SCALE_DIVISOR,
        routes: target.routes / SCALE_DIVISOR,
        tenants: target.tenants / SCALE_DIVISOR,
    };
    let plan = plan(&scaled.to_size());
    let expected = Counts {
        services: 130,
        servers: 2_500,
        routes: 3_700,
        tenants: 28_000,
    };
    assert_eq!(counts(&plan), expected);
    assert_eq!(plan.model.process.node_count, 6_000);
    let services = plan.model.services.iter();
    let tenant_counts = services.map(|service| service.tenants.len());
    let fewest = tenant_counts.clone().min();
    let most = tenant_counts.max();
    assert_eq!(
        (fewest, most),
        (Some(215), Some(216)),
        "tenants are not distributed evenly"
    );
}

#[test]
fn files_of_any_size_are_valid() {
    for (services, servers, routes, tenants) in
        [(1, 1, 1, 0), (3, 2, 4, 1), (7, 100, 7, 50), (2, 0, 9, 9)]
    {
        let requested = Counts {
            services,
            servers,
            routes,
            tenants,
        };
        assert_eq!(counts(&plan(&requested.to_size())), requested);
    }
    // A valid file has at least one service and one route.
    let empty = Size {
        services: 0,
        servers: 0,
        routes: 0,
        tenants: 0,
        nodes: 0,
        ..Size::TARGET
    };
    let minimum = Counts {
        services: 1,
        servers: 0,
        routes: 1,
        tenants: 0,
    };
    assert_eq!(counts(&plan(&empty)), minimum);
}

#[test]
fn generation_is_deterministic() {
    let size = Size {
        services: 5,
        servers: 17,
        routes: 23,
        tenants: 40,
        ..Size::TARGET
    };
    assert_eq!(settings_file(&size), settings_file(&size));
}
