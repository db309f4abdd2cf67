//! Tables of the page of scale runs with one column for each single run.

use super::cells::{
    added_latency, ban_times, convergence_time, hollow_runs, list_change_times, memory, node_count,
    peak_traffic, processor, received, request_latency, sent, thread_utilization, verdict_traffic,
    CHANGES_RUN,
};
use super::{NamedRecord, QUIET_RUN};
use crate::budget::markdown::{self, NO_ROWS};
use crate::budget::model::budget;
use crate::budget::units::{amount, plain, Unit};
use crate::scale::record::Record;
use crate::scale::report::Source;

/// Name of the run with requests and changes.
const REQUESTS_RUN: &str = "requests";

/// A table row with one cell for each single run and the budget.
struct RunsRow {
    name: &'static str,
    cell: Box<dyn Fn(&Record) -> String>,
    budget: String,
}

impl RunsRow {
    fn new(name: &'static str, cell: impl Fn(&Record) -> String + 'static) -> RunsRow {
        RunsRow {
            name,
            cell: Box::new(cell),
            budget: String::new(),
        }
    }

    /// Sets the budget shown in the last column.
    fn budget(self, budget: f64, unit: Unit) -> RunsRow {
        RunsRow {
            budget: amount(budget, unit),
            ..self
        }
    }

    /// Shows the traffic budget of a node.
    fn traffic_budget(self) -> RunsRow {
        self.budget(budget::NODE_TRAFFIC, Unit::BytesPerSecond)
    }

    /// Shows the processor budget of a node.
    fn processor_budget(self) -> RunsRow {
        self.budget(budget::NODE_CORES, Unit::Cores)
    }

    /// Shows the memory budget of a node.
    fn memory_budget(self) -> RunsRow {
        self.budget(budget::NODE_MEMORY_BYTES, Unit::Bytes)
    }

    /// Shows the time in which changes have to be in force.
    fn in_force_budget(self) -> RunsRow {
        self.budget(budget::IN_FORCE_SECONDS, Unit::Seconds)
    }

    fn cells(&self, singles: &[NamedRecord]) -> Vec<String> {
        let mut cells = vec![self.name.to_owned()];
        cells.extend(singles.iter().map(|single| (self.cell)(&single.record)));
        cells.push(self.budget.clone());
        cells
    }
}

fn table(singles: &[NamedRecord], rows: &[RunsRow]) -> String {
    if singles.is_empty() {
        return NO_ROWS.to_owned();
    }
    let nodes = |single: &NamedRecord| plain(node_count(&single.record) as f64);
    let mut header = vec![String::new()];
    header.extend(
        singles
            .iter()
            .map(|single| format!("{} nodes", nodes(single))),
    );
    header.push("a node may use".to_owned());
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    let rows: Vec<_> = rows.iter().map(|row| row.cells(singles)).collect();
    markdown::table(&header, &rows)
}

/// Renders the traffic, processor time and memory of a node at rest and under changes.
pub(super) fn node_usage(singles: &[NamedRecord]) -> String {
    let mut rows = traffic_rows();
    rows.extend(processor_rows());
    rows.extend(memory_rows());
    table(singles, &rows)
}

fn traffic_rows() -> Vec<RunsRow> {
    vec![
        RunsRow::new("at rest, received", |record| received(record, QUIET_RUN)).traffic_budget(),
        RunsRow::new("at rest, sent", |record| sent(record, QUIET_RUN)).traffic_budget(),
        RunsRow::new("of it verdicts", |record| {
            verdict_traffic(record, QUIET_RUN)
        }),
        RunsRow::new("under changes, received", |record| {
            received(record, CHANGES_RUN)
        })
        .traffic_budget(),
        RunsRow::new("under changes, sent", |record| sent(record, CHANGES_RUN)).traffic_budget(),
        RunsRow::new("of it verdicts", |record| {
            verdict_traffic(record, CHANGES_RUN)
        }),
        RunsRow::new("most in and out in 1 s at any node, at rest", |record| {
            peak_traffic(record, QUIET_RUN)
        }),
        RunsRow::new("the same, under changes", |record| {
            peak_traffic(record, CHANGES_RUN)
        }),
    ]
}

fn processor_rows() -> Vec<RunsRow> {
    vec![
        RunsRow::new("processor time of a hollow node, at rest", |record| {
            processor(record, QUIET_RUN, Source::HollowNodes)
        })
        .processor_budget(),
        RunsRow::new("the same, under changes", |record| {
            processor(record, CHANGES_RUN, Source::HollowNodes)
        })
        .processor_budget(),
        RunsRow::new("processor time of a real node, at rest", |record| {
            processor(record, QUIET_RUN, Source::RealNodes)
        })
        .processor_budget(),
        RunsRow::new("the same, with requests and changes", |record| {
            processor(record, REQUESTS_RUN, Source::RealNodes)
        }),
    ]
}

fn memory_rows() -> Vec<RunsRow> {
    vec![
        RunsRow::new("memory of a hollow node, at rest", |record| {
            memory(record, QUIET_RUN, Source::HollowNodes)
        })
        .memory_budget(),
        RunsRow::new("memory of a real node, whole process, at rest", |record| {
            memory(record, QUIET_RUN, Source::RealNodes)
        })
        .memory_budget(),
    ]
}

/// Renders the times until bans and list changes are in force.
pub(super) fn propagation_times(singles: &[NamedRecord]) -> String {
    let rows = [
        RunsRow::new("ban at one node, in force: p50", |record| {
            ban_times(record, |times| times.p50)
        }),
        RunsRow::new("p99", |record| ban_times(record, |times| times.p99)),
        RunsRow::new("at the last node", |record| {
            ban_times(record, |times| times.last)
        })
        .in_force_budget(),
        RunsRow::new("line of a list taken in: p50", |record| {
            list_change_times(record, |times| times.p50)
        }),
        RunsRow::new("p99", |record| list_change_times(record, |times| times.p99)),
        RunsRow::new("at the last node", |record| {
            list_change_times(record, |times| times.last)
        })
        .in_force_budget(),
        RunsRow::new("all know all after the start of all", |record| {
            convergence_time(record, "start")
        }),
        RunsRow::new("threads that drive hollow nodes busy, at rest", |record| {
            thread_utilization(record, QUIET_RUN)
        }),
        RunsRow::new("the same, under changes", |record| {
            thread_utilization(record, CHANGES_RUN)
        }),
    ];
    table(singles, &rows)
}

/// Renders the latency of requests at rest and under changes.
pub(super) fn request_times(singles: &[NamedRecord]) -> String {
    let rows = [
        RunsRow::new("at rest: p50, p99", |record| {
            request_latency(record, |times| times.at_rest)
        }),
        RunsRow::new("under changes: p50, p99", |record| {
            request_latency(record, |times| times.under_changes)
        }),
        RunsRow::new("difference of p50, by rounds", |record| {
            added_latency(record, |round| round.p50)
        }),
        RunsRow::new("difference of p99, by rounds", |record| {
            added_latency(record, |round| round.p99)
        })
        .budget(budget::ADDED_LATENCY_SECONDS, Unit::Seconds),
    ];
    table(singles, &rows)
}

/// A fault that all nodes have to recover from.
struct FaultScenario {
    /// The run that measures it, if there is one.
    run: Option<&'static str>,
    /// Name under which the recovery time is recorded.
    event: &'static str,
    /// Name of the table row.
    name: &'static str,
}

const FAULT_SCENARIOS: [FaultScenario; 5] = [
    FaultScenario {
        run: Some("zone-back"),
        event: "zone-back",
        name: "a zone's nodes back at once",
    },
    FaultScenario {
        run: None,
        event: "region-gone",
        name: "a region's nodes gone at once: until the others know it",
    },
    FaultScenario {
        run: Some("region-start"),
        event: "region-start",
        name: "a region's nodes started at once",
    },
    FaultScenario {
        run: Some("drawn-faults"),
        event: "drawn-faults",
        name: "nodes frozen and killed, two zones cut apart, no lists",
    },
    FaultScenario {
        run: Some("region-cut"),
        event: "region-cut",
        name: "regions cut apart: after they reach each other again",
    },
];

impl FaultScenario {
    /// Renders the recovery time and the peak traffic of a node.
    fn cell(&self, record: &Record) -> String {
        let run = self.run.and_then(|run| hollow_runs(record, run).next());
        let peak = run.map(|run| amount(run.per_node.peak_bytes, Unit::Bytes));
        let recovered = convergence_time(record, self.event);
        match peak {
            Some(peak) => format!("{recovered}; {peak}"),
            None => recovered,
        }
    }
}

/// Renders the recovery of nodes from faults.
pub(super) fn fault_scenarios(singles: &[NamedRecord]) -> String {
    let rows: Vec<RunsRow> = FAULT_SCENARIOS
        .iter()
        .map(|scenario| RunsRow::new(scenario.name, |record| scenario.cell(record)))
        .collect();
    table(singles, &rows)
}
