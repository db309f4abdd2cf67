//! The commands that run one stand-in until the program gets a shutdown signal.

use super::print_ready;
use reelfall_testbed::discovery::{Discovery, ListedServer};
use reelfall_testbed::link::Link;
use reelfall_testbed::pool::{Pool, ServerBehavior};
use reelfall_testbed::registry::{self, Registry};
use reelfall_testbed::{relay, shutdown_signal, Result};
use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The seed of a pool that a command starts.
const POOL_SEED: u64 = 1;

#[derive(clap::Args)]
pub struct PoolArgs {
    /// Number of servers
    #[arg(long, default_value_t = 3)]
    servers: usize,
    /// Service time of a request in milliseconds
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
    /// Share of requests that are answered with status 500
    #[arg(long, default_value_t = 0.0)]
    fail: f64,
    /// Share of requests whose connection is closed after they took effect
    #[arg(long, default_value_t = 0.0)]
    die: f64,
}

/// Runs servers; at the end prints how many requests they have received and how many took effect more than once.
pub async fn run_pool(args: &PoolArgs) -> Result<()> {
    let behavior = ServerBehavior {
        error_ratio: args.fail,
        close_after_effect_ratio: args.die,
        ..ServerBehavior::healthy(Duration::from_millis(args.service_ms))
    };
    let pool = Pool::start("server", args.servers, behavior, POOL_SEED).await?;
    let mut addresses = Map::new();
    for server in &pool.servers {
        addresses.insert(server.name.clone(), server.address.to_string().into());
    }
    print_ready(Value::Object(addresses));
    shutdown_signal().await;
    println!(
        "{}",
        json!({ "seen": pool.requests_received(), "effects_twice": pool.duplicate_effects() })
    );
    Ok(())
}

#[derive(clap::Args)]
pub struct DiscoveryArgs {
    /// Address of a listed server; may be repeated
    #[arg(long = "server", required = true)]
    servers: Vec<SocketAddr>,
}

/// Runs a stand-in for the platform's discovery.
pub async fn run_discovery(args: &DiscoveryArgs) -> Result<()> {
    let mut listed = Vec::new();
    for (index, address) in args.servers.iter().enumerate() {
        listed.push(ListedServer::active(
            &format!("server-{}", index + 1),
            *address,
        ));
    }
    let discovery = Discovery::start(listed).await?;
    print_ready(json!({ "discovery": discovery.address.to_string() }));
    shutdown_signal().await;
    Ok(())
}

#[derive(clap::Args)]
pub struct RegistryArgs {
    /// Address on which the first member listens; port 0 picks a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of members
    #[arg(long, default_value_t = 3)]
    members: usize,
}

/// Runs a registry and a listener for its control commands.
pub async fn run_registry(args: &RegistryArgs) -> Result<()> {
    let registry = Arc::new(Registry::start_at(args.listen, args.members).await?);
    let listener = TcpListener::bind((args.listen.ip(), 0)).await?;
    let mut addresses = Map::new();
    for (index, address) in registry.members.iter().enumerate() {
        addresses.insert(format!("m{}", index + 1), address.to_string().into());
    }
    let control = listener.local_addr()?.to_string();
    addresses.insert("control".to_owned(), control.into());
    print_ready(Value::Object(addresses));
    tokio::select! {
        result = registry::control::serve(listener, registry.clone()) => result,
        () = shutdown_signal() => Ok(()),
    }
}

#[derive(clap::Args)]
pub struct LinkArgs {
    /// Address that connections are forwarded to
    #[arg(long)]
    to: SocketAddr,
    /// Added delay in each direction in milliseconds
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Number of bytes sent to the server after which a connection is closed
    #[arg(long)]
    cut: Option<u64>,
    /// Maximum bytes per second
    #[arg(long)]
    throttle: Option<u64>,
    /// Drop everything that the server sends
    #[arg(long)]
    deaf: bool,
}

/// Runs a network path with faults.
pub async fn run_link(args: &LinkArgs) -> Result<()> {
    let link = Link::start(args.to).await?;
    link.update_faults(|fault| {
        fault.delay = Duration::from_millis(args.delay_ms);
        fault.cut_after_bytes_to_server = args.cut;
        fault.bytes_per_second = args.throttle;
        fault.drops_responses = args.deaf;
    });
    print_ready(json!({ "link": link.address.to_string() }));
    shutdown_signal().await;
    Ok(())
}

#[derive(clap::Args)]
pub struct RelayArgs {
    /// Address of a server; may be repeated
    #[arg(long = "to", required = true)]
    to: Vec<SocketAddr>,
}

/// Runs a round-robin proxy.
pub async fn run_relay(args: RelayArgs) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    print_ready(json!({ "client": listener.local_addr()?.to_string() }));
    tokio::select! {
        result = relay::serve(listener, args.to) => result,
        () = shutdown_signal() => Ok(()),
    }
}
