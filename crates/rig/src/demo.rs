//! A node with its stand-ins, to be tried by hand.

use crate::node::{until_health, Node};
use crate::pool::{Manner, Pool};
use crate::scenario::services::Fleet;
use crate::scripted::Program;
use crate::Result;
use serde_json::json;
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
    println!("{}", json!({ "ready": true, "addresses": { "client": address } }));
    eprintln!("the settings: {}", node.file().display());
    eprintln!("curl -i -H 'Host: flags.example.org' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: admin.example.org' -d '{{}}' http://{address}/api/flags");
    eprintln!("curl -i -H 'Host: rollout.example.org' -d '{{}}' http://{address}/api/flags");
    eprintln!("curl -i http://{address}/_health/evaluate");
    crate::until_ended().await;
    Ok(())
}

/// GraphQL at `/graphql`. Serves until it is ended.
///
/// # Errors
/// If a stand-in or the node can't be started.
pub async fn graphql(program: &Program) -> Result<()> {
    let manner = Manner::good(Duration::from_millis(5));
    let pool = Pool::running("graphql", 3, 16, manner, 7, &crate::graphql::app()).await?;
    let node = Node::start(program, &crate::graphql::settings(&pool, "")).await?;
    until_health(node.address(), "/_health", true).await?;
    let address = node.address().to_string();
    println!("{}", json!({ "ready": true, "addresses": { "client": address } }));
    eprintln!("the settings: {}", node.file().display());
    eprintln!(
        "curl -i -H 'Content-Type: application/json' -d '{{\"query\":\"{{ evaluate(flag: \\\"x\\\") {{ on }} }}\"}}' http://{address}/graphql"
    );
    crate::until_ended().await;
    println!("{}", json!({ "seen": pool.seen(), "effects_twice": pool.twice() }));
    Ok(())
}
