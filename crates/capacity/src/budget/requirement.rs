//! Requirements of a role for one resource at the three sizes, and their verdicts. The modules of
//! [`roles`](super::roles) create them.

use super::markdown::{self, NOT_MEASURED};
use super::model;
use super::provenance::Provenance;
use super::units::{amount, times, Unit};
use crate::scale::report::Size;

/// A possible change of the design, and the amount at the target with that change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Improvement {
    /// Description of the change.
    pub name: &'static str,
    /// The amount at the target with the change.
    pub amount: f64,
}

/// The result of comparing an amount with its budget.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The amount is within its budget.
    Fits,
    /// The amount is over budget, and would fit with an improvement that is not implemented yet.
    FitsWith(Improvement),
    /// The amount is this multiple of its budget.
    DoesNotFit(f64),
    /// The amount has no budget.
    NoBudget,
    /// The amount at the target is not known.
    NotKnown,
}

/// The requirement of a role for one resource, at the three sizes of the page.
#[derive(Clone, Debug)]
pub struct Requirement {
    /// Description of the required resource.
    pub name: &'static str,
    /// How the amounts are computed, in words.
    pub derivation: &'static str,
    /// The weakest provenance among the inputs.
    pub provenance: Provenance,
    /// The amounts at the [`page_sizes`](model::page_sizes), as far as they are known.
    pub amounts: [Option<f64>; 3],
    /// The budget at the target.
    pub budget: Option<f64>,
    /// The unit of the amounts and the budget.
    pub unit: Unit,
    /// The source files that implement the mechanism, or a note that nothing does.
    pub mechanism: &'static str,
    /// The improvement that would reduce the amount.
    pub improvement: Option<Improvement>,
}

impl Requirement {
    fn new(
        name: &'static str,
        unit: Unit,
        provenance: Provenance,
        derivation: &'static str,
    ) -> Requirement {
        Requirement {
            name,
            derivation,
            provenance,
            amounts: [None; 3],
            budget: None,
            unit,
            mechanism: "",
            improvement: None,
        }
    }

    /// Creates a requirement that follows from measured inputs alone.
    pub fn measured(name: &'static str, unit: Unit, derivation: &'static str) -> Requirement {
        Requirement::new(name, unit, Provenance::Measured, derivation)
    }

    /// Creates a requirement that a formula derives from other figures.
    pub fn derived(name: &'static str, unit: Unit, derivation: &'static str) -> Requirement {
        Requirement::new(name, unit, Provenance::Derived, derivation)
    }

    /// Creates a requirement that depends on an assumption.
    pub fn assumed(name: &'static str, unit: Unit, derivation: &'static str) -> Requirement {
        Requirement::new(name, unit, Provenance::Assumed, derivation)
    }

    /// Sets the amount at each page size from a formula.
    pub fn at_sizes(self, formula: impl Fn(&Size) -> f64) -> Requirement {
        let amounts = model::page_sizes().map(|size| Some(formula(&size)));
        self.amounts(amounts)
    }

    /// Sets the same amount at all sizes.
    pub fn constant(self, amount: f64) -> Requirement {
        self.amounts([Some(amount); 3])
    }

    /// Sets the amounts at the page sizes; `None` where an amount is not known.
    pub fn amounts(self, amounts: [Option<f64>; 3]) -> Requirement {
        Requirement { amounts, ..self }
    }

    /// Sets the budget at the target.
    pub fn budget(self, budget: f64) -> Requirement {
        Requirement {
            budget: Some(budget),
            ..self
        }
    }

    /// Sets the text on the mechanism.
    pub fn mechanism(self, mechanism: &'static str) -> Requirement {
        Requirement { mechanism, ..self }
    }

    /// Sets the improvement that would reduce the amount.
    pub fn improved_by(self, name: &'static str, amount: f64) -> Requirement {
        Requirement {
            improvement: Some(Improvement { name, amount }),
            ..self
        }
    }

    /// Returns the amount at the target, if it is known.
    pub fn at_target(&self) -> Option<f64> {
        let [.., target] = self.amounts;
        target
    }

    /// Compares the amount at the target with the budget.
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
        let sufficient = |improvement: &Improvement| improvement.amount <= budget;
        match self.improvement.filter(sufficient) {
            Some(improvement) => Verdict::FitsWith(improvement),
            None => Verdict::DoesNotFit(target / budget),
        }
    }

    /// Returns the amount at the target as a multiple of the budget; 0 if either is unknown.
    fn excess_factor(&self) -> f64 {
        self.at_target()
            .zip(self.budget)
            .map_or(0.0, |(target, budget)| target / budget)
    }

    fn verdict_text(&self) -> String {
        match self.verdict() {
            Verdict::Fits => "fits".to_owned(),
            Verdict::FitsWith(improvement) => format!(
                "{} times over; fits with {}: {}",
                times(self.excess_factor()),
                improvement.name,
                amount(improvement.amount, self.unit)
            ),
            Verdict::DoesNotFit(factor) => format!("does not fit, {} times over", times(factor)),
            Verdict::NoBudget => "no budget".to_owned(),
            Verdict::NotKnown => "not known".to_owned(),
        }
    }

    fn amount_text(&self, value: Option<f64>, unknown: &str) -> String {
        value.map_or(unknown.to_owned(), |value| amount(value, self.unit))
    }

    fn cells(&self) -> Vec<String> {
        let mut cells = vec![
            self.name.to_owned(),
            format!("{}: {}", self.provenance.label(), self.derivation),
        ];
        cells.extend(self.amounts.map(|at| self.amount_text(at, NOT_MEASURED)));
        cells.push(self.amount_text(self.budget, "-"));
        cells.push(self.verdict_text());
        cells.push(self.mechanism.to_owned());
        cells
    }
}

/// Renders requirements as a table.
pub fn table(requirements: &[Requirement]) -> String {
    let header = [
        "what",
        "how",
        "300 nodes",
        "1,500",
        "6,000",
        "budget",
        "verdict",
        "carried by",
    ];
    let rows: Vec<_> = requirements.iter().map(Requirement::cells).collect();
    markdown::table(&header, &rows)
}
