//! The command line of scale runs. The doc comments of arguments are their help texts.

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

/// Allowed lengths of a window, in seconds; other values are clamped to this range.
const WINDOW_SECONDS: RangeInclusive<f64> = 0.5..=60.0;

/// Measures the cost of the control side of a fleet: one run at one size, or sweeps
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
    /// Sweeps each axis, and nodes together with restarts, and fits lines through the figures
    Sweep {
        #[command(flatten)]
        common: CommonArgs,
        /// Folder for plots of the sweeps
        #[arg(long, value_name = "DIR")]
        plots: Option<PathBuf>,
    },
    /// Adds fitted lines to a report that was written without them
    Lines {
        /// The report file
        file: PathBuf,
    },
    /// Runs one computation once, in this process
    #[command(hide = true)]
    Computation {
        /// The computation to run
        #[arg(value_enum)]
        computation: Computation,
        /// The input file
        #[arg(long)]
        file: PathBuf,
    },
    /// Writes the input of a computation
    #[command(hide = true)]
    ComputationInput {
        /// The computation that reads the input
        #[arg(value_enum)]
        computation: Computation,
        /// The size, as JSON
        #[arg(long)]
        size: String,
        /// The file to write
        #[arg(long)]
        file: PathBuf,
    },
    /// Runs the windows of one fleet of a sweep, in this process
    #[command(hide = true)]
    Fleet {
        /// The parameters of the fleet, as JSON
        #[arg(long)]
        plan: String,
        /// The file for the record
        #[arg(long)]
        json: PathBuf,
        /// Time limit in seconds, after which the run ends with a partial record
        #[arg(long)]
        deadline: f64,
    },
}

#[derive(clap::Args)]
struct CommonArgs {
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The file for the record
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Length of each window, in seconds
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Time limit in seconds, at most 600, after which the run ends with a partial record
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

/// Converts seconds to a duration; zero if they are negative, not finite or too large.
fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

#[derive(clap::Args)]
struct SingleArgs {
    /// Number of hollow (simulated) nodes
    #[arg(long, default_value_t = 300)]
    nodes: usize,
    /// Number of servers, over all services
    #[arg(long, default_value_t = 1_000)]
    servers: usize,
    /// Number of services
    #[arg(long, default_value_t = 50)]
    services: usize,
    /// Number of routes, over all services
    #[arg(long, default_value_t = 2_000)]
    routes: usize,
    /// Number of tenants, over all services
    #[arg(long, default_value_t = 2_000)]
    tenants: usize,
    /// Configuration changes per day
    #[arg(long, default_value_t = Size::TARGET.changes)]
    changes: usize,
    /// Server restarts per day
    #[arg(long, default_value_t = Size::TARGET.restarts)]
    restarts: usize,
    /// Number of real nodes in the same fleet
    #[arg(long, default_value_t = 5)]
    real: usize,
    /// Threads that drive the hollow nodes, at most one per core; by default half of the cores
    #[arg(long)]
    threads: Option<usize>,
    /// Runs small fleets in virtual time, and checks the statistics on fixed inputs
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

/// Runs the command. Returns whether all checks passed; only the smoke run has checks.
///
/// # Errors
/// If the size exceeds the limits of the machine, or a part of the run fails.
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

/// Runs the smoke run and prints its violations. Returns whether there are none.
fn run_smoke(common: &CommonArgs) -> Result<bool> {
    let smoke = smoke::run(common.seed)?;
    smoke.record.write(common.json.as_deref())?;
    for violation in &smoke.violations {
        eprintln!("violation: {violation}");
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
