//! Demos: a node with its stand-ins, for manual use. Run by the command `demo`.

use crate::membership::{node_settings, RegisteredServer};
use crate::node::{wait_for_health, Node, Program};
use crate::pool::{Pool, ServerBehavior};
use crate::registry::{control, Registry};
use crate::scenario::services::ServicePools;
use crate::Result;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const SEED: u64 = 7;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const GRAPHQL_SERVERS: usize = 3;
const GRAPHQL_WORKERS: usize = 16;
const REGISTRY_MEMBERS: usize = 3;
const REGISTERED_SERVERS: usize = 4;
/// Settings by which the node registers its own entry in the registry.
const NODE_ENTRY: &str =
    "[registry.entry]\npath = \"/nodes/demo\"\nname = \"demo\"\nsite = \"here\"";

/// Runs a node with three services, for evaluation, toggles and rollouts, until the program gets a shutdown signal.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn services(program: &Program) -> Result<()> {
    let pools = ServicePools::start(SEED).await?;
    let node = start_node(program, &pools.settings("127.0.0.1:0")).await?;
    let address = node.address();
    print_ready(&json!({ "client": address.to_string() }));
    print_settings_path(&node);
    eprintln!("curl -i -H 'Host: flags.example.org' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: admin.example.org' -d '{{}}' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: rollout.example.org' -d '{{}}' http://{address}/api/flags");
    eprintln!("curl -i http://{address}/_health/evaluate");
    crate::shutdown_signal().await;
    Ok(())
}

/// Runs a node with GraphQL at `/graphql` until the program gets a shutdown signal.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn graphql(program: &Program) -> Result<()> {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    let app = crate::graphql::app();
    let pool = Pool::start_with_app(
        "graphql",
        GRAPHQL_SERVERS,
        GRAPHQL_WORKERS,
        behavior,
        SEED,
        &app,
    )
    .await?;
    let node = start_node(program, &crate::graphql::settings(&pool, "")).await?;
    let address = node.address();
    print_ready(&json!({ "client": address.to_string() }));
    print_settings_path(&node);
    eprintln!(
        "curl -i -H 'Content-Type: application/json' -d '{{\"query\":\"{{ evaluate(flag: \\\"x\\\") {{ on }} }}\"}}' http://{address}/graphql"
    );
    crate::shutdown_signal().await;
    print_totals(&pool);
    Ok(())
}

/// Runs a node whose servers have entries in a registry, and a listener for the registry's control commands, until the
/// program gets a shutdown signal.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn membership(program: &Program) -> Result<()> {
    let registry = Arc::new(Registry::start(REGISTRY_MEMBERS).await?);
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    let pool = Pool::start("flags", REGISTERED_SERVERS, behavior, SEED).await?;
    let entries: Vec<RegisteredServer> = pool
        .servers
        .iter()
        .map(|server| RegisteredServer::register(&registry, server, &server.name, 0))
        .collect();
    registry.put("/nodes", b"", 0);
    let node = start_node(program, &node_settings(&registry, "", NODE_ENTRY)).await?;
    let controls = TcpListener::bind("127.0.0.1:0").await?;
    let control_address = controls.local_addr()?;
    print_ready(&registry_addresses(
        &registry,
        node.address(),
        control_address,
    ));
    print_settings_path(&node);
    print_registry_commands(node.address(), control_address, &entries);
    tokio::select! {
        result = control::serve(controls, registry.clone()) => result?,
        () = crate::shutdown_signal() => {}
    }
    print_totals(&pool);
    Ok(())
}

async fn start_node(program: &Program, settings: &str) -> Result<Node> {
    let node = Node::start(program, settings).await?;
    wait_for_health(node.address(), "/_health", true).await?;
    Ok(node)
}

fn registry_addresses(registry: &Registry, node: SocketAddr, control: SocketAddr) -> Value {
    let mut addresses = json!({ "client": node.to_string(), "control": control.to_string() });
    for (index, member) in registry.members.iter().enumerate() {
        addresses[format!("m{}", index + 1)] = member.to_string().into();
    }
    addresses
}

fn print_registry_commands(node: SocketAddr, control: SocketAddr, entries: &[RegisteredServer]) {
    eprintln!("curl -i -H 'Host: evaluate.example.org' http://{node}/api/flags");
    eprintln!("curl -i -H 'Host: toggle.example.org' -d '{{}}' http://{node}/api/flags");
    for entry in entries {
        eprintln!(
            "curl -X POST 'http://{control}/kill?session={}'    # {}",
            entry.session, entry.name
        );
    }
}

/// Prints a JSON line that reports that the demo is ready.
fn print_ready(addresses: &Value) {
    println!("{}", json!({ "ready": true, "addresses": addresses }));
}

fn print_settings_path(node: &Node) {
    eprintln!("settings file: {}", node.settings_file().display());
}

/// Prints how many requests the servers have received and how many took effect more than once.
fn print_totals(pool: &Pool) {
    let totals =
        json!({ "seen": pool.requests_received(), "effects_twice": pool.duplicate_effects() });
    println!("{totals}");
}
