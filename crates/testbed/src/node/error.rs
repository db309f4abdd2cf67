//! Why a node does not do what a test expects.

/// An error of a node's process, or of what it prints.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A stream of the process is not piped.
    #[error("no {0}")]
    MissingStream(&'static str),
    /// The process ended before it listened.
    #[error("{log}")]
    StartupFailed {
        /// The lines of its log.
        log: String,
    },
    /// The first line of its output lacks the addresses of its listeners.
    #[error("no listeners")]
    MissingListeners,
    /// A listener's address in that line is no text.
    #[error("no address")]
    InvalidAddress,
    /// The process ended before it logged the text that was awaited.
    #[error("the node ended without saying `{text}`")]
    LogEnded {
        /// The text.
        text: String,
    },
    /// The process has ended.
    #[error("the node is gone")]
    Gone,
    /// A health path did not respond as expected in time.
    #[error("{path} does not become {is_healthy}")]
    HealthTimeout {
        /// The path.
        path: String,
        /// Whether status 200 was expected.
        is_healthy: bool,
    },
    /// The system does not tell the resident memory of the process.
    #[error("no VmRSS")]
    MissingMemory,
}
