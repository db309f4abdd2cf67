//! How long a process that lost its upstream takes to follow another one while others are dead as well: candidates are
//! tried in parallel, and none of them twice before all others. Each bound is computed from the configuration.

mod world;

use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name};
use reelfall_distribution::token_bucket::{Budget, TRANSPORT_OVERHEAD_BYTES};
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use world::{
    claim, grant_lease, node_of_region, node_with_upstream, peers, DelayRange, Network,
    RecordedEvent, World, CALM,
};

/// Maximum time from the loss of a relay to a session with another one, in seconds: 3 s less than a change may take.
const MAX_FAILOVER_TIME: Time = 12.0;
/// The response to the opening of a session and an acknowledgement, each in 20 ms at most, in seconds.
const ROUND_TRIPS: Time = 0.1;

/// Four relays of the nodes' region and twelve of three others, as in a system of 18 control machines.
const NEAR: Range<u32> = 20..24;
const FAR: Range<u32> = 30..42;
const NODES: Range<u32> = 100..160;

/// A publisher with the lease, relays of all regions, and nodes of one region that follow its relays.
fn regions(seed: u64) -> World {
    let mut world = World::new(seed, CALM);
    world.add_publisher(1, &[]);
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

/// How long a node takes to follow another relay after its own died, while a number of others are dead.
fn failover_time(dead: usize) -> Time {
    let config = UpstreamConfig::node(Vec::new());
    config.silence_timeout
        + config.reconnect_jitter
        + dead as Time * config.attempt_delay
        + ROUND_TRIPS
}

/// A session that a process tried to open.
#[derive(Debug)]
struct SessionAttempt {
    at: Time,
    peer: PeerId,
}

/// The sessions that a process tried to open since a moment.
fn session_attempts(world: &World, process: u32, since: Time) -> Vec<SessionAttempt> {
    let to_attempt = |recorded: &RecordedEvent| match recorded.event {
        Event::Following(peer) if recorded.process == PeerId(process) && recorded.at > since => {
            Some(SessionAttempt {
                at: recorded.at,
                peer,
            })
        }
        _ => None,
    };
    world
        .invariants
        .events
        .iter()
        .filter_map(to_attempt)
        .collect()
}

#[test]
fn nodes_find_a_session_when_half_of_the_fallbacks_are_dead() {
    for seed in 1..5 {
        let mut world = regions(seed);
        let dead: Vec<u32> = NEAR.chain(FAR.step_by(2)).collect();
        let alive: Vec<u32> = FAR.filter(|id| !dead.contains(id)).collect();
        dead.iter().for_each(|id| world.kill(PeerId(*id)));
        let limit = failover_time(dead.len() - 1);
        assert!(limit <= MAX_FAILOVER_TIME, "{limit}");
        let began = world.now;
        while !NODES
            .into_iter()
            .all(|id| alive.iter().any(|relay| is_child(&world, *relay, id)))
        {
            assert!(
                world.now - began < limit,
                "seed {seed}: not within {limit} s"
            );
            world.run(0.05);
        }
        println!(
            "seed {seed}: all nodes have a session after {:.2} s, of {limit:.2} s",
            world.now - began
        );
        world.invariants.verify();
    }
}

#[test]
fn all_candidates_are_tried_once_before_any_is_retried() {
    let mut world = regions(11);
    let lost: BTreeMap<u32, PeerId> = NODES
        .filter_map(|id| Some((id, world.node_of(id).following()?)))
        .collect();
    NEAR.chain(FAR).for_each(|id| world.kill(PeerId(id)));
    let began = world.now;
    world.run(300.0);
    let config = UpstreamConfig::node(Vec::new());
    let others = NEAR.len() + FAR.len() - 1;
    for id in NODES {
        let attempts = session_attempts(&world, id, began);
        let (first_round, later) = attempts.split_at(others);
        let candidates: BTreeSet<PeerId> = first_round.iter().map(|attempt| attempt.peer).collect();
        assert_eq!(
            candidates.len(),
            others,
            "{id} tried a relay twice before all others"
        );
        assert!(
            !candidates.contains(&lost[&id]),
            "{id} tried the relay that it lost before all others"
        );
        let pause = |pair: &[SessionAttempt]| pair[1].at - pair[0].at;
        // The clocks of processes drift.
        let is_delay = |pause: Time| (pause - config.attempt_delay).abs() < 0.01;
        assert!(
            first_round.windows(2).map(pause).all(is_delay),
            "{id}: {first_round:?}"
        );
        let min_pause = config.open_timeout + config.max_backoff / 2.0 - 0.01;
        let from_last = &attempts[others - 1..];
        assert!(
            later.len() > 10
                && from_last
                    .windows(2)
                    .map(pause)
                    .all(|pause| pause > min_pause),
            "{id}"
        );
    }
    world.invariants.verify();
}

/// What a node sends to all candidates stays within the budget of one link, even if it tries more candidates than that
/// budget allows.
#[test]
fn many_connection_attempts_stay_within_one_link_budget() {
    const TEN_SECONDS: Time = 10.0;
    let mut world = World::new(12, CALM);
    let absent_relays: Vec<u32> = (20..100).collect();
    let upstream = UpstreamConfig {
        attempt_delay: 0.02,
        ..UpstreamConfig::node(peers(&absent_relays))
    };
    NODES.for_each(|id| node_with_upstream(&mut world, id, upstream.clone()));
    world.run(60.0);
    // The clocks of processes drift by less than a thousandth.
    let limit = 1.001 * TEN_SECONDS * Budget::NODE_UPLINK.bytes_per_second
        + Budget::NODE_UPLINK.burst_bytes;
    let mut busiest: f64 = 0.0;
    for id in NODES {
        let candidates: BTreeSet<PeerId> = session_attempts(&world, id, 0.0)
            .iter()
            .map(|attempt| attempt.peer)
            .collect();
        assert_eq!(candidates.len(), absent_relays.len(), "{id}");
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
            assert!(bytes <= limit, "{id}: {bytes} of {limit} bytes from {from}");
            busiest = busiest.max(bytes);
        }
    }
    assert!(
        busiest > 0.9 * limit,
        "the budget was not needed: {busiest} of {limit} bytes"
    );
}

/// Responses arrive later than the next candidate is tried: the first one to respond is followed, the others are
/// released.
#[test]
fn first_slow_upstream_is_followed_and_the_others_are_released() {
    let mut world = World::new(13, CALM);
    // No frame overtakes another: a close that overtakes its open would leave a session until the relay's timeout.
    world.network = Network {
        delay: DelayRange {
            min: 0.45,
            max: 0.46,
        },
        ..CALM
    };
    world.add_publisher(1, &[]);
    let relays: Vec<u32> = NEAR.collect();
    relays.iter().for_each(|id| world.add_relay(*id, &[1]));
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(20.0);
    NODES.for_each(|id| node_of_region(&mut world, id, &relays, &[]));
    let config = UpstreamConfig::node(Vec::new());
    // The session is open, and the others have received their close: less than their silence timeout of 20 s.
    let limit = config.reconnect_jitter + config.open_timeout + 2.0;
    world.run(limit);
    let mut tried_more_than_one = 0;
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
        tried_more_than_one += usize::from(session_attempts(&world, id, 0.0).len() > 1);
    }
    assert!(
        tried_more_than_one > NODES.len() / 2,
        "{tried_more_than_one} tried more than one"
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

/// A publisher that rejected a session is tried again after its retry delay, even while a dead one has not responded
/// yet.
#[test]
fn relays_follow_a_successor_once_its_retry_delay_has_passed() {
    let retry_delay = 2.0 * DownstreamConfig::default().min_retry_after;
    for seed in 21..27 {
        let mut world = World::new(seed, CALM);
        let relays: Vec<u32> = NEAR.chain(FAR).collect();
        (1..4).for_each(|id| world.add_publisher(id, &relays));
        relays
            .iter()
            .for_each(|id| world.add_relay(*id, &[1, 2, 3]));
        grant_lease(&mut world, 1, 1, 1e6);
        world.run(30.0);
        [1, 3].into_iter().for_each(|id| world.kill(PeerId(id)));
        world.run(15.0);
        grant_lease(&mut world, 2, 2, 1e6);
        while !world.publisher_of(2).is_publishing() {
            world.run(0.01);
        }
        let draft = Draft::put(Name::service("a", "x"), b"by the successor");
        let published = world.with_publisher(2, |publisher, now, outputs| {
            publisher.publish(now, &claim(2), vec![draft], outputs)
        });
        let version = published.unwrap().unwrap();
        let began = world.now;
        let config = UpstreamConfig::relay(Vec::new());
        let limit = retry_delay + config.attempt_delay + 2.0 * ROUND_TRIPS;
        let has_change =
            |world: &World, id: &u32| world.relay_of(*id).coverage().last_version() >= version;
        let mut times: BTreeMap<u32, Time> = BTreeMap::new();
        while times.len() < relays.len() {
            let elapsed = world.now - began;
            assert!(
                elapsed < limit,
                "seed {seed}: {} of {} relays within {limit} s",
                times.len(),
                relays.len()
            );
            let newly_updated = relays
                .iter()
                .filter(|id| !times.contains_key(id) && has_change(&world, id));
            times.extend(newly_updated.map(|id| (*id, elapsed)).collect::<Vec<_>>());
            world.run(0.02);
        }
        let last = times.values().copied().fold(0.0, f64::max);
        println!("seed {seed}: all relays have the change after {last:.2} s, of {limit:.2} s");
        world.invariants.verify();
    }
}

/// A fallback does not wait until all relays of the region have been tried.
#[test]
fn fallback_is_tried_before_all_dead_upstreams() {
    const TRIES_BEFORE_FALLBACK: Time = 3.0;
    let mut world = World::new(31, CALM);
    world.add_publisher(1, &[]);
    world.add_relay(FAR.start, &[1]);
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(20.0);
    let absent_relays: Vec<u32> = (FAR.end..NODES.start).collect();
    NODES.for_each(|id| node_of_region(&mut world, id, &absent_relays, &[FAR.start]));
    let config = UpstreamConfig::node(Vec::new());
    world.run(config.reconnect_jitter + TRIES_BEFORE_FALLBACK * config.attempt_delay + ROUND_TRIPS);
    let unconnected: Vec<u32> = NODES
        .filter(|id| !is_child(&world, FAR.start, *id))
        .collect();
    assert_eq!(unconnected, [0; 0]);
}
