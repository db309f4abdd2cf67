//! The command-line arguments. Their doc comments are the texts of `--help`.

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
    /// Serve until SIGTERM; `reelfall` without a command does the same
    Run {
        /// A settings file; without one, the ROUTER_ variables of the environment configure the node
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check whether a node is ready; exits with 0 if it is, 1 if it isn't, 69 if it can't be reached
    Ready(ManagementTarget),
    /// Ban a server at one node: it is sent no new requests
    Disable {
        /// The server's name, as in the list
        server: String,
        #[command(flatten)]
        target: ManagementTarget,
    },
    /// Lift the ban of a server at one node
    Enable {
        /// The server's name, as in the list
        server: String,
        #[command(flatten)]
        target: ManagementTarget,
    },
    /// Drain a node: its clients are asked to connect elsewhere
    Drain(ManagementTarget),
    /// End the drain of a node
    Resume(ManagementTarget),
    /// Inspect and control a fleet, by way of one of its nodes
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Validate a settings file
    Check {
        /// The file
        file: PathBuf,
    },
    /// Show which route a request would take, and why
    Routes(RouteArgs),
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// List the members
    Members(ManagementTarget),
    /// List the verdicts on servers
    Verdicts(ManagementTarget),
    /// Show what the nodes report of a server
    Explain {
        /// The server's name, as in the list
        server: String,
        #[command(flatten)]
        target: ManagementTarget,
    },
    /// Ban a server at all nodes
    Ban {
        /// The server's name, as in the list
        server: String,
        /// Duration in seconds, at most a week; without it the ban lasts until it is lifted
        #[arg(long = "for", value_name = "SECONDS")]
        seconds: Option<u32>,
        /// Who requests this, for the record
        #[arg(long, default_value = "operator")]
        by: String,
        #[command(flatten)]
        target: ManagementTarget,
    },
    /// Lift all bans of a server at all nodes
    Lift {
        /// The server's name, as in the list
        server: String,
        /// Who requests this, for the record
        #[arg(long, default_value = "operator")]
        by: String,
        #[command(flatten)]
        target: ManagementTarget,
    },
    /// List the leases and their holders
    Leases(ManagementTarget),
    /// Make the node that is called release a lease, so that another node can acquire it
    Release {
        /// The lease's name
        lease: String,
        /// The reason, for the node's log
        #[arg(long)]
        why: String,
        #[command(flatten)]
        target: ManagementTarget,
    },
}

/// The node that a command is sent to.
#[derive(Args)]
pub struct ManagementTarget {
    /// The management address of the node
    #[arg(long, value_name = "ADDRESS", env = "ROUTER_MANAGEMENT")]
    pub management: SocketAddr,
}

/// The request whose route is looked up.
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
    /// Its class, as in X-Service-Class
    #[arg(long)]
    pub class: Option<String>,
    /// The name of the listener that receives it; the first if none is given
    #[arg(long)]
    pub listener: Option<String>,
}
