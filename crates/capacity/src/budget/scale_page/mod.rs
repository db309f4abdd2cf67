//! Generates the tables of the page of scale runs from the reports of these runs.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`run_tables`] | tables with one column for each single run |
//! | [`sweep_tables`] | tables of lines through sweeps, and of computations |
//! | [`cells`] | table cells from the runs of one report |

mod cells;
mod run_tables;
mod sweep_tables;

use super::error::Error;
use super::{json, markdown, Tables};
use crate::scale::computation::Computation;
use crate::scale::record::Record;
use cells::{hollow_runs, node_count};
use std::path::Path;

/// Name of the run that every report of a single run contains.
const QUIET_RUN: &str = "quiet";
/// Name of the runs that are points of a sweep.
const SWEEP_RUN: &str = "sweep";
/// Prefix of notes on parts that were left out.
const LEFT_OUT_NOTE: &str = "left out: ";

/// A report and its file name.
struct NamedRecord {
    name: String,
    record: Record,
}

/// The reports of a folder: single runs, sorted by their number of nodes, and the sweep.
struct Reports {
    singles: Vec<NamedRecord>,
    sweep: Option<NamedRecord>,
}

impl Reports {
    fn read(folder: &Path) -> Result<Reports, Error> {
        let mut reports = Reports {
            singles: Vec::new(),
            sweep: None,
        };
        for path in json::files(folder) {
            let name = path
                .file_name()
                .map(|name| name.to_string_lossy().into_owned())
                .unwrap_or_default();
            let record = json::read(&path)?;
            reports.add(NamedRecord { name, record });
        }
        reports
            .singles
            .sort_by_key(|single| node_count(&single.record));
        Ok(reports)
    }

    /// Adds a report; ignores reports that are neither a sweep nor a single run, as the page doesn't show them.
    fn add(&mut self, named: NamedRecord) {
        let has_run = |name| hollow_runs(&named.record, name).next().is_some();
        if !named.record.report.slopes.is_empty() && has_run(SWEEP_RUN) {
            self.sweep = Some(named);
        } else if has_run(QUIET_RUN) {
            self.singles.push(named);
        }
    }

    fn all(&self) -> impl Iterator<Item = &NamedRecord> {
        self.singles.iter().chain(&self.sweep)
    }
}

/// Renders all tables of the page.
///
/// # Errors
/// If a report can't be read.
pub fn tables(folder: &Path) -> Result<Tables, Error> {
    let reports = Reports::read(folder)?;
    let singles = &reports.singles;
    let sweep = reports.sweep.as_ref().map(|sweep| &sweep.record);
    let slopes = sweep.map_or(&[][..], |record| &record.report.slopes);
    let products = sweep.map_or(&[][..], |record| &record.interactions);
    let settings = [Computation::Settings];
    let lists = [Computation::ServerList, Computation::ServerChange];
    Ok(Tables::from([
        ("reports", reports_table(&reports)),
        ("one-node", run_tables::node_usage(singles)),
        ("in-force", run_tables::propagation_times(singles)),
        ("requests", run_tables::request_times(singles)),
        ("moments", run_tables::fault_scenarios(singles)),
        ("lines", sweep_tables::lines(slopes)),
        ("products", sweep_tables::products(products)),
        ("settings", sweep_tables::computations(&reports, &settings)),
        ("lists", sweep_tables::computations(&reports, &lists)),
    ]))
}

fn reports_table(reports: &Reports) -> String {
    let header = ["report", "commit", "cores", "seed", "left out"];
    let rows: Vec<_> = reports.all().map(report_cells).collect();
    markdown::table(&header, &rows)
}

fn report_cells(named: &NamedRecord) -> Vec<String> {
    let report = &named.record.report;
    vec![
        format!("`{}`", named.name),
        report.commit.clone(),
        report.cores.to_string(),
        report.seed.to_string(),
        left_out(&named.record),
    ]
}

/// Lists the parts of a report that were left out.
fn left_out(record: &Record) -> String {
    if !record.is_partial {
        return "nothing".to_owned();
    }
    let parts: Vec<&str> = record
        .notes
        .iter()
        .filter_map(|note| note.strip_prefix(LEFT_OUT_NOTE))
        .collect();
    parts.join("; ")
}
