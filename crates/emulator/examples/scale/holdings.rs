//! What an author, a relay and a node hold in memory of all that there is.

use super::report::resident;
use super::Output;
use clap::Args;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::holdings::{Holder, Holdings};
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use reelfall_emulator::control::sizes::Sizes;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Routes that are resources of their own.
    #[arg(long, default_value_t = Sizes::TARGET_ROUTES)]
    routes: u32,
    /// Tenants that are resources.
    #[arg(long, default_value_t = Sizes::TARGET_TENANTS)]
    tenants: u32,
    /// Tenants that a node has, from the least to the greatest.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1_000, 16_000])]
    held: Vec<u32>,
}

pub fn play(arguments: &Arguments) -> Result<(), String> {
    let Arguments {
        routes, tenants, ..
    } = *arguments;
    let holdings = Holdings::new(Sizes {
        routes,
        tenants,
        ..Sizes::TARGET
    })?;
    // Memory is told by what the process grows, so all are kept until the end, from the smallest on.
    let mut kept = Vec::new();
    let mut runs = Vec::new();
    for held in &arguments.held {
        let name = format!("a node with its 20 services and {held} tenants");
        runs.push(measure(arguments, &mut kept, name, || holdings.node(*held)));
    }
    runs.push(measure(
        arguments,
        &mut kept,
        "a node with all services".to_owned(),
        || holdings.node_of_all_services(),
    ));
    runs.push(measure(
        arguments,
        &mut kept,
        "a relay, without children".to_owned(),
        || holdings.relay(),
    ));
    runs.push(measure(
        arguments,
        &mut kept,
        "an author".to_owned(),
        || holdings.author(),
    ));
    arguments.output.write(runs)
}

fn measure(
    arguments: &Arguments,
    kept: &mut Vec<Holder>,
    name: String,
    make: impl FnOnce() -> Holder,
) -> Run {
    let before = resident();
    let holder = make();
    let memory = resident() - before;
    println!(
        "{name}: {} resources, {:.1} MB",
        holder.resources(),
        memory / 1e6
    );
    kept.push(holder);
    let (routes, tenants) = (arguments.routes as usize, arguments.tenants as usize);
    Run {
        name: format!("configuration held: {name}"),
        source: Source::Computation,
        size: Size {
            services: Sizes::TARGET.services as usize,
            routes,
            tenants,
            ..Size::default()
        },
        seconds: 0.0,
        per_node: PerNode::of("configuration", &Usage::default(), Some(memory)),
        in_force: None,
        requests: None,
        read_bytes: None,
        played: None,
    }
}
