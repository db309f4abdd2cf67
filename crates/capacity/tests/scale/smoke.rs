//! The smoke run, which uses virtual time.

use reelfall_capacity::scale::report::Source;
use reelfall_capacity::scale::smoke;

const SEED: u64 = 7;

#[test]
fn smoke_run_passes_and_is_deterministic() {
    let first = smoke::run(SEED).expect("a run");
    let second = smoke::run(SEED).expect("a run");
    assert_eq!(first.violations, Vec::<String>::new());
    assert_eq!(first.record, second.record);
    let runs = &first.record.report.runs;
    assert_eq!(
        runs.iter().map(|run| run.size.nodes).collect::<Vec<_>>(),
        smoke::SIZES
    );
    for run in runs {
        assert_eq!(run.source, Source::VirtualTime);
        let in_force = run.in_force.expect("a ban");
        assert!(in_force.last <= smoke::MAX_BAN_PROPAGATION);
        let all = &run.per_node.traffic[0];
        assert!(all.messages_out > 1.0 && all.bytes_out > 100.0, "{all:?}");
        assert!(all.bytes_in + all.bytes_out <= smoke::MAX_CONTROL_TRAFFIC);
    }
    assert_eq!(first.record.report.slopes.len(), 2);
}
