//! The command line of scale runs, called by `main`. Its doc comments are the help texts.

use super::computation::{self, Computation};
use super::limits::{Deadline, MAX_RUN_DURATION};
use super::plan::Plan;
use super::report::Size;
use super::{fleet, lines, machine, plot, single, smoke, sweep};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::Result;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Lengths of a window, in seconds: others are clamped to these.
const WINDOW_SECONDS: RangeInclusive<f64> = 0.5..=60.0;

/// What the control side of a fleet costs: one run at one size, or sweeps.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Args {
    #[command(subcommand)]
    command: Option<ScaleCommand>,
    #[command(flatten)]
    single: SingleArgs,
}

#[derive(clap::Subcommand)]
enum ScaleCommand {
    /// Some sizes of each axis, one at a time, and nodes with restarts together; lines through them
    Sweep {
        #[command(flatten)]
        common: CommonArgs,
        /// A folder for plots
        #[arg(long, value_name = "DIR")]
        plots: Option<PathBuf>,
    },
    /// Adds lines through its runs to a report that was written without them
    Lines {
        /// The report
        file: PathBuf,
    },
    /// One computation, once, in this process
    #[command(hide = true)]
    Computation {
        /// Which one
        #[arg(value_enum)]
        computation: Computation,
        /// What it reads
        #[arg(long)]
        file: PathBuf,
    },
    /// Writes what a computation reads
    #[command(hide = true)]
    ComputationInput {
        /// Which one
        #[arg(value_enum)]
        computation: Computation,
        /// The size, as JSON
        #[arg(long)]
        size: String,
        /// Where to write it
        #[arg(long)]
        file: PathBuf,
    },
    /// The windows of one fleet of a sweep, in this process
    #[command(hide = true)]
    Fleet {
        /// What is played, as JSON
        #[arg(long)]
        plan: String,
        /// Where to write the figures
        #[arg(long)]
        json: PathBuf,
        /// Seconds after which the run ends with what it has
        #[arg(long)]
        deadline: f64,
    },
}

#[derive(clap::Args)]
struct CommonArgs {
    /// For all draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where to write the figures
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Seconds of each window
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Seconds after which the run ends with what it has, 600 at most
    #[arg(long, default_value_t = MAX_RUN_DURATION.as_secs_f64())]
    deadline: f64,
}

impl CommonArgs {
    fn deadline(&self) -> Deadline {
        Deadline::after(duration(self.deadline))
    }

    fn window_seconds(&self) -> f64 {
        duration(self.seconds)
            .as_secs_f64()
            .clamp(*WINDOW_SECONDS.start(), *WINDOW_SECONDS.end())
    }
}

/// A duration of so many seconds; zero if that is not a valid one.
fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[derive(clap::Args)]
struct SingleArgs {
    /// Hollow nodes
    #[arg(long, default_value_t = 300)]
    nodes: usize,
    /// Servers of all services together
    #[arg(long, default_value_t = 1_000)]
    servers: usize,
    /// Services
    #[arg(long, default_value_t = 50)]
    services: usize,
    /// Routes of all services together
    #[arg(long, default_value_t = 2_000)]
    routes: usize,
    /// Tenants of all services together
    #[arg(long, default_value_t = 2_000)]
    tenants: usize,
    /// Configuration changes a day
    #[arg(long, default_value_t = Size::TARGET.changes)]
    changes: usize,
    /// Server restarts a day
    #[arg(long, default_value_t = Size::TARGET.restarts)]
    restarts: usize,
    /// Real nodes beside them
    #[arg(long, default_value_t = 5)]
    real: usize,
    /// Threads that drive the hollow nodes, no more than there are cores; half of them if not said
    #[arg(long)]
    threads: Option<usize>,
    /// A small fleet in virtual time, and the statistics on fixed inputs
    #[arg(long)]
    smoke: bool,
    #[command(flatten)]
    common: CommonArgs,
}

impl SingleArgs {
    fn size(&self) -> Size {
        Size {
            nodes: self.nodes,
            servers: self.servers,
            services: self.services,
            routes: self.routes,
            tenants: self.tenants,
            changes: self.changes,
            restarts: self.restarts,
        }
    }
}

/// Runs the command; whether all checks passed.
///
/// # Errors
/// If it can't be run on this machine.
pub async fn run(program: &Program, args: &Args) -> Result<bool> {
    match &args.command {
        None if args.single.smoke => return run_smoke(&args.single.common),
        None => run_single(program, &args.single).await?,
        Some(ScaleCommand::Sweep { common, plots }) => run_sweep(common, plots.as_deref()).await?,
        Some(ScaleCommand::Lines { file }) => lines::add_to_file(file)?,
        Some(ScaleCommand::Computation { computation, file }) => {
            let cost = computation::run_on_file(*computation, file)?;
            println!("{}", serde_json::to_string(&cost)?);
        }
        Some(ScaleCommand::ComputationInput {
            computation,
            size,
            file,
        }) => {
            let size: Size = serde_json::from_str(size)?;
            std::fs::write(file, computation::input(*computation, &size))?;
        }
        Some(ScaleCommand::Fleet {
            plan,
            json,
            deadline,
        }) => {
            let plan: fleet::Plan = serde_json::from_str(plan)?;
            let record = fleet::run(&plan, Deadline::after(duration(*deadline))).await?;
            std::fs::write(json, record.to_json()?)?;
        }
    }
    Ok(true)
}

/// Whether there is no violation.
fn run_smoke(common: &CommonArgs) -> Result<bool> {
    let smoke = smoke::run(common.seed)?;
    smoke.record.write(common.json.as_deref())?;
    for violation in &smoke.violations {
        eprintln!("broken: {violation}");
    }
    let has_passed = smoke.violations.is_empty();
    println!("smoke: {}", if has_passed { "pass" } else { "fail" });
    Ok(has_passed)
}

async fn run_single(program: &Program, args: &SingleArgs) -> Result<()> {
    let threads = args
        .threads
        .map_or_else(single::default_threads, |threads| {
            threads.clamp(1, machine::cores())
        });
    let plan = Plan {
        node_program: program.clone(),
        own_program: std::env::current_exe()?,
        size: args.size(),
        real_nodes: args.real,
        threads,
        window_seconds: args.common.window_seconds(),
        seed: args.common.seed,
        deadline: args.common.deadline(),
    };
    let record = single::run(&plan).await?;
    record.write(args.common.json.as_deref())
}

async fn run_sweep(common: &CommonArgs, plots: Option<&Path>) -> Result<()> {
    let plan = sweep::Plan {
        own_program: std::env::current_exe()?,
        window_seconds: common.window_seconds(),
        seed: common.seed,
        deadline: common.deadline(),
    };
    let record = sweep::run(&plan).await?;
    record.write(common.json.as_deref())?;
    if let Some(folder) = plots {
        plot::write_plots(&record.report.slopes, folder)?;
        println!("plots: {}", folder.display());
    }
    Ok(())
}
