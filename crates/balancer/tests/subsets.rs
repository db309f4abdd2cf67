//! Subsetting of a long list by nodes that share no state.

mod common;

use common::{class, endpoint_of, settings};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

/// One of `node_count` nodes, each of which gets 20 requests per second.
fn node(index: u32, node_count: u32, servers: &[Endpoint]) -> Balancer {
    let mut node_settings = settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
    ]);
    (node_settings.node_count, node_settings.node_index) = (node_count, Some(index));
    node_settings.tenants = vec![Tenant {
        quota: 20.0 * f64::from(node_count),
    }];
    let mut node = Balancer::new(node_settings, u64::from(index), 0.0).expect("valid settings");
    let listed = servers.to_vec();
    node.handle(
        0.0,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: listed,
        },
        &mut vec![],
    );
    node
}

/// The positions of the servers in a node's subset: those whose probability exceeds the floor.
fn subset(node: &Balancer) -> Vec<usize> {
    let (probability, floor) = (&node.automaton().probability, node.automaton().floor());
    (0..probability.len())
        .filter(|position| probability[*position] > 1.5 * floor)
        .collect()
}

/// The subset of each of `node_count` nodes.
fn subsets(node_count: u32, servers: &[Endpoint]) -> Vec<Vec<usize>> {
    (0..node_count)
        .map(|index| subset(&node(index, node_count, servers)))
        .collect()
}

/// For each server, the number of subsets that contain it.
fn nodes_per_server(subsets: &[Vec<usize>], servers: usize) -> Vec<usize> {
    (0..servers)
        .map(|server| subsets.iter().filter(|own| own.contains(&server)).count())
        .collect()
}

#[test]
fn all_servers_have_the_same_number_of_nodes_and_subsets_are_small() {
    let servers: Vec<Endpoint> = (0..60).map(endpoint_of).collect();
    let subsets = subsets(100, &servers);
    let nodes = nodes_per_server(&subsets, 60);
    assert!(
        nodes.iter().all(|count| *count == nodes[0] && *count < 30),
        "{nodes:?}"
    );
    assert!(
        subsets.iter().all(|subset| (3..30).contains(&subset.len())),
        "{:?}",
        subsets.iter().map(Vec::len)
    );
}

#[test]
fn loss_of_a_zones_nodes_affects_all_servers_equally() {
    let servers: Vec<Endpoint> = (0..60).map(endpoint_of).collect();
    let subsets = subsets(100, &servers);
    let before = nodes_per_server(&subsets, 60)[0];
    // The nodes of a zone may have successive indices, or every other one.
    for lost in [
        (0..57).collect::<Vec<usize>>(),
        (0..100).step_by(2).collect(),
    ] {
        let remaining: Vec<_> = (0..100)
            .filter(|index| !lost.contains(index))
            .map(|index| subsets[index].clone())
            .collect();
        let nodes = nodes_per_server(&remaining, 60);
        let expected = before * remaining.len() / 100;
        let spread = nodes.iter().max().unwrap_or(&0) - nodes.iter().min().unwrap_or(&0);
        assert!(
            spread <= expected / 2 && nodes.iter().all(|count| *count > expected / 2),
            "{nodes:?} of {before}"
        );
    }
}

#[test]
fn new_server_changes_at_most_one_other_server_of_a_subset() {
    let servers: Vec<Endpoint> = (0..60).map(endpoint_of).collect();
    let mut extended = servers.clone();
    extended.push(Endpoint {
        started_at: 0.0,
        ..endpoint_of(60)
    });
    for index in 0..20 {
        let (old, new) = (
            subset(&node(index, 100, &servers)),
            subset(&node(index, 100, &extended)),
        );
        let changed = old.iter().filter(|server| !new.contains(server)).count()
            + new
                .iter()
                .filter(|server| **server < 60 && !old.contains(server))
                .count();
        assert!(changed <= 1, "{old:?} became {new:?}");
    }
}

#[test]
fn few_nodes_prefer_the_whole_list() {
    let servers: Vec<Endpoint> = (0..20).map(endpoint_of).collect();
    for node_count in [1, 3, 12] {
        assert!(
            subsets(node_count, &servers)
                .iter()
                .all(|subset| subset.len() == 20),
            "{node_count} nodes"
        );
    }
}

#[test]
fn subsets_of_very_long_and_very_short_lists() {
    let long: Vec<Endpoint> = (0..10_000).map(endpoint_of).collect();
    assert!((1..2_000).contains(&subset(&node(7_777, 10_000, &long)).len()));
    assert_eq!(subset(&node(9_999, 10_000, &long[..1])), [0]);
    assert!(subset(&node(3, 10_000, &[])).is_empty());
    assert_eq!(subset(&node(u32::MAX, 1, &long[..1])), [0]);
}

#[test]
fn nodes_without_indices_prefer_the_whole_list() {
    let mut node_settings = settings(vec![class(Idempotency::Idempotent)]);
    (node_settings.node_count, node_settings.tenants) = (100, vec![Tenant { quota: 2000.0 }]);
    let mut node = Balancer::new(node_settings, 1, 0.0).expect("valid settings");
    let listed = (0..60).map(endpoint_of).collect();
    node.handle(
        0.0,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: listed,
        },
        &mut vec![],
    );
    // With a subset for one and the same index, all nodes would prefer the same few servers.
    assert_eq!(subset(&node).len(), 60);
}

#[test]
fn new_server_of_an_unknown_machine_type_is_in_the_subset_or_at_the_floor() {
    let servers: Vec<Endpoint> = (0..60).map(endpoint_of).collect();
    for index in 0..40 {
        let mut node = node(index, 100, &servers);
        let added = vec![Endpoint {
            machine_type: 7,
            ..endpoint_of(60)
        }];
        node.handle(
            0.1,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: added,
            },
            &mut vec![],
        );
        let (probability, floor, subset) = (
            &node.automaton().probability,
            node.automaton().floor(),
            subset(&node),
        );
        let mean = subset
            .iter()
            .filter(|server| **server < 60)
            .map(|server| probability[*server])
            .sum::<f64>()
            / subset.len().max(1) as f64;
        assert!(
            probability[60] < 1.1 * floor || probability[60] > 0.5 * mean,
            "{} of the new server, mean {mean}, floor {floor}",
            probability[60]
        );
    }
}
