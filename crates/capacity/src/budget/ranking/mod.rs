//! Ranks the amounts over budget by their excess; the first row is the most urgent. Generates the table `ranking`.

mod shortfalls;

use super::markdown;
use super::model::budget;
use super::model::costs::Costs;
use super::units::{amount, times, Unit};

/// Processor time of one thread, in cores.
const THREAD_CORES: f64 = 1.0;

/// An amount at the target, compared with its budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetComparison {
    /// Description of the amount.
    pub name: &'static str,
    /// The amount at the target.
    pub amount: f64,
    /// The budget.
    pub budget: f64,
    /// The unit of both.
    pub unit: Unit,
    /// Whether the amount depends on an assumption.
    pub is_assumed: bool,
}

impl BudgetComparison {
    fn new(name: &'static str, amount: f64, budget: f64, unit: Unit) -> BudgetComparison {
        BudgetComparison {
            name,
            amount,
            budget,
            unit,
            is_assumed: false,
        }
    }

    /// Compares with the traffic budget of a node, in bytes per second.
    fn traffic(name: &'static str, amount: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, budget::NODE_TRAFFIC, Unit::BytesPerSecond)
    }

    /// Compares with the processor budget of a node, in cores.
    fn cores(name: &'static str, amount: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, budget::NODE_CORES, Unit::Cores)
    }

    /// Compares with the processor time of one thread, in cores.
    fn thread(name: &'static str, amount: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, THREAD_CORES, Unit::Cores)
    }

    /// Compares with the memory budget of a node, in bytes.
    fn memory(name: &'static str, amount: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, budget::NODE_MEMORY_BYTES, Unit::Bytes)
    }

    /// Compares with the time until a change has to be in force, in seconds.
    fn until_in_force(name: &'static str, amount: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, budget::IN_FORCE_SECONDS, Unit::Seconds)
    }

    /// Compares a count with a limit of the program.
    fn count(name: &'static str, amount: f64, limit: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, limit, Unit::Count)
    }

    /// Compares a size in bytes with a limit of the program.
    fn bytes(name: &'static str, amount: f64, limit: f64) -> BudgetComparison {
        BudgetComparison::new(name, amount, limit, Unit::Bytes)
    }

    /// Marks the amount as dependent on an assumption.
    fn assumed(self) -> BudgetComparison {
        BudgetComparison {
            is_assumed: true,
            ..self
        }
    }

    /// Returns the amount as a multiple of the budget.
    pub fn factor(&self) -> f64 {
        self.amount / self.budget
    }

    fn amount_text(&self) -> String {
        let note = if self.is_assumed { " (assumed)" } else { "" };
        format!("{}: {}{note}", self.name, amount(self.amount, self.unit))
    }
}

/// A mechanism and its amounts that are over budget.
#[derive(Clone, Debug)]
pub struct Shortfall {
    /// Description of the mechanism that is over budget.
    pub name: &'static str,
    /// The source files that implement it today, or a note that nothing does.
    pub mechanism: &'static str,
    /// The amounts that are over their budgets.
    pub comparisons: Vec<BudgetComparison>,
}

impl Shortfall {
    /// Returns the largest factor of all comparisons.
    pub fn factor(&self) -> f64 {
        let factors = self.comparisons.iter().map(BudgetComparison::factor);
        factors.fold(0.0, f64::max)
    }

    fn cells(&self, rank: usize) -> Vec<String> {
        let mut comparisons = self.comparisons.clone();
        comparisons.sort_by(|one, other| other.factor().total_cmp(&one.factor()));
        let column = |cell: fn(&BudgetComparison) -> String| {
            let cells: Vec<String> = comparisons.iter().map(cell).collect();
            cells.join("<br>")
        };
        vec![
            rank.to_string(),
            self.name.to_owned(),
            self.mechanism.to_owned(),
            column(BudgetComparison::amount_text),
            column(|comparison| amount(comparison.budget, comparison.unit)),
            column(|comparison| times(comparison.factor())),
        ]
    }
}

/// Returns the mechanisms that are over budget at the target, the largest factor first.
pub fn shortfalls(costs: &Costs) -> Vec<Shortfall> {
    let mut all = shortfalls::all(costs);
    for shortfall in &mut all {
        shortfall
            .comparisons
            .retain(|comparison| comparison.factor() > 1.0);
    }
    all.retain(|shortfall| !shortfall.comparisons.is_empty());
    all.sort_by(|one, other| other.factor().total_cmp(&one.factor()));
    all
}

/// Renders the ranking as a table.
pub fn table(costs: &Costs) -> String {
    let header = [
        "",
        "what",
        "carried by",
        "at the target",
        "budget",
        "times over",
    ];
    let ranked = shortfalls(costs).into_iter().zip(1..);
    let rows: Vec<_> = ranked
        .map(|(shortfall, rank)| shortfall.cells(rank))
        .collect();
    markdown::table(&header, &rows)
}
