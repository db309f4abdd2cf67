//! The arguments of the command line. Their doc comments are the texts of `--help`.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A load-balancing node for HTTP servers.
#[derive(Parser)]
#[command(name = "reelfall", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
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
    Routes(RouteArgs),
}

#[derive(Subcommand)]
pub enum FleetCommand {
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

/// Where operators call.
#[derive(Args)]
pub struct At {
    /// The operators' address of the node
    #[arg(long, value_name = "ADDRESS", env = "ROUTER_MANAGEMENT")]
    pub management: SocketAddr,
}

/// A request whose route is looked up.
#[derive(Args)]
pub struct RouteArgs {
    /// The settings file
    pub file: PathBuf,
    /// The host of the request
    #[arg(long)]
    pub host: String,
    /// Its path
    #[arg(long, default_value = "/")]
    pub path: String,
    /// Its method
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// The class that it states, as in X-Service-Class
    #[arg(long)]
    pub class: Option<String>,
    /// The name of the listener where it comes in; the first if none is given
    #[arg(long)]
    pub listener: Option<String>,
}
