//! Queued reports, and the statuses of nodes that are derived from reports.

use crate::changes::{put, version};
use reelfall_distribution::node_status::{NodeStatuses, Rejection};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::report::{Report, ReportQueue};

/// Number of rejections that a queue retains.
const MAX_REJECTIONS: usize = 4096;

#[test]
fn queued_reports_are_bounded_and_superseded() {
    let mut queue = ReportQueue::default();
    for sequence in 1..=3 {
        queue.add(Report::Acknowledged {
            node: PeerId(7),
            version: version(sequence),
        });
    }
    let orphan = Report::Orphan {
        key: put("x", 1).key,
        version: version(1),
    };
    for _ in 0..3 {
        queue.add(orphan.clone());
    }
    let reports = queue.take(1000);
    assert_eq!(
        reports,
        [
            orphan.clone(),
            Report::Acknowledged {
                node: PeerId(7),
                version: version(3)
            }
        ]
    );
    assert!(queue.is_empty());
    queue.requeue(reports);
    assert_eq!(queue.take(1), [orphan], "at least one report is taken");
    for node in 0..10_000 {
        queue.add(Report::Rejected {
            node: PeerId(node),
            key: put("x", 1).key,
            version: version(1),
            reason: String::new(),
        });
    }
    assert_eq!(queue.take(usize::MAX).len(), MAX_REJECTIONS + 1);
}

#[test]
fn node_statuses_track_acknowledgements_and_rejections() {
    let mut statuses = NodeStatuses::default();
    statuses.record_acknowledgement(0.0, PeerId(1), version(5));
    statuses.record_acknowledgement(0.0, PeerId(1), version(3));
    statuses.record_acknowledgement(0.0, PeerId(2), version(4));
    let rejection = Rejection {
        node: PeerId(2),
        key: put("x", 4).key,
        reason: "no".into(),
    };
    statuses.record_rejection(version(4), rejection.clone());
    let status = statuses.status(version(5));
    assert_eq!((status.acknowledged.len(), status.pending.len()), (1, 1));
    assert!(status.rejections.is_empty());
    assert_eq!(statuses.status(version(4)).rejections, [rejection]);
}
