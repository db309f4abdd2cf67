//! Configuration distribution in a small emulated fleet with faults.

use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::DRIFT;
use reelfall_emulator::control::invariants::{has_same_content, CONTROL_BANDWIDTH};
use reelfall_emulator::control::layout::{Layout, PlacedLayout, TAKEOVER_TIMEOUT};
use reelfall_emulator::control::machine::Machine;
use reelfall_emulator::control::resources::Resource;
use reelfall_emulator::control::restored::MachineRestorer;
use reelfall_emulator::control::scenarios::{self, JudgedBy, Outcome};
use reelfall_emulator::control::sizes::Sizes;
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::topology::Scope;
use reelfall_emulator::control::world::{links, Ages, ApplyTimes, World, LEASE_DURATION};
use std::collections::BTreeSet;

/// The maximum time until a change is applied by all nodes, in seconds.
const MAX_APPLY_TIME: f64 = 15.0;

/// The maximum time until a restarted node has applied all changes, in seconds.
const MAX_CATCH_UP_TIME: f64 = 30.0;

/// The name of the lease of the settings.
const LEASE_NAME: &str = "settings";

/// A small fleet with routes and tenants as separate resources.
const SMALL_WITH_TENANTS: Sizes = Sizes {
    routes: 30,
    tenants: 400,
    ..Sizes::SMALL
};

/// A small fleet after all its machines have started.
fn small_world(seed: u64) -> World {
    let mut world = World::new(Sizes::SMALL, links(), seed).expect("the sizes can be placed");
    let outcome = scenarios::start_all(&mut world);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    world
}

/// A small fleet with routes and tenants as separate resources, after all its machines have started.
fn small_world_with_tenants(seed: u64) -> World {
    let mut world = World::new(SMALL_WITH_TENANTS, links(), seed).expect("the sizes can be placed");
    let outcome = scenarios::start_all(&mut world);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    world
}

fn assert_applied_in_time(outcome: &Outcome) {
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.missing, 0);
    let last = outcome.apply_times.expect("there were changes").last;
    assert!(
        last <= MAX_APPLY_TIME,
        "{}: the last node after {last} s",
        outcome.name
    );
}

#[test]
fn target_layout_has_18_control_machines_and_nodes_of_each_service_in_each_region() {
    let PlacedLayout { layout, topology } =
        Layout::place(Sizes::TARGET, LEASE_NAME, 1).expect("the sizes can be placed");
    assert_eq!(
        (
            layout.control_machines().count(),
            topology.len(),
            topology.zones()
        ),
        (18, 6_018, 13)
    );
    assert!(layout
        .relays()
        .iter()
        .all(|relay| topology.site(*relay).is_some()));
    for service in [0, 129, 2_599] {
        let nodes: Vec<u32> = layout.nodes_of(service).collect();
        assert!((46..=47).contains(&nodes.len()));
        let has_node_in = |region| {
            nodes.iter().any(|node| {
                topology
                    .site(*node)
                    .is_some_and(|site| site.region == region)
            })
        };
        assert!((0..4).all(has_node_in));
        assert!(nodes
            .iter()
            .all(|node| layout.services_of(*node).any(|other| other == service)));
    }
    assert_eq!(layout.selectors_of(0).len(), 21);
    assert_eq!(layout.nodes_in(&topology, Scope::Zone(0)).len(), 462);
    let without_nodes = Sizes {
        nodes: 0,
        ..Sizes::SMALL
    };
    assert!(Layout::place(without_nodes, LEASE_NAME, 1).is_err());
    assert!(Layout::place(Sizes::SMALL, "unknown lease", 1).is_err());
}

#[test]
fn changes_are_applied_within_15_s_and_the_bandwidth_limit() {
    let mut world = small_world(1);
    let outcome = scenarios::steady_changes(&mut world, "steady", 0.5, 60.0);
    assert_applied_in_time(&outcome);
    assert!(outcome.nodes.long_window_max as f64 <= 10.0 * CONTROL_BANDWIDTH);
    assert!(outcome.nodes.bytes_in > 0.0 && outcome.control.bytes_out > 0.0);
}

/// The result of a run with steady changes.
#[derive(Debug, PartialEq)]
struct RunResult {
    apply_times: Option<Times>,
    bytes_in: f64,
}

fn run_steady_changes(seed: u64) -> RunResult {
    let mut world = small_world(seed);
    let outcome = scenarios::steady_changes(&mut world, "steady", 1.0, 10.0);
    RunResult {
        apply_times: outcome.apply_times,
        bytes_in: outcome.nodes.bytes_in,
    }
}

#[test]
fn run_is_determined_by_its_seed() {
    assert_eq!(run_steady_changes(7), run_steady_changes(7));
    assert_ne!(run_steady_changes(7), run_steady_changes(8));
}

#[test]
fn burst_of_changes_converges_at_all_nodes() {
    let mut world = small_world(2);
    let outcome = scenarios::burst(&mut world, 100);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.missing, 0);
}

#[test]
fn cold_start_of_a_region_catches_up_without_violations() {
    let mut world = small_world(3);
    let outcome = scenarios::region_cold_start(&mut world, 1);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(
        outcome
            .catch_up_times
            .is_some_and(|times| times.last < MAX_CATCH_UP_TIME),
        "{:?}",
        outcome.catch_up_times
    );
}

#[test]
fn changes_survive_the_loss_of_a_relay_and_of_half_the_control_machines() {
    let mut world = small_world(4);
    let relay = world.layout.relays()[1];
    let one_lost = scenarios::control_machines_lost(&mut world, "one lost", &[relay], 0.5, 60.0);
    assert!(
        one_lost.violations.is_empty() && one_lost.missing == 0,
        "{:?} {}",
        one_lost.violations,
        one_lost.missing
    );
    let leader = world.leader().expect("a leader");
    let half = [leader, world.layout.relays()[0], world.layout.relays()[3]];
    let half_lost = scenarios::control_machines_lost(&mut world, "half lost", &half, 0.5, 120.0);
    assert!(
        half_lost.violations.is_empty() && half_lost.missing == 0,
        "{:?} {}",
        half_lost.violations,
        half_lost.missing
    );
    assert_ne!(world.leader(), Some(leader));
}

#[test]
fn partitioned_region_catches_up_after_the_partition() {
    let mut world = small_world(5);
    let outcome = scenarios::region_partitioned(&mut world, 1, 0.2, 120.0);
    assert!(
        outcome.violations.is_empty() && outcome.missing == 0,
        "{:?} {}",
        outcome.violations,
        outcome.missing
    );
    // When the partition ends, the region's relays may be in their longest backoff, and then its nodes in theirs.
    let max_backoff = UpstreamConfig::relay(Vec::new()).max_backoff
        + UpstreamConfig::node(Vec::new()).max_backoff;
    assert!(
        outcome
            .catch_up_times
            .is_some_and(|times| times.last < max_backoff),
        "{:?}",
        outcome.catch_up_times
    );
}

#[test]
fn partitioned_publisher_is_replaced_and_all_nodes_converge() {
    let mut world = small_world(6);
    let publisher = world.leader();
    let outcome = scenarios::publisher_partitioned(&mut world, 0.5, 90.0);
    assert!(
        outcome.violations.is_empty() && outcome.missing == 0,
        "{:?} {}",
        outcome.violations,
        outcome.missing
    );
    assert_ne!(world.leader(), publisher);
}

#[test]
fn reverted_change_is_applied_within_15_s() {
    let mut world = small_world(7);
    let outcome = scenarios::change_reverted(&mut world, 5.0);
    assert_applied_in_time(&outcome);
}

#[test]
fn lost_zone_and_rack_restart_from_their_disks_and_catch_up() {
    let mut world = small_world(8);
    for (name, scope) in [
        ("a zone", Scope::Zone(2)),
        ("a rack", Scope::Rack { zone: 1, rack: 0 }),
    ] {
        let outcome = scenarios::nodes_lost(&mut world, name, scope, 0.5, 60.0);
        assert_applied_in_time(&outcome);
        assert!(
            outcome
                .catch_up_times
                .is_some_and(|times| times.last < MAX_CATCH_UP_TIME),
            "{:?}",
            outcome.catch_up_times
        );
    }
}

#[test]
fn check_detects_a_node_that_differs_from_the_publisher() {
    let mut world = small_world(9);
    let node = world.layout.nodes().start;
    world.network.freeze(node);
    for _ in 0..20 {
        world.request_random_change();
    }
    world.run(20.0);
    let publisher = world.publisher().expect("a publisher");
    let machine = world
        .network
        .endpoint(node)
        .and_then(Machine::as_node)
        .expect("the node is in the network");
    let resources = world.layout.resources_of(node);
    assert!(resources
        .iter()
        .any(|resource| !has_same_content(publisher, machine, resource)));
    assert!(!world.is_up_to_date(node) && world.is_up_to_date(node + 1));
    world.network.thaw(node);
    assert!(world
        .run_until(60.0, |world| world.is_up_to_date(node))
        .is_some());
}

#[test]
fn last_of_many_changes_of_one_resource_is_applied_by_all_its_nodes() {
    let mut world = small_world(10);
    let outcome = scenarios::changes_of_one_resource(&mut world, 100);
    assert_applied_in_time(&outcome);
}

#[test]
fn server_restarts_are_applied_as_changes_within_15_s() {
    let mut world = small_world(11);
    let outcome = scenarios::server_restarts(&mut world, 2.5, 20.0);
    assert_applied_in_time(&outcome);
}

#[test]
fn routes_and_tenants_are_separate_resources() {
    // 30 routes of 12 services: three for each of the first six, two for each of the others.
    assert_eq!(
        [0, 5, 6, 11].map(|service| SMALL_WITH_TENANTS.resources_of_service(service)),
        [5, 5, 4, 4]
    );
    assert_eq!(SMALL_WITH_TENANTS.resources().count(), 24 + 30 + 400);
    let names: BTreeSet<_> = SMALL_WITH_TENANTS.resources().map(Resource::name).collect();
    assert_eq!(names.len(), 454);
}

#[test]
fn first_request_of_a_tenant_waits_for_its_configuration_and_subscribes_to_it() {
    const NODE_WITH_REQUESTS: u32 = 3;
    const NODE_WITHOUT_REQUESTS: u32 = 4;
    let mut world = small_world_with_tenants(12);
    let outcome = scenarios::new_tenants(&mut world, &[NODE_WITH_REQUESTS, 17], 1.0, 10.0);
    assert!(
        outcome.violations.is_empty() && outcome.missing == 0,
        "{:?} {}",
        outcome.violations,
        outcome.missing
    );
    assert_eq!(outcome.judged_by, JudgedBy::FirstRequest);
    assert!(
        outcome
            .apply_times
            .is_some_and(|times| times.p50 > 0.0 && times.last < 5.0),
        "{outcome:?}"
    );
    let subscriptions = &world.tenant_subscriptions;
    let subscribed: Vec<u32> = subscriptions.of_node(NODE_WITH_REQUESTS).collect();
    let other_subscriptions = subscriptions.of_node(NODE_WITHOUT_REQUESTS).count();
    assert!(!subscribed.is_empty() && other_subscriptions == 0);
    world.take_apply_times();
    world.request_change(Resource::Tenant(subscribed[0]));
    world.run(10.0);
    let ApplyTimes { times, missing } = world.take_apply_times();
    assert!(times.is_some() && missing == 0);
    assert!(world.is_up_to_date(NODE_WITH_REQUESTS));
}

#[test]
fn reported_ages_are_never_below_the_true_ages_with_clock_drift() {
    let mut world =
        World::with_drift(Sizes::SMALL, links(), 13, DRIFT).expect("the sizes can be placed");
    world.ages = Some(Ages::default());
    scenarios::start_all(&mut world);
    let outcome = scenarios::region_partitioned(&mut world, 1, 1.0, 60.0);
    assert!(
        outcome.violations.is_empty() && outcome.missing == 0,
        "{:?} {}",
        outcome.violations,
        outcome.missing
    );
    let ages = outcome.ages.expect("ages were compared");
    assert!(
        ages.compared > 100 && ages.oldest > 50.0 && ages.least_margin >= 0.0,
        "{ages:?}"
    );
}

#[test]
fn check_of_ages_detects_excessive_clock_drift() {
    let mut world = World::with_drift(Sizes::SMALL, links(), 14, 100.0 * DRIFT)
        .expect("the sizes can be placed");
    world.ages = Some(Ages::default());
    scenarios::start_all(&mut world);
    // A clock that is five percent slow has to lose more time than the staleness that a node reports without faults.
    let outcome = scenarios::region_partitioned(&mut world, 1, 1.0, 300.0);
    assert!(
        outcome
            .violations
            .iter()
            .any(|violation| violation.to_string().contains("reported a staleness")),
        "{:?}",
        outcome.ages
    );
}

#[test]
fn restored_machines_have_their_resources() {
    let restorer = MachineRestorer::new(SMALL_WITH_TENANTS).expect("the sizes can be placed");
    assert_eq!(
        (
            restorer.publisher().resource_count(),
            restorer.relay().resource_count()
        ),
        (454, 454)
    );
    // The services 0, 4 and 8 of its group, with their routes, and five tenants.
    assert_eq!(restorer.node(5).resource_count(), 5 + 5 + 4 + 5);
    assert_eq!(restorer.node_of_all_services().resource_count(), 54);
}

/// After the loss of the publisher, its lease expires and another publisher takes over, while relays are rejected once and
/// attempt to connect to two failed publishers. All of this must fit into the time for applying a change.
#[test]
fn lease_expiry_and_takeover_leave_time_to_apply_a_change() {
    /// Time for the round trips of a change from the publisher to the nodes, in seconds.
    const ROUND_TRIPS: f64 = 1.0;
    let relay = UpstreamConfig::relay(Vec::new());
    let time_to_reconnect = relay.reconnect_jitter + 2.0 * relay.open_timeout + ROUND_TRIPS;
    let time_to_apply = LEASE_DURATION + TAKEOVER_TIMEOUT + time_to_reconnect;
    assert!(time_to_apply <= MAX_APPLY_TIME, "{time_to_apply} s");
    assert!(
        TAKEOVER_TIMEOUT > relay.open_timeout,
        "one failed relay uses up the whole takeover timeout"
    );
}
