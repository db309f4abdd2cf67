//! Why a scale run failed. `main` prints it.

use reelfall_emulator::control::layout::LayoutError;
use reelfall_emulator::control::world::WorldError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a scale run failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The world can't be made.
    #[error(transparent)]
    World(#[from] WorldError),
    /// The system can't be placed.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// There is no scenario of this name.
    #[error("there is no play {0}")]
    UnknownScenario(String),
    /// Nodes that were introduced to all others do not know all of them.
    #[error("{0} nodes don't know all others")]
    IncompleteMembership(usize),
    /// A report can't be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// The file of the report.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A report can't be parsed.
    #[error("{}: {error}", path.display())]
    Parse {
        /// The file of the report.
        path: PathBuf,
        /// Why.
        error: serde_json::Error,
    },
    /// A report can't be appended to.
    #[error("{}: of another schema, seed or commit", .0.display())]
    Mismatch(PathBuf),
    /// A report can't be written as JSON.
    #[error(transparent)]
    Serialize(#[from] serde_json::Error),
}
