//! What a node reckons of the whole fleet from its own traffic.

mod common;

use common::{class, entry, settings, Node};
use reelfall_balancer::interface::*;

/// One of ten nodes, before tenants that may send 50 requests a second each.
fn node(zones: bool) -> Node {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    (s.node_count, s.tenants) = (10, vec![Tenant { quota: 50.0 }, Tenant { quota: 50.0 }]);
    s.zone = zones.then_some(0);
    s.costs.cross_zone = 0.02;
    let mut node = Node::new(s, 0);
    let zone = |n: u32| Endpoint {
        zone: if zones { (n % 2) as ZoneId } else { 0 },
        ..entry(n)
    };
    node.members(UpdateKind::Snapshot, (0..10).map(zone).collect());
    node
}

/// One second of requests, of these counts by tenant, each answered after what `takes` says; those refused by tenant.
fn second(
    node: &mut Node,
    sent: [u32; 2],
    takes: impl Fn(ServerId) -> Time,
    to: &mut [u32; 10],
) -> [u32; 2] {
    let (all, mut refused) = (sent[0] + sent[1], [0; 2]);
    for n in 0..all {
        node.now += 1.0 / f64::from(all);
        if n % 3 == 0 {
            node.sweep();
        }
        let tenant = u16::from((n * sent[0]) % all >= sent[0]);
        let request = (node.now * 1e6) as RequestId;
        let (hint, key, left) = (Some(0.02), None, 0.6);
        node.tell(Event::Request {
            request,
            class: 0,
            tenant: Some(tenant),
            work_hint: hint,
            key,
            remaining: left,
        });
        let Some(server) = node.sent() else {
            refused[usize::from(tenant)] += 1;
            continue;
        };
        to[server as usize] += 1;
        let now = node.now;
        node.now += takes(server);
        node.end(request, 0, server, Outcome::Served, 0.0);
        node.now = now;
    }
    refused
}

#[test]
fn a_node_that_has_the_traffic_of_four_refuses_nobody_who_is_within_the_quota_of_four() {
    let mut node = node(false);
    let mut to = [0; 10];
    for _ in 0..12 {
        second(&mut node, [10, 30], |_| 0.01, &mut to);
    }
    // Two in ten of the traffic too much: the tenant that is over its share bears it.
    let mut refused = [0; 2];
    for _ in 0..10 {
        let learned = LearnedState {
            admitted_fraction: 0.8,
            ..node.balancer.learned(node.now)
        };
        node.balancer.adopt(node.now, &learned);
        let more = second(&mut node, [10, 30], |_| 0.01, &mut to);
        refused = [refused[0] + more[0], refused[1] + more[1]];
    }
    assert!(
        refused[1] > 10 && 10 * refused[0] < refused[1],
        "{refused:?}"
    );
}

#[test]
fn the_traffic_of_nodes_that_died_is_not_taken_for_what_servers_bear() {
    let mut node = node(false);
    let mut to = [0; 10];
    for _ in 0..20 {
        second(&mut node, [50, 50], |_| 0.005, &mut to);
    }
    let alone = node.balancer.learned(node.now).sustainable_work_rate;
    // The whole fleet's traffic: 100 a second of 0.02 over ten servers is 0.2, and no ten nodes have as much each.
    assert!(alone <= 0.5, "{alone}");
}

#[test]
fn what_servers_bear_is_forgotten() {
    let mut node = node(false);
    let busy = LearnedState {
        sustainable_work_rate: 40.0,
        ..node.balancer.learned(0.0)
    };
    node.balancer.adopt(0.0, &busy);
    let mut to = [0; 10];
    for _ in 0..120 {
        second(&mut node, [1, 2], |_| 0.01, &mut to);
    }
    let after = node.balancer.learned(node.now).sustainable_work_rate;
    assert!(after < 20.0, "{after}");
}

#[test]
fn crossing_zones_follows_what_it_gains() {
    // Part of the requests that cross, where servers of the node's zone answer after so long.
    let crossing = |near: Time| {
        let mut node = node(true);
        let mut to = [0; 10];
        for n in 0..40 {
            if n == 30 {
                to = [0; 10];
            }
            second(
                &mut node,
                [30, 30],
                |server| if server % 2 == 0 { near } else { 0.05 },
                &mut to,
            );
        }
        let far: u32 = to.iter().skip(1).step_by(2).sum();
        f64::from(far) / f64::from(to.iter().sum::<u32>())
    };
    let (calm, late) = (crossing(0.05), crossing(0.22));
    assert!(
        calm < 0.25 && late > 0.5,
        "{calm:.2} of the requests cross when calm, {late:.2} when the zone is late"
    );
}
