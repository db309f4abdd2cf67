//! Measures the cost to a node of one route, tenant, peer, lease name or idle service: memory as the growth of the resident set,
//! processor time as elapsed or scheduled time, messages as their length. The figures are inputs of docs/CAPACITY.md.
//!
//! ```text
//! cargo run --release -p reelfall-capacity --example state_size -- routes|tenants|peers|names|count SIZE SIZE...
//! cargo run --release -p reelfall-capacity --example state_size -- words
//! cargo run --release -p reelfall-capacity --example state_size -- rest|together PROGRAM SERVICES SERVICES...
//! ```
//!
//! Each size is measured in a separate process, so that it doesn't reuse memory freed by another. The line through the sizes is
//! printed with the standard error of its slope.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`cluster`] | a node among peers |
//! | [`error`] | errors of measurements |
//! | [`fixtures`] | nodes and datagrams of the cluster |
//! | [`idle_node`] | node processes without requests |
//! | [`leases`] | a keeper of leases |
//! | [`lists`] | endpoint lists and verdicts on their servers |
//! | [`measure`] | memory and time of a process |
//! | [`messages`] | lengths of messages |
//! | [`plan`] | routes and tenants of a plan |
//! | [`sweep`] | measurements at all sizes, and the line through them |

mod cluster;
mod error;
mod fixtures;
mod idle_node;
mod leases;
mod lists;
mod measure;
mod messages;
mod plan;
mod sweep;

use error::{Error, Result};
use idle_node::Mode;
use measure::Figures;
use std::process::Command;

/// The internal command that measures one size in a child process.
const SINGLE_SIZE_COMMAND: &str = "one";

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        [SINGLE_SIZE_COMMAND, resource, size] => print_single_size(resource, size.parse()?),
        ["words"] => messages::print_lengths(),
        ["rest", program, sizes @ ..] => sweep::run("rest", sizes, |services| {
            idle_node::figures(program, services, Mode::Standalone)
        }),
        ["together", program, sizes @ ..] => sweep::run("together", sizes, |services| {
            idle_node::figures(program, services, Mode::Clustered)
        }),
        [resource, sizes @ ..] if !sizes.is_empty() => {
            sweep::run(resource, sizes, |size| in_child(resource, size))
        }
        _ => Err(Error::Usage),
    }
}

/// Measures one size in this process, and prints the figures for the parent process.
fn print_single_size(resource: &str, size: usize) -> Result<()> {
    let figures = match resource {
        "routes" => plan::routes(size)?,
        "tenants" => plan::tenants(size)?,
        "peers" => cluster::peers(size)?,
        "names" => leases::names(size)?,
        "count" => lists::figures(size),
        _ => return Err(Error::UnknownResource(resource.to_owned())),
    };
    for (name, value) in &figures {
        println!("{name} {value:e}");
    }
    Ok(())
}

/// Measures one size in a child process.
fn in_child(resource: &str, size: usize) -> Result<Figures> {
    let program = std::env::current_exe()?;
    let output = Command::new(program)
        .args([SINGLE_SIZE_COMMAND, resource, &size.to_string()])
        .output()?;
    if !output.status.success() {
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(Error::Child(message));
    }
    let text = String::from_utf8(output.stdout)?;
    let figure = |line: &str| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    Ok(text.lines().filter_map(figure).collect())
}
