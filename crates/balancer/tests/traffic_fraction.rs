//! Estimates that a node makes of the whole fleet from its own fraction of the traffic.

mod common;

use common::{class, endpoint_of, settings, Node};
use reelfall_balancer::interface::*;

/// One of ten nodes for two tenants with a quota of 50 requests per second each.
fn node(has_zones: bool) -> Node {
    let mut node_settings = settings(vec![class(Idempotency::Idempotent)]);
    (node_settings.node_count, node_settings.tenants) =
        (10, vec![Tenant { quota: 50.0 }, Tenant { quota: 50.0 }]);
    node_settings.zone = has_zones.then_some(0);
    node_settings.costs.cross_zone = 0.02;
    let mut node = Node::new(node_settings, 0);
    let endpoint = |server: u32| Endpoint {
        zone: if has_zones { (server % 2) as ZoneId } else { 0 },
        ..endpoint_of(server)
    };
    node.update_endpoints(UpdateKind::Snapshot, (0..10).map(endpoint).collect());
    node
}

/// Runs a second with `offered` requests of each tenant, whose responses take `response_time`. Counts the attempts at
/// each server in `attempts`, and returns the number of rejected requests of each tenant.
fn run_second(
    node: &mut Node,
    offered: [u32; 2],
    response_time: impl Fn(ServerId) -> Time,
    attempts: &mut [u32; 10],
) -> [u32; 2] {
    let (total, mut rejected) = (offered[0] + offered[1], [0; 2]);
    for index in 0..total {
        node.now += 1.0 / f64::from(total);
        if index % 3 == 0 {
            node.sweep();
        }
        let tenant = u16::from((index * offered[0]) % total >= offered[0]);
        let request = (node.now * 1e6) as RequestId;
        let (hint, key, time_left) = (Some(0.02), None, 0.6);
        node.handle(Event::Request {
            request,
            class: 0,
            tenant: Some(tenant),
            work_hint: hint,
            key,
            remaining: time_left,
        });
        let Some(server) = node.attempted_server() else {
            rejected[usize::from(tenant)] += 1;
            continue;
        };
        attempts[server as usize] += 1;
        let now = node.now;
        node.now += response_time(server);
        node.end_attempt(request, 0, server, Outcome::Served, 0.0);
        node.now = now;
    }
    rejected
}

#[test]
fn node_with_the_traffic_of_four_nodes_applies_the_quota_of_four_nodes() {
    let mut node = node(false);
    let mut attempts = [0; 10];
    for _ in 0..12 {
        run_second(&mut node, [10, 30], |_| 0.01, &mut attempts);
    }
    // A fifth of the requests is shed: nearly all of them are of the tenant that is over its quota.
    let mut rejected = [0; 2];
    for _ in 0..10 {
        let learned = LearnedState {
            admitted_fraction: 0.8,
            ..node.balancer.learned(node.now)
        };
        node.balancer.adopt(node.now, &learned);
        let added = run_second(&mut node, [10, 30], |_| 0.01, &mut attempts);
        rejected = [rejected[0] + added[0], rejected[1] + added[1]];
    }
    assert!(
        rejected[1] > 10 && 10 * rejected[0] < rejected[1],
        "{rejected:?}"
    );
}

#[test]
fn sustained_work_rate_accounts_for_the_traffic_of_failed_nodes() {
    let mut node = node(false);
    let mut attempts = [0; 10];
    for _ in 0..20 {
        run_second(&mut node, [50, 50], |_| 0.005, &mut attempts);
    }
    let work_rate = node.balancer.learned(node.now).sustainable_work_rate;
    // The node has the traffic of the whole fleet: 100 requests per second with a work of 0.02 each are 0.2 per server.
    // As the traffic of one of ten nodes it would be ten times as much.
    assert!(work_rate <= 0.5, "{work_rate}");
}

#[test]
fn sustained_work_rate_decays() {
    let mut node = node(false);
    let learned = LearnedState {
        sustainable_work_rate: 40.0,
        ..node.balancer.learned(0.0)
    };
    node.balancer.adopt(0.0, &learned);
    let mut attempts = [0; 10];
    for _ in 0..120 {
        run_second(&mut node, [1, 2], |_| 0.01, &mut attempts);
    }
    let after = node.balancer.learned(node.now).sustainable_work_rate;
    assert!(after < 20.0, "{after}");
}

#[test]
fn zone_spill_follows_its_gain() {
    // The fraction of requests that cross zones, if servers in the node's zone respond after `local` seconds.
    let crossing_fraction = |local: Time| {
        let mut node = node(true);
        let mut attempts = [0; 10];
        for second in 0..40 {
            if second == 30 {
                attempts = [0; 10];
            }
            run_second(
                &mut node,
                [30, 30],
                |server| if server % 2 == 0 { local } else { 0.05 },
                &mut attempts,
            );
        }
        let remote: u32 = attempts.iter().skip(1).step_by(2).sum();
        f64::from(remote) / f64::from(attempts.iter().sum::<u32>())
    };
    let (in_time, late) = (crossing_fraction(0.05), crossing_fraction(0.22));
    assert!(
        in_time < 0.25 && late > 0.5,
        "{in_time:.2} of the requests cross zones if local responses are in time, {late:.2} if they are late"
    );
}
