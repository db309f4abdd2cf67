//! Cells of the tables: figures of the runs of one report.

use crate::budget::table::{amount, Unit};
use crate::scale::record::{AddedLatency, Record};
use crate::scale::report::{RequestTimes, Run, Source, Times, Traffic};

/// What is said where nothing was measured.
pub(super) const NOT_MEASURED: &str = "not measured";
/// The kind of traffic that tells which servers fail.
const VERDICTS: &str = "verdicts";

/// Runs of hollow nodes of a name.
pub(super) fn hollow<'a>(record: &'a Record, name: &'a str) -> impl Iterator<Item = &'a Run> {
    of(record, name, Source::HollowNodes)
}

pub(super) fn of<'a>(
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

pub(super) fn nodes(record: &Record) -> usize {
    hollow(record, "quiet")
        .next()
        .map_or(0, |run| run.size.nodes)
}

fn bytes(run: &Run, of: fn(&Traffic) -> f64) -> Option<f64> {
    Some(run.per_node.traffic.iter().map(of).sum())
}

pub(super) fn verdicts_out(run: &Run) -> Option<f64> {
    run.per_node
        .traffic
        .iter()
        .find(|traffic| traffic.kind == VERDICTS)
        .map(|traffic| traffic.bytes_out)
}

/// One amount, or the least and the most of several.
fn range(values: impl Iterator<Item = f64>, unit: Unit) -> String {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (sorted.first(), sorted.last()) else {
        return NOT_MEASURED.to_owned();
    };
    let (least, most) = (amount(*least, unit), amount(*most, unit));
    if least == most {
        return least;
    }
    format!("{least} to {most}")
}

/// Traffic of a node in the windows of a name.
pub(super) fn traffic(record: &Record, name: &str, of: fn(&Traffic) -> f64) -> String {
    range(
        hollow(record, name).filter_map(|run| bytes(run, of)),
        Unit::BytesPerSecond,
    )
}

/// What a node sends of verdicts in the windows of a name.
pub(super) fn verdicts(record: &Record, name: &str) -> String {
    range(
        hollow(record, name).filter_map(verdicts_out),
        Unit::BytesPerSecond,
    )
}

/// Most bytes at any node within a second of the windows of a name.
pub(super) fn peak(record: &Record, name: &str) -> String {
    range(
        hollow(record, name).map(|run| run.per_node.peak_bytes),
        Unit::Bytes,
    )
}

/// Processor time of a node in the windows of a name.
pub(super) fn processor(record: &Record, name: &str, source: Source) -> String {
    range(
        of(record, name, source).map(|run| run.per_node.cpu),
        Unit::Cores,
    )
}

/// Memory of a node in the windows of a name.
pub(super) fn memory(record: &Record, name: &str, source: Source) -> String {
    range(
        of(record, name, source).filter_map(|run| run.per_node.memory),
        Unit::Bytes,
    )
}

/// Times until bans were in force in the windows under changes.
pub(super) fn bans(record: &Record, at: fn(&Times) -> f64) -> String {
    range(
        hollow(record, "changes").filter_map(|run| run.in_force.as_ref().map(at)),
        Unit::Seconds,
    )
}

/// Times until lines of lists were taken in, in the windows under changes.
pub(super) fn list_lines(record: &Record, at: fn(&Times) -> f64) -> String {
    let lists = record
        .list_propagation
        .iter()
        .filter(|lists| lists.run == "changes");
    range(lists.map(|lists| at(&lists.times)), Unit::Seconds)
}

/// How busy the threads were in the windows of a name.
pub(super) fn busy(record: &Record, name: &str) -> String {
    let shares = record
        .utilizations
        .iter()
        .filter(|busy| busy.run == name)
        .map(|busy| busy.share * 100.0);
    let text = range(shares, Unit::Count);
    if text == NOT_MEASURED {
        return text;
    }
    format!("{text} %")
}

/// How long it took after something until all knew all.
pub(super) fn gathered(record: &Record, after: &str) -> String {
    match record
        .convergences
        .iter()
        .find(|gathered| gathered.after == after)
        .map(|gathered| gathered.seconds)
    {
        Some(Some(seconds)) => amount(seconds, Unit::Seconds),
        Some(None) => "not in time".to_owned(),
        None => "not played".to_owned(),
    }
}

/// Two quantiles of the times of requests.
pub(super) fn request_times(record: &Record, of: fn(&RequestTimes) -> [f64; 2]) -> String {
    match record.report.runs.iter().find_map(|run| run.requests) {
        Some(times) => of(&times)
            .map(|seconds| amount(seconds, Unit::Seconds))
            .join(", "),
        None => NOT_MEASURED.to_owned(),
    }
}

/// What changes added to times of requests, round by round.
pub(super) fn added(record: &Record, of: fn(&AddedLatency) -> f64) -> String {
    let rounds: Vec<String> = record
        .added_latencies
        .iter()
        .map(|added| format!("{:+.2} ms", of(added) * 1e3))
        .collect();
    if rounds.is_empty() {
        return NOT_MEASURED.to_owned();
    }
    rounds.join(", ")
}
