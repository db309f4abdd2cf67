//! How nodes that share nothing part a long list among them.

mod common;

use common::{class, entry, settings};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

/// A node of a fleet that takes 20 requests a second in each node.
fn node(number: u32, replicas: u32, list: &[Endpoint]) -> Balancer {
    let mut s = settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
    ]);
    (s.node_count, s.node_index) = (replicas, Some(number));
    s.tenants = vec![Tenant {
        quota: 20.0 * f64::from(replicas),
    }];
    let mut node = Balancer::new(s, u64::from(number), 0.0).expect("usable settings");
    let entries = list.to_vec();
    node.handle(
        0.0,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: entries,
        },
        &mut vec![],
    );
    node
}

/// The places in the list that a node draws from, but for the floor.
fn part(node: &Balancer) -> Vec<usize> {
    let (p, floor) = (&node.automaton().probability, node.automaton().floor());
    (0..p.len()).filter(|i| p[*i] > 1.5 * floor).collect()
}

fn fleet(replicas: u32, list: &[Endpoint]) -> Vec<Vec<usize>> {
    (0..replicas)
        .map(|number| part(&node(number, replicas, list)))
        .collect()
}

fn nodes_of(parts: &[Vec<usize>], servers: usize) -> Vec<usize> {
    (0..servers)
        .map(|i| parts.iter().filter(|p| p.contains(&i)).count())
        .collect()
}

#[test]
fn every_server_is_of_as_many_nodes_and_every_node_has_a_small_part() {
    let list: Vec<Endpoint> = (0..60).map(entry).collect();
    let parts = fleet(100, &list);
    let nodes = nodes_of(&parts, 60);
    assert!(nodes.iter().all(|n| *n == nodes[0] && *n < 30), "{nodes:?}");
    assert!(
        parts.iter().all(|p| (3..30).contains(&p.len())),
        "{:?}",
        parts.iter().map(Vec::len)
    );
}

#[test]
fn nodes_that_die_together_are_missed_by_all_servers_alike() {
    let list: Vec<Endpoint> = (0..60).map(entry).collect();
    let parts = fleet(100, &list);
    let before = nodes_of(&parts, 60)[0];
    // A zone's nodes may be numbered in a row or every other.
    for lost in [
        (0..57).collect::<Vec<usize>>(),
        (0..100).step_by(2).collect(),
    ] {
        let left: Vec<_> = (0..100)
            .filter(|n| !lost.contains(n))
            .map(|n| parts[n].clone())
            .collect();
        let nodes = nodes_of(&left, 60);
        let fair = before * left.len() / 100;
        let spread = nodes.iter().max().unwrap_or(&0) - nodes.iter().min().unwrap_or(&0);
        assert!(
            spread <= fair / 2 && nodes.iter().all(|n| *n > fair / 2),
            "{nodes:?} of {before}"
        );
    }
}

#[test]
fn a_server_that_is_new_moves_few_others() {
    let list: Vec<Endpoint> = (0..60).map(entry).collect();
    let mut more = list.clone();
    more.push(Endpoint {
        started_at: 0.0,
        ..entry(60)
    });
    for number in 0..20 {
        let (old, new) = (
            part(&node(number, 100, &list)),
            part(&node(number, 100, &more)),
        );
        let moved = old.iter().filter(|i| !new.contains(i)).count()
            + new.iter().filter(|i| **i < 60 && !old.contains(i)).count();
        assert!(moved <= 1, "{old:?} became {new:?}");
    }
}

#[test]
fn where_nodes_meet_each_server_often_all_have_the_whole_list() {
    let list: Vec<Endpoint> = (0..20).map(entry).collect();
    for replicas in [1, 3, 12] {
        assert!(
            fleet(replicas, &list).iter().all(|p| p.len() == 20),
            "{replicas} nodes"
        );
    }
}

#[test]
fn lists_and_fleets_of_any_size_are_parted() {
    let long: Vec<Endpoint> = (0..10_000).map(entry).collect();
    assert!((1..2_000).contains(&part(&node(7_777, 10_000, &long)).len()));
    assert_eq!(part(&node(9_999, 10_000, &long[..1])), [0]);
    assert!(part(&node(3, 10_000, &[])).is_empty());
    assert_eq!(part(&node(u32::MAX, 1, &long[..1])), [0]);
}

#[test]
fn nodes_that_are_not_told_from_each_other_have_the_whole_list() {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    (s.node_count, s.tenants) = (100, vec![Tenant { quota: 2000.0 }]);
    let mut node = Balancer::new(s, 1, 0.0).expect("usable settings");
    let entries = (0..60).map(entry).collect();
    node.handle(
        0.0,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: entries,
        },
        &mut vec![],
    );
    // Of one number, all would have the same few servers.
    assert_eq!(part(&node).len(), 60);
}

#[test]
fn a_newcomer_of_a_kind_that_nobody_has_seen_is_of_its_part_or_has_the_floor() {
    let list: Vec<Endpoint> = (0..60).map(entry).collect();
    for number in 0..40 {
        let mut node = node(number, 100, &list);
        let entries = vec![Endpoint {
            machine_type: 7,
            ..entry(60)
        }];
        node.handle(
            0.1,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: entries,
            },
            &mut vec![],
        );
        let (p, floor, own) = (
            &node.automaton().probability,
            node.automaton().floor(),
            part(&node),
        );
        let mean =
            own.iter().filter(|i| **i < 60).map(|i| p[*i]).sum::<f64>() / own.len().max(1) as f64;
        assert!(
            p[60] < 1.1 * floor || p[60] > 0.5 * mean,
            "{} beside {mean}, floor {floor}",
            p[60]
        );
    }
}
