//! A settings file with every key is read as at commit c58caac. Keys that are unknown are refused, so a key that is renamed
//! is seen here.

use reelfall_config::model::Source;
use reelfall_config::{check, reader};

#[test]
fn every_key_of_a_settings_file_is_read() {
    let text = include_str!("golden/every-key.toml");
    let plan = check(reader::toml("every-key.toml", text).unwrap()).unwrap();
    let model = &plan.model;
    assert_eq!(
        (
            model.process.descriptors,
            model.process.memory,
            model.process.nodes
        ),
        (2048, 256 << 20, 4)
    );
    assert_eq!(
        (model.process.clients, model.process.server_connections),
        (Some(700), Some(150))
    );
    let fleet = model.fleet.as_ref().unwrap();
    assert_eq!(
        (fleet.rules.quorum.witnesses, fleet.rules.seeds.len()),
        (4, 2)
    );
    let leases = fleet.leases.as_ref().unwrap();
    assert_eq!(
        (leases.keepers.len(), leases.length, leases.drift),
        (3, 6.0, 0.001)
    );
    assert_eq!(
        (leases.calls[0].path.as_str(), leases.calls[0].every),
        ("/rollup", 2.0)
    );
    let registry = &model.registries[0];
    assert_eq!(
        (registry.session, registry.connect, registry.forget_after),
        (8.0, 2.0, 90.0)
    );
    assert!(registry.entry.as_ref().unwrap().guarded);
    let service = &model.services[0];
    let (read, write) = (&service.classes[0], &service.classes[1]);
    assert_eq!(
        (read.aim, read.deadline, read.worth, read.late_value),
        (0.15, 0.6, 3.0, 0.25)
    );
    assert_eq!(
        (write.aim, write.deadline, write.worth, write.late_value),
        (0.2, 0.75, 1.0, 0.0)
    );
    let (tries, cold) = (service.tries, service.cold);
    assert_eq!(
        (tries.most, tries.retry_share, tries.connect, tries.idle),
        (4, 0.1, 0.3, 20.0)
    );
    assert_eq!(
        (cold.from, cold.warm_after, cold.factor, cold.within),
        (0.4, 12.0, 2.5, 2.0)
    );
    let graphql = service.graphql.as_ref().unwrap();
    assert_eq!((graphql.field_work, graphql.side_by_side), (0.002, 4));
    assert_eq!(
        (service.members[0].name.as_str(), service.members[0].quota),
        ("okoli-pay", 50.0)
    );
    let Source::Static(servers) = &service.source else {
        panic!("no servers")
    };
    assert_eq!(
        (servers[0].zone.as_deref(), servers[0].weight),
        (Some("ikeja"), Some(2.0))
    );
    assert!(
        matches!(&model.services[1].source, Source::Registry(followed) if followed.path == "/flags")
    );
    assert!(matches!(model.services[2].source, Source::Discovery(_)));
    assert_eq!(model.services[2].routes[0].assign.as_deref(), Some("list"));
}
