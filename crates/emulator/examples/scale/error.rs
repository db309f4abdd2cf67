//! Errors of scale runs.

use reelfall_emulator::control::layout::LayoutError;
use reelfall_emulator::control::world::WorldError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a scale run failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The world could not be created.
    #[error(transparent)]
    World(#[from] WorldError),
    /// The endpoints can't be placed.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// There is no scenario of this name.
    #[error("there is no scenario {0}")]
    UnknownScenario(String),
    /// This many nodes do not know all others although they were introduced to them.
    #[error("{0} nodes do not know all others")]
    IncompleteMembership(usize),
    /// A report can't be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// The file of the report.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A report can't be parsed.
    #[error("{}: {error}", path.display())]
    Parse {
        /// The file of the report.
        path: PathBuf,
        /// The cause.
        error: serde_json::Error,
    },
    /// Runs can't be appended to a report, since it is of another schema version, seed or commit.
    #[error("{}: report has a different schema version, seed or commit", .0.display())]
    Mismatch(PathBuf),
    /// A report can't be serialized.
    #[error(transparent)]
    Serialize(#[from] serde_json::Error),
}
