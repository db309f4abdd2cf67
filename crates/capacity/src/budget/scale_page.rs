//! The tables of the page of scale runs, from their reports.

mod cells;

use super::inputs::json;
use super::model::budget;
use super::table::{amount, markdown, plain, Unit};
use super::Fault;
use crate::scale::computation::Computation;
use crate::scale::record::{AxisPair, InteractionFit, Record};
use crate::scale::report::{Run, Slope, Source};
use crate::scale::{fit, plot};
use std::collections::BTreeMap;
use std::path::Path;

use cells::{
    added, bans, busy, gathered, hollow, list_lines, memory, nodes, of, peak, processor,
    request_times, traffic, verdicts, NOT_MEASURED,
};

/// One of the worst moments.
struct Moment {
    /// The name of its window, if it has one.
    window: Option<&'static str>,
    /// After what all have to know all.
    after: &'static str,
    /// In words.
    what: &'static str,
}

const MOMENTS: [Moment; 5] = [
    Moment {
        window: Some("zone-back"),
        after: "zone-back",
        what: "a zone's nodes back at once",
    },
    Moment {
        window: None,
        after: "region-gone",
        what: "a region's nodes gone at once: until the others know it",
    },
    Moment {
        window: Some("region-start"),
        after: "region-start",
        what: "a region's nodes started at once",
    },
    Moment {
        window: Some("drawn-faults"),
        after: "drawn-faults",
        what: "nodes frozen and killed, two zones cut apart, no lists",
    },
    Moment {
        window: Some("region-cut"),
        after: "region-cut",
        what: "regions cut apart: after they reach each other again",
    },
];

/// The reports of a folder: single runs by their nodes, and the sweep.
struct Reports {
    singles: Vec<(String, Record)>,
    sweep: Option<(String, Record)>,
}

impl Reports {
    fn read(folder: &Path) -> Result<Reports, Fault> {
        let mut reports = Reports {
            singles: Vec::new(),
            sweep: None,
        };
        for path in super::inputs::report_files(folder) {
            let name = path
                .file_name()
                .map(|name| name.to_string_lossy().into_owned())
                .unwrap_or_default();
            let record: Record = json(&path)?;
            if !record.report.slopes.is_empty() && hollow(&record, "sweep").next().is_some() {
                reports.sweep = Some((name, record));
            } else if hollow(&record, "quiet").next().is_some() {
                reports.singles.push((name, record));
            }
        }
        reports.singles.sort_by_key(|(_, record)| nodes(record));
        Ok(reports)
    }

    fn all(&self) -> impl Iterator<Item = &(String, Record)> {
        self.singles.iter().chain(&self.sweep)
    }
}

/// All tables of the page, by their names.
///
/// # Errors
/// If a report can't be read.
pub fn tables(folder: &Path) -> Result<BTreeMap<&'static str, String>, Fault> {
    let reports = Reports::read(folder)?;
    let slopes = reports
        .sweep
        .as_ref()
        .map_or(&[][..], |(_, record)| &record.report.slopes);
    let products = reports
        .sweep
        .as_ref()
        .map_or(&[][..], |(_, record)| &record.interactions);
    Ok(BTreeMap::from([
        ("reports", reports_table(&reports)),
        ("one-node", one_node(&reports.singles)),
        ("in-force", in_force(&reports.singles)),
        ("requests", requests(&reports.singles)),
        ("moments", moments(&reports.singles)),
        ("lines", lines(slopes)),
        ("products", products_table(products)),
        ("settings", computations(&reports, &[Computation::Settings])),
        (
            "lists",
            computations(
                &reports,
                &[Computation::ServerList, Computation::ServerChange],
            ),
        ),
    ]))
}

/// A row of a table with one column for each single run.
struct RunsRow {
    what: &'static str,
    cell: Box<dyn Fn(&Record) -> String>,
    bound: String,
}

fn row(what: &'static str, cell: impl Fn(&Record) -> String + 'static) -> RunsRow {
    RunsRow {
        what,
        cell: Box::new(cell),
        bound: String::new(),
    }
}

impl RunsRow {
    /// The same row, with what a node may use.
    fn within(self, bound: f64, unit: Unit) -> RunsRow {
        RunsRow {
            bound: amount(bound, unit),
            ..self
        }
    }
}

/// A table with one column for each single run.
fn by_run(singles: &[(String, Record)], rows: &[RunsRow]) -> String {
    if singles.is_empty() {
        return "Not measured yet.\n".to_owned();
    }
    let mut head = vec![String::new()];
    head.extend(
        singles
            .iter()
            .map(|(_, record)| format!("{} nodes", plain(nodes(record) as f64))),
    );
    head.push("a node may use".to_owned());
    let cells = |row: &RunsRow| {
        let mut cells = vec![row.what.to_owned()];
        cells.extend(singles.iter().map(|(_, record)| (row.cell)(record)));
        cells.push(row.bound.clone());
        cells
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    markdown(&head.iter().map(String::as_str).collect::<Vec<_>>(), &rows)
}

fn reports_table(reports: &Reports) -> String {
    let row = |(name, record): &(String, Record)| {
        let left_out: Vec<&str> = record
            .notes
            .iter()
            .filter_map(|note| note.strip_prefix("left out: "))
            .collect();
        let left_out = if record.is_partial {
            left_out.join("; ")
        } else {
            "nothing".to_owned()
        };
        vec![
            format!("`{name}`"),
            record.report.commit.clone(),
            record.report.cores.to_string(),
            record.report.seed.to_string(),
            left_out,
        ]
    };
    let rows: Vec<Vec<String>> = reports.all().map(row).collect();
    markdown(&["report", "commit", "cores", "seed", "left out"], &rows)
}

fn one_node(singles: &[(String, Record)]) -> String {
    let (bytes, cores) = (Unit::BytesPerSecond, Unit::Cores);
    by_run(
        singles,
        &[
            row("at rest, received", |r| traffic(r, "quiet", |t| t.bytes_in))
                .within(budget::TRAFFIC, bytes),
            row("at rest, sent", |r| traffic(r, "quiet", |t| t.bytes_out))
                .within(budget::TRAFFIC, bytes),
            row("of it verdicts", |r| verdicts(r, "quiet")),
            row("under changes, received", |r| {
                traffic(r, "changes", |t| t.bytes_in)
            })
            .within(budget::TRAFFIC, bytes),
            row("under changes, sent", |r| {
                traffic(r, "changes", |t| t.bytes_out)
            })
            .within(budget::TRAFFIC, bytes),
            row("of it verdicts", |r| verdicts(r, "changes")),
            row("most in and out in 1 s at any node, at rest", |r| {
                peak(r, "quiet")
            }),
            row("the same, under changes", |r| peak(r, "changes")),
            row("processor time of a hollow node, at rest", |r| {
                processor(r, "quiet", Source::HollowNodes)
            })
            .within(budget::PROCESSOR, cores),
            row("the same, under changes", |r| {
                processor(r, "changes", Source::HollowNodes)
            })
            .within(budget::PROCESSOR, cores),
            row("processor time of a real node, at rest", |r| {
                processor(r, "quiet", Source::RealNodes)
            })
            .within(budget::PROCESSOR, cores),
            row("the same, with requests and changes", |r| {
                processor(r, "requests", Source::RealNodes)
            }),
            row("memory of a hollow node, at rest", |r| {
                memory(r, "quiet", Source::HollowNodes)
            })
            .within(budget::MEMORY, Unit::Bytes),
            row("memory of a real node, whole process, at rest", |r| {
                memory(r, "quiet", Source::RealNodes)
            })
            .within(budget::MEMORY, Unit::Bytes),
        ],
    )
}

fn in_force(singles: &[(String, Record)]) -> String {
    by_run(
        singles,
        &[
            row("ban at one node, in force: p50", |r| bans(r, |t| t.p50)),
            row("p99", |r| bans(r, |t| t.p99)),
            row("at the last node", |r| bans(r, |t| t.last))
                .within(budget::IN_FORCE, Unit::Seconds),
            row("line of a list taken in: p50", |r| list_lines(r, |t| t.p50)),
            row("p99", |r| list_lines(r, |t| t.p99)),
            row("at the last node", |r| list_lines(r, |t| t.last))
                .within(budget::IN_FORCE, Unit::Seconds),
            row("all know all after the start of all", |r| {
                gathered(r, "start")
            }),
            row("threads that drive hollow nodes busy, at rest", |r| {
                busy(r, "quiet")
            }),
            row("the same, under changes", |r| busy(r, "changes")),
        ],
    )
}

fn requests(singles: &[(String, Record)]) -> String {
    by_run(
        singles,
        &[
            row("at rest: p50, p99", |r| {
                request_times(r, |t| [t.at_rest.p50, t.at_rest.p99])
            }),
            row("under changes: p50, p99", |r| {
                request_times(r, |t| [t.under_changes.p50, t.under_changes.p99])
            }),
            row("difference of p50, by rounds", |r| {
                added(r, |round| round.p50)
            }),
            row("difference of p99, by rounds", |r| {
                added(r, |round| round.p99)
            })
            .within(budget::ADDED, Unit::Seconds),
        ],
    )
}

fn moments(singles: &[(String, Record)]) -> String {
    let cell = |moment: &Moment, record: &Record| {
        let window = moment
            .window
            .and_then(|window| hollow(record, window).next());
        let peak = window.map(|run| format!("; {}", amount(run.per_node.peak_bytes, Unit::Bytes)));
        gathered(record, moment.after) + &peak.unwrap_or_default()
    };
    let rows: Vec<RunsRow> = MOMENTS
        .iter()
        .map(|moment| row(moment.what, move |record| cell(moment, record)))
        .collect();
    by_run(singles, &rows)
}

/// Lines through sweeps as a table.
pub fn lines(slopes: &[Slope]) -> String {
    let row = |slope: &Slope| {
        let fit::Extent {
            min: least,
            max: most,
        } = fit::Extent::of(slope.points.iter().map(|(x, _)| *x));
        let axis = format!("{:?}", slope.axis).to_lowercase();
        let residual = slope
            .residuals
            .iter()
            .map(|residual| residual.abs())
            .fold(0.0, f64::max);
        let bend = slope.bend.map_or(NOT_MEASURED.to_owned(), |bend| {
            format!("{:.2}, bound {:.2}", bend.t, bend.bound)
        });
        let at_target = match slope.projection {
            Some(there) => {
                let (figure, error) = (plain(there.figure), plain(there.standard_error));
                format!("{figure} ({error}) at {}", plain(there.at))
            }
            None if slope.bent => "not extended: it bends".to_owned(),
            None => "not extended".to_owned(),
        };
        vec![
            format!("{axis}, {} to {}", plain(least), plain(most)),
            slope.figure.clone(),
            format!("{:.3e} ({:.1e})", slope.slope, slope.standard_error),
            format!("{residual:.1e}"),
            bend,
            at_target,
            format!("![](scale/{})", plot::file_name(slope)),
        ]
    };
    let rows: Vec<Vec<String>> = slopes.iter().map(row).collect();
    let head = [
        "axis",
        "figure",
        "slope (standard error)",
        "largest residual",
        "bend: t of a quadratic term",
        "at the target (standard error)",
        "plot",
    ];
    markdown(&head, &rows)
}

fn products_table(products: &[InteractionFit]) -> String {
    let row = |product: &InteractionFit| {
        let AxisPair {
            first: one,
            second: other,
        } = product.axes;
        let mut cells = vec![
            format!("{one:?}, {other:?}").to_lowercase(),
            product.figure.clone(),
        ];
        let terms = product.coefficients.iter().zip(&product.standard_errors);
        cells.extend(terms.map(|(factor, error)| format!("{factor:.3e} ({error:.1e})")));
        cells
    };
    let rows: Vec<Vec<String>> = products.iter().map(row).collect();
    let head = [
        "axes",
        "figure",
        "constant (standard error)",
        "of the first",
        "of the second",
        "of their product",
    ];
    markdown(&head, &rows)
}

/// What computations took, of all reports.
fn computations(reports: &Reports, which: &[Computation]) -> String {
    let mut rows = Vec::new();
    for (name, record) in reports.all() {
        for computation in which {
            let runs = of(record, computation.name(), Source::Computation);
            rows.extend(runs.map(|run| computation_row(name, run)));
        }
    }
    let head = [
        "computation",
        "servers",
        "services",
        "routes",
        "tenants",
        "length",
        "processor time",
        "most memory of the process",
        "report",
    ];
    markdown(&head, &rows)
}

fn computation_row(report: &str, run: &Run) -> Vec<String> {
    let count = |count: usize| amount(count as f64, Unit::Count);
    let bytes = |bytes: Option<f64>| {
        bytes.map_or(NOT_MEASURED.to_owned(), |bytes| amount(bytes, Unit::Bytes))
    };
    vec![
        run.name.clone(),
        count(run.size.servers),
        count(run.size.services),
        count(run.size.routes),
        count(run.size.tenants),
        bytes(run.read_bytes.map(|bytes| bytes as f64)),
        amount(run.per_node.cpu, Unit::Seconds),
        bytes(run.per_node.memory),
        format!("`{report}`"),
    ]
}
