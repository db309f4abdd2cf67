//! Plays the project's plans for several sizes and seeds and prints what came of them, one line for each, and whether
//! the rules were kept. `cargo run --release -p reelfall-emulator --example fleet -- [seeds] [nodes...]`

use reelfall_emulator::{play, scenario, Plan, Report};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args()
        .skip(1)
        .map(|a| a.parse::<usize>().map_err(|e| format!("{a}: {e}")));
    let seeds = args.next().transpose()?.unwrap_or(3);
    let mut sizes: Vec<usize> = args.collect::<Result<_, _>>()?;
    if sizes.is_empty() {
        sizes = vec![10, 100, 300];
    }
    println!("plan                        nodes parts  whole worst5 dials/r repeats/r to-dead% past% pushed broken");
    for nodes in sizes {
        for plan in [
            scenario::calm,
            scenario::herd,
            scenario::zone,
            scenario::join,
        ] {
            for is_subsetting_disabled in [false, true] {
                let mut reports = Vec::new();
                let mut name = String::new();
                for seed in 0..seeds as u64 {
                    let plan = Plan {
                        is_subsetting_disabled,
                        ..scenario::with_faulty_servers(plan(nodes, seed + 1), 0.1)
                    };
                    name.clone_from(&plan.name);
                    reports.push(play(plan)?);
                }
                line(&name, nodes, !is_subsetting_disabled, &reports);
            }
        }
    }
    Ok(())
}

fn line(name: &str, nodes: usize, parts: bool, reports: &[Report]) {
    let mean = |of: &dyn Fn(&Report) -> f64| {
        reports.iter().map(of).sum::<f64>() / reports.len().max(1) as f64
    };
    let sends = |r: &Report| f64::from(r.sum(|s| s.attempts).max(1));
    let broken: usize = reports.iter().map(|r| r.violations.list.len()).sum();
    println!(
        "{name:<27} {nodes:>5} {:>5}  {:.3}  {:.3}   {:.3}     {:.3}    {:>5.2} {:>5.1}  {:.2}  {broken}",
        if parts { "yes" } else { "no" },
        mean(&Report::earned_share),
        mean(&|r| r.worst_earned_share(5)),
        mean(&Report::connections_per_request),
        mean(&Report::retries_per_request),
        mean(&|r| 100.0 * f64::from(r.sum(|s| s.to_unresponsive)) / sends(r)),
        mean(&|r| 100.0 * r.work_to_long_queues() / r.seconds.iter().map(|s| f64::from(s.attempts) * 0.032).sum::<f64>()),
        reports.iter().map(|r| r.violations.max_slow_start_load).fold(0.0, f64::max),
    );
    reports
        .iter()
        .flat_map(|r| r.violations.list.first())
        .for_each(|b| println!("    {b}"));
}
