//! The commands of the program. Called by `main`.

pub mod demo;
pub mod error;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod scenario;
pub mod soak;
pub mod stand_ins;

use serde_json::{json, Value};

/// Prints a JSON line that reports that the stand-ins are ready, with their addresses.
fn print_ready(addresses: Value) {
    println!("{}", json!({ "ready": true, "addresses": addresses }));
}
