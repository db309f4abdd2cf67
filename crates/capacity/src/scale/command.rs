//! The command line of scale runs.

use super::computation::{self, Computation};
use super::limits::{Deadline, RUN_MOST};
use super::report::Size;
use super::{fleet, lines, machine, plot, single, smoke, sweep};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::time::Duration;

/// What the control side of a fleet costs: one run at one size, or sweeps.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Args {
    #[command(subcommand)]
    what: Option<What>,
    #[command(flatten)]
    single: Single,
}

#[derive(clap::Subcommand)]
enum What {
    /// Some sizes of each axis, one at a time, and nodes with restarts together; lines through them
    Sweep {
        #[command(flatten)]
        common: Common,
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
struct Common {
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
    #[arg(long, default_value_t = RUN_MOST.as_secs_f64())]
    deadline: f64,
}

impl Common {
    fn deadline(&self) -> Deadline {
        Deadline::within(seconds(self.deadline))
    }

    fn window(&self) -> f64 {
        seconds(self.seconds).as_secs_f64().clamp(0.5, 60.0)
    }
}

/// So many seconds; none for what is no time.
fn seconds(of: f64) -> Duration {
    Duration::try_from_secs_f64(of).unwrap_or_default()
}

#[derive(clap::Args)]
struct Single {
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
    common: Common,
}

impl Single {
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

/// Does what the command line says; whether all that was checked holds.
///
/// # Errors
/// If it can't be done on this machine.
pub async fn run(program: &Program, args: &Args) -> Result<bool> {
    match &args.what {
        None if args.single.smoke => run_smoke(&args.single.common),
        None => run_single(program, &args.single).await,
        Some(What::Sweep { common, plots }) => run_sweep(common, plots.as_deref()).await,
        Some(What::Lines { file }) => {
            lines::add_to(file)?;
            Ok(true)
        }
        Some(What::Computation { computation, file }) => {
            println!(
                "{}",
                serde_json::to_string(&computation::of_file(*computation, file)?)?
            );
            Ok(true)
        }
        Some(What::ComputationInput {
            computation,
            size,
            file,
        }) => {
            let size: Size = serde_json::from_str(size)?;
            std::fs::write(file, computation::input(*computation, &size))?;
            Ok(true)
        }
        Some(What::Fleet {
            plan,
            json,
            deadline,
        }) => {
            let plan: fleet::Plan = serde_json::from_str(plan)?;
            let record = fleet::play(&plan, Deadline::within(seconds(*deadline))).await?;
            std::fs::write(json, record.to_json()?)?;
            Ok(true)
        }
    }
}

fn run_smoke(common: &Common) -> Result<bool> {
    let smoke = smoke::run(common.seed)?;
    smoke.record.write(common.json.as_deref())?;
    smoke
        .broken
        .iter()
        .for_each(|broken| eprintln!("broken: {broken}"));
    println!(
        "{}",
        if smoke.broken.is_empty() {
            "smoke: pass"
        } else {
            "smoke: fail"
        }
    );
    Ok(smoke.broken.is_empty())
}

async fn run_single(program: &Program, args: &Single) -> Result<bool> {
    let plan = single::Plan {
        program: program.clone(),
        rig: std::env::current_exe()?,
        size: args.size(),
        real: args.real,
        threads: args.threads.map_or_else(single::threads, |threads| {
            threads.clamp(1, machine::cores())
        }),
        seconds: args.common.window(),
        seed: args.common.seed,
        deadline: args.common.deadline(),
    };
    let record = single::run(&plan).await?;
    record.write(args.common.json.as_deref())?;
    Ok(true)
}

async fn run_sweep(common: &Common, plots: Option<&std::path::Path>) -> Result<bool> {
    let plan = sweep::Plan {
        rig: std::env::current_exe()?,
        seconds: common.window(),
        seed: common.seed,
        deadline: common.deadline(),
    };
    let record = sweep::run(&plan).await?;
    record.write(common.json.as_deref())?;
    if let Some(folder) = plots {
        plot::all(&record.report.slopes, folder)?;
        println!("plots: {}", folder.display());
    }
    Ok(true)
}
