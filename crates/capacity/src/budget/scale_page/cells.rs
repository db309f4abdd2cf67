//! Figures of the runs of one report as text. The tables of the page of scale runs call these.

use crate::budget::markdown::NOT_MEASURED;
use crate::budget::units::{amount, Unit};
use crate::scale::record::{AddedLatency, Record};
use crate::scale::report::{RequestTimes, Run, Source, Times, Traffic};

/// The kind of traffic that reports faulty servers.
const VERDICT_TRAFFIC: &str = "verdicts";
/// The run in which changes arrive at a steady rate.
pub(super) const CHANGES_RUN: &str = "changes";

/// Runs of a name and a source.
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

/// Runs of hollow nodes of a name.
pub(super) fn hollow_runs<'a>(record: &'a Record, name: &'a str) -> impl Iterator<Item = &'a Run> {
    runs(record, name, Source::HollowNodes)
}

/// How many nodes a single run had.
pub(super) fn node_count(record: &Record) -> usize {
    hollow_runs(record, super::QUIET_RUN)
        .next()
        .map_or(0, |run| run.size.nodes)
}

/// One amount, or the smallest and the largest of several.
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

/// What a node receives in the runs of a name.
pub(super) fn received(record: &Record, name: &str) -> String {
    traffic(record, name, |traffic| traffic.bytes_in)
}

/// What a node sends in the runs of a name.
pub(super) fn sent(record: &Record, name: &str) -> String {
    traffic(record, name, |traffic| traffic.bytes_out)
}

/// What a node sends of verdicts in the runs of a name.
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

/// Most bytes at any node within a second of the runs of a name.
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

/// How busy the threads were in the runs of a name.
pub(super) fn thread_utilization(record: &Record, name: &str) -> String {
    let percentages = record
        .utilizations
        .iter()
        .filter(|busy| busy.run == name)
        .map(|busy| busy.share * 100.0);
    let text = range(percentages, Unit::Count);
    if text == NOT_MEASURED {
        return text;
    }
    format!("{text} %")
}

/// How long after an event all nodes knew all members.
pub(super) fn convergence_time(record: &Record, event: &str) -> String {
    let recorded = record
        .convergences
        .iter()
        .find(|gathered| gathered.after == event);
    match recorded.map(|gathered| gathered.seconds) {
        Some(Some(seconds)) => amount(seconds, Unit::Seconds),
        Some(None) => "not in time".to_owned(),
        None => "not played".to_owned(),
    }
}

/// The median and the 99th percentile of the times of requests.
pub(super) fn request_latency(record: &Record, phase: fn(&RequestTimes) -> Times) -> String {
    let Some(requests) = record.report.runs.iter().find_map(|run| run.requests) else {
        return NOT_MEASURED.to_owned();
    };
    let Times { p50, p99, .. } = phase(&requests);
    [p50, p99]
        .map(|seconds| amount(seconds, Unit::Seconds))
        .join(", ")
}

/// What changes added to times of requests, round by round.
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
