//! Errors of fleets in tests.

use std::time::Duration;

/// An error of a fleet of processes.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A node rejected the request of an operator.
    #[error("the node rejected the request: {status}: {body}")]
    Rejected {
        /// Status code of the response.
        status: u16,
        /// Its body.
        body: String,
    },
    /// A node has no management address.
    #[error("the node has no management address")]
    MissingManagement,
    /// A condition did not hold in time.
    #[error("{condition}: the condition did not hold within {timeout:?}\n{tail}")]
    ConditionTimeout {
        /// Description of the condition.
        condition: String,
        /// Time for which it was awaited.
        timeout: Duration,
        /// The last events of the history.
        tail: String,
    },
    /// An event did not happen in time.
    #[error("the expected event did not happen\n{tail}")]
    EventTimeout {
        /// The last events of the history.
        tail: String,
    },
}
