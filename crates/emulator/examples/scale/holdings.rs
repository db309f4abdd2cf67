//! Measures the memory of a publisher, a relay and nodes of the target system.

use super::error::ScaleError;
use super::report::resident_memory;
use super::Output;
use clap::Args;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use reelfall_emulator::control::restored::{MachineRestorer, RestoredMachine};
use reelfall_emulator::control::sizes::Sizes;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Number of routes that are separate resources.
    #[arg(long, default_value_t = Sizes::TARGET_ROUTES)]
    routes: u32,
    /// Number of tenants that are separate resources.
    #[arg(long, default_value_t = Sizes::TARGET_TENANTS)]
    tenants: u32,
    /// Numbers of tenants of the measured nodes, in ascending order.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1_000, 16_000])]
    held: Vec<u32>,
}

pub fn measure_all(arguments: &Arguments) -> Result<(), ScaleError> {
    let Arguments {
        routes, tenants, ..
    } = *arguments;
    let restorer = MachineRestorer::new(Sizes {
        routes,
        tenants,
        ..Sizes::TARGET
    })?;
    // Memory is measured as the growth of the process, so all machines are retained, in ascending order of size.
    let mut retained = Vec::new();
    let mut runs = Vec::new();
    for held in &arguments.held {
        let name = format!("a node with its 20 services and {held} tenants");
        runs.push(measure(arguments, &mut retained, name, || {
            restorer.node(*held)
        }));
    }
    runs.push(measure(
        arguments,
        &mut retained,
        "a node with all services".to_owned(),
        || restorer.node_of_all_services(),
    ));
    runs.push(measure(
        arguments,
        &mut retained,
        "a relay, without children".to_owned(),
        || restorer.relay(),
    ));
    runs.push(measure(
        arguments,
        &mut retained,
        "an author".to_owned(),
        || restorer.publisher(),
    ));
    arguments.output.write(runs)
}

fn measure(
    arguments: &Arguments,
    retained: &mut Vec<RestoredMachine>,
    name: String,
    make: impl FnOnce() -> RestoredMachine,
) -> Run {
    let before = resident_memory();
    let machine = make();
    let memory = resident_memory() - before;
    println!(
        "{name}: {} resources, {:.1} MB",
        machine.resource_count(),
        memory / 1e6
    );
    retained.push(machine);
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
