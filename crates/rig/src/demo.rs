//! A node with its stand-ins, to be tried by hand.

use crate::node::{until_health, Node};
use crate::scenario::services::Fleet;
use crate::scripted::Program;
use crate::Result;
use serde_json::json;

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
