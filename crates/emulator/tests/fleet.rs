//! What a fleet of nodes does together, in virtual time.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_emulator::plan::{Disturbance, Plan, ScheduledDisturbance, ServerBehavior};
use reelfall_emulator::{run_plan, scenario, Report};

fn played(plan: Plan) -> Report {
    let name = format!(
        "{} with {} nodes, seed {}",
        plan.name, plan.nodes, plan.seed
    );
    let report = run_plan(plan).expect("a usable plan");
    assert!(
        report.violations.is_empty(),
        "{name}: {}",
        report.violations.list[0]
    );
    report
}

#[test]
fn the_rules_hold_when_nodes_die_zones_are_lost_and_servers_are_replaced() {
    for nodes in [10, 100] {
        for plan in [scenario::herd, scenario::zone, scenario::join] {
            let report = played(scenario::with_faulty_servers(plan(nodes, 5), 0.1));
            assert!(
                report.sum(|s| s.attempts) > 1000 && report.earned_fraction() > 0.4,
                "{:.3}",
                report.earned_fraction()
            );
        }
    }
}

#[test]
fn a_run_is_the_same_each_time_and_another_for_another_seed() {
    let sends = |seed| {
        let report = played(Plan {
            duration: 6.0,
            ..scenario::with_faulty_servers(scenario::zone(20, seed), 0.2)
        });
        report
            .seconds
            .iter()
            .map(|s| (s.attempts, s.connections, s.rejected))
            .collect::<Vec<_>>()
    };
    assert_eq!(sends(3), sends(3));
    assert_ne!(sends(3), sends(4));
}

#[test]
fn parts_of_a_long_list_spare_handshakes_and_requests_to_servers_that_say_nothing() {
    let sum = |whole| {
        let reports = (1..3).map(|seed| {
            played(Plan {
                is_subsetting_disabled: whole,
                duration: 12.0,
                ..scenario::with_faulty_servers(scenario::calm(100, seed), 0.15)
            })
        });
        reports.fold((0.0, 0, 0), |(w, dead, dials), r| {
            (
                w + r.earned_fraction(),
                dead + r.sum(|s| s.to_unresponsive),
                dials + r.sum(|s| s.connections),
            )
        })
    };
    let (parts, whole) = (sum(false), sum(true));
    assert!(parts.0 > whole.0, "{parts:?} {whole:?}");
    assert!(4 * parts.1 < 3 * whole.1, "{parts:?} {whole:?}");
    assert!(4 * parts.2 < 3 * whole.2, "{parts:?} {whole:?}");
}

#[test]
fn a_node_that_gets_nothing_for_long_and_then_its_share_serves_it() {
    let mut plan = scenario::calm(40, 2);
    plan.duration = 16.0;
    plan.disturb(
        2.0,
        Disturbance::IdleNodes {
            fraction: 0.5,
            duration: 8.0,
        },
    );
    // Half of the nodes bear all of the traffic; the servers are the same.
    assert!(played(plan).earned_fraction() > 0.85);
}

#[test]
fn fleets_of_one_node_and_of_one_server_are_played() {
    for (nodes, servers) in [(1, 1), (1, 30), (30, 1)] {
        let plan = Plan {
            servers,
            duration: 5.0,
            ..scenario::calm(nodes, 1)
        };
        assert!(
            played(plan).sum(|s| s.attempts) > 50,
            "{nodes} nodes, {servers} servers"
        );
    }
    assert!(run_plan(Plan {
        nodes: 0,
        ..scenario::calm(1, 1)
    })
    .is_err());
}

#[test]
fn nodes_that_start_together_with_a_stale_list_find_what_is_there() {
    let mut plan = scenario::calm(100, 4);
    plan.disturb(0.0, Disturbance::EndServers { fraction: 0.3 });
    let report = played(Plan {
        load: 0.4,
        duration: 10.0,
        ..plan
    });
    // For a second or two nobody has heard that they are gone; then nobody may ask them.
    let (first, later): (Vec<_>, Vec<_>) =
        report.seconds.iter().enumerate().partition(|(n, _)| *n < 3);
    assert!(first.iter().any(|(_, s)| s.to_unresponsive > 0));
    assert!(later.iter().all(|(_, s)| s.to_unresponsive == 0));
    assert!(
        report.earned_fraction() > 0.85,
        "{:.3}",
        report.earned_fraction()
    );
}

#[test]
fn when_the_last_sound_zone_is_cold_too_no_server_is_pushed_over() {
    for seed in 1..4 {
        let mut plan = scenario::calm(40, seed);
        plan.disturb(
            2.0,
            Disturbance::LoseZone {
                zone: 0,
                down_for: 2.0,
            },
        );
        plan.disturb(
            5.0,
            Disturbance::LoseZone {
                zone: 1,
                down_for: 2.0,
            },
        );
        let report = played(plan);
        assert!(
            report.violations.max_slow_start_load > 0.2 && report.earned_fraction() > 0.3,
            "{:.3}",
            report.earned_fraction()
        );
    }
}

#[test]
fn a_node_with_ten_times_the_share_of_another_is_served_as_well() {
    let (even, heavy) = (
        scenario::calm(50, 3),
        Plan {
            first_node_weight: 10.0,
            ..scenario::calm(50, 3)
        },
    );
    let (even, heavy) = (played(even), played(heavy));
    assert!(
        heavy.earned_fraction() > even.earned_fraction() - 0.05,
        "{:.3} {:.3}",
        heavy.earned_fraction(),
        even.earned_fraction()
    );
}

#[test]
fn a_list_that_flaps_moves_no_load_to_where_it_can_not_be_borne() {
    let mut plan = scenario::calm(50, 6);
    plan.disturb(
        4.0,
        Disturbance::FlapEntries {
            fraction: 0.3,
            count: 20,
        },
    );
    let report = played(plan);
    assert!(
        report.worst_earned_fraction(5) > 0.6,
        "{:.3}",
        report.worst_earned_fraction(5)
    );
}

fn disturbance() -> impl Strategy<Value = ScheduledDisturbance> {
    let behavior = prop_oneof![
        Just(ServerBehavior::Unresponsive),
        Just(ServerBehavior::Failing),
        Just(ServerBehavior::Slow(3.0))
    ];
    let what = prop_oneof![
        (0.1..0.9f64, 0.2..3.0f64)
            .prop_map(|(fraction, down_for)| Disturbance::KillNodes { fraction, down_for }),
        (0..2u16, 0.5..4.0f64)
            .prop_map(|(zone, down_for)| Disturbance::LoseZone { zone, down_for }),
        (0.1..0.6f64, 0.1..3.0f64)
            .prop_map(|(fraction, after)| Disturbance::ReplaceServers { fraction, after }),
        (0.05..0.5f64, behavior, 0.5..4.0f64).prop_map(|(fraction, behavior, duration)| {
            Disturbance::ServerFault {
                fraction,
                behavior,
                duration,
            }
        }),
        (0.5..5.0f64).prop_map(|duration| Disturbance::DiscoveryOutage { duration }),
        (0.1..0.9f64, 0.5..4.0f64)
            .prop_map(|(fraction, duration)| Disturbance::IdleNodes { fraction, duration }),
        (0.1..0.5f64).prop_map(|fraction| Disturbance::EndServers { fraction }),
        (0.1..0.5f64, 1..12u32)
            .prop_map(|(fraction, count)| Disturbance::FlapEntries { fraction, count }),
    ];
    (0.5..7.0f64, what).prop_map(|(at, disturbance)| ScheduledDisturbance { at, disturbance })
}

#[test]
fn over_chance_schedules_no_rule_breaks_and_repeats_keep_their_budget() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 24,
            ..Config::default()
        },
        rng,
    );
    let plans = (
        proptest::collection::vec(disturbance(), 1..5),
        4..60usize,
        any::<u64>(),
        0.4..1.3f64,
    );
    let checked = runner.run(&plans, |(disturbances, nodes, seed, load)| {
        let plan = Plan {
            disturbances,
            load,
            duration: 9.0,
            ..scenario::calm(nodes, seed)
        };
        let report = run_plan(plan).map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert!(
            report.violations.is_empty(),
            "{}",
            report.violations.list[0]
        );
        // A fifth of the tries, and what each life of a node may have saved up.
        let tries = f64::from(report.sum(|s| s.client_attempts));
        let saved = 10.0 * nodes as f64 * 3.0;
        prop_assert!(f64::from(report.sum(|s| s.retries)) <= 0.2 * tries + saved);
        Ok(())
    });
    checked.expect("every schedule keeps the rules");
}
