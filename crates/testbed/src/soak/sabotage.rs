//! Violations that are put in on purpose, by a path from the clients to the node, to show that the soak finds them.

use crate::link::LinkFaults;
use std::time::Duration;

/// Longer than a request may cross the end of its connection.
const READ_TIME: Duration = Duration::from_millis(150);
/// Longer than a node may take to notice that a client has left.
const LATE_DETECTION: Duration = Duration::from_millis(300);

/// A violation that is put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Answers are dropped from the first signal on.
    DropAnswers,
    /// Connections are closed behind requests that were read, from the first signal on.
    CloseReadRequests,
    /// Requests are sent on after their clients have left, from the first signal on.
    SendForLeftClients,
}

impl Sabotage {
    /// Sets the faults of the path.
    pub fn apply(self, faults: &mut LinkFaults) {
        match self {
            Sabotage::DropAnswers => faults.drops_responses = true,
            Sabotage::CloseReadRequests => {
                faults.delay = READ_TIME;
                faults.cut_after_bytes_to_server = Some(0);
            }
            Sabotage::SendForLeftClients => faults.delay = LATE_DETECTION,
        }
    }
}
