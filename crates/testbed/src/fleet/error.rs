//! Why a fleet does not do what a test expects.

use std::time::Duration;

/// An error of a fleet of processes.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A node rejected the request of an operator.
    #[error("{status}: {body}")]
    Rejected {
        /// Status code of the response.
        status: u16,
        /// Its body.
        body: String,
    },
    /// A node has no management address.
    #[error("no management address")]
    MissingManagement,
    /// A condition did not hold in time.
    #[error("{condition}: not within {timeout:?}\n{tail}")]
    ConditionTimeout {
        /// What was awaited.
        condition: String,
        /// How long.
        timeout: Duration,
        /// The last events of the history.
        tail: String,
    },
    /// An event did not happen in time.
    #[error("it does not happen\n{tail}")]
    EventTimeout {
        /// The last events of the history.
        tail: String,
    },
}
