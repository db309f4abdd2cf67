//! Hot restart: a new process takes over from a running one, and at each moment one of them accepts connections.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | there is no successor | [`Predecessor`] | with the first hello of a supported version |
//! | the successor has the sockets and prepares to serve | [`Predecessor`] | when the successor serves, or is lost |
//! | the successor serves, and is handed every client without a request | [`Predecessor`] | with the process, or when the successor is lost |
//! | the successor has the sockets, and later serves beside the predecessor | [`Successor`] | when the predecessor exits |

use crate::takeover::PROTOCOL_VERSION;

/// Progress of the successor, as far as the predecessor knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum SuccessorPhase {
    #[default]
    Absent,
    /// It has the sockets and prepares to serve.
    Preparing,
    Serving,
}

/// The state of the process that serves first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Predecessor {
    successor: SuccessorPhase,
    /// It has received SIGTERM.
    is_terminating: bool,
    /// The time for which it still accepts connections after SIGTERM is over.
    is_accept_grace_over: bool,
}

impl Predecessor {
    /// Handles the hello of a process that requests a takeover; returns whether it is handed the sockets.
    ///
    /// There is one successor at a time: with two, connections would be handed to the one that was last to serve. While
    /// there is one, any other process has to bind the address itself.
    pub fn handle_hello(&mut self, version: u32) -> bool {
        let accepted = version == PROTOCOL_VERSION
            && self.successor == SuccessorPhase::Absent
            && !self.is_accept_grace_over;
        if accepted {
            self.successor = SuccessorPhase::Preparing;
        }
        accepted
    }

    /// Handles the successor's announcement that it serves. Ignored unless it was handed the sockets before.
    pub fn handle_serving(&mut self) {
        if self.successor == SuccessorPhase::Preparing {
            self.successor = SuccessorPhase::Serving;
        }
    }

    /// Handles the loss of the successor, which has exited or violated the protocol.
    pub fn handle_successor_lost(&mut self) {
        self.successor = SuccessorPhase::Absent;
    }

    /// Handles SIGTERM.
    pub fn terminate(&mut self) {
        self.is_terminating = true;
    }

    /// Ends the time for which connections are still accepted after SIGTERM. No effect before SIGTERM.
    pub fn end_accept_grace(&mut self) {
        self.is_accept_grace_over = self.is_terminating;
    }

    /// Whether this process accepts on the listening sockets.
    pub fn accepts(&self) -> bool {
        match self.successor {
            SuccessorPhase::Serving => false,
            // No other process accepts until the successor serves, however long that takes.
            SuccessorPhase::Preparing => true,
            SuccessorPhase::Absent => !self.is_accept_grace_over,
        }
    }

    /// Whether clients without a request in flight are handed to the successor.
    pub fn hands_over(&self) -> bool {
        self.successor == SuccessorPhase::Serving
    }

    /// Whether the successor has the listening sockets, too, so that their backlog survives this process.
    pub fn shares_listeners(&self) -> bool {
        self.successor != SuccessorPhase::Absent
    }
}

/// The state of the process that takes over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Successor {
    /// It has the sockets of a predecessor that still runs.
    has_predecessor: bool,
    /// It has announced that it serves.
    is_serving: bool,
}

impl Successor {
    /// Handles the predecessor's snapshot: its sockets have been handed over.
    pub fn handle_snapshot(&mut self) {
        self.has_predecessor = true;
    }

    /// Marks this process as able to serve.
    pub fn set_ready(&mut self) {
        self.is_serving = true;
    }

    /// Handles the exit of the predecessor.
    pub fn handle_predecessor_gone(&mut self) {
        self.has_predecessor = false;
    }

    /// Whether this process accepts connections. If there is a predecessor, that accepts them until this one can serve.
    pub fn accepts(&self) -> bool {
        self.is_serving || !self.has_predecessor
    }

    /// Number of processes that share the node's limits and its rate to servers in slow start.
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.has_predecessor)
    }
}
