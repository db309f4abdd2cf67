//! Compares the server list of a balancer with a simple reference that iterates over all servers for each endpoint of
//! an update.
//!
//! The balancer and the reference get the same random lists, changes, absences and restarts. Both must have the same
//! servers in the same order with the same probabilities, averages and slow start credits, and must have drawn the same
//! number of random numbers.

#[path = "../common/mod.rs"]
mod common;
mod comparison;
mod random;
mod reference;

use common::{class, settings};
use comparison::Comparison;
use reelfall_balancer::interface::{
    Endpoint, Idempotency, ServerState, Settings, Tenant, UpdateKind,
};

fn single_node() -> Settings {
    settings(vec![class(Idempotency::Idempotent)])
}

/// One of a hundred nodes, each with a subset of a long list.
fn node_of_many() -> Settings {
    Settings {
        node_count: 100,
        node_index: Some(3),
        tenants: vec![Tenant { quota: 2000.0 }],
        ..single_node()
    }
}

fn compare_random_updates(servers: u32, seeds: u64, steps: u32) {
    for settings in [single_node(), node_of_many()] {
        for has_server_weights in [false, true] {
            for seed in 0..seeds {
                let settings = Settings {
                    has_server_weights,
                    ..settings.clone()
                };
                let mut comparison = Comparison::new(seed, servers, settings);
                comparison.update_whole_list(UpdateKind::Cached);
                for _ in 0..steps {
                    comparison.step();
                }
            }
        }
    }
}

#[test]
fn short_lists_match_the_reference() {
    compare_random_updates(2, 40, 40);
    compare_random_updates(9, 40, 40);
}

#[test]
fn long_lists_match_the_reference() {
    compare_random_updates(90, 10, 30);
    compare_random_updates(400, 2, 25);
}

#[test]
fn server_with_a_probability_below_the_floor_rejoins_unchanged() {
    let mut comparison = Comparison::new(1, 300, node_of_many());
    let all = comparison.servers.clone();
    comparison.update(UpdateKind::Cached, all.clone());
    let removed = |endpoint: &Endpoint| Endpoint {
        state: ServerState::Removed,
        ..endpoint.clone()
    };
    for _ in 0..5 {
        comparison.learn();
        comparison.now += 0.1;
        let removals = all[..60].iter().map(removed).collect();
        comparison.update(UpdateKind::Delta, removals);
        comparison.now += 0.1;
        // Each removal raises the floor. Each return lowers it, and many of the returning servers are below it.
        let alternating = all[..60]
            .iter()
            .zip(&all[100..])
            .flat_map(|(returning, leaving)| [removed(leaving), returning.clone()]);
        comparison.update(UpdateKind::Delta, alternating.collect());
        comparison.now += 0.1;
        comparison.update(UpdateKind::Snapshot, all.clone());
    }
}

#[test]
fn rounding_errors_do_not_accumulate_over_a_long_churn() {
    let mut comparison = Comparison::new(2, 40, node_of_many());
    let all = comparison.servers.clone();
    comparison.update(UpdateKind::Cached, all);
    comparison.learn();
    for round in 0..300 {
        comparison.now += 0.01;
        let server = round % 40;
        comparison.servers[server].started_at = comparison.now;
        let endpoint = comparison.servers[server].clone();
        comparison.update(UpdateKind::Delta, vec![endpoint]);
    }
    // The same in a single update that restarts a few servers many times.
    let restarts: Vec<Endpoint> = (0..20_000)
        .map(|index| Endpoint {
            started_at: comparison.now + f64::from(index) * 1e-6,
            ..comparison.servers[index as usize % 7].clone()
        })
        .collect();
    comparison.now += 1.0;
    comparison.update(UpdateKind::Delta, restarts);
}
