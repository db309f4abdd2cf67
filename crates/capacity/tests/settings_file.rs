//! Settings files that are written for measurements are valid and as large as they are asked to be.

use reelfall_capacity::scale::report::Size;
use reelfall_capacity::scale::settings::settings_file;
use reelfall_config::model::Source;
use reelfall_config::{check, reader, Plan};

/// The whole size, scaled down.
const SCALE: usize = 20;

fn plan(size: &Size) -> Plan {
    reader::toml("f.toml", &settings_file(size))
        .and_then(check)
        .unwrap()
}

/// Services, servers, routes and tenants.
fn counts(plan: &Plan) -> [usize; 4] {
    let services = &plan.model.services;
    let servers = services.iter().map(|service| match &service.source {
        Source::Static(servers) => servers.len(),
        Source::Discovery(_) | Source::Registry(_) => 0,
    });
    let members = services.iter().map(|service| service.tenants.len());
    [
        services.len(),
        servers.sum(),
        plan.matches.len(),
        members.sum(),
    ]
}

#[test]
fn the_whole_shape_scaled_down_holds_together() {
    let whole = Size::TARGET;
    let size = Size {
        services: whole.services / SCALE,
        servers: whole.servers / SCALE,
        routes: whole.routes / SCALE,
        tenants: whole.tenants / SCALE,
        ..whole
    };
    let plan = plan(&size);
    assert_eq!(counts(&plan), [130, 2_500, 3_700, 28_000]);
    assert_eq!(plan.model.process.node_count, 6_000);
    let most = plan
        .model
        .services
        .iter()
        .map(|service| service.tenants.len())
        .max();
    let least = plan
        .model
        .services
        .iter()
        .map(|service| service.tenants.len())
        .min();
    assert_eq!((least, most), (Some(215), Some(216)), "not spread evenly");
}

#[test]
fn files_of_any_size_hold_together() {
    for (services, servers, routes, tenants) in
        [(1, 1, 1, 0), (3, 2, 4, 1), (7, 100, 7, 50), (2, 0, 9, 9)]
    {
        let size = Size {
            services,
            servers,
            routes,
            tenants,
            ..Size::TARGET
        };
        assert_eq!(counts(&plan(&size)), [services, servers, routes, tenants]);
    }
    // What no valid file can have is made up.
    let size = Size {
        services: 0,
        servers: 0,
        routes: 0,
        tenants: 0,
        nodes: 0,
        ..Size::TARGET
    };
    assert_eq!(counts(&plan(&size)), [1, 0, 1, 0]);
}

#[test]
fn the_same_size_gives_the_same_file() {
    let size = Size {
        services: 5,
        servers: 17,
        routes: 23,
        tenants: 40,
        ..Size::TARGET
    };
    assert_eq!(settings_file(&size), settings_file(&size));
}
