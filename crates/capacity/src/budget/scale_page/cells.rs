//! Table cells for the page of scale runs, each from the runs of one report.

use crate::budget::markdown::NOT_MEASURED;
use crate::budget::units::{amount, Unit};
use crate::scale::record::{AddedLatency, Record};
use crate::scale::report::{RequestTimes, Run, Source, Times, Traffic};

/// Kind of the traffic that carries verdicts on servers.
const VERDICT_TRAFFIC: &str = "verdicts";
/// Name of the run in which changes arrive at a steady rate.
pub(super) const CHANGES_RUN: &str = "changes";

/// Returns the runs with this name and source.
pub(super) fn runs<'a>(
    record: &'a Record,
    name: &'a str,
    source: Source,
) -> impl Iterator<Item = &'a Run> {
    record
        .report
        .runs
        .iter()
        .filter(move |run| run.name == name && run.source == source)
}

/// Returns the runs of hollow nodes with this name.
pub(super) fn hollow_runs<'a>(record: &'a Record, name: &'a str) -> impl Iterator<Item = &'a Run> {
    runs(record, name, Source::HollowNodes)
}

/// Returns the number of nodes of a single run; 0 if the report has no quiet run.
pub(super) fn node_count(record: &Record) -> usize {
    hollow_runs(record, super::QUIET_RUN)
        .next()
        .map_or(0, |run| run.size.nodes)
}

/// Renders a single amount, or the smallest and the largest of several.
fn range(values: impl Iterator<Item = f64>, unit: Unit) -> String {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let (Some(smallest), Some(largest)) = (sorted.first(), sorted.last()) else {
        return NOT_MEASURED.to_owned();
    };
    let (smallest, largest) = (amount(*smallest, unit), amount(*largest, unit));
    if smallest == largest {
        return smallest;
    }
    format!("{smallest} to {largest}")
}

/// Traffic of a node in the runs of a name, summed over its kinds.
fn traffic(record: &Record, name: &str, direction: fn(&Traffic) -> f64) -> String {
    let rate = |run: &Run| run.per_node.traffic.iter().map(direction).sum();
    range(hollow_runs(record, name).map(rate), Unit::BytesPerSecond)
}

/// Bytes per second that a node receives in the runs of a name.
pub(super) fn received(record: &Record, name: &str) -> String {
    traffic(record, name, |traffic| traffic.bytes_in)
}

/// Bytes per second that a node sends in the runs of a name.
pub(super) fn sent(record: &Record, name: &str) -> String {
    traffic(record, name, |traffic| traffic.bytes_out)
}

/// Bytes per second of verdicts that a node sends in the runs of a name.
pub(super) fn verdict_traffic(record: &Record, name: &str) -> String {
    range(
        hollow_runs(record, name).filter_map(sent_verdict_bytes),
        Unit::BytesPerSecond,
    )
}

fn sent_verdict_bytes(run: &Run) -> Option<f64> {
    run.per_node
        .traffic
        .iter()
        .find(|traffic| traffic.kind == VERDICT_TRAFFIC)
        .map(|traffic| traffic.bytes_out)
}

/// Most bytes at any node within one second, in the runs of a name.
pub(super) fn peak_traffic(record: &Record, name: &str) -> String {
    range(
        hollow_runs(record, name).map(|run| run.per_node.peak_bytes),
        Unit::Bytes,
    )
}

/// Processor time of a node in the runs of a name.
pub(super) fn processor(record: &Record, name: &str, source: Source) -> String {
    range(
        runs(record, name, source).map(|run| run.per_node.cpu),
        Unit::Cores,
    )
}

/// Memory of a node in the runs of a name.
pub(super) fn memory(record: &Record, name: &str, source: Source) -> String {
    range(
        runs(record, name, source).filter_map(|run| run.per_node.memory),
        Unit::Bytes,
    )
}

/// A quantile of the times until bans were in force under changes.
pub(super) fn ban_times(record: &Record, quantile: fn(&Times) -> f64) -> String {
    let times = hollow_runs(record, CHANGES_RUN).filter_map(|run| run.in_force.as_ref());
    range(times.map(quantile), Unit::Seconds)
}

/// A quantile of the times until changes of lists were in force under changes.
pub(super) fn list_change_times(record: &Record, quantile: fn(&Times) -> f64) -> String {
    let lists = record
        .list_propagation
        .iter()
        .filter(|lists| lists.run == CHANGES_RUN);
    range(lists.map(|lists| quantile(&lists.times)), Unit::Seconds)
}

/// Utilization of the driving threads in the runs of a name, in percent.
pub(super) fn thread_utilization(record: &Record, name: &str) -> String {
    let percentages = record
        .utilizations
        .iter()
        .filter(|utilization| utilization.run == name)
        .map(|utilization| utilization.share * 100.0);
    let text = range(percentages, Unit::Count);
    if text == NOT_MEASURED {
        return text;
    }
    format!("{text} %")
}

/// Time after an event until every node knew all members.
pub(super) fn convergence_time(record: &Record, event: &str) -> String {
    let recorded = record
        .convergences
        .iter()
        .find(|convergence| convergence.after == event);
    match recorded.map(|convergence| convergence.seconds) {
        Some(Some(seconds)) => amount(seconds, Unit::Seconds),
        Some(None) => "not in time".to_owned(),
        None => "not played".to_owned(),
    }
}

/// Median and 99th percentile of the request times in one phase.
pub(super) fn request_latency(record: &Record, phase: fn(&RequestTimes) -> Times) -> String {
    let Some(requests) = record.report.runs.iter().find_map(|run| run.requests) else {
        return NOT_MEASURED.to_owned();
    };
    let Times { p50, p99, .. } = phase(&requests);
    [p50, p99]
        .map(|seconds| amount(seconds, Unit::Seconds))
        .join(", ")
}

/// Latency that changes added to requests, for each round.
pub(super) fn added_latency(record: &Record, quantile: fn(&AddedLatency) -> f64) -> String {
    let rounds: Vec<String> = record
        .added_latencies
        .iter()
        .map(|added| format!("{:+.2} ms", quantile(added) * 1e3))
        .collect();
    if rounds.is_empty() {
        return NOT_MEASURED.to_owned();
    }
    rounds.join(", ")
}
