//! Runs the plans of [`scenario`] with faulty servers for several sizes and seeds, with and without subsetting. Prints a line
//! with the mean figures of each, and the first violation of each run.
//!
//! `cargo run --release -p reelfall-emulator --example fleet -- [seeds] [nodes...]`

use reelfall_emulator::report::Second;
use reelfall_emulator::world::PlanError;
use reelfall_emulator::{run_plan, scenario, Plan, Report};
use std::fmt;
use std::num::ParseIntError;
use thiserror::Error;

/// Default number of seeds.
const DEFAULT_SEEDS: usize = 3;
/// Default numbers of nodes.
const DEFAULT_SIZES: [usize; 3] = [10, 100, 300];
/// Fraction of the servers that are faulty.
const FAULTY_FRACTION: f64 = 0.1;
/// Length of the window of the worst earned fraction, in seconds.
const WORST_WINDOW: usize = 5;
/// Assumed mean work of an attempt, in seconds on a standard core.
const MEAN_WORK: f64 = 0.032;

/// Why the example failed.
#[derive(Error)]
enum FleetError {
    #[error("{argument}: {error}")]
    Argument {
        argument: String,
        error: ParseIntError,
    },
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// `main` prints its error with this format.
impl fmt::Debug for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FleetError::Argument { .. } => fmt::Debug::fmt(&self.to_string(), f),
            FleetError::Plan(error) => fmt::Debug::fmt(error, f),
        }
    }
}

fn main() -> Result<(), FleetError> {
    let mut numbers = std::env::args().skip(1).map(parse_number);
    let seeds = numbers.next().transpose()?.unwrap_or(DEFAULT_SEEDS);
    let mut sizes: Vec<usize> = numbers.collect::<Result<_, _>>()?;
    if sizes.is_empty() {
        sizes.extend(DEFAULT_SIZES);
    }
    println!("plan                        nodes subset total worst5 conns/r retries/r  unresp% long%  load violations");
    for nodes in sizes {
        for plan in [
            scenario::undisturbed,
            scenario::mass_kill,
            scenario::zone_loss,
            scenario::server_replacement,
        ] {
            for is_subsetting_disabled in [false, true] {
                run_seeds(plan, nodes, seeds, is_subsetting_disabled)?;
            }
        }
    }
    Ok(())
}

fn parse_number(argument: String) -> Result<usize, FleetError> {
    argument
        .parse()
        .map_err(|error| FleetError::Argument { argument, error })
}

/// Runs a plan with all seeds and prints the mean figures.
fn run_seeds(
    plan: fn(usize, u64) -> Plan,
    nodes: usize,
    seeds: usize,
    is_subsetting_disabled: bool,
) -> Result<(), FleetError> {
    let mut reports = Vec::new();
    let mut name = String::new();
    for seed in 0..seeds as u64 {
        let plan = Plan {
            is_subsetting_disabled,
            ..scenario::with_faulty_servers(plan(nodes, seed + 1), FAULTY_FRACTION)
        };
        name.clone_from(&plan.name);
        reports.push(run_plan(plan)?);
    }
    print_line(&name, nodes, !is_subsetting_disabled, &reports);
    Ok(())
}

fn print_line(name: &str, nodes: usize, is_subsetting: bool, reports: &[Report]) {
    let mean = |figure: &dyn Fn(&Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
    };
    let violations: usize = reports
        .iter()
        .map(|report| report.violations.list.len())
        .sum();
    let slow_start_loads = reports
        .iter()
        .map(|report| report.violations.max_slow_start_load);
    println!(
        "{name:<27} {nodes:>5} {:>5}  {:.3}  {:.3}   {:.3}     {:.3}    {:>5.2} {:>5.1}  {:.2}  {violations}",
        if is_subsetting { "yes" } else { "no" },
        mean(&Report::earned_fraction),
        mean(&|report| report.worst_earned_fraction(WORST_WINDOW)),
        mean(&Report::connections_per_request),
        mean(&Report::retries_per_request),
        mean(&percent_to_unresponsive),
        mean(&percent_to_long_queues),
        slow_start_loads.fold(0.0, f64::max),
    );
    reports
        .iter()
        .flat_map(|report| report.violations.list.first())
        .for_each(|violation| println!("    {violation}"));
}

/// Percentage of attempts that were sent to unresponsive servers.
fn percent_to_unresponsive(report: &Report) -> f64 {
    let attempts = f64::from(report.sum(|second| second.attempts).max(1));
    100.0 * f64::from(report.sum(|second| second.to_unresponsive)) / attempts
}

/// Percentage of work that was sent to servers with a long queue.
fn percent_to_long_queues(report: &Report) -> f64 {
    let work = |second: &Second| f64::from(second.attempts) * MEAN_WORK;
    100.0 * report.work_to_long_queues() / report.seconds.iter().map(work).sum::<f64>()
}
