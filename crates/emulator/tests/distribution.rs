//! Distribution of configuration in a small fleet, played with faults.

use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::DRIFT;
use reelfall_emulator::control::invariants::{has_same_content, CONTROL_BANDWIDTH};
use reelfall_emulator::control::layout::{Layout, PlacedLayout, TAKEOVER_TIMEOUT};
use reelfall_emulator::control::machine::Machine;
use reelfall_emulator::control::resources::Resource;
use reelfall_emulator::control::restored::MachineRestorer;
use reelfall_emulator::control::scenarios::{self, JudgedBy, Outcome};
use reelfall_emulator::control::sizes::Sizes;
use reelfall_emulator::control::topology::Scope;
use reelfall_emulator::control::world::{links, Ages, ApplyTimes, World, LEASE_DURATION};

/// A change is in force within so many seconds, as is demanded.
const IN_FORCE: f64 = 15.0;

/// A small fleet that has everything.
fn started(seed: u64) -> World {
    let mut world = World::new(Sizes::SMALL, links(), seed).expect("the sizes can be placed");
    let outcome = scenarios::start_all(&mut world);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    world
}

fn assert_kept(outcome: &Outcome, in_force_within: f64) {
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.missing, 0);
    let last = outcome.apply_times.expect("there were changes").last;
    assert!(
        last <= in_force_within,
        "{}: the last node after {last} s",
        outcome.name
    );
}

#[test]
fn the_target_has_18_control_machines_and_every_service_has_nodes_in_every_region() {
    let PlacedLayout { layout, topology } =
        Layout::place(Sizes::TARGET, "settings", 1).expect("it can be placed");
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
        let has = |region| {
            nodes.iter().any(|node| {
                topology
                    .site(*node)
                    .is_some_and(|site| site.region == region)
            })
        };
        assert!((0..4).all(has));
        assert!(nodes
            .iter()
            .all(|node| layout.services_of(*node).any(|other| other == service)));
    }
    assert_eq!(layout.selectors_of(0).len(), 21);
    assert_eq!(layout.nodes_in(&topology, Scope::Zone(0)).len(), 462);
    assert!(Layout::place(
        Sizes {
            nodes: 0,
            ..Sizes::SMALL
        },
        "settings",
        1
    )
    .is_err());
    assert!(Layout::place(Sizes::SMALL, "no lease's name", 1).is_err());
}

#[test]
fn changes_are_in_force_within_15_s_and_keep_to_the_budget() {
    let mut world = started(1);
    let outcome = scenarios::steady_changes(&mut world, "steady", 0.5, 60.0);
    assert_kept(&outcome, IN_FORCE);
    assert!(outcome.nodes.long_window_max as f64 <= 10.0 * CONTROL_BANDWIDTH);
    assert!(outcome.nodes.bytes_in > 0.0 && outcome.control.bytes_out > 0.0);
}

#[test]
fn plays_are_the_same_for_the_same_seed() {
    let play = |seed| {
        let mut world = started(seed);
        let outcome = scenarios::steady_changes(&mut world, "steady", 1.0, 10.0);
        (outcome.apply_times, outcome.nodes.bytes_in)
    };
    assert_eq!(play(7), play(7));
    assert_ne!(play(7), play(8));
}

#[test]
fn a_burst_of_changes_ends_with_the_same_at_all_nodes() {
    let mut world = started(2);
    let outcome = scenarios::burst(&mut world, 100);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.missing, 0);
}

#[test]
fn a_region_that_starts_at_once_has_all_and_keeps_to_the_budget() {
    let mut world = started(3);
    let outcome = scenarios::region_cold_start(&mut world, 1);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(
        outcome
            .catch_up_times
            .is_some_and(|times| times.last < 30.0),
        "{:?}",
        outcome.catch_up_times
    );
}

#[test]
fn a_relay_and_half_of_the_control_machines_can_be_lost() {
    let mut world = started(4);
    let relay = world.layout.relays()[1];
    let one = scenarios::control_machines_lost(&mut world, "one lost", &[relay], 0.5, 60.0);
    assert!(
        one.violations.is_empty() && one.missing == 0,
        "{:?} {}",
        one.violations,
        one.missing
    );
    let leader = world.leader().expect("somebody writes");
    let lost = [leader, world.layout.relays()[0], world.layout.relays()[3]];
    let half = scenarios::control_machines_lost(&mut world, "half lost", &lost, 0.5, 120.0);
    assert!(
        half.violations.is_empty() && half.missing == 0,
        "{:?} {}",
        half.violations,
        half.missing
    );
    assert_ne!(world.leader(), Some(leader));
}

#[test]
fn a_region_apart_has_all_once_it_is_back() {
    let mut world = started(5);
    let outcome = scenarios::region_partitioned(&mut world, 1, 0.2, 120.0);
    assert!(
        outcome.violations.is_empty() && outcome.missing == 0,
        "{:?} {}",
        outcome.violations,
        outcome.missing
    );
    // Its relays may rest for as long as they ever do, and then its nodes.
    let rest = UpstreamConfig::relay(Vec::new()).max_backoff
        + UpstreamConfig::node(Vec::new()).max_backoff;
    assert!(
        outcome
            .catch_up_times
            .is_some_and(|times| times.last < rest),
        "{:?}",
        outcome.catch_up_times
    );
}

#[test]
fn an_author_apart_is_replaced_and_all_come_to_the_same() {
    let mut world = started(6);
    let author = world.leader();
    let outcome = scenarios::author_partitioned(&mut world, 0.5, 90.0);
    assert!(
        outcome.violations.is_empty() && outcome.missing == 0,
        "{:?} {}",
        outcome.violations,
        outcome.missing
    );
    assert_ne!(world.leader(), author);
}

#[test]
fn a_change_taken_back_is_out_of_force_within_15_s() {
    let mut world = started(7);
    let outcome = scenarios::change_reverted(&mut world, 5.0);
    assert_kept(&outcome, IN_FORCE);
}

#[test]
fn a_zone_and_a_rack_that_are_lost_come_back_with_their_disks_and_catch_up() {
    let mut world = started(8);
    for (place, scope) in [
        ("a zone", Scope::Zone(2)),
        ("a rack", Scope::Rack { zone: 1, rack: 0 }),
    ] {
        let outcome = scenarios::nodes_lost(&mut world, place, scope, 0.5, 60.0);
        assert_kept(&outcome, IN_FORCE);
        assert!(
            outcome
                .catch_up_times
                .is_some_and(|times| times.last < 30.0),
            "{:?}",
            outcome.catch_up_times
        );
    }
}

#[test]
fn the_check_finds_a_node_that_has_not_what_the_author_has() {
    let mut world = started(9);
    let node = world.layout.nodes().start;
    world.network.freeze(node);
    (0..20).for_each(|_| world.request_any_change());
    world.run(20.0);
    let author = world.author().expect("somebody writes");
    let machine = world
        .network
        .endpoint(node)
        .and_then(Machine::as_node)
        .expect("it is there");
    let names = world.layout.resources_of(node);
    assert!(names
        .iter()
        .any(|name| !has_same_content(author, machine, name)));
    assert!(!world.is_up_to_date(node) && world.is_up_to_date(node + 1));
    world.network.thaw(node);
    assert!(world
        .run_until(60.0, |world| world.is_up_to_date(node))
        .is_some());
}

#[test]
fn changes_of_one_resource_end_with_the_last_at_all_its_nodes() {
    let mut world = started(10);
    let outcome = scenarios::changes_of_one_resource(&mut world, 100);
    assert_kept(&outcome, IN_FORCE);
}

#[test]
fn restarts_of_servers_as_changes_are_in_force_within_15_s() {
    let mut world = started(11);
    let outcome = scenarios::server_restarts(&mut world, 2.5, 20.0);
    assert_kept(&outcome, IN_FORCE);
}

/// A small fleet with routes and tenants as resources.
fn started_with_tenants(seed: u64) -> World {
    let sizes = Sizes {
        routes: 30,
        tenants: 400,
        ..Sizes::SMALL
    };
    let mut world = World::new(sizes, links(), seed).expect("the sizes can be placed");
    let outcome = scenarios::start_all(&mut world);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    world
}

#[test]
fn routes_and_tenants_are_resources_of_their_own() {
    let sizes = Sizes {
        routes: 30,
        tenants: 400,
        ..Sizes::SMALL
    };
    // 30 routes over 12 services: three for the first six, two for the others.
    assert_eq!(
        [0, 5, 6, 11].map(|service| sizes.resources_of_service(service)),
        [5, 5, 4, 4]
    );
    assert_eq!(sizes.resources().count(), 24 + 30 + 400);
    let names: std::collections::BTreeSet<_> = sizes.resources().map(Resource::name).collect();
    assert_eq!(names.len(), 454);
}

#[test]
fn a_tenant_met_for_the_first_time_is_waited_for_and_followed_from_then_on() {
    let mut world = started_with_tenants(12);
    let outcome = scenarios::new_tenants(&mut world, &[3, 17], 1.0, 10.0);
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
            .is_some_and(|waits| waits.p50 > 0.0 && waits.last < 5.0),
        "{outcome:?}"
    );
    let met: Vec<u32> = world.tenant_subscriptions.of_node(3).collect();
    assert!(!met.is_empty() && world.tenant_subscriptions.of_node(4).count() == 0);
    world.take_apply_times();
    world.request_change(Resource::Tenant(met[0]));
    world.run(10.0);
    let ApplyTimes { times, missing } = world.take_apply_times();
    assert!(times.is_some() && missing == 0);
    assert!(world.is_up_to_date(3));
}

#[test]
fn ages_are_never_less_than_the_truth_where_clocks_drift() {
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
    let ages = outcome.ages.expect("they were compared");
    assert!(
        ages.compared > 100 && ages.oldest > 50.0 && ages.least_margin >= 0.0,
        "{ages:?}"
    );
}

#[test]
fn clocks_that_drift_more_than_is_allowed_are_found_by_the_check_of_ages() {
    let mut world = World::with_drift(Sizes::SMALL, links(), 14, 100.0 * DRIFT)
        .expect("the sizes can be placed");
    world.ages = Some(Ages::default());
    scenarios::start_all(&mut world);
    // A clock that is a twentieth too slow has to lose more than the age that a node of a calm tree states.
    let outcome = scenarios::region_partitioned(&mut world, 1, 1.0, 300.0);
    assert!(
        outcome
            .violations
            .iter()
            .any(|violation| violation.to_string().contains("states an age")),
        "{:?}",
        outcome.ages
    );
}

#[test]
fn machines_by_themselves_hold_what_they_are_given() {
    let sizes = Sizes {
        routes: 30,
        tenants: 400,
        ..Sizes::SMALL
    };
    let restorer = MachineRestorer::new(sizes).expect("it can be placed");
    assert_eq!(
        (
            restorer.author().resource_count(),
            restorer.relay().resource_count()
        ),
        (454, 454)
    );
    // The services 0, 4 and 8 of its group, with their routes, and five tenants.
    assert_eq!(restorer.node(5).resource_count(), 5 + 5 + 4 + 5);
    assert_eq!(restorer.node_of_all_services().resource_count(), 54);
}

/// After the loss of the author: its lease, the takeover, and relays that are refused once and try two authors that are dead.
#[test]
fn a_lease_and_a_takeover_leave_time_for_the_way_of_a_change() {
    const ROUND_TRIPS: f64 = 1.0;
    let relay = UpstreamConfig::relay(Vec::new());
    let way = relay.reconnect_jitter + 2.0 * relay.open_timeout + ROUND_TRIPS;
    let until_in_force = LEASE_DURATION + TAKEOVER_TIMEOUT + way;
    assert!(until_in_force <= IN_FORCE, "{until_in_force} s");
    assert!(
        TAKEOVER_TIMEOUT > relay.open_timeout,
        "one first relay that is dead takes all of the takeover"
    );
}
