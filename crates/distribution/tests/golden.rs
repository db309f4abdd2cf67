//! Compares the bytes of frames and stored records with golden files. `golden/frames.txt` was written by the code of
//! commit c58caac and does not change as long as the version of the frame format does not. Each digest of
//! `golden/schedules.blake3` covers every frame that a random schedule sends, with its time.

mod world;

use rand::Rng;
use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::coverage::{Coverage, Span};
use reelfall_distribution::epoch::Epoch;
use reelfall_distribution::message::{decode, encode, Chunk, Echo, Head, Payload, Subscribe};
use reelfall_distribution::output::Record;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::report::Report;
use reelfall_distribution::resource::{
    Change, Content, ContentHash, Draft, Group, Key, Name, NodeFraction, Selector, Slot, Urgency,
    Version,
};
use reelfall_distribution::rollout::policy::{OnRejections, RolloutPolicy};
use reelfall_distribution::rollout::record::{
    RejectingNode, RolloutRecord, RolloutState, StopSummary,
};
use world::{claim, DelayRange, Network, World};

const GOLDEN: &str = include_str!("golden/frames.txt");
const SCHEDULES: &str = include_str!("golden/schedules.blake3");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn version(sequence: u64) -> Version {
    Version { token: 3, sequence }
}

fn span(after: u64, through: u64) -> Span {
    Span {
        after: version(after),
        through: version(through),
    }
}

fn coverage() -> Coverage {
    let mut coverage = Coverage::up_to(version(5));
    coverage.add(span(300, 400));
    coverage
}

fn key(name: Name, slot: Slot) -> Key {
    Key { name, slot }
}

fn changes() -> Vec<Change> {
    let stable = Change {
        key: key(Name::common("limits"), Slot::Stable),
        version: version(301),
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content: Content::body(b"a body"),
    };
    let canary = Change {
        key: key(Name::service("flags", "routes"), Slot::Canary),
        urgency: Urgency::Urgent,
        fraction: NodeFraction {
            thousandths: 250,
            seed: 0x1234_5678_9abc,
        },
        replaces: version(200),
        ..stable.clone()
    };
    let removal = Change {
        key: key(Name::tenant("okoli-pay", "quota"), Slot::Stable),
        content: Content::Removed,
        ..stable.clone()
    };
    vec![stable, canary, removal]
}

fn epoch() -> Epoch {
    Epoch {
        claim: claim(7),
        known: coverage(),
    }
}

fn reports() -> Vec<Report> {
    let key = key(Name::service("flags", "routes"), Slot::Canary);
    vec![
        Report::Acknowledged {
            node: PeerId(1001),
            version: version(400),
        },
        Report::Rejected {
            node: PeerId(2),
            key: key.clone(),
            version: version(400),
            reason: "no".to_owned(),
        },
        Report::Orphan {
            key,
            version: version(9),
        },
    ]
}

fn reasons() -> [CloseReason; 8] {
    [
        CloseReason::TimedOut,
        CloseReason::Stale,
        CloseReason::ProtocolViolation,
        CloseReason::RateExceeded,
        CloseReason::UnknownSession,
        CloseReason::CapacityExceeded,
        CloseReason::Fenced,
        CloseReason::Replaced,
    ]
}

fn selectors() -> Vec<Selector> {
    let groups = [
        Group::Common,
        Group::Service("flags".into()),
        Group::Tenant("t".into()),
        Group::Publishers,
    ];
    let groups = groups.into_iter().map(Selector::Group);
    [Selector::Everything, Selector::Services]
        .into_iter()
        .chain(groups)
        .collect()
}

fn payloads() -> Vec<Payload> {
    let subscriptions = (1..).zip(selectors()).map(|(id, selector)| Subscribe {
        id,
        selector,
        coverage: coverage(),
        removals_known: version(4),
        has_changes: id % 2 == 0,
    });
    let chunk = Chunk {
        key: key(Name::service("flags", "routes"), Slot::Canary),
        version: version(301),
        urgency: Urgency::Normal,
        is_urgent: true,
        fraction: NodeFraction {
            thousandths: 10,
            seed: 8,
        },
        replaces: version(1),
        total: 70_000,
        hash: ContentHash::of(b"a long body"),
        offset: 16_000,
        bytes: vec![1, 2, 255],
    };
    let up_to_date = |age_us| Payload::UpToDate {
        head: version(500),
        removals: version(400),
        pruned_through: version(3),
        age_us,
    };
    let mut all = vec![
        Payload::Acknowledge,
        Payload::Open { is_relay: true },
        Payload::Open { is_relay: false },
        Payload::Subscribe(subscriptions.collect()),
        Payload::Unsubscribe(vec![1, 300]),
        Payload::Reports(reports()),
        Payload::Epoch(epoch()),
        Payload::Changes {
            id: 1,
            span: span(300, 301),
            changes: changes(),
        },
        Payload::Chunk {
            id: 2,
            span: span(300, 301),
            chunk,
        },
        Payload::Manifest {
            id: 3,
            is_first: true,
            is_last: false,
            pruned_through: version(3),
            digests: vec![1, u64::MAX],
        },
        up_to_date(Some(1_500_000)),
        up_to_date(None),
    ];
    all.extend(reasons().map(|close_reason| Payload::Close {
        reason: close_reason,
        retry_after_ms: 1_500,
    }));
    all
}

fn rollouts() -> Vec<RolloutRecord> {
    let rejecting = vec![RejectingNode {
        node: PeerId(5),
        reason: "unknown unit".to_owned(),
    }];
    let stop = || StopSummary {
        thousandths: 100,
        accepted: 40,
        rejected: 9,
        rejecting_nodes: rejecting.clone(),
    };
    let states = [
        RolloutState::Running,
        RolloutState::Halted(stop()),
        RolloutState::RolledBack(stop()),
        RolloutState::Completed,
        RolloutState::Ended,
        RolloutState::Superseded,
        RolloutState::Lost,
    ];
    let policy = |reaction| RolloutPolicy {
        stages: vec![10, 100, 1000],
        soak_time: 600.0,
        decision_time: 60.0,
        max_rejected_share: 20,
        max_rejected: 5,
        min_decisions: 3,
        min_accepted_share: 900,
        max_report_age: 90.0,
        on_rejections: reaction,
    };
    let record = |(n, state): (u64, RolloutState)| RolloutRecord {
        name: Name::service("flags", "routes"),
        content_hash: ContentHash::of(b"a body"),
        seed: 99,
        after: version(300),
        policy: policy(if n % 2 == 0 {
            OnRejections::RollBack
        } else {
            OnRejections::Halt
        }),
        expected: vec![1, 30, 300],
        state,
    };
    (0..).zip(states).map(record).collect()
}

fn records() -> Vec<Record> {
    let mut all = vec![
        Record::Applied(changes().remove(1)),
        Record::Confirmed(Name::service("flags", "routes"), version(310)),
        Record::Forget(key(Name::tenant("t", "quota"), Slot::Canary)),
        Record::PrunedThrough(version(200)),
        Record::Epoch(epoch()),
        Record::Covered {
            selector: Selector::Services,
            coverage: coverage(),
            removals_known: version(2),
        },
        Record::Unsubscribed(Selector::tenant("t")),
    ];
    all.extend(changes().into_iter().map(Record::Put));
    all
}

#[test]
fn frames_and_records_have_the_golden_bytes() {
    let minimal = Head {
        session: 9,
        from_child: false,
        number: 0,
        acknowledged: 0,
        sent_at_us: 77,
        echo: None,
    };
    let echo = Some(Echo {
        stamp_us: 5_000_000,
        elapsed_us: 1_250,
    });
    let full = Head {
        session: u64::MAX,
        from_child: true,
        number: 300,
        acknowledged: 299,
        sent_at_us: 1 << 40,
        echo,
    };
    let mut lines = Vec::new();
    for payload in payloads() {
        for head in [minimal, full] {
            let frame = encode(&head, &payload);
            assert_eq!(decode(&frame), Some((head, payload.clone())));
            lines.push(format!("frame {}", hex(&frame)));
        }
    }
    for record in records() {
        let bytes = postcard::to_allocvec(&record).unwrap();
        assert_eq!(postcard::from_bytes::<Record>(&bytes).unwrap(), record);
        lines.push(format!("record {}", hex(&bytes)));
    }
    for rollout in rollouts() {
        let content = rollout.to_content();
        let change = Change {
            key: RolloutRecord::key_of(&rollout.name),
            content,
            ..changes().remove(0)
        };
        assert_eq!(RolloutRecord::from_change(&change).as_ref(), Some(&rollout));
        lines.push(format!(
            "rollout {} {}",
            change.key.name.item,
            hex(change.content.bytes())
        ));
    }
    lines.push(format!(
        "digest {}",
        key(Name::service("flags", "routes"), Slot::Canary).digest()
    ));
    assert_eq!(lines, GOLDEN.lines().collect::<Vec<_>>());
}

/// The digest of the frames of a small tree, in which changes are published, published as canaries, promoted and
/// removed, while processes are killed, paused, partitioned and started.
fn digest_of_schedule(seed: u64) -> String {
    let mut world = World::new(
        seed,
        Network {
            loss: 0.05,
            duplication: 0.05,
            delay: DelayRange {
                min: 0.005,
                max: 0.2,
            },
        },
    );
    world.digest = Some(blake3::Hasher::new());
    world.add_publisher(1, &[10, 11]);
    world.add_relay(10, &[1]);
    world.add_relay(11, &[1]);
    world.add_relay(20, &[10, 11]);
    for id in 100..104 {
        let selectors = [
            Selector::common(),
            Selector::service("a"),
            Selector::tenant("t"),
        ];
        world.add_node(id, &[20], &selectors);
    }
    for step in 0..50 {
        world::grant_lease(&mut world, 1, 1, 1_000.0);
        let item = format!("r{}", step % 4);
        let name = if step % 5 == 0 {
            Name::tenant("t", &item)
        } else {
            Name::service("a", &item)
        };
        let draft = match step % 7 {
            0 => Draft::remove(name.clone()),
            1 => Draft::put(name.clone(), &vec![step as u8; 30_000]),
            2 => Draft::put(name.clone(), &[step as u8]).urgent(),
            _ => Draft::put(name.clone(), &[step as u8; 40]),
        };
        let fraction = NodeFraction {
            thousandths: 500,
            seed,
        };
        let _ = world.with_publisher(1, |publisher, now, outputs| match step % 6 {
            3 => publisher.publish_canary(now, &claim(1), draft, fraction, outputs),
            4 => publisher.promote_canary(now, &claim(1), &name, outputs),
            _ => publisher.publish(now, &claim(1), vec![draft], outputs),
        });
        let process = PeerId([10, 11, 20, 100, 102][world.rng.random_range(0..5)]);
        match world.rng.random_range(0..6) {
            0 => world.kill(process),
            1 => world.pause(process, 4.0),
            2 => world.partition(PeerId(20), process, 3.0),
            _ => world.start(process),
        }
        let duration = world.rng.random_range(0.0..3.0);
        world.run(duration);
    }
    world.heal();
    world.run(60.0);
    world.digest.unwrap().finalize().to_hex().to_string()
}

#[test]
fn schedules_have_the_golden_digests() {
    let digests: Vec<String> = (0..8).map(digest_of_schedule).collect();
    assert_eq!(digests, SCHEDULES.lines().collect::<Vec<_>>());
}
