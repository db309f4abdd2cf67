//! A settings file that has every key is read as at commit c58caac. Unknown keys are rejected, so a renamed key fails this
//! test.

use reelfall_config::model::ListSource;
use reelfall_config::{check, reader};

#[test]
fn every_key_of_a_settings_file_is_read() {
    let text = include_str!("golden/every-key.toml");
    let plan = check(reader::parse_toml("every-key.toml", text).unwrap()).unwrap();
    let model = &plan.model;
    assert_eq!(
        (
            model.process.max_descriptors,
            model.process.max_memory,
            model.process.node_count
        ),
        (2048, 256 << 20, 4)
    );
    assert_eq!(
        (
            model.process.max_clients,
            model.process.max_connections_per_server
        ),
        (Some(700), Some(150))
    );
    let fleet = model.fleet.as_ref().unwrap();
    assert_eq!(
        (fleet.config.quorum.min_reporters, fleet.config.seeds.len()),
        (4, 2)
    );
    let leases = fleet.leases.as_ref().unwrap();
    assert_eq!(
        (leases.keepers.len(), leases.duration, leases.drift),
        (3, 6.0, 0.001)
    );
    assert_eq!(
        (leases.calls[0].path.as_str(), leases.calls[0].interval),
        ("/rollup", 2.0)
    );
    let registry = &model.registries[0];
    assert_eq!(
        (
            registry.session_timeout,
            registry.connect_timeout,
            registry.forget_after
        ),
        (8.0, 2.0, 90.0)
    );
    assert!(registry.entry.as_ref().unwrap().is_guarded);
    let service = &model.services[0];
    let (read, write) = (&service.classes[0], &service.classes[1]);
    assert_eq!(
        (
            read.latency_objective,
            read.deadline,
            read.priority_weight,
            read.late_response_weight
        ),
        (0.15, 0.6, 3.0, 0.25)
    );
    assert_eq!(
        (
            write.latency_objective,
            write.deadline,
            write.priority_weight,
            write.late_response_weight
        ),
        (0.2, 0.75, 1.0, 0.0)
    );
    let (attempts, slow_start) = (service.attempts, service.slow_start);
    assert_eq!(
        (
            attempts.max,
            attempts.retry_budget_ratio,
            attempts.connect_timeout,
            attempts.idle_timeout
        ),
        (4, 0.1, 0.3, 20.0)
    );
    assert_eq!(
        (
            slow_start.initial_capacity,
            slow_start.duration,
            slow_start.overload_factor,
            slow_start.overload_window
        ),
        (0.4, 12.0, 2.5, 2.0)
    );
    let graphql = service.graphql.as_ref().unwrap();
    assert_eq!((graphql.field_work, graphql.max_parallel_reads), (0.002, 4));
    assert_eq!(
        (service.tenants[0].name.as_str(), service.tenants[0].quota),
        ("okoli-pay", 50.0)
    );
    let ListSource::Static(servers) = &service.list_source else {
        panic!("the first service has no static list")
    };
    assert_eq!(
        (servers[0].zone.as_deref(), servers[0].weight),
        (Some("ikeja"), Some(2.0))
    );
    assert!(
        matches!(&model.services[1].list_source, ListSource::Registry(followed) if followed.path == "/flags")
    );
    assert!(matches!(
        model.services[2].list_source,
        ListSource::Discovery(_)
    ));
    assert_eq!(
        model.services[2].routes[0].assigned_class.as_deref(),
        Some("list")
    );
}
