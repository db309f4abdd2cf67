//! Senders with gaps in their coverage.

use crate::world::name;
use reelfall_distribution::child::Child;
use reelfall_distribution::coverage::{Coverage, Span, GAP_FILL_MIN_SPANS};
use reelfall_distribution::link::Link;
use reelfall_distribution::log::{Capacity, ChangeLog};
use reelfall_distribution::message::{decode, Payload, Subscribe};
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::replica_view::ReplicaView;
use reelfall_distribution::resource::{
    Change, Content, Key, NodeFraction, Selector, Slot, Urgency, Version,
};
use reelfall_distribution::token_bucket::Budget;

fn version(sequence: u64) -> Version {
    Version { token: 1, sequence }
}

fn span(after: u64, through: u64) -> Span {
    Span {
        after: version(after),
        through: version(through),
    }
}

fn change(sequence: u64) -> Change {
    Change {
        key: Key {
            name: name(&format!("r{sequence}")),
            slot: Slot::Stable,
        },
        version: version(sequence),
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content: Content::body(b"body"),
    }
}

fn sender_log() -> ChangeLog {
    let mut log = ChangeLog::new(Capacity {
        max_keys: 1000,
        max_bytes: 1 << 20,
        max_tombstones: 10,
    });
    for sequence in (12..=14).chain(100..=300) {
        log.put(change(sequence));
    }
    log
}

/// Has gaps before 10 and between 20 and 90.
fn sender_coverage() -> Coverage {
    let mut coverage = Coverage::EMPTY;
    coverage.add(span(10, 20));
    coverage.add(span(90, 300));
    coverage
}

/// Has every other version from 101 on, in spans of its own.
fn child_coverage() -> Coverage {
    let mut coverage = Coverage::EMPTY;
    for index in 0..GAP_FILL_MIN_SPANS as u64 {
        coverage.add(span(100 + 2 * index, 101 + 2 * index));
    }
    coverage
}

/// A sender with gaps in its own coverage fills those gaps of its child that it can; other changes would add spans to
/// the child's coverage.
#[test]
fn sender_with_gaps_fills_the_gaps_that_it_can() {
    let log = sender_log();
    let coverage = sender_coverage();
    let source = ReplicaView {
        log: &log,
        coverage: &coverage,
        is_contiguous: false,
        removals_known: Version::ZERO,
        age: None,
        epoch: None,
    };
    let link = Link::new(PeerId(20), 1, false, Budget::CONTROL, 0.0);
    let mut child = Child::new(link, true, 2.0, Budget::CONTROL, 0.0);
    let subscribe = Subscribe {
        id: 0,
        selector: Selector::Everything,
        coverage: child_coverage(),
        removals_known: Version::ZERO,
        has_changes: true,
    };
    child.subscribe(subscribe, source).unwrap();
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
    // The span starts where the coverage of the child does, and includes 101, which it has.
    assert_eq!(
        spans.next(),
        Some((version(100), version(102))),
        "the span of 101 is extended"
    );
}
