//! reelfall's settings file: services with their routes, servers, classes and limits.
//!
//! | module | content |
//! | --- | --- |
//! | [`reader`] | parses a TOML file into a model |
//! | [`units`] | parses quantities with units |
//! | [`model`] | the content of a file; each item has its line |
//! | [`mod@check`] | validates a model and builds a [`Plan`] from it |
//!
//! A node loads its file with [`load`] and puts the [`Plan`] in force; its command `check` prints the [`ConfigErrors`].

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
    // Frees the text before the check allocates memory; the model does not borrow from it.
    drop(text);
    check(model)
}
