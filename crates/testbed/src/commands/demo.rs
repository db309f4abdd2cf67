//! A node with its stand-ins, to be tried by hand.

use reelfall_testbed::node::Program;
use reelfall_testbed::{demo, Result};

#[derive(clap::Args)]
pub struct DemoArgs {
    /// `services`, `graphql` or `membership`
    name: String,
}

/// Runs a demo until it is ended.
pub async fn run(program: &Program, args: &DemoArgs) -> Result<()> {
    match args.name.as_str() {
        "services" => demo::services(program).await,
        "graphql" => demo::graphql(program).await,
        "membership" => demo::membership(program).await,
        name => Err(format!("there is no demo `{name}`: services, graphql, membership").into()),
    }
}
