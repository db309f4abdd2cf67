//! How long it takes until nodes have what was published, once there is a whole path to them again. Each bound is worked
//! out from the rules that processes are given.

mod world;

use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name, Version};
use reelfall_distribution::session_end::CloseReason;
use reelfall_distribution::upstream_config::{UpstreamConfig, MAX_STALE_FACTOR};
use reelfall_distribution::Time;
use std::ops::Range;
use world::{claim, node_of_region, RecordedEvent, World, CALM};

/// What all changes have to keep to once there is a path, in seconds.
const IN_FORCE: Time = 15.0;
/// A session's beginning, its subscriptions and a change pass several links, each frame in 20 ms at most.
const ROUND_TRIPS: Time = 1.0;
/// How long an author takes in what relays have at most, in seconds; the world's own setting.
const TAKEOVER: Time = 5.0;
/// How long a lease lasts after its holder died, in seconds.
const LEASE: Time = 15.0;

const AUTHORS: [u32; 3] = [1, 2, 3];
const NEAR: [u32; 3] = [20, 21, 22];
const FAR: [u32; 3] = [30, 31, 32];
const NODES: Range<u32> = 100..112;

/// Three authors, of which the first writes with token 1; two regions of three relays; nodes of the first region.
fn regions(seed: u64) -> World {
    let mut world = World::new(seed, CALM);
    let relays = [NEAR, FAR].concat();
    AUTHORS.iter().for_each(|id| world.add_author(*id, &relays));
    relays.iter().for_each(|id| world.add_relay(*id, &AUTHORS));
    NODES.for_each(|id| node_of_region(&mut world, id, &NEAR, &FAR));
    grant_lease(&mut world, 1, 1);
    world.run(40.0);
    world
}

fn grant_lease(world: &mut World, author: u32, token: u64) {
    let until = world.processes[&PeerId(author)].clock(world.now + 1e6);
    let held = world.with_author(author, |author, now, outputs| {
        author.hold_lease(now, &claim(token), until, outputs)
    });
    assert_eq!(held, Some(Ok(())));
}

fn publish(world: &mut World, author: u32, token: u64, text: &str) -> Version {
    let t = world.now;
    let drafts = vec![Draft::put(Name::service("a", "x"), text.as_bytes())];
    let version = world.with_author(author, |author, now, outputs| {
        author.publish(now, &claim(token), drafts, outputs)
    });
    let version = version.unwrap().unwrap();
    world.invariants.published(t, version);
    version
}

/// How long it takes until something holds; fails after `most` seconds.
fn until(world: &mut World, most: Time, what: &str, holds: impl Fn(&World) -> bool) -> Time {
    let began = world.now;
    while !holds(world) {
        assert!(world.now - began < most, "{what}: not within {most} s");
        world.run(0.05);
    }
    world.now - began
}

fn until_all_have(world: &mut World, version: Version, most: Time) -> Time {
    until(world, most, "a change at all nodes", |world| {
        NODES
            .into_iter()
            .all(|id| world.node_of(id).head() >= version)
    })
}

fn cut_between(world: &mut World, some: &[u32], others: &[u32], lasts: Time) {
    for a in some {
        for b in others {
            world.partition(PeerId(*a), PeerId(*b), lasts);
        }
    }
}

/// Until a relay follows the author that writes, once it can: an attempt that is under way and a rest; then each author
/// that refuses costs a short rest, and each that is dead an attempt.
fn relay_finds_author(refusing: u32, dead: u32) -> Time {
    let rules = UpstreamConfig::relay(Vec::new());
    let (refusing, dead) = (f64::from(refusing), f64::from(dead));
    rules.open_timeout
        + rules.max_backoff
        + refusing * rules.reconnect_jitter
        + dead * rules.open_timeout
}

/// Until a node has a session again, once all its relays run: an attempt that is under way and a rest.
fn node_finds_relay() -> Time {
    let rules = UpstreamConfig::node(Vec::new());
    rules.open_timeout + rules.max_backoff
}

/// Until a node that goes from one stale relay to another one follows it: a rest, and a fallback that does not answer.
fn node_moves_on() -> Time {
    let rules = UpstreamConfig::node(Vec::new());
    rules.reconnect_jitter + rules.open_timeout
}

#[test]
fn the_bounds_keep_to_15_s() {
    assert!(relay_finds_author(2, 0) + ROUND_TRIPS <= IN_FORCE);
    assert!(relay_finds_author(1, 1) + ROUND_TRIPS <= IN_FORCE);
    assert!(node_finds_relay() + ROUND_TRIPS <= IN_FORCE);
    assert!(node_moves_on() + ROUND_TRIPS <= IN_FORCE);
}

#[test]
fn children_that_look_for_a_relay_in_vain_keep_to_its_new_sessions() {
    let (serve, follow) = (
        DownstreamConfig::default(),
        UpstreamConfig::node(Vec::new()),
    );
    let between_attempts = follow.open_timeout + 0.75 * follow.max_backoff;
    assert!(
        between_attempts >= serve.max_children as f64 / serve.sessions_per_second,
        "{between_attempts}"
    );
    let control = UpstreamConfig::relay(Vec::new());
    assert!(
        control.max_backoff >= 2.0 * serve.min_retry_after,
        "a relay does not keep to what it is asked"
    );
}

#[test]
fn a_region_that_was_apart_has_all_once_it_is_back() {
    for (seed, lasts) in [
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
        let others: Vec<u32> = AUTHORS.into_iter().chain(FAR).collect();
        cut_between(&mut world, &near, &others, lasts);
        world.run(lasts / 2.0);
        let version = publish(&mut world, 1, 1, "while apart");
        world.run(lasts / 2.0);
        assert!(NODES
            .into_iter()
            .all(|id| world.node_of(id).head() < version));
        let most = relay_finds_author(2, 0).max(node_moves_on()) + ROUND_TRIPS;
        let took = until_all_have(&mut world, version, most);
        println!("apart for {lasts} s: all have it after {took:.2} s, of {most:.2} s");
        world.invariants.verify();
    }
}

#[test]
fn an_authors_region_that_was_apart_has_what_its_successor_wrote() {
    for (seed, lasts) in [(11, 60.0), (12, 75.0), (13, 150.0), (14, 400.0)] {
        let mut world = regions(seed);
        let near: Vec<u32> = [1].into_iter().chain(NEAR).chain(NODES).collect();
        let others: Vec<u32> = [2, 3].into_iter().chain(FAR).collect();
        cut_between(&mut world, &near, &others, lasts);
        world.run(LEASE);
        world.with_author(1, |author, now, outputs| author.stand_down(now, outputs));
        grant_lease(&mut world, 2, 2);
        until(&mut world, TAKEOVER + ROUND_TRIPS, "a successor", |world| {
            world.author_of(2).is_writing()
        });
        let version = publish(&mut world, 2, 2, "while apart");
        let left = lasts - world.now + 40.0;
        world.run(left);
        let most = relay_finds_author(2, 0).max(node_moves_on()) + ROUND_TRIPS;
        let took = until_all_have(&mut world, version, most);
        println!("author apart for {lasts} s: all have it after {took:.2} s, of {most:.2} s");
        world.invariants.verify();
    }
}

#[test]
fn half_of_the_control_machines_with_the_author_can_be_lost() {
    for seed in 21..27 {
        let mut world = regions(seed);
        let lost = [1, 3].into_iter().chain(NEAR);
        lost.for_each(|id| world.kill(PeerId(id)));
        let rules = UpstreamConfig::node(Vec::new());
        // The other two upstreams, which are dead, may both be asked before a fallback.
        let most = rules.silence_timeout
            + rules.reconnect_jitter
            + 2.0 * rules.attempt_delay
            + ROUND_TRIPS;
        assert!(most <= IN_FORCE, "{most}");
        assert!(!NODES.into_iter().any(|id| follows_one_of(&world, id, &FAR)));
        let moved = until(&mut world, most, "nodes at other relays", |world| {
            NODES.into_iter().all(|id| follows_one_of(world, id, &FAR))
        });
        world.run(LEASE - moved);
        grant_lease(&mut world, 2, 2);
        let takeover = until(&mut world, TAKEOVER + ROUND_TRIPS, "a successor", |world| {
            world.author_of(2).is_writing()
        });
        let version = publish(&mut world, 2, 2, "by the successor");
        // The two that are dead may both be tried first; the successor may have refused just before.
        let relay = UpstreamConfig::relay(Vec::new());
        let most = relay.reconnect_jitter + 2.0 * relay.open_timeout + ROUND_TRIPS;
        let took = until_all_have(&mut world, version, most);
        println!("moved after {moved:.2} s; took over in {takeover:.2} s; {took:.2} s more, of {most:.2} s");
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
fn children_of_relays_that_are_all_stale_do_not_wander() {
    let mut world = regions(31);
    let lasts = 3600.0;
    let near: Vec<u32> = NEAR.into_iter().chain(NODES).collect();
    let others: Vec<u32> = AUTHORS.into_iter().chain(FAR).collect();
    cut_between(&mut world, &near, &others, lasts);
    let began = world.now;
    world.run(lasts);
    // The first two relays are borne with for `stale` each, the next ones for 2, 4 and then 8 times as long.
    let stale = UpstreamConfig::node(Vec::new()).stale_timeout;
    let most = 4.0 + (lasts / stale - 1.0 - 1.0 - 2.0 - 4.0) / MAX_STALE_FACTOR;
    for id in NODES {
        let left = |recorded: &&RecordedEvent| {
            let stale = matches!(
                recorded.event,
                Event::Left {
                    reason: CloseReason::Stale,
                    ..
                }
            );
            recorded.at > began && recorded.process == PeerId(id) && stale
        };
        let moves = world.invariants.events.iter().filter(left).count();
        assert!(
            (2..=most.ceil() as usize).contains(&moves),
            "{id} moved {moves} times, of {most}"
        );
    }
    world.invariants.verify();
}

#[test]
fn many_nodes_whose_relays_return_have_all_and_keep_to_new_sessions() {
    const MANY: Range<u32> = 100..1600;
    const RELAYS: [u32; 4] = [20, 21, 22, 23];
    let mut world = World::new(41, CALM);
    world.add_author(1, &[]);
    RELAYS.iter().for_each(|id| world.add_relay(*id, &[1]));
    MANY.for_each(|id| node_of_region(&mut world, id, &RELAYS, &[]));
    grant_lease(&mut world, 1, 1);
    world.run(30.0);
    RELAYS.iter().for_each(|id| world.kill(PeerId(*id)));
    world.run(60.0);
    let version = publish(&mut world, 1, 1, "while the relays were away");
    RELAYS.iter().for_each(|id| world.start(PeerId(*id)));
    let began = world.now;
    let serve = DownstreamConfig::default();
    let most = node_finds_relay() + 2.0 * serve.min_retry_after + ROUND_TRIPS;
    let mut children = [0; RELAYS.len()];
    while MANY
        .into_iter()
        .any(|id| world.node_of(id).head() < version)
    {
        assert!(
            world.now - began < most.min(IN_FORCE),
            "not within {most} s"
        );
        world.run(0.5);
        for (before, id) in children.iter_mut().zip(RELAYS) {
            let now = world.relay_of(id).children().count();
            let passed = world.now - began;
            assert!(
                now as f64 <= serve.sessions_per_second * (1.0 + passed),
                "{now} children after {passed} s"
            );
            assert!(
                now <= *before + (1.5 * serve.sessions_per_second) as usize,
                "{before}, then {now} children"
            );
            *before = now;
        }
    }
    println!(
        "1,500 nodes have it after {:.2} s, of {most:.2} s; {children:?} children",
        world.now - began
    );
    world.invariants.verify();
}
