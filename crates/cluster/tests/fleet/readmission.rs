//! Servers that were ejected and respond again.

use crate::fixture::{gathered_world, record_outcomes};
use crate::verdicts::{is_ejected_on_none, is_first_ejected_on_all};
use reelfall_cluster::observer::AttemptOutcome;

/// Guards against a readmitted server that is ejected again by reports from before its readmission, once an old healthy
/// report expires that had outvoted them.
#[test]
fn readmitted_server_is_not_ejected_again_by_reports_from_before() {
    const REPORTERS: [usize; 4] = [0, 1, 2, 4];
    const RESPONDED_TO: [usize; 3] = [5, 6, 7];
    let mut world = gathered_world(8, 97);
    world.run(1.0);
    // Node 3 has its responses, and says so as two others report a fault.
    record_outcomes(&mut world, &[3], &[0, 0], AttemptOutcome::Answered);
    record_outcomes(&mut world, &REPORTERS[..2], &[0], AttemptOutcome::TimedOut);
    world.run(6.0);
    record_outcomes(&mut world, &REPORTERS, &[0], AttemptOutcome::TimedOut);
    world.run_until(2.0, is_first_ejected_on_all);
    record_outcomes(&mut world, &RESPONDED_TO, &[0, 0], AttemptOutcome::Answered);
    let took = world.run_until(2.0, is_ejected_on_none);
    assert!(took < 1.0, "readmitted after {took} s");
    for _ in 0..100 {
        world.run(0.1);
        assert!(
            is_ejected_on_none(&world),
            "ejected again at {} s",
            world.now
        );
    }
}
