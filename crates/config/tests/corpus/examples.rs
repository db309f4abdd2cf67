//! The example settings files of the folder `deploy/examples`.

use reelfall_config::{check, reader};
use reelfall_routing::table::RouteQuery;

#[test]
fn fleet_example_is_valid() {
    let text = include_str!("../../../../deploy/examples/fleet.toml");
    let plan = check(reader::parse_toml("fleet.toml", text).unwrap()).unwrap();
    let fleet = plan.model.fleet.unwrap();
    assert_eq!(
        (fleet.config.quorum.min_reporters, fleet.config.seeds.len()),
        (3, 3)
    );
}

#[test]
fn services_example_is_valid_and_routes_as_documented() {
    let text = include_str!("../../../../deploy/examples/services.toml");
    let plan = check(reader::parse_toml("services.toml", text).unwrap()).unwrap();
    let service_of = |host, path, method| {
        let query = RouteQuery {
            listener: 0,
            host,
            path,
            method,
            class: None,
        };
        let route = plan.route_table.find(&query);
        assert_eq!(
            plan.matching_routes(&query).first().copied(),
            route,
            "the first matching route differs from the route that the table finds"
        );
        route.map(|route| {
            plan.model.services[plan.route_targets[route].service]
                .name
                .as_str()
        })
    };
    assert_eq!(
        service_of("flags.example.org", "/api", "GET"),
        Some("evaluate")
    );
    assert_eq!(service_of("flags.example.org", "/api", "POST"), None);
    assert_eq!(
        service_of("admin.example.org", "/api/flags/7", "POST"),
        Some("toggle")
    );
    assert_eq!(
        service_of("admin.example.org", "/api/rollouts/7", "POST"),
        Some("rollout")
    );
    assert_eq!(
        service_of("admin.example.org", "/api/rolloutsx", "POST"),
        Some("toggle")
    );
    assert_eq!(service_of("other.example.org", "/api", "GET"), None);
}
