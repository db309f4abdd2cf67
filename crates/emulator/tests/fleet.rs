//! Fleets of nodes with faults in virtual time.

use proptest::prelude::{any, prop_assert, prop_oneof, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use reelfall_emulator::plan::{Disturbance, Plan, ScheduledDisturbance, ServerBehavior};
use reelfall_emulator::{run_plan, scenario, Report};
use std::iter::Sum;

/// Runs a plan, and checks that no rule was violated.
fn run_without_violations(plan: Plan) -> Report {
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
fn node_failures_zone_losses_and_server_replacements_violate_no_rule() {
    for nodes in [10, 100] {
        for plan in [
            scenario::mass_kill,
            scenario::zone_loss,
            scenario::server_replacement,
        ] {
            let report = run_without_violations(scenario::with_faulty_servers(plan(nodes, 5), 0.1));
            assert!(
                report.sum(|second| second.attempts) > 1000 && report.earned_fraction() > 0.4,
                "{:.3}",
                report.earned_fraction()
            );
        }
    }
}

/// Totals of a fleet within a second.
#[derive(Debug, PartialEq)]
struct SecondTotals {
    attempts: u32,
    connections: u32,
    rejected: u32,
}

fn run_zone_loss(seed: u64) -> Vec<SecondTotals> {
    let report = run_without_violations(Plan {
        duration: 6.0,
        ..scenario::with_faulty_servers(scenario::zone_loss(20, seed), 0.2)
    });
    report
        .seconds
        .iter()
        .map(|second| SecondTotals {
            attempts: second.attempts,
            connections: second.connections,
            rejected: second.rejected,
        })
        .collect()
}

#[test]
fn run_is_determined_by_its_seed() {
    assert_eq!(run_zone_loss(3), run_zone_loss(3));
    assert_ne!(run_zone_loss(3), run_zone_loss(4));
}

/// Totals over several runs.
#[derive(Debug, Default)]
struct RunTotals {
    earned: f64,
    to_unresponsive: u32,
    connections: u32,
}

impl Sum<Report> for RunTotals {
    fn sum<I: Iterator<Item = Report>>(reports: I) -> RunTotals {
        reports.fold(RunTotals::default(), |totals, report| RunTotals {
            earned: totals.earned + report.earned_fraction(),
            to_unresponsive: totals.to_unresponsive + report.sum(|second| second.to_unresponsive),
            connections: totals.connections + report.sum(|second| second.connections),
        })
    }
}

fn run_with_faulty_servers(is_subsetting_disabled: bool) -> RunTotals {
    (1..3)
        .map(|seed| {
            run_without_violations(Plan {
                is_subsetting_disabled,
                duration: 12.0,
                ..scenario::with_faulty_servers(scenario::undisturbed(100, seed), 0.15)
            })
        })
        .sum()
}

#[test]
fn subsetting_reduces_connections_and_requests_to_unresponsive_servers() {
    let subset = run_with_faulty_servers(false);
    let full_list = run_with_faulty_servers(true);
    assert!(subset.earned > full_list.earned, "{subset:?} {full_list:?}");
    assert!(
        4 * subset.to_unresponsive < 3 * full_list.to_unresponsive,
        "{subset:?} {full_list:?}"
    );
    assert!(
        4 * subset.connections < 3 * full_list.connections,
        "{subset:?} {full_list:?}"
    );
}

#[test]
fn idle_nodes_serve_their_requests_when_traffic_returns() {
    let mut plan = scenario::undisturbed(40, 2);
    plan.duration = 16.0;
    plan.disturb(
        2.0,
        Disturbance::IdleNodes {
            fraction: 0.5,
            duration: 8.0,
        },
    );
    // Half of the nodes receive all of the traffic, for the same servers.
    assert!(run_without_violations(plan).earned_fraction() > 0.85);
}

#[test]
fn fleets_of_one_node_or_one_server_run_and_without_nodes_are_rejected() {
    for (nodes, servers) in [(1, 1), (1, 30), (30, 1)] {
        let plan = Plan {
            servers,
            duration: 5.0,
            ..scenario::undisturbed(nodes, 1)
        };
        assert!(
            run_without_violations(plan).sum(|second| second.attempts) > 50,
            "{nodes} nodes, {servers} servers"
        );
    }
    assert!(run_plan(Plan {
        nodes: 0,
        ..scenario::undisturbed(1, 1)
    })
    .is_err());
}

#[test]
fn nodes_that_start_with_a_stale_list_stop_sending_to_removed_servers() {
    const PROPAGATION_SECONDS: usize = 3;
    let mut plan = scenario::undisturbed(100, 4);
    plan.disturb(0.0, Disturbance::EndServers { fraction: 0.3 });
    let report = run_without_violations(Plan {
        load: 0.4,
        duration: 10.0,
        ..plan
    });
    // The removal of the servers reaches all nodes within some seconds; afterwards the servers receive no requests.
    let (first, later) = report.seconds.split_at(PROPAGATION_SECONDS);
    assert!(first.iter().any(|second| second.to_unresponsive > 0));
    assert!(later.iter().all(|second| second.to_unresponsive == 0));
    assert!(
        report.earned_fraction() > 0.85,
        "{:.3}",
        report.earned_fraction()
    );
}

#[test]
fn loss_of_a_zone_during_slow_start_of_the_other_overloads_no_server() {
    for seed in 1..4 {
        let mut plan = scenario::undisturbed(40, seed);
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
        let report = run_without_violations(plan);
        assert!(
            report.violations.max_slow_start_load > 0.2 && report.earned_fraction() > 0.3,
            "{:.3}",
            report.earned_fraction()
        );
    }
}

#[test]
fn node_with_ten_times_the_traffic_is_served_equally_well() {
    let even_plan = scenario::undisturbed(50, 3);
    let uneven_plan = Plan {
        first_node_weight: 10.0,
        ..even_plan.clone()
    };
    let even = run_without_violations(even_plan);
    let uneven = run_without_violations(uneven_plan);
    assert!(
        uneven.earned_fraction() > even.earned_fraction() - 0.05,
        "{:.3} {:.3}",
        uneven.earned_fraction(),
        even.earned_fraction()
    );
}

#[test]
fn flapping_endpoint_list_overloads_no_server() {
    let mut plan = scenario::undisturbed(50, 6);
    plan.disturb(
        4.0,
        Disturbance::FlapEntries {
            fraction: 0.3,
            count: 20,
        },
    );
    let report = run_without_violations(plan);
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
    let disturbance = prop_oneof![
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
    (0.5..7.0f64, disturbance)
        .prop_map(|(at, disturbance)| ScheduledDisturbance { at, disturbance })
}

#[test]
fn random_schedules_violate_no_rule_and_keep_the_retry_budget() {
    const RETRY_BUDGET_RATIO: f64 = 0.2;
    const MAX_SAVED_RETRIES: f64 = 10.0;
    /// Maximum number of incarnations of a node, on average over the nodes.
    const MAX_INCARNATIONS: f64 = 3.0;
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
    let result = runner.run(&plans, |(disturbances, nodes, seed, load)| {
        let plan = Plan {
            disturbances,
            load,
            duration: 9.0,
            ..scenario::undisturbed(nodes, seed)
        };
        let report = run_plan(plan).map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert!(
            report.violations.is_empty(),
            "{}",
            report.violations.list[0]
        );
        // Retries are a fifth of the client attempts, plus those that each incarnation of a node may have saved up.
        let client_attempts = f64::from(report.sum(|second| second.client_attempts));
        let retries = f64::from(report.sum(|second| second.retries));
        let saved_retries = MAX_SAVED_RETRIES * nodes as f64 * MAX_INCARNATIONS;
        prop_assert!(retries <= RETRY_BUDGET_RATIO * client_attempts + saved_retries);
        Ok(())
    });
    result.expect("no schedule violates a rule");
}
