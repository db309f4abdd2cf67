//! How long nodes take to receive the published changes once there is a complete path to them again. Each bound is
//! computed from the configuration of the processes.

mod world;

use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name, Version};
use reelfall_distribution::upstream_config::{UpstreamConfig, MAX_STALE_FACTOR};
use reelfall_distribution::Time;
use std::ops::Range;
use world::{claim, node_of_region, RecordedEvent, World, CALM};

/// Maximum time that a change takes once there is a path, in seconds.
const MAX_PROPAGATION_TIME: Time = 15.0;
/// Time for opening a session, its subscriptions and a change over several links, in seconds; each frame takes 20 ms at
/// most.
const ROUND_TRIPS: Time = 1.0;
/// Maximum time in which a publisher reads the relays when it takes over, in seconds; as configured in `world`.
const TAKEOVER_TIME: Time = 5.0;
/// Time from the death of the holder of a lease until another publisher can acquire the lease, in seconds.
const LEASE_DURATION: Time = 15.0;

const PUBLISHERS: [u32; 3] = [1, 2, 3];
const NEAR: [u32; 3] = [20, 21, 22];
const FAR: [u32; 3] = [30, 31, 32];
const NODES: Range<u32> = 100..112;

/// Three publishers, of which the first has the lease with token 1; two regions of three relays; nodes of the first
/// region.
fn regions(seed: u64) -> World {
    let mut world = World::new(seed, CALM);
    let relays = [NEAR, FAR].concat();
    PUBLISHERS
        .iter()
        .for_each(|id| world.add_publisher(*id, &relays));
    relays
        .iter()
        .for_each(|id| world.add_relay(*id, &PUBLISHERS));
    NODES.for_each(|id| node_of_region(&mut world, id, &NEAR, &FAR));
    grant_lease(&mut world, 1, 1);
    world.run(40.0);
    world
}

fn grant_lease(world: &mut World, publisher: u32, token: u64) {
    let lease_end = world.processes[&PeerId(publisher)].clock(world.now + 1e6);
    let held = world.with_publisher(publisher, |publisher, now, outputs| {
        publisher.hold_lease(now, &claim(token), lease_end, outputs)
    });
    assert_eq!(held, Some(Ok(())));
}

fn publish(world: &mut World, publisher: u32, token: u64, text: &str) -> Version {
    let published_at = world.now;
    let drafts = vec![Draft::put(Name::service("a", "x"), text.as_bytes())];
    let version = world.with_publisher(publisher, |publisher, now, outputs| {
        publisher.publish(now, &claim(token), drafts, outputs)
    });
    let version = version.unwrap().unwrap();
    world.invariants.published(published_at, version);
    version
}

/// Runs the world until a condition holds, at most `limit` seconds; returns the elapsed time.
fn wait_until(
    world: &mut World,
    limit: Time,
    description: &str,
    condition: impl Fn(&World) -> bool,
) -> Time {
    let started = world.now;
    while !condition(world) {
        assert!(
            world.now - started < limit,
            "{description}: not within {limit} s"
        );
        world.run(0.05);
    }
    world.now - started
}

fn wait_until_all_have(world: &mut World, version: Version, limit: Time) -> Time {
    wait_until(world, limit, "a change at all nodes", |world| {
        NODES
            .into_iter()
            .all(|id| world.node_of(id).head() >= version)
    })
}

fn partition_between(world: &mut World, some: &[u32], others: &[u32], duration: Time) {
    for a in some {
        for b in others {
            world.partition(PeerId(*a), PeerId(*b), duration);
        }
    }
}

/// How long a relay takes to follow the publisher with the lease, once it can: the attempt in flight and a backoff;
/// then each publisher that rejects it costs a short backoff, and each dead one an attempt.
fn relay_reconnection_time(rejecting: u32, dead: u32) -> Time {
    let config = UpstreamConfig::relay(Vec::new());
    let (rejecting, dead) = (f64::from(rejecting), f64::from(dead));
    config.open_timeout
        + config.max_backoff
        + rejecting * config.reconnect_jitter
        + dead * config.open_timeout
}

/// How long a node takes to open a session once all its relays run: the attempt in flight and a backoff.
fn node_reconnection_time() -> Time {
    let config = UpstreamConfig::node(Vec::new());
    config.open_timeout + config.max_backoff
}

/// How long a node takes to switch from a stale relay to another one: a backoff, and a fallback that does not respond.
fn stale_relay_switch_time() -> Time {
    let config = UpstreamConfig::node(Vec::new());
    config.reconnect_jitter + config.open_timeout
}

#[test]
fn recovery_bounds_are_within_15_s() {
    assert!(relay_reconnection_time(2, 0) + ROUND_TRIPS <= MAX_PROPAGATION_TIME);
    assert!(relay_reconnection_time(1, 1) + ROUND_TRIPS <= MAX_PROPAGATION_TIME);
    assert!(node_reconnection_time() + ROUND_TRIPS <= MAX_PROPAGATION_TIME);
    assert!(stale_relay_switch_time() + ROUND_TRIPS <= MAX_PROPAGATION_TIME);
}

#[test]
fn retries_of_children_stay_within_the_session_rate() {
    let (downstream, upstream) = (
        DownstreamConfig::default(),
        UpstreamConfig::node(Vec::new()),
    );
    let between_attempts = upstream.open_timeout + 0.75 * upstream.max_backoff;
    assert!(
        between_attempts >= downstream.max_children as f64 / downstream.sessions_per_second,
        "{between_attempts}"
    );
    let control = UpstreamConfig::relay(Vec::new());
    assert!(
        control.max_backoff >= 2.0 * downstream.min_retry_after,
        "a relay retries earlier than it is asked to"
    );
}

#[test]
fn region_catches_up_after_a_partition() {
    for (seed, duration) in [
        (1, 20.0),
        (2, 45.0),
        (3, 90.0),
        (4, 119.0),
        (5, 122.0),
        (6, 200.0),
        (7, 900.0),
    ] {
        let mut world = regions(seed);
        let near: Vec<u32> = NEAR.into_iter().chain(NODES).collect();
        let others: Vec<u32> = PUBLISHERS.into_iter().chain(FAR).collect();
        partition_between(&mut world, &near, &others, duration);
        world.run(duration / 2.0);
        let version = publish(&mut world, 1, 1, "during the partition");
        world.run(duration / 2.0);
        assert!(NODES
            .into_iter()
            .all(|id| world.node_of(id).head() < version));
        let limit = relay_reconnection_time(2, 0).max(stale_relay_switch_time()) + ROUND_TRIPS;
        let elapsed = wait_until_all_have(&mut world, version, limit);
        println!("partition of {duration} s: all nodes have the change after {elapsed:.2} s, of {limit:.2} s");
        world.invariants.verify();
    }
}

#[test]
fn region_of_a_former_publisher_catches_up_with_its_successor() {
    for (seed, duration) in [(11, 60.0), (12, 75.0), (13, 150.0), (14, 400.0)] {
        let mut world = regions(seed);
        let near: Vec<u32> = [1].into_iter().chain(NEAR).chain(NODES).collect();
        let others: Vec<u32> = [2, 3].into_iter().chain(FAR).collect();
        partition_between(&mut world, &near, &others, duration);
        world.run(LEASE_DURATION);
        world.with_publisher(1, |publisher, now, outputs| {
            publisher.step_down(now, outputs)
        });
        grant_lease(&mut world, 2, 2);
        wait_until(
            &mut world,
            TAKEOVER_TIME + ROUND_TRIPS,
            "a successor",
            |world| world.publisher_of(2).is_publishing(),
        );
        let version = publish(&mut world, 2, 2, "during the partition");
        let remaining = duration - world.now + 40.0;
        world.run(remaining);
        let limit = relay_reconnection_time(2, 0).max(stale_relay_switch_time()) + ROUND_TRIPS;
        let elapsed = wait_until_all_have(&mut world, version, limit);
        println!(
            "publisher partitioned for {duration} s: all nodes have the change after {elapsed:.2} s, of {limit:.2} s"
        );
        world.invariants.verify();
    }
}

#[test]
fn loss_of_half_the_control_machines_with_the_publisher_is_survived() {
    for seed in 21..27 {
        let mut world = regions(seed);
        let lost = [1, 3].into_iter().chain(NEAR);
        lost.for_each(|id| world.kill(PeerId(id)));
        let config = UpstreamConfig::node(Vec::new());
        // The other two upstreams, which are dead, may both be tried before a fallback.
        let limit = config.silence_timeout
            + config.reconnect_jitter
            + 2.0 * config.attempt_delay
            + ROUND_TRIPS;
        assert!(limit <= MAX_PROPAGATION_TIME, "{limit}");
        assert!(!NODES.into_iter().any(|id| follows_one_of(&world, id, &FAR)));
        let moved = wait_until(&mut world, limit, "nodes at other relays", |world| {
            NODES.into_iter().all(|id| follows_one_of(world, id, &FAR))
        });
        world.run(LEASE_DURATION - moved);
        grant_lease(&mut world, 2, 2);
        let takeover = wait_until(
            &mut world,
            TAKEOVER_TIME + ROUND_TRIPS,
            "a successor",
            |world| world.publisher_of(2).is_publishing(),
        );
        let version = publish(&mut world, 2, 2, "by the successor");
        // The two dead publishers may both be tried first; the successor may have rejected the relay just before.
        let relay = UpstreamConfig::relay(Vec::new());
        let limit = relay.reconnect_jitter + 2.0 * relay.open_timeout + ROUND_TRIPS;
        let elapsed = wait_until_all_have(&mut world, version, limit);
        println!("nodes moved after {moved:.2} s; takeover in {takeover:.2} s; all nodes have the change {elapsed:.2} s later, of {limit:.2} s");
        world.invariants.verify();
    }
}

fn follows_one_of(world: &World, node: u32, relays: &[u32]) -> bool {
    world
        .node_of(node)
        .following()
        .is_some_and(|relay| relays.contains(&relay.0))
}

#[test]
fn nodes_with_only_stale_relays_switch_rarely() {
    let mut world = regions(31);
    let duration = 3600.0;
    let near: Vec<u32> = NEAR.into_iter().chain(NODES).collect();
    let others: Vec<u32> = PUBLISHERS.into_iter().chain(FAR).collect();
    partition_between(&mut world, &near, &others, duration);
    let started = world.now;
    world.run(duration);
    // The first two relays are followed for one stale timeout each, the next ones for 2, 4 and then 8 times as long.
    let stale_timeout = UpstreamConfig::node(Vec::new()).stale_timeout;
    let limit = 4.0 + (duration / stale_timeout - 1.0 - 1.0 - 2.0 - 4.0) / MAX_STALE_FACTOR;
    for id in NODES {
        let is_stale_switch = |recorded: &&RecordedEvent| {
            let is_stale = matches!(
                recorded.event,
                Event::Left {
                    reason: CloseReason::Stale,
                    ..
                }
            );
            recorded.at > started && recorded.process == PeerId(id) && is_stale
        };
        let switches = world
            .invariants
            .events
            .iter()
            .filter(is_stale_switch)
            .count();
        assert!(
            (2..=limit.ceil() as usize).contains(&switches),
            "{id} switched {switches} times, of at most {limit}"
        );
    }
    world.invariants.verify();
}

#[test]
fn nodes_return_to_restarted_relays_within_the_session_rate() {
    const MANY_NODES: Range<u32> = 100..1600;
    const RELAYS: [u32; 4] = [20, 21, 22, 23];
    let mut world = World::new(41, CALM);
    world.add_publisher(1, &[]);
    RELAYS.iter().for_each(|id| world.add_relay(*id, &[1]));
    MANY_NODES.for_each(|id| node_of_region(&mut world, id, &RELAYS, &[]));
    grant_lease(&mut world, 1, 1);
    world.run(30.0);
    RELAYS.iter().for_each(|id| world.kill(PeerId(*id)));
    world.run(60.0);
    let version = publish(&mut world, 1, 1, "while the relays were down");
    RELAYS.iter().for_each(|id| world.start(PeerId(*id)));
    let started = world.now;
    let downstream = DownstreamConfig::default();
    let limit = node_reconnection_time() + 2.0 * downstream.min_retry_after + ROUND_TRIPS;
    let mut children = [0; RELAYS.len()];
    while MANY_NODES
        .into_iter()
        .any(|id| world.node_of(id).head() < version)
    {
        assert!(
            world.now - started < limit.min(MAX_PROPAGATION_TIME),
            "not within {limit} s"
        );
        world.run(0.5);
        for (before, id) in children.iter_mut().zip(RELAYS) {
            let now = world.relay_of(id).children().count();
            let elapsed = world.now - started;
            assert!(
                now as f64 <= downstream.sessions_per_second * (1.0 + elapsed),
                "{now} children after {elapsed} s"
            );
            assert!(
                now <= *before + (1.5 * downstream.sessions_per_second) as usize,
                "{before}, then {now} children"
            );
            *before = now;
        }
    }
    println!(
        "1,500 nodes have the change after {:.2} s, of {limit:.2} s; {children:?} children",
        world.now - started
    );
    world.invariants.verify();
}
