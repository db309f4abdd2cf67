//! Relays with a backlog: batches are published faster than a link carries them; after the last batch, the relays catch
//! up.

mod world;

use rand::Rng;
use reelfall_distribution::coverage::GAP_FILL_MIN_SPANS;
use reelfall_distribution::log::ChangeLog;
use reelfall_distribution::output::Record;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Key, Name, Selector, Version};
use reelfall_distribution::Time;
use std::collections::BTreeMap;
use world::{claim, DelayRange, Network, SentFrame, World};

const PUBLISHER: u32 = 1;
const FIRST_RELAY: u32 = 10;
const REGION_RELAY: u32 = 20;
/// One frame of 16 KB in a round trip: about 125,000 bytes a second.
const SLOW_LINKS: Network = Network {
    loss: 0.0,
    duplication: 0.0,
    delay: DelayRange {
        min: 0.05,
        max: 0.055,
    },
};
/// Number of batches, more than a coverage has spans.
const BATCHES: usize = 130;
const BATCH_CHANGES: usize = 75;
/// The body of a change; with its overhead, a batch has 45,000 bytes.
const BODY: [u8; 500] = [7; 500];
/// Number of urgent changes. Each is in a span of its own, with other changes between them.
const URGENT_CHANGES: usize = 200;
/// Interval of batches, in seconds.
const BATCH_INTERVAL: Time = 0.25;
/// How long relays have to catch up, in seconds. The backlog after the last batch, a third of all, takes 16 s.
const CATCH_UP_TIME: Time = 25.0;

/// A publisher with the lease, a relay that follows it, and one that follows that relay.
fn chain(seed: u64) -> World {
    let mut world = World::new(seed, SLOW_LINKS);
    world.add_publisher(PUBLISHER, &[FIRST_RELAY]);
    world.add_relay(FIRST_RELAY, &[PUBLISHER]);
    world.add_relay(REGION_RELAY, &[FIRST_RELAY]);
    let until = world.processes[&PeerId(PUBLISHER)].clock(1e6);
    let held = world.with_publisher(PUBLISHER, |publisher, now, outputs| {
        publisher.hold_lease(now, &claim(1), until, outputs)
    });
    assert_eq!(held, Some(Ok(())));
    world.run(30.0);
    world
}

fn publish(world: &mut World, drafts: Vec<Draft>) -> Version {
    let published = world.with_publisher(PUBLISHER, |publisher, now, outputs| {
        publisher.publish(now, &claim(1), drafts, outputs)
    });
    published.unwrap().unwrap()
}

fn batch(number: usize) -> Vec<Draft> {
    let name = |item| Name::service("a", &format!("b{number}-{item}"));
    (0..BATCH_CHANGES)
        .map(|item| Draft::put(name(item), &BODY))
        .collect()
}

fn publish_batches(world: &mut World, numbers: std::ops::Range<usize>) -> Version {
    let mut last = Version::ZERO;
    for number in numbers {
        last = publish(world, batch(number));
        world.run(BATCH_INTERVAL);
    }
    last
}

fn bytes_between(world: &World, from: u32, to: u32) -> usize {
    let pair = |sent: &&SentFrame| sent.from == PeerId(from) && sent.to == PeerId(to);
    world
        .sent_frames
        .iter()
        .filter(pair)
        .map(|sent| sent.bytes)
        .sum()
}

#[test]
fn backlog_is_delivered_completely_and_once() {
    let mut world = chain(1);
    let last = publish_batches(&mut world, 0..BATCHES);
    assert!(
        !world.relay_of(FIRST_RELAY).coverage().is_contiguous(),
        "there is no backlog"
    );
    world.run(CATCH_UP_TIME);
    let published: usize = world.publisher_of(PUBLISHER).log().bytes();
    for (upstream, relay) in [(PUBLISHER, FIRST_RELAY), (FIRST_RELAY, REGION_RELAY)] {
        let machine = world.relay_of(relay);
        assert_eq!(
            machine.coverage().contiguous_end(),
            last,
            "relay {relay}: {:?}",
            machine.coverage().spans().len()
        );
        assert_eq!(machine.log().len(), BATCHES * BATCH_CHANGES);
        let sent = bytes_between(&world, upstream, relay);
        assert!(
            sent < published * 11 / 10,
            "{sent} bytes to {relay} for {published}"
        );
    }
}

#[test]
fn urgent_change_overtakes_the_backlog() {
    let mut world = chain(2);
    publish_batches(&mut world, 0..BATCHES);
    let ban = Draft::put(Name::common("ban"), b"ban").urgent();
    let version = publish(&mut world, vec![ban]);
    publish(&mut world, batch(BATCHES));
    // On each link the change waits for the round trip of the frame in flight, and then takes its own transit time.
    world.run(0.4);
    for relay in [FIRST_RELAY, REGION_RELAY] {
        assert!(
            !world.relay_of(relay).coverage().is_contiguous(),
            "there is no backlog"
        );
        assert!(
            world.relay_of(relay).log().get_version(version).is_some(),
            "relay {relay} has not received the ban"
        );
    }
}

#[test]
fn more_urgent_changes_than_coverage_spans_are_delivered_once() {
    let mut world = chain(3);
    let mut last = Version::ZERO;
    let mut drafts = Vec::new();
    for number in 0..URGENT_CHANGES {
        drafts.push(Draft::put(Name::common(&format!("ban{number}")), b"ban").urgent());
        drafts.extend(
            (0..4).map(|item| Draft::put(Name::service("a", &format!("r{number}-{item}")), &BODY)),
        );
    }
    for batch in drafts.chunks(BATCH_CHANGES) {
        last = publish(&mut world, batch.to_vec());
        world.run(0.05);
    }
    world.run(CATCH_UP_TIME);
    let published = world.publisher_of(PUBLISHER).log().bytes();
    for (upstream, relay) in [(PUBLISHER, FIRST_RELAY), (FIRST_RELAY, REGION_RELAY)] {
        assert_eq!(
            world.relay_of(relay).coverage().contiguous_end(),
            last,
            "relay {relay}"
        );
        let sent = bytes_between(&world, upstream, relay);
        assert!(
            sent < published * 11 / 10,
            "{sent} bytes to {relay} for {published}"
        );
    }
}

/// Number of keys; a list of them takes several frames.
const KEY_COUNT: u32 = 9_000;

fn key_name(item: u32) -> Name {
    Name::service("a", &format!("r{item}"))
}

/// Publishes all keys and waits until the relays have them.
fn publish_all_keys(world: &mut World) {
    let drafts = (0..KEY_COUNT)
        .map(|item| Draft::put(key_name(item), b"old"))
        .collect();
    publish(world, drafts);
    world.run(30.0);
}

#[test]
fn removals_missed_in_a_partition_reach_downstream_relays() {
    let mut world = chain(4);
    publish_all_keys(&mut world);
    assert_eq!(world.relay_of(REGION_RELAY).log().len(), KEY_COUNT as usize);
    world.partition(PeerId(PUBLISHER), PeerId(FIRST_RELAY), 5.0);
    // More removals than the publisher retains.
    publish(
        &mut world,
        (0..200).map(|item| Draft::remove(key_name(item))).collect(),
    );
    let last = publish(&mut world, vec![Draft::put(key_name(200), b"new")]);
    world.run(60.0);
    let published = contents(world.publisher_of(PUBLISHER).log());
    for relay in [FIRST_RELAY, REGION_RELAY] {
        let machine = world.relay_of(relay);
        assert_eq!(machine.coverage().contiguous_end(), last, "relay {relay}");
        let removed = contents(machine.log()).len() - published.len();
        assert_eq!(removed, 0, "relay {relay} has keys that were removed");
    }
}

const NODE: u32 = 100;

#[test]
fn process_restarted_before_storing_its_coverage_learns_of_removals() {
    let mut world = chain(5);
    publish_all_keys(&mut world);
    let new_processes = [REGION_RELAY + 1, NODE].map(PeerId);
    world.add_relay(REGION_RELAY + 1, &[FIRST_RELAY]);
    world.add_node(NODE, &[FIRST_RELAY], &[Selector::Services]);
    for process in new_processes {
        while !world.processes[&process]
            .disk
            .iter()
            .any(|record| matches!(record, Record::Put(_)))
        {
            world.run(0.05);
        }
        let is_covered = |record: &Record| matches!(record, Record::Covered { .. });
        assert!(
            !world.processes[&process].disk.iter().any(is_covered),
            "{process:?} has stored its coverage"
        );
        world.kill(process);
    }
    // More removals than any process retains; the first ones are of the latest keys, which reached the new processes
    // first.
    publish(
        &mut world,
        (100..KEY_COUNT)
            .rev()
            .map(|item| Draft::remove(key_name(item)))
            .collect(),
    );
    world.run(30.0);
    new_processes
        .into_iter()
        .for_each(|process| world.start(process));
    world.run(60.0);
    let published = contents(world.publisher_of(PUBLISHER).log());
    assert_eq!(published.len(), 100);
    assert!(
        contents(world.relay_of(REGION_RELAY + 1).log()) == published,
        "the relay does not have the contents of the publisher"
    );
    let node = world.node_of(NODE);
    let applied = (0..KEY_COUNT)
        .filter(|item| node.applied_change(&key_name(*item)).is_some())
        .count();
    assert_eq!(applied, published.len(), "resources that the node applies");
}

/// Length of a body that takes several frames, in bytes.
const LONG_BODY_BYTES: usize = 40_000;
/// Number of names of random changes, so that later ones replace earlier ones.
const RANDOM_NAME_COUNT: u32 = 3_000;

fn random_change(world: &mut World) -> Draft {
    let rng = &mut world.rng;
    let name = Name::service("a", &format!("r{}", rng.random_range(0..RANDOM_NAME_COUNT)));
    let content: u64 = rng.random();
    let mut body = content.to_le_bytes().to_vec();
    body.resize(
        if rng.random_bool(0.003) {
            LONG_BODY_BYTES
        } else {
            500
        },
        7,
    );
    let draft = if rng.random_bool(0.02) {
        Draft::remove(name)
    } else {
        Draft::put(name, &body)
    };
    if rng.random_bool(0.02) {
        draft.urgent()
    } else {
        draft
    }
}

/// The present resources of a log, without its removals.
fn contents(log: &ChangeLog) -> BTreeMap<Key, (Version, Vec<u8>)> {
    let present = log.changes().filter(|change| !change.is_removal());
    let entry = |bytes: &[u8], version| (version, bytes.to_vec());
    present
        .map(|change| {
            (
                change.key.clone(),
                entry(change.content.bytes(), change.version),
            )
        })
        .collect()
}

/// Two relays that follow a publisher, and one that follows either of them; frames are lost, relays are killed and
/// restarted.
fn run_random_batches(seed: u64) {
    const RELAYS: [u32; 3] = [FIRST_RELAY, FIRST_RELAY + 1, REGION_RELAY];
    let mut world = chain(seed);
    world.add_relay(RELAYS[1], &[PUBLISHER]);
    world.add_relay(RELAYS[2], &RELAYS[..2]);
    world.run(10.0);
    world.network.loss = 0.02;
    let mut last = Version::ZERO;
    let mut max_spans = 0;
    for _ in 0..2 * BATCHES {
        let count = world.rng.random_range(1..2 * BATCH_CHANGES);
        let drafts = (0..count).map(|_| random_change(&mut world)).collect();
        last = publish(&mut world, drafts);
        world.run(BATCH_INTERVAL);
        let running = RELAYS
            .iter()
            .filter(|relay| world.processes[&PeerId(**relay)].machine.is_some());
        let spans = running.map(|relay| world.relay_of(*relay).coverage().spans().len());
        max_spans = spans.max().unwrap_or(0).max(max_spans);
        let relay = PeerId(RELAYS[world.rng.random_range(0..RELAYS.len())]);
        if world.rng.random_bool(0.01) {
            world.kill(relay);
        }
        if world.rng.random_bool(0.1) {
            world.start(relay);
        }
    }
    assert!(
        max_spans >= GAP_FILL_MIN_SPANS,
        "seed {seed}: {max_spans} spans"
    );
    world.heal();
    world.run(60.0);
    let published = contents(world.publisher_of(PUBLISHER).log());
    for relay in RELAYS {
        let machine = world.relay_of(relay);
        assert_eq!(
            machine.coverage().contiguous_end(),
            last,
            "seed {seed}, relay {relay}"
        );
        assert!(
            contents(machine.log()) == published,
            "seed {seed}: relay {relay} does not have the contents of the publisher"
        );
    }
}

/// Number of runs; 10 unless the environment variable `BEHIND` sets another.
fn run_count() -> u64 {
    std::env::var("BEHIND")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(10)
}

#[test]
fn random_batches_reach_lagging_relays_completely() {
    (0..run_count()).for_each(run_random_batches);
}
