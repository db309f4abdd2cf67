//! reelfall's settings file: services with their routes, servers, classes and limits.
//!
//! | module | content |
//! | --- | --- |
//! | [`reader`] | parses TOML into the model |
//! | [`units`] | quantities with units |
//! | [`model`] | the content of a file, each item with its line |
//! | [`mod@check`] | validates a model and makes a [`Plan`] of it |
//!
//! The node loads a file with [`load`] and follows the [`Plan`]; its command `check` prints the [`ConfigErrors`].

pub mod check;
pub mod model;
pub mod reader;
pub mod units;

pub use check::{check, Plan};
pub use model::{ConfigError, ConfigErrors, Model};

/// Reads, parses and validates a file.
///
/// # Errors
/// All errors of the file, each with its line.
pub fn load(path: &std::path::Path) -> Result<Plan, ConfigErrors> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        ConfigErrors(vec![ConfigError {
            origin: model::Origin::file(&name),
            message: error.to_string(),
        }])
    })?;
    let model = reader::parse_toml(&name, &text)?;
    // The check allocates memory of its own, and the model does not borrow from the text.
    drop(text);
    check(model)
}
