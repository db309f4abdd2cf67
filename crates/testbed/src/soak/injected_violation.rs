//! Rule violations injected into the network path between the clients and the node, to show that the checker finds them.

use crate::link::LinkFaults;
use std::time::Duration;

/// Delay of the path that is longer than a request may race with the close of its connection.
const READ_TIME: Duration = Duration::from_millis(150);
/// Delay of the path that is longer than a node may take to detect that a client has disconnected.
const LATE_DETECTION: Duration = Duration::from_millis(300);

/// A violation to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedViolation {
    /// Answers are dropped from the first signal on.
    DropAnswers,
    /// Connections are closed after their requests were read, from the first signal on.
    CloseReadRequests,
    /// Requests are forwarded after their clients have disconnected, from the first signal on.
    SendForDisconnectedClients,
}

impl InjectedViolation {
    /// Sets the faults of the path that cause the violation.
    pub fn apply(self, faults: &mut LinkFaults) {
        match self {
            InjectedViolation::DropAnswers => faults.drops_responses = true,
            InjectedViolation::CloseReadRequests => {
                faults.delay = READ_TIME;
                faults.cut_after_bytes_to_server = Some(0);
            }
            InjectedViolation::SendForDisconnectedClients => faults.delay = LATE_DETECTION,
        }
    }
}
