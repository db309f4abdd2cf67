//! The command `soak`: many drawn days, each judged by what clients and servers saw.

use reelfall_testbed::node::Program;
use reelfall_testbed::soak::endings;
use reelfall_testbed::soak::fleet_day::{self, FleetPlan};
use reelfall_testbed::soak::judge::Judgement;
use reelfall_testbed::soak::plan::EndingsPlan;
use reelfall_testbed::soak::report::{findings, is_red, list, Totals, TABLE_HEAD};
use reelfall_testbed::soak::stalls::StallMeter;
use reelfall_testbed::soak::upgrade_plan::UpgradePlan;
use reelfall_testbed::soak::upgrades;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Longest time of a day; one takes a third of it.
const DAY_TIMEOUT: Duration = Duration::from_secs(120);

/// Drawn days, each judged by what clients and servers saw. A red day is printed with its command and its findings.
#[derive(clap::Args)]
pub struct SoakArgs {
    /// Number of days
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// One day alone
    #[arg(long)]
    seed: Option<u64>,
    /// Its whole history on the standard output
    #[arg(long, requires = "seed")]
    trace: bool,
    /// What the days consist of
    #[arg(long, value_enum, default_value_t = Kind::Endings)]
    only: Kind,
    /// Days that are played at once
    #[arg(long, default_value_t = 2)]
    parallel: usize,
    /// Where to write the histories of red days
    #[arg(long, default_value = "found", value_name = "FOLDER")]
    histories: PathBuf,
}

/// What days consist of.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Kind {
    /// A node that is told to end
    Endings,
    /// A fleet with a server that pauses
    Fleet,
    /// A node whose processes take over from each other
    Upgrade,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Endings => "endings",
            Kind::Fleet => "fleet",
            Kind::Upgrade => "upgrade",
        }
    }
}

/// A day that was played.
struct Day {
    seed: u64,
    judgement: Judgement,
    signals: usize,
    history: String,
}

async fn play(program: &Program, kind: Kind, seed: u64, meter: &StallMeter) -> Result<Day> {
    match kind {
        Kind::Endings => {
            let plan = EndingsPlan::draw(seed);
            let outcome = endings::play(program, &plan, None, meter).await?;
            Ok(Day {
                seed,
                judgement: outcome.judgement,
                signals: plan.signals.len(),
                history: format!("{plan:?}\n{}\n{}", outcome.record.to_text(), outcome.log),
            })
        }
        Kind::Fleet => {
            let plan = FleetPlan::draw(seed);
            let outcome = fleet_day::play(program, &plan, false, meter).await?;
            Ok(Day {
                seed,
                judgement: outcome.judgement,
                signals: 0,
                history: format!("{plan:?}\n{}", outcome.history.to_text()),
            })
        }
        Kind::Upgrade => {
            let plan = UpgradePlan::draw(seed);
            let outcome = upgrades::play(program, &plan, meter).await?;
            Ok(Day {
                seed,
                judgement: outcome.judgement,
                signals: plan.steps.len(),
                history: format!("{plan:?}\n{}\n{}", outcome.record.to_text(), outcome.log),
            })
        }
    }
}

/// Plays the days; returns whether none is red.
pub async fn run(program: &Program, args: SoakArgs) -> Result<bool> {
    let meter = Arc::new(StallMeter::start(&std::env::current_exe()?)?);
    let seeds = match args.seed {
        Some(seed) => seed..seed + 1,
        None => args.from..args.from + args.seeds,
    };
    let kind = args.only;
    let places = Arc::new(Semaphore::new(args.parallel.max(1)));
    let mut days = JoinSet::new();
    for seed in seeds {
        let (program, meter, places) = (program.clone(), meter.clone(), places.clone());
        days.spawn(async move {
            let _place = places.acquire().await;
            let day = play(&program, kind, seed, &meter);
            let played = tokio::time::timeout(DAY_TIMEOUT, day).await;
            let played = played.unwrap_or_else(|_| Err("it does not end".into()));
            (seed, played)
        });
    }
    let mut totals = Totals::default();
    while let Some(day) = days.join_next().await {
        let (seed, played) = day?;
        match played {
            Ok(day) => {
                report(&day, &args)?;
                totals.add(&day.judgement, day.signals);
            }
            Err(error) => {
                println!("{} {seed}: not played, {error}", kind.name());
                totals.add_unplayed();
            }
        }
    }
    println!("{TABLE_HEAD}\n{}", totals.row(kind.name()));
    println!("answers other than 200: {}", totals.reasons());
    Ok(totals.red == 0)
}

/// Prints a line for a day; for a red one also the command that plays it again, its findings, and where its history is.
fn report(day: &Day, args: &SoakArgs) -> Result<()> {
    let (seed, judgement, kind) = (day.seed, &day.judgement, args.only.name());
    let state = if is_red(judgement) {
        "red"
    } else if judgement.findings.is_empty() {
        "green"
    } else {
        "disturbed"
    };
    println!(
        "{kind} {seed}: {state}, {} requests ({}), {} attempts at servers, crossed: {}",
        judgement.load.requests,
        list(&judgement.load.statuses),
        judgement.load.attempts,
        list(&judgement.crossed)
    );
    if args.trace {
        println!("{}", day.history);
    }
    if judgement.findings.is_empty() {
        return Ok(());
    }
    std::fs::create_dir_all(&args.histories)?;
    let file = args.histories.join(format!("{kind}-{seed}.txt"));
    std::fs::write(&file, &day.history)?;
    print!("{}", findings(&judgement.findings));
    println!(
        "    reelfall-testbed soak --only {kind} --seed {seed} --trace; history in {}",
        file.display()
    );
    Ok(())
}
