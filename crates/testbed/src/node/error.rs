//! Errors of a node process under test.

/// The node process failed, or its output is not as expected.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A standard stream of the process, named by the field, is not piped.
    #[error("{0} of the node is not piped")]
    MissingStream(&'static str),
    /// The process exited before it listened.
    #[error("the node exited before it listened; its log:\n{log}")]
    StartupFailed {
        /// Log lines of the process.
        log: String,
    },
    /// The first line on stdout has no listener addresses.
    #[error("the node's startup line has no object `listening`")]
    MissingListeners,
    /// A listener address in the first line on stdout is not a string.
    #[error("a listener address in the node's startup line is not a string")]
    InvalidAddress,
    /// The log ended before a line with the expected text.
    #[error("the node's log ended without a line that contains `{text}`")]
    LogEnded {
        /// The expected text.
        text: String,
    },
    /// A signal can't be sent because the process has exited.
    #[error("the node process has exited")]
    Exited,
    /// A health path did not respond as expected before the timeout.
    #[error("timed out waiting for {path}: expected healthy = {is_healthy}")]
    HealthTimeout {
        /// The health path that was requested.
        path: String,
        /// Whether status 200 was expected.
        is_healthy: bool,
    },
    /// `/proc` does not show the resident memory of the process.
    #[error("/proc/<pid>/status has no line VmRSS")]
    MissingMemory,
}
