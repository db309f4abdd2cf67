//! Errors of table generation, returned by the readers of inputs and reports and by the page module.

use std::path::PathBuf;
use thiserror::Error as ThisError;

/// Reason why tables can't be generated.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// A file can't be parsed as the expected JSON.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A file has an unsupported schema version.
    #[error("{}: unsupported schema version {found}; expected {supported}", path.display())]
    Schema {
        /// The file.
        path: PathBuf,
        /// The schema version stated in the file.
        found: u32,
        /// The schema version that this program reads.
        supported: u32,
    },
    /// A formula needs an input that is missing.
    #[error("input `{0}` is missing")]
    MissingInput(&'static str),
    /// The page lacks the start marker of the table, or the end marker after it.
    #[error("the page has no start or end marker for the table `{0}`")]
    MissingMarker(String),
}
