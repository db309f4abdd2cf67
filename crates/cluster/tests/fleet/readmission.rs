//! Tests of servers that were ejected and respond again.

use crate::fixture::{converged_cluster, record_outcomes};
use crate::verdicts::{is_ejected_on_none, is_first_ejected_on_all};
use reelfall_cluster::observer::AttemptOutcome;

/// Guards against a readmitted server that is ejected again by failure reports from before its readmission, when an old
/// healthy report that has helped to outvote them expires.
#[test]
fn readmitted_server_is_not_ejected_again_by_reports_from_before() {
    const REPORTERS: [usize; 4] = [0, 1, 2, 4];
    const RESPONDED_TO: [usize; 3] = [5, 6, 7];
    let mut cluster = converged_cluster(8, 97);
    cluster.run(1.0);
    // Node 3 receives responses of the server, and reports it as healthy once two others have reported a fault.
    record_outcomes(&mut cluster, &[3], &[0, 0], AttemptOutcome::Answered);
    record_outcomes(
        &mut cluster,
        &REPORTERS[..2],
        &[0],
        AttemptOutcome::TimedOut,
    );
    cluster.run(6.0);
    record_outcomes(&mut cluster, &REPORTERS, &[0], AttemptOutcome::TimedOut);
    cluster.run_until(2.0, is_first_ejected_on_all);
    record_outcomes(
        &mut cluster,
        &RESPONDED_TO,
        &[0, 0],
        AttemptOutcome::Answered,
    );
    let took = cluster.run_until(2.0, is_ejected_on_none);
    assert!(took < 1.0, "readmitted after {took} s");
    for _ in 0..100 {
        cluster.run(0.1);
        assert!(
            is_ejected_on_none(&cluster),
            "ejected again at {} s",
            cluster.now
        );
    }
}
