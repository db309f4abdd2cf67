//! A node with its stand-ins, to be tried by hand.

use crate::membership::{settings, Announced};
use crate::node::{until_health, Node};
use crate::pool::{Pool, ServerBehavior};
use crate::registry::{control, Registry};
use crate::scenario::services::Fleet;
use crate::scripted::Program;
use crate::Result;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Three services: evaluation, toggles, rollouts. Serves until it is ended.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn services(program: &Program) -> Result<()> {
    let fleet = Fleet::start(7).await?;
    let node = Node::start(program, &fleet.settings("127.0.0.1:0")).await?;
    until_health(node.address(), "/_health", true).await?;
    let address = node.address().to_string();
    println!(
        "{}",
        json!({ "ready": true, "addresses": { "client": address } })
    );
    eprintln!("the settings: {}", node.file().display());
    eprintln!("curl -i -H 'Host: flags.example.org' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: admin.example.org' -d '{{}}' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: rollout.example.org' -d '{{}}' http://{address}/api/flags");
    eprintln!("curl -i http://{address}/_health/evaluate");
    crate::shutdown_signal().await;
    Ok(())
}

/// GraphQL at `/graphql`. Serves until it is ended.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn graphql(program: &Program) -> Result<()> {
    let manner = ServerBehavior::healthy(Duration::from_millis(5));
    let pool = Pool::start_with_app("graphql", 3, 16, manner, 7, &crate::graphql::app()).await?;
    let node = Node::start(program, &crate::graphql::settings(&pool, "")).await?;
    until_health(node.address(), "/_health", true).await?;
    let address = node.address().to_string();
    println!(
        "{}",
        json!({ "ready": true, "addresses": { "client": address } })
    );
    eprintln!("the settings: {}", node.file().display());
    eprintln!(
        "curl -i -H 'Content-Type: application/json' -d '{{\"query\":\"{{ evaluate(flag: \\\"x\\\") {{ on }} }}\"}}' http://{address}/graphql"
    );
    crate::shutdown_signal().await;
    println!(
        "{}",
        json!({ "seen": pool.requests_received(), "effects_twice": pool.duplicate_effects() })
    );
    Ok(())
}

/// Servers whose entries are in a registry, which can be played with. Serves until it is ended.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn membership(program: &Program) -> Result<()> {
    let registry = Arc::new(Registry::start(3).await?);
    let pool = Pool::start(
        "flags",
        4,
        ServerBehavior::healthy(Duration::from_millis(5)),
        7,
    )
    .await?;
    let entered: Vec<Announced> = pool
        .servers
        .iter()
        .map(|s| Announced::enter(&registry, s, &s.name, 0))
        .collect();
    let entry = "[registry.entry]\npath = \"/nodes/demo\"\nname = \"demo\"\nsite = \"here\"";
    registry.put("/nodes", b"", 0);
    let node = Node::start(program, &settings(&registry, "", entry)).await?;
    until_health(node.address(), "/_health", true).await?;
    let controls = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let (address, control) = (
        node.address().to_string(),
        controls.local_addr()?.to_string(),
    );
    let mut addresses = json!({ "client": address, "control": control });
    for (n, member) in registry.members.iter().enumerate() {
        addresses[format!("m{}", n + 1)] = member.to_string().into();
    }
    println!("{}", json!({ "ready": true, "addresses": addresses }));
    eprintln!("the settings: {}", node.file().display());
    eprintln!("curl -i -H 'Host: evaluate.example.org' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: toggle.example.org' -d '{{}}' http://{address}/api/flags");
    for entry in &entered {
        eprintln!(
            "curl -X POST 'http://{control}/kill?session={}'    # {}",
            entry.session, entry.name
        );
    }
    tokio::select! {
        result = control::serve(controls, registry.clone()) => result?,
        () = crate::shutdown_signal() => {}
    }
    println!(
        "{}",
        json!({ "seen": pool.requests_received(), "effects_twice": pool.duplicate_effects() })
    );
    Ok(())
}
