//! Lines and tables of a soak.

use super::judge::load::LoadSummary;
use super::judge::{Crossing, Finding, Judgement};
use std::collections::BTreeMap;
use std::fmt::Display;

/// The sums of many days.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Days that were played.
    pub days: usize,
    /// Days with findings that no delay of the machine explains, and days that could not be played.
    pub red: usize,
    /// What became of the load of all days.
    pub load: LoadSummary,
    /// Requests that crossed the end of their connection, by how.
    crossed: BTreeMap<Crossing, usize>,
    /// Signals that were sent.
    pub signals: usize,
    /// Findings by rule, those in delays of the machine apart.
    findings: BTreeMap<String, usize>,
    disturbed: BTreeMap<String, usize>,
}

impl Totals {
    /// Adds a day.
    pub fn add(&mut self, judgement: &Judgement, signals: usize) {
        self.days += 1;
        self.red += usize::from(is_red(judgement));
        self.load.add(&judgement.load);
        for (how, count) in &judgement.crossed {
            *self.crossed.entry(*how).or_default() += count;
        }
        self.signals += signals;
        for finding in &judgement.findings {
            let counts = if finding.disturbed_for.is_some() {
                &mut self.disturbed
            } else {
                &mut self.findings
            };
            *counts.entry(format!("{:?}", finding.rule)).or_default() += 1;
        }
    }

    /// Adds a day that could not be played to its end.
    pub fn add_unplayed(&mut self) {
        self.days += 1;
        self.red += 1;
    }

    /// A row of a table in Markdown, of which the first cell is the kind of the days.
    pub fn row(&self, kind: &str) -> String {
        format!(
            "| {kind} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            self.days,
            self.red,
            self.load.requests,
            list(&self.load.statuses),
            self.load.attempts,
            self.signals,
            list(&self.crossed),
            list(&self.findings),
            list(&self.disturbed)
        )
    }

    /// The answers other than 200, by their text.
    pub fn reasons(&self) -> String {
        list(&self.load.reasons)
    }
}

/// The head of the table.
pub const TABLE_HEAD: &str =
    "| kind | seeds | red | requests | answers by status | attempts at servers | signals | crossed | findings | disturbed |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Counts by what was counted.
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

/// Whether a day has a finding that no delay of the machine explains.
pub fn is_red(judgement: &Judgement) -> bool {
    judgement
        .findings
        .iter()
        .any(|finding| finding.disturbed_for.is_none())
}

/// The findings, a line each.
pub fn findings(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("    {finding}\n"))
        .collect()
}
