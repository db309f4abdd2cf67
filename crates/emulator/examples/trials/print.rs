//! Prints the figures of trials.

use super::figures::{mean_difference, score, WORST_WINDOW};
use reelfall_emulator::report::Second;
use reelfall_emulator::Report;

/// Replaces an offered weight of zero as a divisor.
const MIN_OFFERED_WEIGHT: f64 = 1e-9;

/// Prints the header of the table.
pub fn header() {
    println!("trial   score  total  worst10 late%  reject%  failed% shed%  retries conns   unresp% tries   load violated difference");
}

/// Prints the mean figures of a trial, its difference from earlier scores, and the first violation of each run.
pub fn line(name: &str, reports: &[&Report], differences: &[f64]) {
    let mean = |figure: &dyn Fn(&Report) -> f64| {
        reports.iter().map(|report| figure(report)).sum::<f64>() / reports.len().max(1) as f64
    };
    let percent = |count: fn(&Second) -> u32| {
        mean(&|report: &Report| 100.0 * f64::from(report.sum(count)) / request_count(report))
    };
    let slow_start_loads = reports
        .iter()
        .map(|report| report.violations.max_slow_start_load);
    let violations = reports.iter().map(|report| report.violations.list.len());
    println!(
        "{name:<7} {:.4} {:.4}  {:.4} {:>5.1}    {:>5.1}   {:>5.1} {:>5.1}    {:.3} {:.3}     {:>5.2}  {:.2}   {:.2} {:>6}   {}",
        mean(&score),
        mean(&Report::earned_fraction),
        mean(&|report| report.worst_earned_fraction(WORST_WINDOW)),
        percent(|second| second.late),
        percent(|second| second.rejected),
        percent(|second| second.failed),
        percent(|second| second.rejected_by_servers),
        mean(&Report::retries_per_request),
        mean(&Report::connections_per_request),
        percent(|second| second.to_unresponsive),
        percent(|second| second.client_attempts) / 100.0,
        slow_start_loads.fold(0.0, f64::max),
        violations.sum::<usize>(),
        if differences.is_empty() {
            String::new()
        } else {
            mean_difference(differences)
        },
    );
    reports
        .iter()
        .flat_map(|report| report.violations.list.first())
        .for_each(|violation| println!("    {violation}"));
}

fn request_count(report: &Report) -> f64 {
    f64::from(report.sum(|second| second.requests).max(1))
}

/// Prints the mean difference over all trials, if there are earlier scores.
pub fn all_trials(differences: &[f64]) {
    if !differences.is_empty() {
        println!("all trials: {}", mean_difference(differences));
    }
}

/// Prints a line for each second of a run.
pub fn seconds(name: &str, seed: u64, report: &Report) {
    for (index, second) in report.seconds.iter().enumerate() {
        println!(
            "{name} {seed} {index:>3} s: requests {:>5} client attempts {:>5} attempts {:>5} retries {:>4} earned {:.2} late {:>4} rejected {:>5} failed {:>4} shed {:>4} timed out {:>4} connections {:>4} unresponsive {:>4}",
            second.requests,
            second.client_attempts,
            second.attempts,
            second.retries,
            second.earned_weight / second.offered_weight.max(MIN_OFFERED_WEIGHT),
            second.late,
            second.rejected,
            second.failed,
            second.rejected_by_servers,
            second.timed_out,
            second.connections,
            second.to_unresponsive
        );
    }
}
