//! The program: `reelfall-testbed`.

use clap::{Parser, Subcommand};
use reelfall_testbed::discovery::{Discovery, Listed};
use reelfall_testbed::fleet::plays::Play;
use reelfall_testbed::fleet::{schedule, Made, WARM};
use reelfall_testbed::link::Link;
use reelfall_testbed::load::{self, Kind};
use reelfall_testbed::pool::{Manner, Pool};
use reelfall_testbed::registry::{self, Registry};
use reelfall_testbed::scenario::{self, graphql, membership, services, Report};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::{demo, measure, relay, until_ended, Result};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Stand-ins, load, faults and scenarios for reelfall, on loopback addresses.
#[derive(Parser)]
#[command(name = "reelfall-testbed", version)]
struct Cli {
    /// The node's program; by default the node that is part of this one
    #[arg(long, global = true, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Servers with a set capacity, until ended
    Pool {
        /// How many
        #[arg(long, default_value_t = 3)]
        servers: usize,
        /// Milliseconds of a request
        #[arg(long, default_value_t = 20)]
        service_ms: u64,
        /// Share of requests answered 500
        #[arg(long, default_value_t = 0.0)]
        fail: f64,
        /// Share whose connection closes after the effect
        #[arg(long, default_value_t = 0.0)]
        die: f64,
    },
    /// The platform's discovery with a list of servers, until ended
    Discovery {
        /// Their addresses
        #[arg(long = "server", required = true)]
        servers: Vec<SocketAddr>,
    },
    /// A registry in the manner of ZooKeeper, with controls for failures, until ended
    Registry {
        /// Where the first member listens; port 0 is any
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// How many
        #[arg(long, default_value_t = 3)]
        members: usize,
    },
    /// A path to an address, with faults, until ended
    Link {
        /// Where it leads
        #[arg(long)]
        to: SocketAddr,
        /// Milliseconds later, either way
        #[arg(long, default_value_t = 0)]
        delay_ms: u64,
        /// Bytes after which a connection is cut, to the server
        #[arg(long)]
        cut: Option<u64>,
        /// Bytes a second
        #[arg(long)]
        throttle: Option<u64>,
        /// What the server says is lost
        #[arg(long)]
        deaf: bool,
    },
    /// A proxy that decides nothing, until ended
    Relay {
        /// The servers
        #[arg(long = "to", required = true)]
        to: Vec<SocketAddr>,
    },
    /// Requests at random moments; the figures are the last line
    Load {
        /// Where to
        #[arg(long)]
        to: SocketAddr,
        /// Host
        #[arg(long, default_value = "flags.example.org")]
        host: String,
        /// Path
        #[arg(long, default_value = "/api")]
        path: String,
        /// POST instead of GET
        #[arg(long)]
        post: bool,
        /// X-Service-Class
        #[arg(long)]
        class: Option<String>,
        /// Requests a second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Seconds
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// For the moments
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays a scenario; its report is the last line, and a broken promise an exit code
    Scenario {
        /// `services`, `graphql`, `membership` or `fleet`
        name: String,
        /// The small form, as in the tests
        #[arg(long)]
        small: bool,
    },
    /// A fleet of nodes under load, and a schedule of faults: drawn from a seed, or read from a file of lines
    Fleet(Schedule),
    /// A node with its stand-ins, until ended
    Demo {
        /// `services`, `graphql` or `membership`
        name: String,
    },
    /// Measures what the node costs; the figures are the last line
    Measure {
        /// `services`, `graphql`, `membership` or `fleet`
        name: String,
        /// Another node to compare with
        #[arg(long, value_name = "PROGRAM")]
        old: Option<PathBuf>,
        /// Rounds of all subjects
        #[arg(long, default_value_t = 7)]
        rounds: usize,
        /// Seconds of a subject in a round
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Requests a second
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
    },
}

/// A schedule, and what it is played on. Its lines are those of `--write`: `["cut",[0,1],[2],true]`, `["wait",500]`.
#[derive(clap::Args)]
struct Schedule {
    /// Nodes
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// Servers
    #[arg(long, default_value_t = 6)]
    servers: usize,
    /// Zones that nodes and servers are dealt into
    #[arg(long, default_value_t = 1)]
    zones: usize,
    /// List services in place of written servers
    #[arg(long, default_value_t = 0)]
    lists: usize,
    /// Lines of the part `[fleet]` of each node's settings
    #[arg(long, default_value = "")]
    fleet: String,
    /// For the schedule, the links and the clients
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// About how long a drawn schedule is
    #[arg(long, default_value_t = 15.0)]
    seconds: f64,
    /// Requests a second at each node
    #[arg(long, default_value_t = 30.0)]
    rate: f64,
    /// Share of requests that may not be repeated
    #[arg(long, default_value_t = 0.3)]
    risky: f64,
    /// A schedule to play in place of a drawn one
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
    /// Where to write the schedule; after `--shorten`, the shortened one
    #[arg(long, value_name = "FILE")]
    write: Option<PathBuf>,
    /// Where to write all that happened
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// If a rule breaks, look for a shorter schedule that breaks one, by so many plays at most
    #[arg(long, default_value_t = 0, value_name = "PLAYS")]
    shorten: usize,
}

/// Plays a schedule; the figures are the last line. Whether no rule was broken.
async fn fleet_of(program: &Program, args: &Schedule) -> Result<bool> {
    let made = Made {
        nodes: args.nodes,
        servers: args.servers,
        zones: args.zones,
        lists: args.lists,
        fleet: Some(args.fleet.clone()),
        service: WARM.to_owned(),
        ..Made::default()
    };
    let play = Play {
        made,
        rate: args.rate,
        risky: args.risky,
        seed: args.seed,
    };
    let time = Duration::from_secs_f64(args.seconds);
    let mut steps = match &args.schedule {
        Some(file) => schedule::read(&std::fs::read_to_string(file)?, args.nodes, args.servers)?,
        None => schedule::drawn(args.seed, args.nodes, args.servers, time),
    };
    let came = play.run(program, &steps).await?;
    if let Some(file) = &args.history {
        std::fs::write(file, came.lines())?;
    }
    if !came.broken.is_empty() && args.shorten > 0 {
        let (shorter, plays) = play.shorten(program, &steps, args.shorten).await;
        eprintln!(
            "{} steps in place of {}, after {plays} plays",
            shorter.len(),
            steps.len()
        );
        steps = shorter;
    }
    if let Some(file) = &args.write {
        std::fs::write(file, schedule::write(&steps))?;
    }
    came.broken.iter().for_each(|b| eprintln!("broken: {b}"));
    println!("{}", came.figures());
    Ok(came.broken.is_empty())
}

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().collect();
    if args.get(1).is_some_and(|a| a == "node") {
        // The node itself: a scenario starts this program again, so that it needs no other.
        args.remove(0);
        return reelfall::cli::main(args);
    }
    let cli = Cli::parse();
    let run = || {
        // The relay is measured against a node, which has one thread.
        let mut builder = match cli.command {
            Command::Relay { .. } => tokio::runtime::Builder::new_current_thread(),
            _ => tokio::runtime::Builder::new_multi_thread(),
        };
        builder.enable_all().build()?.block_on(run(cli))
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("reelfall-testbed: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn ready(addresses: Value) {
    println!("{}", json!({ "ready": true, "addresses": addresses }));
}

async fn run(cli: Cli) -> Result<bool> {
    let program = match cli.node {
        Some(path) => Program::alone(path),
        None => Program::in_testbed(std::env::current_exe()?),
    };
    match cli.command {
        Command::Pool {
            servers,
            service_ms,
            fail,
            die,
        } => {
            let manner = Manner {
                fail,
                die_after: die,
                ..Manner::good(Duration::from_millis(service_ms))
            };
            let pool = Pool::start("server", servers, manner, 1).await?;
            let addresses = pool
                .servers
                .iter()
                .map(|s| (s.name.clone(), s.address.to_string().into()));
            ready(Value::Object(addresses.collect()));
            until_ended().await;
            println!(
                "{}",
                json!({ "seen": pool.seen(), "effects_twice": pool.twice() })
            );
        }
        Command::Discovery { servers } => {
            let listed =
                |(n, a): (usize, &SocketAddr)| Listed::active(&format!("server-{}", n + 1), *a);
            let discovery =
                Discovery::start(servers.iter().enumerate().map(listed).collect()).await?;
            ready(json!({ "discovery": discovery.address.to_string() }));
            until_ended().await;
        }
        Command::Registry { listen, members } => {
            let registry = Arc::new(Registry::at(listen, members).await?);
            let listener = tokio::net::TcpListener::bind((listen.ip(), 0)).await?;
            let control = listener.local_addr()?.to_string();
            let named =
                |(n, a): (usize, &SocketAddr)| (format!("m{}", n + 1), a.to_string().into());
            let mut addresses: serde_json::Map<_, _> =
                registry.members.iter().enumerate().map(named).collect();
            addresses.insert("control".to_owned(), control.into());
            ready(Value::Object(addresses));
            tokio::select! {
                result = registry::control::serve(listener, registry.clone()) => result?,
                () = until_ended() => {}
            }
        }
        Command::Link {
            to,
            delay_ms,
            cut,
            throttle,
            deaf,
        } => {
            let link = Link::start(to).await?;
            link.fault(|f| {
                f.delay = Duration::from_millis(delay_ms);
                (f.cut_to_server, f.throttle, f.deaf) = (cut, throttle, deaf);
            });
            ready(json!({ "link": link.address.to_string() }));
            until_ended().await;
        }
        Command::Relay { to } => {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
            ready(json!({ "client": listener.local_addr()?.to_string() }));
            tokio::select! {
                result = relay::serve(listener, to) => result?,
                () = until_ended() => {}
            }
        }
        Command::Load {
            to,
            host,
            path,
            post,
            class,
            rate,
            seconds,
            seed,
        } => {
            let headers = class.map(|c| ("x-service-class", c)).into_iter().collect();
            let method = if post { "POST" } else { "GET" };
            let (name, deadline) = (format!("load{seed}"), Duration::from_millis(600));
            let kind = Kind {
                name,
                host,
                method,
                path,
                headers,
                body: None,
                deadline,
                rate,
            };
            let came = load::run(to, &[kind], Duration::from_secs_f64(seconds), seed).await;
            println!("{}", came[0].figures());
        }
        Command::Scenario { name, small } => {
            let report: Report = match name.as_str() {
                "services" => {
                    let scale = if small {
                        services::Scale::SMALL
                    } else {
                        services::Scale::WHOLE
                    };
                    services::run(&program, scale).await?
                }
                "graphql" => {
                    let scale = if small {
                        graphql::Scale::SMALL
                    } else {
                        graphql::Scale::WHOLE
                    };
                    graphql::run(&program, scale).await?
                }
                "membership" => {
                    let scale = if small {
                        membership::Scale::SMALL
                    } else {
                        membership::Scale::WHOLE
                    };
                    membership::run(&program, scale).await?
                }
                "fleet" => {
                    use scenario::fleet::{self, Scale};
                    let scale = if small { Scale::SMALL } else { Scale::WHOLE };
                    fleet::run(&program, scale).await?
                }
                _ => {
                    let which = "services, graphql, membership, fleet";
                    return Err(format!("there is no scenario `{name}`: {which}").into());
                }
            };
            report
                .broken()
                .iter()
                .for_each(|b| eprintln!("broken: {b}"));
            println!("{}", report.line(&name));
            return Ok(report.pass());
        }
        Command::Fleet(args) => return fleet_of(&program, &args).await,
        Command::Demo { name } => match name.as_str() {
            "services" => demo::services(&program).await?,
            "graphql" => demo::graphql(&program).await?,
            "membership" => demo::membership(&program).await?,
            _ => {
                return Err(
                    format!("there is no demo `{name}`: services, graphql, membership").into(),
                )
            }
        },
        Command::Measure {
            name,
            old,
            rounds,
            seconds,
            rate,
        } => {
            let time = Duration::from_secs_f64(seconds);
            let plan = measure::Plan {
                rounds,
                time,
                rate,
                old: old.map(Program::alone),
            };
            let figures = match name.as_str() {
                "services" => measure::services::run(&program, &plan).await?,
                "graphql" => measure::graphql::run(&program, &plan).await?,
                "membership" => measure::membership::run(&program, &plan).await?,
                "fleet" => measure::fleet::run(&program, &plan).await?,
                _ => {
                    let which = "services, graphql, membership, fleet";
                    return Err(format!("there is no measurement `{name}`: {which}").into());
                }
            };
            println!("{figures}");
        }
    }
    Ok(true)
}
