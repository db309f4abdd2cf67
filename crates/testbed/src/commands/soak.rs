//! The command `soak`: randomized runs, each checked by what clients and servers observed.

use reelfall_testbed::node::Program;
use reelfall_testbed::soak::answers;
use reelfall_testbed::soak::answers_plan::{AnswersPlan, NodeEvent};
use reelfall_testbed::soak::checker::CheckResult;
use reelfall_testbed::soak::endings;
use reelfall_testbed::soak::fleet_run::{self, FleetPlan};
use reelfall_testbed::soak::plan::EndingsPlan;
use reelfall_testbed::soak::report::{findings, has_failed, list, Totals, TABLE_HEAD};
use reelfall_testbed::soak::stalls::StallMeter;
use reelfall_testbed::soak::upgrade_plan::UpgradePlan;
use reelfall_testbed::soak::upgrades;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Longest time of a run. A usual run takes a third of it.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

/// Randomized runs, each checked by what clients and servers observed. A failed run is printed with its findings and the
/// command that repeats it.
#[derive(clap::Args)]
pub struct SoakArgs {
    /// Number of runs, each with a seed of its own
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Seed of the first run
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Run this seed alone
    #[arg(long)]
    seed: Option<u64>,
    /// Print the whole history of the run
    #[arg(long, requires = "seed")]
    trace: bool,
    /// Kind of the runs
    #[arg(long, value_enum, default_value_t = Kind::Endings)]
    only: Kind,
    /// Number of concurrent runs
    #[arg(long, default_value_t = 2)]
    parallel: usize,
    /// Where to write the histories of runs with findings
    #[arg(long, default_value = "found", value_name = "FOLDER")]
    histories: PathBuf,
}

/// Kind of the runs.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Kind {
    /// A node under load that is shut down
    Endings,
    /// A fleet with a server that pauses
    Fleet,
    /// A node whose processes take over from each other
    Upgrade,
    /// A node whose servers write answers slowly, stop or break off
    Answers,
    /// The same with large requests, which some servers read slowly or not to their end
    Uploads,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Endings => "endings",
            Kind::Fleet => "fleet",
            Kind::Upgrade => "upgrade",
            Kind::Answers => "answers",
            Kind::Uploads => "uploads",
        }
    }
}

/// A completed run.
struct CompletedRun {
    seed: u64,
    check_result: CheckResult,
    signals: usize,
    history: String,
}

async fn run_seed(
    program: &Program,
    kind: Kind,
    seed: u64,
    meter: &StallMeter,
) -> Result<CompletedRun> {
    match kind {
        Kind::Endings => {
            let plan = EndingsPlan::from_seed(seed);
            let outcome = endings::run(program, &plan, None, meter).await?;
            Ok(CompletedRun {
                seed,
                check_result: outcome.check_result,
                signals: plan.signals.len(),
                history: format!("{plan:?}\n{}\n{}", outcome.record.to_text(), outcome.log),
            })
        }
        Kind::Fleet => {
            let plan = FleetPlan::from_seed(seed);
            let outcome = fleet_run::run(program, &plan, false, meter).await?;
            Ok(CompletedRun {
                seed,
                check_result: outcome.check_result,
                signals: 0,
                history: format!("{plan:?}\n{}", outcome.history.to_text()),
            })
        }
        Kind::Answers | Kind::Uploads => {
            let plan = match kind {
                Kind::Uploads => AnswersPlan::with_uploads(seed),
                _ => AnswersPlan::from_seed(seed),
            };
            let outcome = answers::run(program, &plan, meter).await?;
            let signals = match &plan.event {
                NodeEvent::Signals(signals) => signals.len(),
                _ => 0,
            };
            Ok(CompletedRun {
                seed,
                check_result: outcome.check_result,
                signals,
                history: format!("{:?}\n{}\n{}", plan.event, outcome.history, outcome.log),
            })
        }
        Kind::Upgrade => {
            let plan = UpgradePlan::from_seed(seed);
            let outcome = upgrades::run(program, &plan, meter).await?;
            Ok(CompletedRun {
                seed,
                check_result: outcome.check_result,
                signals: plan.steps.len(),
                history: format!("{plan:?}\n{}\n{}", outcome.record.to_text(), outcome.log),
            })
        }
    }
}

/// Executes the runs and prints their results; returns whether none has failed.
pub async fn run(program: &Program, args: SoakArgs) -> Result<bool> {
    let meter = Arc::new(StallMeter::start(&std::env::current_exe()?)?);
    let seeds = match args.seed {
        Some(seed) => seed..seed + 1,
        None => args.from..args.from + args.seeds,
    };
    let kind = args.only;
    let permits = Arc::new(Semaphore::new(args.parallel.max(1)));
    let mut runs = JoinSet::new();
    for seed in seeds {
        let (program, meter, permits) = (program.clone(), meter.clone(), permits.clone());
        runs.spawn(async move {
            let _permit = permits.acquire().await;
            let run = run_seed(&program, kind, seed, &meter);
            let outcome = tokio::time::timeout(RUN_TIMEOUT, run).await;
            let outcome = outcome.unwrap_or_else(|_| Err("it timed out".into()));
            (seed, outcome)
        });
    }
    let mut totals = Totals::default();
    while let Some(run) = runs.join_next().await {
        let (seed, outcome) = run?;
        match outcome {
            Ok(run) => {
                report(&run, &args)?;
                totals.add(&run.check_result, run.signals);
            }
            Err(error) => {
                println!("{} {seed}: not completed, {error}", kind.name());
                totals.add_incomplete();
            }
        }
    }
    println!("{TABLE_HEAD}\n{}", totals.row(kind.name()));
    println!("answers other than 200: {}", totals.reasons());
    Ok(totals.failed == 0)
}

/// Prints a line for a run. For one with findings, also writes its history to a file, and prints the findings, the file and
/// the command that repeats the run.
fn report(run: &CompletedRun, args: &SoakArgs) -> Result<()> {
    let (seed, check_result, kind) = (run.seed, &run.check_result, args.only.name());
    let state = if has_failed(check_result) {
        "red"
    } else if check_result.findings.is_empty() {
        "green"
    } else {
        "disturbed"
    };
    println!(
        "{kind} {seed}: {state}, {} requests ({}), {} attempts at servers, close races: {}",
        check_result.load.requests,
        list(&check_result.load.statuses),
        check_result.load.attempts,
        list(&check_result.close_races)
    );
    if args.trace {
        println!("{}", run.history);
    }
    if check_result.findings.is_empty() {
        return Ok(());
    }
    std::fs::create_dir_all(&args.histories)?;
    let file = args.histories.join(format!("{kind}-{seed}.txt"));
    std::fs::write(&file, &run.history)?;
    print!("{}", findings(&check_result.findings));
    println!(
        "    reelfall-testbed soak --only {kind} --seed {seed} --trace; history in {}",
        file.display()
    );
    Ok(())
}
