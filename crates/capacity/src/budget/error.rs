//! Why tables can't be generated. Readers of inputs and the page module return it.

use std::path::PathBuf;
use thiserror::Error as ThisError;

/// Why tables can't be generated.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A file is not the JSON that it should be.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: serde_json::Error,
    },
    /// A file has another format.
    #[error("{}: schema {found}, {supported} is known", path.display())]
    Schema {
        /// The file.
        path: PathBuf,
        /// The schema that it states.
        found: u32,
        /// The schema that this program reads.
        supported: u32,
    },
    /// A formula needs an input that is missing.
    #[error("there is no input `{0}`")]
    MissingInput(&'static str),
    /// The page has no such marker, or no end after it.
    #[error("the page has no place for the table `{0}`")]
    MissingMarker(String),
}
