//! Defences by themselves: each case forces the failure that one of them is there for.

mod world;

use reelfall_distribution::author::{Author, AuthorConfig};
use reelfall_distribution::child::Child;
use reelfall_distribution::coverage::{Coverage, Span, GAP_FILL_MIN_SPANS};
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::epoch::Epoch;
use reelfall_distribution::link::Link;
use reelfall_distribution::log::{Capacity, ChangeLog};
use reelfall_distribution::message::{decode, Payload, Subscribe};
use reelfall_distribution::output::{Event, Output, Record};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::replica_view::ReplicaView;
use reelfall_distribution::resource::{
    Change, Content, Draft, Key, NodeFraction, Selector, Slot, Urgency, Version,
};
use reelfall_distribution::restore::RestoredState;
use reelfall_distribution::session_end::CloseReason;
use reelfall_distribution::token_bucket::Budget;
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::Time;
use world::{
    claim, grant_lease, lease, name, put, two_authors_and_relays, RecordedEvent, World, CALM,
};

const NODES: std::ops::Range<u32> = 100..104;

/// An author without relays: it writes as soon as it holds the lease.
fn author_alone() -> Author {
    let config = AuthorConfig {
        lease: lease(),
        upstream: UpstreamConfig::relay(Vec::new()),
        downstream: DownstreamConfig::default(),
        capacity: Capacity {
            max_keys: 100,
            max_bytes: 1 << 20,
            max_tombstones: 10,
        },
        history_bytes: 1 << 20,
        takeover_timeout: 5.0,
        seed: 1,
    };
    Author::new(config, 0.0)
}

/// Two authors, of whom the first may write for so long; two relays, four nodes.
fn tree(seed: u64, lasts: Time) -> World {
    let mut world = two_authors_and_relays(seed);
    for id in NODES {
        world.add_node(id, &[10, 11], &[Selector::service("a")]);
    }
    grant_lease(&mut world, 1, 1, lasts);
    world
}

fn publish(world: &mut World, author: u32, token: u64, drafts: Vec<Draft>) -> Version {
    let t = world.now;
    let version = world
        .with_author(author, |author, now, outputs| {
            author.publish(now, &claim(token), drafts, outputs)
        })
        .unwrap()
        .unwrap();
    world.invariants.published(t, version);
    version
}

/// A process that stood still is asked to write before it is polled: the call itself has to look at the time.
#[test]
fn an_author_that_was_not_polled_writes_nothing_once_its_lease_is_over() {
    let mut author = author_alone();
    let mut outputs = Vec::new();
    let part = NodeFraction {
        thousandths: 500,
        seed: 1,
    };
    author
        .hold_lease(1.0, &claim(1), 5.0, &mut outputs)
        .unwrap();
    let in_time = author
        .publish(4.9, &claim(1), vec![put("x", b"in time")], &mut outputs)
        .unwrap();
    author
        .publish_canary(4.9, &claim(1), put("y", b"in time"), part, &mut outputs)
        .unwrap();
    outputs.clear();
    let late = [
        author.publish(5.0, &claim(1), vec![put("x", b"late")], &mut outputs),
        author.publish_canary(
            5.0,
            &claim(1),
            put("y", b"late"),
            NodeFraction::ALL,
            &mut outputs,
        ),
        author.promote_canary(5.0, &claim(1), &name("y"), &mut outputs),
        author.revert(5.0, &claim(1), in_time, &mut outputs),
    ];
    assert_eq!(late, [const { Err(PublishError::LeaseNotHeld) }; 4]);
    assert!(outputs.is_empty(), "{outputs:?}");
}

/// Without a call of its driver an author ends with its lease: its followers leave it for who may come after it, and what
/// it has is no longer shown as the latest.
#[test]
fn an_author_ends_its_sessions_with_its_lease() {
    let mut world = tree(1, 60.0);
    world.run(59.0);
    assert!(world.author_of(1).is_writing());
    assert_eq!(world.author_of(1).children().count(), 2);
    world.run(1.5);
    assert!(!world.author_of(1).is_writing());
    assert_eq!(world.author_of(1).children().count(), 0);
    let sent_away = |recorded: &&RecordedEvent| {
        recorded.process == PeerId(1)
            && matches!(
                recorded.event,
                Event::ChildLost {
                    reason: CloseReason::Fenced,
                    ..
                }
            )
    };
    assert_eq!(world.invariants.events.iter().filter(sent_away).count(), 2);
    world.run(20.0);
    for id in NODES {
        let age = world
            .node_of(id)
            .staleness(world.processes[&PeerId(id)].clock(world.now));
        assert!(
            age >= 20.0,
            "{id} shows an age of {age} s, 20 s after the last author"
        );
    }
}

/// The relays that still follow an author whose lease is over go over to the next one, and none says meanwhile that what
/// it has is the latest.
#[test]
fn relays_of_an_author_without_its_lease_go_over_to_the_next() {
    let mut world = tree(2, 60.0);
    world.run(60.5);
    grant_lease(&mut world, 2, 2, 1e6);
    world.run(10.0);
    publish(&mut world, 2, 2, vec![put("x", b"two")]);
    world.run(60.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"two"[..]),
            "{id}"
        );
    }
    world.invariants.verify();
}

/// The next author hears all first relays, not the first of them alone: the last one told one relay, and died.
#[test]
fn what_one_first_relay_alone_was_told_is_not_lost() {
    let mut world = tree(3, 1e6);
    world.run(60.0);
    let followed =
        |world: &World, relay: u32| world.relay_of(relay).children().any(|id| id == PeerId(2));
    let (far, near) = if followed(&world, 10) {
        (10, 11)
    } else {
        (11, 10)
    };
    assert!(followed(&world, far) && !followed(&world, near));
    world.partition(PeerId(1), PeerId(far), 60.0);
    let version = publish(&mut world, 1, 1, vec![put("x", b"one")]);
    world.run(2.0);
    assert_eq!(world.relay_of(near).log().last_version(), version);
    assert!(world.relay_of(far).log().last_version() < version);
    world.kill(PeerId(1));
    grant_lease(&mut world, 2, 2, 1e6);
    world.run(60.0);
    assert!(world.author_of(2).is_writing());
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"one"[..]),
            "{id}"
        );
    }
    world.invariants.verify();
}

/// An author that was cut off writes again, without having heard of the one that wrote meanwhile and did not know its last
/// change. The relays cover that change by the other one's word, so they do not ask for it.
#[test]
fn what_an_author_between_did_not_know_comes_to_all() {
    let mut world = tree(4, 1e6);
    world.run(60.0);
    publish(&mut world, 1, 1, vec![put("x", b"one")]);
    world.run(10.0);
    for relay in [10, 11] {
        world.partition(PeerId(1), PeerId(relay), 120.0);
    }
    publish(&mut world, 1, 1, vec![put("x", b"apart")]);
    world.with_author(1, |author, now, outputs| author.stand_down(now, outputs));
    grant_lease(&mut world, 2, 2, 1e6);
    world.run(80.0);
    publish(&mut world, 2, 2, vec![put("y", b"between")]);
    world.run(10.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"one"[..]),
            "{id}"
        );
        assert_eq!(
            world.bytes_at(id, &name("y")).as_deref(),
            Some(&b"between"[..]),
            "{id}"
        );
    }
    world.with_author(2, |author, now, outputs| author.stand_down(now, outputs));
    grant_lease(&mut world, 1, 3, 1e6);
    world.run(200.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"apart"[..]),
            "{id}"
        );
        assert_eq!(
            world.bytes_at(id, &name("y")),
            None,
            "{id}: the author does not have it"
        );
    }
}

/// A relay that has stored who the author is and ended before it could report its orphans reports them after its start.
#[test]
fn orphans_are_reported_after_a_crash() {
    let mut world = World::new(5, CALM);
    world.add_author(1, &[10]);
    world.add_relay(10, &[1]);
    world.add_node(100, &[10], &[Selector::service("a")]);
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(30.0);
    let known = publish(&mut world, 1, 1, vec![put("x", b"one")]);
    world.run(10.0);
    let x = world.relay_of(10).log().get_version(known).unwrap().clone();
    world.kill(PeerId(10));
    world.with_author(1, |author, now, outputs| author.stand_down(now, outputs));
    grant_lease(&mut world, 1, 2, 1e6);
    world.run(10.0);
    assert!(world.author_of(1).is_writing());
    let version = Version {
        sequence: known.sequence + 5,
        ..known
    };
    let covered = Record::Covered {
        selector: Selector::Everything,
        coverage: Coverage::up_to(version),
        removals_known: Version::ZERO,
    };
    let epoch = Epoch {
        claim: claim(2),
        known: Coverage::up_to(known),
    };
    let orphan = Change {
        version,
        content: Content::body(b"orphan"),
        ..x
    };
    let stored = [Record::Put(orphan), covered, Record::Epoch(epoch)];
    world
        .processes
        .get_mut(&PeerId(10))
        .unwrap()
        .disk
        .extend(stored);
    world.start(PeerId(10));
    world.run(60.0);
    assert_eq!(
        world.bytes_at(100, &name("x")).as_deref(),
        Some(&b"one"[..])
    );
    assert!(
        world
            .node_of(100)
            .applied_change(&name("x"))
            .unwrap()
            .version
            .token
            == 2,
        "it was written anew"
    );
    world.invariants.verify();
}

/// A relay that has lost all that it covered, since the author before did not know it, has changes all the same: it hears of
/// removals that were forgotten meanwhile.
#[test]
fn who_covers_nothing_any_more_hears_of_removals() {
    const KEYS: usize = 60;
    let mut world = World::new(6, CALM);
    world.add_author(1, &[10]);
    world.add_author(2, &[10]);
    world.add_relay(10, &[1, 2]);
    world.partition(PeerId(2), PeerId(10), 100.0);
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(40.0);
    let item = |n: usize| format!("r{n}");
    publish(
        &mut world,
        1,
        1,
        (0..KEYS).map(|n| put(&item(n), b"one")).collect(),
    );
    world.run(20.0);
    assert_eq!(world.relay_of(10).log().len(), KEYS);
    // The second author knows nothing; the relay hears who it is, and no more.
    world.partition(PeerId(1), PeerId(10), 1e6);
    world.with_author(1, |author, now, outputs| author.stand_down(now, outputs));
    world.run(39.0);
    grant_lease(&mut world, 2, 2, 1e6);
    let heard = |world: &World| {
        let epoch =
            |record: &Record| matches!(record, Record::Epoch(epoch) if epoch.claim.token == 2);
        world.processes[&PeerId(10)].disk.iter().any(epoch)
    };
    while !heard(&world) {
        world.run(0.001);
        assert!(
            world.now < 300.0,
            "the relay does not follow the second author"
        );
    }
    world.partition(PeerId(2), PeerId(10), 1e6);
    let top = world.relay_of(10).coverage().last_version();
    assert_eq!(
        top.token, 1,
        "the second author has told more than its name"
    );
    // The first one writes again and has not heard of the second. It forgets removals.
    grant_lease(&mut world, 1, 3, 1e6);
    world.run(10.0);
    let last = publish(
        &mut world,
        1,
        3,
        (0..KEYS).map(|n| Draft::remove(name(&item(n)))).collect(),
    );
    assert!(
        world.author_of(1).log().len() < KEYS,
        "no removal was forgotten"
    );
    world.partition(PeerId(1), PeerId(10), 0.0);
    world.run(60.0);
    let relay = world.relay_of(10);
    assert_eq!(relay.coverage().contiguous_end(), last);
    let kept = relay
        .log()
        .changes()
        .filter(|change| !change.is_removal())
        .count();
    assert_eq!(kept, 0, "keys that are no more");
}

/// A sender with gaps of its own closes those of its child that it can close; others would open new spans.
#[test]
fn a_sender_with_gaps_closes_those_that_it_can() {
    let version = |sequence| Version { token: 1, sequence };
    let span = |after, upto| Span {
        after: version(after),
        through: version(upto),
    };
    let mut log = ChangeLog::new(Capacity {
        max_keys: 1000,
        max_bytes: 1 << 20,
        max_tombstones: 10,
    });
    let change = |sequence: u64| Change {
        key: Key {
            name: name(&format!("r{sequence}")),
            slot: Slot::Stable,
        },
        version: version(sequence),
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content: Content::body(b"body"),
    };
    for sequence in (12..=14).chain(100..=300) {
        log.put(change(sequence));
    }
    let mut own = Coverage::EMPTY;
    own.add(span(10, 20));
    own.add(span(90, 300));
    let mut coverage = Coverage::EMPTY;
    for n in 0..GAP_FILL_MIN_SPANS as u64 {
        coverage.add(span(100 + 2 * n, 101 + 2 * n));
    }
    let source = ReplicaView {
        log: &log,
        coverage: &own,
        is_contiguous: false,
        removals_known: Version::ZERO,
        age: None,
        epoch: None,
    };
    let link = Link::new(PeerId(20), 1, false, Budget::CONTROL, 0.0);
    let mut child = Child::new(link, true, 2.0, Budget::CONTROL, 0.0);
    let selector = Selector::Everything;
    let asked = Subscribe {
        id: 0,
        selector,
        coverage,
        removals_known: Version::ZERO,
        has_changes: true,
    };
    child.subscribe(asked, source).unwrap();
    let mut outputs = Vec::new();
    child.poll(0.0, source, &mut outputs);
    let frames = outputs.iter().filter_map(|output| match output {
        Output::Send { frame, .. } => decode(frame),
        _ => None,
    });
    let mut spans = frames.filter_map(|(_, payload)| match payload {
        Payload::Changes { span, changes, .. } => Some((span.after, changes[0].version)),
        _ => None,
    });
    // From what the child lacks before on, over 101, which it has.
    assert_eq!(
        spans.next(),
        Some((version(100), version(102))),
        "it makes the span of 101 longer"
    );
}

/// Who writes by a claim that is over hears why.
#[test]
fn who_writes_by_an_older_claim_hears_of_the_later_token() {
    let mut author = author_alone();
    let mut outputs = Vec::new();
    author
        .hold_lease(1.0, &claim(2), 100.0, &mut outputs)
        .unwrap();
    let refused = author.publish(2.0, &claim(1), vec![put("x", b"late")], &mut outputs);
    assert_eq!(refused, Err(PublishError::Fenced(2)));
}

/// A node may end after any output of an unsubscription: what its disk says is in force has its version in the log, so that
/// no upstream that is behind can replace it by an earlier one.
#[test]
fn a_node_may_end_after_any_output_of_an_unsubscription() {
    let mut world = tree(1, 1e6);
    world.run(40.0);
    publish(
        &mut world,
        1,
        1,
        (0..4).map(|n| put(&format!("r{n}"), b"one")).collect(),
    );
    world.run(20.0);
    let id = NODES.start;
    let stored = world.processes[&PeerId(id)].disk.clone();
    let outputs = world.with_node(id, |node, _, outputs| {
        node.unsubscribe(&Selector::service("a"), outputs);
        outputs.clone()
    });
    let records: Vec<Record> = outputs
        .unwrap()
        .into_iter()
        .filter_map(|output| match output {
            Output::Persist(record) => Some(record),
            _ => None,
        })
        .collect();
    assert!(
        records.len() > 8,
        "what is in force and the versions are both forgotten: {records:?}"
    );
    for kept in 0..=records.len() {
        let disk = stored.iter().chain(&records[..kept]).cloned();
        let restored = RestoredState::from_records(
            Capacity {
                max_keys: 100,
                max_bytes: 1 << 20,
                max_tombstones: 10,
            },
            disk,
        );
        for (name, change) in &restored.applied {
            let logged = restored.log.get(&Key {
                name: name.clone(),
                slot: Slot::Stable,
            });
            let version = logged.map(|logged| logged.version);
            assert!(
                version >= Some(change.version),
                "after {kept} records {name:?} has {version:?}"
            );
        }
    }
}
