//! The command line.

use crate::operate;
use clap::{Args, Parser, Subcommand};
use reelfall_admin::request::{FleetRequest, ManagementRequest};
use reelfall_config::Plan;
use reelfall_routing::table::{ListenerId, Match, Query};
use reelfall_routing::target;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A load-balancing node for HTTP servers.
#[derive(Parser)]
#[command(name = "reelfall", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM; a bare `reelfall` does the same, told by its environment
    Run {
        /// Serve by a settings file; without one, by the ROUTER_ variables of the platform
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Ask a node whether it can serve; exits with 0 for yes, 1 for no, 69 where nobody answers
    Ready(At),
    /// Have a node send nothing more to a server
    Disable {
        /// The server's name, as in the list
        server: String,
        #[command(flatten)]
        at: At,
    },
    /// Put a server back that was sent out by hand
    Enable {
        /// The server's name, as in the list
        server: String,
        #[command(flatten)]
        at: At,
    },
    /// Send a node's clients away
    Drain(At),
    /// Have a node take clients again
    Resume(At),
    /// Ask or tell all nodes of a fleet, by way of one of them
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Say what is wrong with a settings file
    Check {
        /// The file
        file: PathBuf,
    },
    /// Say which service a request would reach, and why
    Routes {
        /// The settings file
        file: PathBuf,
        /// The host of the request
        #[arg(long)]
        host: String,
        /// Its path
        #[arg(long, default_value = "/")]
        path: String,
        /// Its method
        #[arg(long, default_value = "GET")]
        method: String,
        /// The class that it states, as in X-Service-Class
        #[arg(long)]
        class: Option<String>,
        /// The name of the listener where it comes in; the first if none is given
        #[arg(long)]
        listener: Option<String>,
    },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Say who is there
    Members(At),
    /// Say which verdicts hold
    Verdicts(At),
    /// Say what is known of a server, and who says so
    Explain {
        /// The server's name, as in the list
        server: String,
        #[command(flatten)]
        at: At,
    },
    /// Have all nodes send nothing more to a server
    Ban {
        /// The server's name, as in the list
        server: String,
        /// For so many seconds, a week at most; until it is lifted if none are given
        #[arg(long = "for", value_name = "SECONDS")]
        seconds: Option<u32>,
        /// Who says so
        #[arg(long, default_value = "operator")]
        by: String,
        #[command(flatten)]
        at: At,
    },
    /// End all bans of a server, on all nodes
    Lift {
        /// The server's name, as in the list
        server: String,
        /// Who says so
        #[arg(long, default_value = "operator")]
        by: String,
        #[command(flatten)]
        at: At,
    },
    /// Say who holds which lease
    Leases(At),
    /// Have the node that is called give a lease back, for another one to have it
    Release {
        /// The lease's name
        lease: String,
        /// Why, for its log
        #[arg(long)]
        why: String,
        #[command(flatten)]
        at: At,
    },
}

impl FleetCommand {
    /// The request, and where it goes.
    fn into_request(self) -> (FleetRequest, At) {
        match self {
            FleetCommand::Members(at) => (FleetRequest::Members, at),
            FleetCommand::Verdicts(at) => (FleetRequest::Verdicts, at),
            FleetCommand::Explain { server, at } => (FleetRequest::Explain(server), at),
            FleetCommand::Ban {
                server,
                seconds,
                by,
                at,
            } => (
                FleetRequest::Ban {
                    server,
                    seconds,
                    by,
                },
                at,
            ),
            FleetCommand::Lift { server, by, at } => (FleetRequest::Lift { server, by }, at),
            FleetCommand::Leases(at) => (FleetRequest::Leases, at),
            FleetCommand::Release { lease, why, at } => {
                (FleetRequest::Release { lease, reason: why }, at)
            }
        }
    }
}

/// Where operators call.
#[derive(Args)]
struct At {
    /// The operators' address of the node
    #[arg(long, value_name = "ADDRESS", env = "ROUTER_MANAGEMENT")]
    management: SocketAddr,
}

/// Runs the program with its arguments, the first being its own name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(e) => {
            // Nothing is left to do if even that can't be written.
            let _ = e.print();
            return ExitCode::from(u8::try_from(e.exit_code()).unwrap_or(2));
        }
    };
    let result = match cli.command.unwrap_or(Command::Run { config: None }) {
        Command::Run { config: None } => {
            crate::platform::run().map_err(|e| format!("reelfall: {e}"))
        }
        Command::Run { config: Some(path) } => {
            crate::standalone::run(&path).map_err(|e| format!("{e}\nreelfall: not started"))
        }
        Command::Ready(at) => return operate::run(at.management, &ManagementRequest::Ready),
        Command::Disable { server, at } => {
            return operate::run(at.management, &ManagementRequest::Disable(server));
        }
        Command::Enable { server, at } => {
            return operate::run(at.management, &ManagementRequest::Enable(server));
        }
        Command::Drain(at) => return operate::run(at.management, &ManagementRequest::Drain),
        Command::Resume(at) => return operate::run(at.management, &ManagementRequest::Resume),
        Command::Fleet { command } => {
            let (request, at) = command.into_request();
            return operate::run(at.management, &ManagementRequest::Fleet(request));
        }
        Command::Check { file } => check(&file),
        Command::Routes {
            file,
            host,
            path,
            method,
            class,
            listener,
        } => routes(
            &file,
            &Asked {
                host,
                path,
                method,
                class,
                listener,
            },
        ),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn load(file: &Path) -> Result<Plan, String> {
    reelfall_config::load(file).map_err(|e| e.to_string())
}

fn check(file: &Path) -> Result<(), String> {
    let plan = load(file)?;
    let (services, routes) = (plan.model.services.len(), plan.matches.len());
    println!(
        "{}: {services} services, {routes} routes, nothing wrong",
        file.display()
    );
    Ok(())
}

/// A request that somebody asks about.
struct Asked {
    host: String,
    path: String,
    method: String,
    class: Option<String>,
    listener: Option<String>,
}

fn routes(file: &Path, asked: &Asked) -> Result<(), String> {
    let plan = load(file)?;
    let listener = match &asked.listener {
        None => 0,
        Some(name) => {
            let at = plan.model.listeners.iter().position(|l| l.name == *name);
            at.ok_or_else(|| format!("{}: there is no listener `{name}`", file.display()))?
        }
    };
    let said = target::Said {
        path: &asked.path,
        host: Some(asked.host.as_bytes()),
        ..Default::default()
    };
    let target = target::read(said).map_err(|fault| format!("400: {fault}"))?;
    let query = Query {
        listener: ListenerId::try_from(listener).unwrap_or(ListenerId::MAX),
        host: &target.host,
        path: target.path,
        method: &asked.method,
        class: asked.class.as_deref(),
    };
    let Some(route) = plan.table.get(&query) else {
        return Err("404: no route fits".to_owned());
    };
    let mut fitting = plan.candidates(&query).into_iter();
    let winner = fitting.next().unwrap_or(route);
    println!("{}", explain(&plan, winner));
    for other in fitting {
        let why = match (plan.matches.get(winner), plan.matches.get(other)) {
            (Some(winner), Some(other)) => differs(winner, other),
            _ => "",
        };
        println!("  before {}: {why}", explain(&plan, other));
    }
    Ok(())
}

fn explain(plan: &Plan, route: usize) -> String {
    let goal = plan.goals.get(route);
    let service = goal.and_then(|g| plan.model.services.get(g.service));
    let assign = goal.and_then(|g| service?.classes.get(usize::from(g.assign?)));
    let origin = plan
        .origin(route)
        .map(ToString::to_string)
        .unwrap_or_default();
    let matched = plan
        .matches
        .get(route)
        .map(ToString::to_string)
        .unwrap_or_default();
    let name = service.map_or("", |s| &s.name);
    let class = assign
        .map(|c| format!(" as class {}", c.name))
        .unwrap_or_default();
    format!("{name}{class} by {origin} ({matched})")
}

/// In which part of a route the one that wins is the more special.
fn differs(winner: &Match, other: &Match) -> &'static str {
    let (a, b) = (winner.rank(), other.rank());
    if a.0 != b.0 {
        "its listener is named"
    } else if a.1 != b.1 {
        "its host is more special"
    } else if a.2 != b.2 {
        "its path is longer"
    } else if a.3 != b.3 {
        "its method is named"
    } else {
        "its class is named"
    }
}
