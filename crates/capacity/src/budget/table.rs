//! Rows, units and verdicts as Markdown.

use super::kind::Kind;

/// What an amount is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Things.
    Count,
    /// Things a second.
    CountPerSecond,
    /// Bytes, in thousands.
    Bytes,
    /// Bytes a second, in thousands.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Processor seconds a second.
    Cores,
}

/// A number to three digits, without its zeros behind the point.
pub fn plain(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = (2 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    let text = format!("{value:.digits$}");
    let text = if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        &text
    };
    grouped(text)
}

/// Puts commas between thousands.
fn grouped(text: &str) -> String {
    let (whole, rest) = text
        .split_once('.')
        .map_or((text, None), |(whole, rest)| (whole, Some(rest)));
    let mut grouped = String::new();
    for (n, digit) in whole.chars().enumerate() {
        let left = whole.len() - n;
        if n > 0 && left.is_multiple_of(3) && !grouped.ends_with('-') {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    match rest {
        Some(rest) => format!("{grouped}.{rest}"),
        None => grouped,
    }
}

/// An amount with its unit.
pub fn amount(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Count => plain(value.round()),
        Unit::CountPerSecond => format!("{}/s", plain(value)),
        Unit::Bytes => scaled(value, &[(1e9, "GB"), (1e6, "MB"), (1e3, "KB")], "B"),
        Unit::BytesPerSecond => {
            scaled(value, &[(1e9, "GB/s"), (1e6, "MB/s"), (1e3, "KB/s")], "B/s")
        }
        Unit::Seconds => scaled(value, &[(1.0, "s"), (1e-3, "ms")], "us"),
        Unit::Cores => format!("{} % of a core", plain(value * 100.0)),
    }
}

/// With the greatest unit that leaves one at least before the point; what is smaller than all has the last one.
fn scaled(value: f64, units: &[(f64, &str)], smallest: &str) -> String {
    let least = if smallest == "us" { 1e-6 } else { 1.0 };
    let fits = units.iter().find(|(size, _)| value.abs() >= *size * 0.9995);
    let (size, name) = fits.copied().unwrap_or((least, smallest));
    format!("{} {name}", plain(value / size))
}

/// How many times over a budget.
pub fn times(factor: f64) -> String {
    plain(if factor >= 10.0 {
        factor.round()
    } else {
        factor
    })
}

/// A Markdown table.
pub fn markdown(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let head: Vec<String> = head.iter().map(|&cell| cell.to_owned()).collect();
    let rule: Vec<String> = head.iter().map(|_| "---".to_owned()).collect();
    let rows: String = rows.iter().map(|row| line(row)).collect();
    line(&head) + &line(&rule) + &rows
}

/// Whether an amount is within its budget.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is.
    Fits,
    /// It is not, and would be with something that is not there yet, at this amount.
    FitsWith(&'static str, f64),
    /// It is not, by this factor.
    DoesNotFit(f64),
    /// There is no budget to hold it against.
    NoBudget,
    /// The amount at the target is not known.
    NotKnown,
}

/// One thing that a role needs, at three sizes.
#[derive(Clone, Debug)]
pub struct Row {
    /// What it is.
    pub what: &'static str,
    /// How it is worked out, in words.
    pub how: &'static str,
    /// How well it is known: as well as the worst of its inputs.
    pub kind: Kind,
    /// The amounts at today's size, in the middle, and at the target, as far as they are known.
    pub at: [Option<f64>; 3],
    /// What it may be at the target.
    pub budget: Option<f64>,
    /// What it is counted in.
    pub unit: Unit,
    /// The mechanism that carries it, by file; or that there is none.
    pub carried: &'static str,
    /// What would make it fit, and the amount at the target with it.
    pub with: Option<(&'static str, f64)>,
}

impl Row {
    /// The amount at the target, if it is known.
    pub fn at_target(&self) -> Option<f64> {
        let [.., target] = self.at;
        target
    }

    /// Whether it fits at the target.
    pub fn verdict(&self) -> Verdict {
        let Some(budget) = self.budget else {
            return Verdict::NoBudget;
        };
        let Some(target) = self.at_target() else {
            return Verdict::NotKnown;
        };
        if target <= budget {
            return Verdict::Fits;
        }
        match self.with.filter(|(_, amount)| *amount <= budget) {
            Some((what, amount)) => Verdict::FitsWith(what, amount),
            None => Verdict::DoesNotFit(target / budget),
        }
    }

    fn verdict_text(&self) -> String {
        match self.verdict() {
            Verdict::Fits => "fits".to_owned(),
            Verdict::FitsWith(what, with) => {
                let over = self
                    .at_target()
                    .zip(self.budget)
                    .map_or(0.0, |(target, budget)| target / budget);
                format!(
                    "{} times over; fits with {what}: {}",
                    times(over),
                    amount(with, self.unit)
                )
            }
            Verdict::DoesNotFit(over) => format!("does not fit, {} times over", times(over)),
            Verdict::NoBudget => "no budget".to_owned(),
            Verdict::NotKnown => "not known".to_owned(),
        }
    }

    fn cells(&self) -> Vec<String> {
        let mut cells = vec![
            self.what.to_owned(),
            format!("{}: {}", self.kind.word(), self.how),
        ];
        let known =
            |at: &Option<f64>| at.map_or("not measured".to_owned(), |at| amount(at, self.unit));
        cells.extend(self.at.iter().map(known));
        cells.push(
            self.budget
                .map_or("-".to_owned(), |budget| amount(budget, self.unit)),
        );
        cells.push(self.verdict_text());
        cells.push(self.carried.to_owned());
        cells
    }
}

/// Rows as a table.
pub fn rows(rows: &[Row]) -> String {
    let head = [
        "what",
        "how",
        "300 nodes",
        "1,500",
        "6,000",
        "budget",
        "verdict",
        "carried by",
    ];
    let cells: Vec<_> = rows.iter().map(Row::cells).collect();
    markdown(&head, &cells)
}
