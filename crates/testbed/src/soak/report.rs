//! Output lines and tables of the soak.

use super::checker::load::LoadSummary;
use super::checker::{CheckResult, CloseRace, Finding};
use std::collections::BTreeMap;
use std::fmt::Display;

/// Totals over many runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of runs, with those that could not be completed.
    pub runs: usize,
    /// Runs with findings that no stall of the machine explains, and runs that could not be completed.
    pub failed: usize,
    /// Sums of the load of all runs.
    pub load: LoadSummary,
    /// Number of requests that raced with the close of their connection, by kind of close.
    close_races: BTreeMap<CloseRace, usize>,
    /// Number of signals that were sent.
    pub signals: usize,
    /// Number of findings by rule, without those that stalls of the machine explain.
    findings: BTreeMap<String, usize>,
    /// Number of findings that stalls of the machine explain, by rule.
    disturbed: BTreeMap<String, usize>,
}

impl Totals {
    /// Adds a completed run.
    pub fn add(&mut self, check_result: &CheckResult, signals: usize) {
        self.runs += 1;
        self.failed += usize::from(has_failed(check_result));
        self.load.add(&check_result.load);
        for (how, count) in &check_result.close_races {
            *self.close_races.entry(*how).or_default() += count;
        }
        self.signals += signals;
        for finding in &check_result.findings {
            let counts = if finding.disturbed_for.is_some() {
                &mut self.disturbed
            } else {
                &mut self.findings
            };
            *counts.entry(format!("{:?}", finding.rule)).or_default() += 1;
        }
    }

    /// Adds a run that could not be completed.
    pub fn add_incomplete(&mut self) {
        self.runs += 1;
        self.failed += 1;
    }

    /// Formats a row for the Markdown table of [`TABLE_HEAD`], with the kind of the runs in the first cell.
    pub fn row(&self, kind: &str) -> String {
        format!(
            "| {kind} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            self.runs,
            self.failed,
            self.load.requests,
            list(&self.load.statuses),
            self.load.attempts,
            self.signals,
            list(&self.close_races),
            list(&self.findings),
            list(&self.disturbed)
        )
    }

    /// Formats the counts of answers other than 200, by their text.
    pub fn reasons(&self) -> String {
        list(&self.load.reasons)
    }
}

/// Head of the Markdown table of the totals.
pub const TABLE_HEAD: &str =
    "| kind | seeds | red | requests | answers by status | attempts at servers | signals | close races | findings | disturbed |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Formats counts as `key: count, ...`.
pub fn list<K: Display>(counts: &BTreeMap<K, usize>) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let entries: Vec<String> = counts
        .iter()
        .map(|(counted, count)| format!("{counted}: {count}"))
        .collect();
    entries.join(", ")
}

/// Whether a run has a finding that no stall of the machine explains.
pub fn has_failed(check_result: &CheckResult) -> bool {
    check_result
        .findings
        .iter()
        .any(|finding| finding.disturbed_for.is_none())
}

/// Formats the findings, one line each.
pub fn findings(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("    {finding}\n"))
        .collect()
}
