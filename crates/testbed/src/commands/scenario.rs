//! Scenarios: promises, kept or broken under load and faults.

use reelfall_testbed::node::Program;
use reelfall_testbed::scenario::{fleet, graphql, membership, services};
use reelfall_testbed::Result;

#[derive(clap::Args)]
pub struct ScenarioArgs {
    /// `services`, `graphql`, `membership` or `fleet`
    name: String,
    /// The small form, as in the tests
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

/// Runs a scenario and prints its report; returns whether all promises were kept.
pub async fn run(program: &Program, args: &ScenarioArgs) -> Result<bool> {
    let report = match args.name.as_str() {
        "services" => {
            let scale = args.scale(services::Scale::SMALL, services::Scale::WHOLE);
            services::run(program, scale).await?
        }
        "graphql" => {
            let scale = args.scale(graphql::Scale::SMALL, graphql::Scale::WHOLE);
            graphql::run(program, scale).await?
        }
        "membership" => {
            let scale = args.scale(membership::Scale::SMALL, membership::Scale::WHOLE);
            membership::run(program, scale).await?
        }
        "fleet" => {
            let scale = args.scale(fleet::Scale::SMALL, fleet::Scale::WHOLE);
            fleet::run(program, scale).await?
        }
        name => {
            let which = "services, graphql, membership, fleet";
            return Err(format!("there is no scenario `{name}`: {which}").into());
        }
    };
    report
        .broken()
        .iter()
        .for_each(|broken| eprintln!("broken: {broken}"));
    println!("{}", report.line(&args.name));
    Ok(report.pass())
}
