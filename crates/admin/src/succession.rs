//! Hot restart: a new process takes over from one that serves, without a moment in which nobody accepts.
//!
//! | state | owner | ends |
//! | --- | --- | --- |
//! | no successor | [`Predecessor`] | with the first hello of a supported version |
//! | the successor has the sockets and gets ready | [`Predecessor`] | when the successor serves, or is lost |
//! | the successor serves, and gets every client without a request | [`Predecessor`] | with the process, or when the successor is lost |
//! | has the sockets, then serves beside the predecessor | [`Successor`] | when the predecessor is gone |

use crate::takeover::PROTOCOL_VERSION;

/// Progress of the successor, as its predecessor knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum SuccessorPhase {
    #[default]
    Absent,
    /// It has the sockets and gets ready.
    Preparing,
    Serving,
}

/// The process that serves already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Predecessor {
    successor: SuccessorPhase,
    /// SIGTERM has come.
    is_terminating: bool,
    /// The time in which connections are still accepted after SIGTERM is over.
    is_accept_grace_over: bool,
}

impl Predecessor {
    /// A process requests a takeover. Returns whether it is handed the sockets.
    ///
    /// One successor at a time: with two, connections would be handed to whichever was the last to serve. Another process
    /// has to bind the address itself until the first is lost.
    pub fn handle_hello(&mut self, version: u32) -> bool {
        let accepted = version == PROTOCOL_VERSION
            && self.successor == SuccessorPhase::Absent
            && !self.is_accept_grace_over;
        if accepted {
            self.successor = SuccessorPhase::Preparing;
        }
        accepted
    }

    /// The successor serves. One that was never handed the sockets can't.
    pub fn handle_serving(&mut self) {
        if self.successor == SuccessorPhase::Preparing {
            self.successor = SuccessorPhase::Serving;
        }
    }

    /// The successor is gone, or violated the protocol.
    pub fn handle_successor_lost(&mut self) {
        self.successor = SuccessorPhase::Absent;
    }

    /// SIGTERM has come.
    pub fn terminate(&mut self) {
        self.is_terminating = true;
    }

    /// The time in which connections are still accepted after SIGTERM is over.
    pub fn end_accept_grace(&mut self) {
        self.is_accept_grace_over = self.is_terminating;
    }

    /// Whether this process accepts on the listening sockets.
    pub fn accepts(&self) -> bool {
        match self.successor {
            SuccessorPhase::Serving => false,
            // Until the successor serves nobody else accepts, however long it takes.
            SuccessorPhase::Preparing => true,
            SuccessorPhase::Absent => !self.is_accept_grace_over,
        }
    }

    /// Whether clients without a request under way are handed to the successor.
    pub fn hands_over(&self) -> bool {
        self.successor == SuccessorPhase::Serving
    }

    /// Whether another process has the listening sockets too: their backlog is not lost with this one.
    pub fn shares_listeners(&self) -> bool {
        self.successor != SuccessorPhase::Absent
    }
}

/// The process that takes over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Successor {
    /// It has the sockets of a predecessor that is still there.
    has_predecessor: bool,
    /// It has announced that it serves.
    is_serving: bool,
}

impl Successor {
    /// The predecessor has handed over its sockets.
    pub fn handle_snapshot(&mut self) {
        self.has_predecessor = true;
    }

    /// This process can serve.
    pub fn set_ready(&mut self) {
        self.is_serving = true;
    }

    /// The predecessor is gone.
    pub fn handle_predecessor_gone(&mut self) {
        self.has_predecessor = false;
    }

    /// Whether this process accepts. Not before it can serve if there is a predecessor, which accepts until then.
    pub fn accepts(&self) -> bool {
        self.is_serving || !self.has_predecessor
    }

    /// Number of processes that share the node's limits and what it may send to a server that warms up.
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.has_predecessor)
    }
}
