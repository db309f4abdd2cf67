//! The commands of the program, a module for each kind. Called by `main`.

pub mod demo;
pub mod error;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod scenario;
pub mod soak;
pub mod stand_ins;

use serde_json::{json, Value};

/// Prints the line that says that stand-ins are ready, with their addresses.
fn print_ready(addresses: Value) {
    println!("{}", json!({ "ready": true, "addresses": addresses }));
}
