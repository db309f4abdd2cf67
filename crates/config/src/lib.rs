//! reelfall's own settings file: services with their routes, servers, classes and limits.
//!
//! [`model`] is what a file says, whatever it is written in, each part with the place that it came from.
//! [`check`] holds a model against all that must be true of it and makes a [`check::Plan`] of it. [`reader`] reads
//! TOML into the model; a reader for another language would stand beside it.

pub mod check;
pub mod model;
pub mod reader;
pub mod units;

pub use check::{check, Plan};
pub use model::{Fault, Faults, Model};

/// Reads and checks a file.
///
/// # Errors
/// All that is wrong with it, each with file, line and mistake.
pub fn load(path: &std::path::Path) -> Result<Plan, Faults> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        Faults(vec![Fault {
            origin: model::Origin::file(&name),
            mistake: e.to_string(),
        }])
    })?;
    let model = reader::toml(&name, &text)?;
    // The model holds nothing of the text, and the check takes memory of its own.
    drop(text);
    check(model)
}
