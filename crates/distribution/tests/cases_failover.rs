//! How long it takes until who lost its upstream follows another one, where more of them are dead: candidates are asked
//! beside each other, and none of them twice before all others. Each bound is worked out from the rules.

mod world;

use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name};
use reelfall_distribution::session_end::CloseReason;
use reelfall_distribution::token_bucket::{Budget, TRANSPORT_OVERHEAD_BYTES};
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use world::{
    claim, grant_lease, node_of_region, node_with_upstream, peers, DelayRange, Network,
    RecordedEvent, World, CALM,
};

/// What a node's session elsewhere has to keep to after the loss of its relay, in seconds: 3 s less than a change may take.
const SESSION_ELSEWHERE: Time = 12.0;
/// The answer to a session's beginning and the way of an acknowledgement, each in 20 ms at most.
const ROUND_TRIPS: Time = 0.1;

/// Four relays of the nodes' region and twelve of three others, as in a system of 18 control machines.
const NEAR: Range<u32> = 20..24;
const FAR: Range<u32> = 30..42;
const NODES: Range<u32> = 100..160;

/// An author that writes, relays of all regions, and nodes of one of them that follow their own.
fn regions(seed: u64) -> World {
    let mut world = World::new(seed, CALM);
    world.add_author(1, &[]);
    NEAR.chain(FAR).for_each(|id| world.add_relay(id, &[1]));
    let (near, far): (Vec<u32>, Vec<u32>) = (NEAR.collect(), FAR.collect());
    NODES.for_each(|id| node_of_region(&mut world, id, &near, &far));
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(30.0);
    assert!(NODES.into_iter().all(|id| follows(&world, id, &near)));
    world
}

fn follows(world: &World, node: u32, relays: &[u32]) -> bool {
    world
        .node_of(node)
        .following()
        .is_some_and(|relay| relays.contains(&relay.0))
}

/// Whether a relay has this node's session.
fn is_child(world: &World, relay: u32, node: u32) -> bool {
    world
        .relay_of(relay)
        .children()
        .any(|child| child == PeerId(node))
}

/// Until a node follows another relay after its own died, with so many others that are dead.
fn session_elsewhere(dead: usize) -> Time {
    let rules = UpstreamConfig::node(Vec::new());
    rules.silence_timeout
        + rules.reconnect_jitter
        + dead as Time * rules.attempt_delay
        + ROUND_TRIPS
}

/// When sessions were asked for by a process since a moment, and of whom.
fn asked(world: &World, by: u32, since: Time) -> Vec<(Time, PeerId)> {
    let of = |recorded: &RecordedEvent| match recorded.event {
        Event::Following(peer) if recorded.process == PeerId(by) && recorded.at > since => {
            Some((recorded.at, peer))
        }
        _ => None,
    };
    world.invariants.events.iter().filter_map(of).collect()
}

#[test]
fn nodes_of_a_region_without_relays_have_a_session_though_half_of_the_fallbacks_are_dead() {
    for seed in 1..5 {
        let mut world = regions(seed);
        let dead: Vec<u32> = NEAR.chain(FAR.step_by(2)).collect();
        let alive: Vec<u32> = FAR.filter(|id| !dead.contains(id)).collect();
        dead.iter().for_each(|id| world.kill(PeerId(*id)));
        let most = session_elsewhere(dead.len() - 1);
        assert!(most <= SESSION_ELSEWHERE, "{most}");
        let began = world.now;
        while !NODES
            .into_iter()
            .all(|id| alive.iter().any(|relay| is_child(&world, *relay, id)))
        {
            assert!(world.now - began < most, "seed {seed}: not within {most} s");
            world.run(0.05);
        }
        println!(
            "seed {seed}: all have a session after {:.2} s, of {most:.2} s",
            world.now - began
        );
        world.invariants.verify();
    }
}

#[test]
fn a_node_asks_all_others_once_and_then_one_at_a_time() {
    let mut world = regions(11);
    let lost: BTreeMap<u32, PeerId> = NODES
        .filter_map(|id| Some((id, world.node_of(id).following()?)))
        .collect();
    NEAR.chain(FAR).for_each(|id| world.kill(PeerId(id)));
    let began = world.now;
    world.run(300.0);
    let rules = UpstreamConfig::node(Vec::new());
    let others = NEAR.len() + FAR.len() - 1;
    for id in NODES {
        let asked = asked(&world, id, began);
        let (all, later) = asked.split_at(others);
        let whom: BTreeSet<PeerId> = all.iter().map(|(_, peer)| *peer).collect();
        assert_eq!(
            whom.len(),
            others,
            "{id} asked somebody twice before all others"
        );
        assert!(
            !whom.contains(&lost[&id]),
            "{id} asked the one that it lost before all others"
        );
        let pause = |pair: &[(Time, PeerId)]| pair[1].0 - pair[0].0;
        // Clocks run unlike.
        let is_delay = |pause: Time| (pause - rules.attempt_delay).abs() < 0.01;
        assert!(all.windows(2).map(pause).all(is_delay), "{id}: {all:?}");
        let least = rules.open_timeout + rules.max_backoff / 2.0 - 0.01;
        let from_last = &asked[others - 1..];
        assert!(
            later.len() > 10 && from_last.windows(2).map(pause).all(|pause| pause > least),
            "{id}"
        );
    }
    world.invariants.verify();
}

/// What a node sends to all that it asks keeps to the budget of one link, also where it asks more than that allows.
#[test]
fn asking_many_brings_no_new_budget() {
    const TEN_SECONDS: Time = 10.0;
    let mut world = World::new(12, CALM);
    let nobody: Vec<u32> = (20..100).collect();
    let follow = UpstreamConfig {
        attempt_delay: 0.02,
        ..UpstreamConfig::node(peers(&nobody))
    };
    NODES.for_each(|id| node_with_upstream(&mut world, id, follow.clone()));
    world.run(60.0);
    // Clocks run unlike by less than a thousandth.
    let most = 1.001 * TEN_SECONDS * Budget::UP.bytes_per_second + Budget::UP.burst_bytes;
    let mut busiest: f64 = 0.0;
    for id in NODES {
        let whom: BTreeSet<PeerId> = asked(&world, id, 0.0)
            .iter()
            .map(|(_, peer)| *peer)
            .collect();
        assert_eq!(whom.len(), nobody.len(), "{id}");
        let frames = world
            .sent_frames
            .iter()
            .filter(|frame| frame.from == PeerId(id));
        let frames: Vec<(Time, f64)> = frames
            .map(|frame| (frame.at, (frame.bytes + TRANSPORT_OVERHEAD_BYTES) as f64))
            .collect();
        for (from, _) in &frames {
            let window = frames
                .iter()
                .filter(|(at, _)| (*from..from + TEN_SECONDS).contains(at));
            let bytes: f64 = window.map(|(_, bytes)| bytes).sum();
            assert!(bytes <= most, "{id}: {bytes} of {most} bytes from {from}");
            busiest = busiest.max(bytes);
        }
    }
    assert!(
        busiest > 0.9 * most,
        "the budget was not needed: {busiest} of {most} bytes"
    );
}

/// Answers come later than the next candidate is asked: the first is followed, and the others are let go at once.
#[test]
fn slow_upstreams_are_followed_and_those_that_answered_later_are_left() {
    let mut world = World::new(13, CALM);
    // No frame overtakes another: an end that comes before its beginning leaves a session until the relay's `silence`.
    world.network = Network {
        delay: DelayRange {
            min: 0.45,
            max: 0.46,
        },
        ..CALM
    };
    world.add_author(1, &[]);
    let relays: Vec<u32> = NEAR.collect();
    relays.iter().for_each(|id| world.add_relay(*id, &[1]));
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(20.0);
    NODES.for_each(|id| node_of_region(&mut world, id, &relays, &[]));
    let rules = UpstreamConfig::node(Vec::new());
    // The session is there, and what the others were told last has come: less than their `silence` of 20 s.
    let most = rules.reconnect_jitter + rules.open_timeout + 2.0;
    world.run(most);
    let mut asked_more_than_one = 0;
    for id in NODES {
        let sessions: Vec<u32> = relays
            .iter()
            .copied()
            .filter(|relay| is_child(&world, *relay, id))
            .collect();
        assert_eq!(sessions.len(), 1, "{id} is a child of {sessions:?}");
        assert!(
            follows(&world, id, &sessions),
            "{id} is a child of {sessions:?}"
        );
        asked_more_than_one += usize::from(asked(&world, id, 0.0).len() > 1);
    }
    assert!(
        asked_more_than_one > NODES.len() / 2,
        "{asked_more_than_one} asked more than one"
    );
    let silent = |recorded: &&RecordedEvent| {
        recorded.process.0 >= NODES.start
            && matches!(
                recorded.event,
                Event::Left {
                    reason: CloseReason::TimedOut,
                    ..
                }
            )
    };
    assert_eq!(world.invariants.events.iter().find(silent), None);
    world.invariants.verify();
}

/// An author that refused is asked again once it may be, also while one that is dead has not answered yet.
#[test]
fn relays_follow_a_successor_as_soon_as_it_may_be_asked_again() {
    let rest = 2.0 * DownstreamConfig::default().min_retry_after;
    for seed in 21..27 {
        let mut world = World::new(seed, CALM);
        let relays: Vec<u32> = NEAR.chain(FAR).collect();
        (1..4).for_each(|id| world.add_author(id, &relays));
        relays
            .iter()
            .for_each(|id| world.add_relay(*id, &[1, 2, 3]));
        grant_lease(&mut world, 1, 1, 1e6);
        world.run(30.0);
        [1, 3].into_iter().for_each(|id| world.kill(PeerId(id)));
        world.run(15.0);
        grant_lease(&mut world, 2, 2, 1e6);
        while !world.author_of(2).is_writing() {
            world.run(0.01);
        }
        let draft = Draft::put(Name::service("a", "x"), b"by the successor");
        let published = world.with_author(2, |author, now, outputs| {
            author.publish(now, &claim(2), vec![draft], outputs)
        });
        let version = published.unwrap().unwrap();
        let began = world.now;
        let rules = UpstreamConfig::relay(Vec::new());
        let most = rest + rules.attempt_delay + 2.0 * ROUND_TRIPS;
        let has_it =
            |world: &World, id: &u32| world.relay_of(*id).coverage().last_version() >= version;
        let mut times: BTreeMap<u32, Time> = BTreeMap::new();
        while times.len() < relays.len() {
            let passed = world.now - began;
            assert!(
                passed < most,
                "seed {seed}: {} of {} relays within {most} s",
                times.len(),
                relays.len()
            );
            let now_there = relays
                .iter()
                .filter(|id| !times.contains_key(id) && has_it(&world, id));
            times.extend(now_there.map(|id| (*id, passed)).collect::<Vec<_>>());
            world.run(0.02);
        }
        let last = times.values().copied().fold(0.0, f64::max);
        println!("seed {seed}: all relays have it after {last:.2} s, of {most:.2} s");
        world.invariants.verify();
    }
}

/// Fallbacks do not wait until all of a region's relays have been asked.
#[test]
fn a_fallback_is_asked_early_where_many_upstreams_are_dead() {
    const BEFORE_A_FALLBACK: Time = 3.0;
    let mut world = World::new(31, CALM);
    world.add_author(1, &[]);
    world.add_relay(FAR.start, &[1]);
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(20.0);
    let nobody: Vec<u32> = (FAR.end..NODES.start).collect();
    NODES.for_each(|id| node_of_region(&mut world, id, &nobody, &[FAR.start]));
    let rules = UpstreamConfig::node(Vec::new());
    world.run(rules.reconnect_jitter + BEFORE_A_FALLBACK * rules.attempt_delay + ROUND_TRIPS);
    let without: Vec<u32> = NODES
        .filter(|id| !is_child(&world, FAR.start, *id))
        .collect();
    assert_eq!(without, [0; 0]);
}
