//! Runs generated schedules of faults under load and checks the invariants of the fleet.

use super::{Scale, AT_MOST_ONCE_RATIO, REPORTED_VIOLATIONS};
use crate::fleet::invariants::SCHEDULING_SLACK;
use crate::fleet::schedule;
use crate::fleet::schedule_run::{RunOutcome, ScheduleRun};
use crate::fleet::verdict_stats::VerdictStats;
use crate::scenario::Report;
use crate::scripted::Program;
use crate::Result;

/// Runs the schedule that is generated from `seed`, on a separate fleet.
pub(super) async fn run(
    program: &Program,
    scale: &Scale,
    seed: u64,
    report: &mut Report,
) -> Result<RunOutcome> {
    let schedule_run = ScheduleRun {
        spec: scale.fleet_spec(Some("")),
        rate: scale.rate,
        at_most_once_ratio: AT_MOST_ONCE_RATIO,
        seed,
    };
    let steps = schedule::generate(seed, scale.nodes, scale.servers, scale.time);
    let outcome = schedule_run.execute(program, &steps).await?;
    for violation in outcome.violations.iter().take(REPORTED_VIOLATIONS) {
        report.check(false, || format!("seed {seed}: {violation}"));
    }
    let stats = VerdictStats::from_events(&outcome.history.events());
    let overrun = stats.ban_overruns.last().copied().unwrap_or_default();
    report.check(overrun <= SCHEDULING_SLACK, || {
        format!("seed {seed}: a node still applied a ban {overrun:?} after its end")
    });
    Ok(outcome)
}
