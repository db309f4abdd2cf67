//! The command `scenario`: checks the guarantees of a node under load and faults.

use super::error::UnknownName;
use reelfall_testbed::node::Program;
use reelfall_testbed::scenario::{fleet, graphql, membership, services};
use reelfall_testbed::Result;

#[derive(clap::Args)]
pub struct ScenarioArgs {
    /// The scenario: `services`, `graphql`, `membership` or `fleet`
    name: String,
    /// Run at the small size that the tests use
    #[arg(long)]
    small: bool,
}

impl ScenarioArgs {
    fn scale<T>(&self, small: T, full: T) -> T {
        if self.small {
            small
        } else {
            full
        }
    }
}

/// Runs a scenario and prints its report; returns whether all guarantees hold.
pub async fn run(program: &Program, args: &ScenarioArgs) -> Result<bool> {
    let report = match args.name.as_str() {
        "services" => {
            let scale = args.scale(services::Scale::SMALL, services::Scale::FULL);
            services::run(program, scale).await?
        }
        "graphql" => {
            let scale = args.scale(graphql::Scale::SMALL, graphql::Scale::FULL);
            graphql::run(program, scale).await?
        }
        "membership" => {
            let scale = args.scale(membership::Scale::SMALL, membership::Scale::FULL);
            membership::run(program, scale).await?
        }
        "fleet" => {
            let scale = args.scale(fleet::Scale::SMALL, fleet::Scale::FULL);
            fleet::run(program, scale).await?
        }
        name => return Err(UnknownName::Scenario(name.to_owned()).into()),
    };
    for violation in report.violations() {
        eprintln!("broken: {violation}");
    }
    println!("{}", report.to_json_line(&args.name));
    Ok(report.passed())
}
