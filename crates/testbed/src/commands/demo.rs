//! The command `demo`: a node with its stand-ins, for manual use.

use super::error::UnknownName;
use reelfall_testbed::node::Program;
use reelfall_testbed::{demo, Result};

#[derive(clap::Args)]
pub struct DemoArgs {
    /// The demo: `services`, `graphql` or `membership`
    name: String,
}

/// Runs a demo until the program gets a shutdown signal.
pub async fn run(program: &Program, args: &DemoArgs) -> Result<()> {
    match args.name.as_str() {
        "services" => demo::services(program).await,
        "graphql" => demo::graphql(program).await,
        "membership" => demo::membership(program).await,
        name => Err(UnknownName::Demo(name.to_owned()).into()),
    }
}
