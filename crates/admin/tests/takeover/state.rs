//! The state of the model: two processes, a client, and the messages in flight.

use reelfall_admin::succession::{Predecessor, Successor};

/// Where the client's connection is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Client {
    /// In the backlog of the listening socket.
    Queued,
    AtPredecessor,
    /// Sent by the predecessor and not yet received by the successor.
    InTransit,
    AtSuccessor,
    /// Closed by a process that was not killed.
    Lost,
    /// Closed with a process that was killed.
    Killed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageKind {
    Hello(u32),
    Snapshot,
    Busy,
    Serving,
    Client,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub predecessor: Option<Predecessor>,
    pub terminated: bool,
    pub successor: Option<Successor>,
    /// The successor has received the predecessor's listening socket.
    pub holds_listener: bool,
    /// The successor has bound its own socket.
    pub bound_listener: bool,
    pub to_predecessor: Vec<MessageKind>,
    pub to_successor: Vec<MessageKind>,
    /// The predecessor has not yet noticed its successor's death.
    pub loss_unnoticed: bool,
    pub successors: u8,
    pub client: Client,
}

impl State {
    /// A successor starts, and sends its hello if a predecessor runs.
    pub fn start_successor(&mut self, version: u32) {
        self.successor = Some(Successor::default());
        self.successors += 1;
        self.to_successor.clear();
        if self.predecessor.is_some() {
            self.to_predecessor = vec![MessageKind::Hello(version)];
        } else {
            self.to_predecessor.clear();
            self.bound_listener = true;
        }
    }

    pub fn predecessor_reads(&mut self) -> Option<()> {
        let predecessor = self.predecessor.as_mut()?;
        match self.to_predecessor.remove(0) {
            MessageKind::Hello(version) => {
                self.to_successor
                    .push(if predecessor.handle_hello(version) {
                        MessageKind::Snapshot
                    } else {
                        MessageKind::Busy
                    });
            }
            MessageKind::Serving => predecessor.handle_serving(),
            _ => {}
        }
        Some(())
    }

    pub fn successor_reads(&mut self) -> Option<()> {
        let successor = self.successor.as_mut()?;
        match self.to_successor.remove(0) {
            MessageKind::Snapshot => {
                successor.handle_snapshot();
                self.holds_listener = true;
            }
            MessageKind::Busy => self.bound_listener = true,
            MessageKind::Client => self.client = Client::AtSuccessor,
            _ => {}
        }
        Some(())
    }

    pub fn kill_successor(&mut self) {
        self.successor = None;
        if matches!(self.client, Client::AtSuccessor | Client::InTransit) {
            self.client = Client::Killed;
        }
        self.holds_listener = false;
        self.bound_listener = false;
        self.loss_unnoticed = self.predecessor.is_some();
        self.to_successor.clear();
        self.to_predecessor.clear();
        // The backlog is lost with the last process that has the socket.
        if self.predecessor.is_none() && self.client == Client::Queued {
            self.client = Client::Killed;
        }
    }

    pub fn notice_loss(&mut self) -> Option<()> {
        let predecessor = self.predecessor.as_mut()?;
        predecessor.handle_successor_lost();
        self.loss_unnoticed = false;
        // A terminating process accepts the backlog once no other process has the socket.
        if !predecessor.accepts() && self.client == Client::Queued {
            self.client = Client::AtPredecessor;
        }
        Some(())
    }

    pub fn end_accept_grace(&mut self) -> Option<()> {
        let predecessor = self.predecessor.as_mut()?;
        predecessor.end_accept_grace();
        // A terminating process accepts the backlog unless another process has the socket.
        if !predecessor.shares_listeners() && self.client == Client::Queued {
            self.client = Client::AtPredecessor;
        }
        Some(())
    }

    /// The predecessor exits, which it can once it accepts no connections and has none left.
    pub fn end_predecessor(&mut self) -> Option<()> {
        let predecessor = self.predecessor?;
        if predecessor.accepts() || self.client == Client::AtPredecessor || self.loss_unnoticed {
            return None;
        }
        self.predecessor = None;
        if self.client == Client::Queued && !self.holds_listener {
            self.client = Client::Lost;
        }
        Some(())
    }

    pub fn predecessor_accepts(&self) -> bool {
        self.predecessor
            .is_some_and(|predecessor| predecessor.accepts())
    }

    pub fn successor_has_listener(&self) -> bool {
        self.holds_listener || self.bound_listener
    }

    pub fn successor_accepts(&self) -> bool {
        let accepts = self.successor.is_some_and(|successor| successor.accepts());
        accepts && self.successor_has_listener()
    }

    /// Whether some process accepts or will accept a queued client, once all messages are read.
    pub fn queued_client_can_be_accepted(&self) -> bool {
        let is_settled =
            self.to_predecessor.is_empty() && self.to_successor.is_empty() && !self.loss_unnoticed;
        // A successor with the socket becomes ready, or dies and the predecessor notices it.
        let successor_can_accept = self.successor.is_some() && self.successor_has_listener();
        !is_settled
            || self.client != Client::Queued
            || self.predecessor_accepts()
            || successor_can_accept
            || self.terminated
            || self.predecessor.is_none()
    }

    pub fn some_process_accepts(&self) -> bool {
        let has_ended = self.terminated
            && self
                .predecessor
                .is_none_or(|predecessor| !predecessor.shares_listeners());
        self.predecessor_accepts() || self.successor_accepts() || has_ended || self.loss_unnoticed
    }

    pub fn predecessor_serves_after_loss(&self) -> bool {
        self.successors == 1
            && self.successor.is_none()
            && !self.loss_unnoticed
            && self.predecessor_accepts()
    }
}
