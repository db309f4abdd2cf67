//! The events of a history, and their text form.

use std::fmt;
use std::time::Duration;

/// Something that happened to a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process of a node is started.
    ProcessStarted {
        /// The node.
        node: usize,
    },
    /// The process of a node is killed.
    Killed {
        /// The node.
        node: usize,
    },
    /// The process of a node is asked to terminate.
    TerminationRequested {
        /// The node.
        node: usize,
    },
    /// The process of a node has exited.
    Exited {
        /// The node.
        node: usize,
    },
    /// The process of a node is paused.
    Paused {
        /// The node.
        node: usize,
    },
    /// The process of a node is resumed.
    Resumed {
        /// The node.
        node: usize,
    },
    /// A node wrote a line to its log. No invariant depends on it.
    Logged {
        /// The node.
        node: usize,
        /// The line.
        line: String,
    },
    /// A client sends a request.
    RequestSent {
        /// The node that it is sent to.
        node: usize,
        /// The request's id.
        id: String,
        /// The request must run at most once.
        at_most_once: bool,
    },
    /// A client has received the response, or its connection broke.
    ResponseReceived {
        /// The node that the request was sent to.
        node: usize,
        /// The request's id.
        id: String,
        /// The status; `None` for a connection that broke.
        status: Option<u16>,
    },
    /// The connection of a request broke before its response was complete.
    RequestFailed {
        /// The node that the request was sent to.
        node: usize,
        /// The request's id.
        id: String,
        /// The client's error, and how the connection was used before.
        error: String,
    },
    /// A server receives an attempt at a request.
    AttemptReceived {
        /// The server.
        server: usize,
        /// The request's id.
        id: String,
    },
    /// A server has executed a request.
    Executed {
        /// The server.
        server: usize,
        /// The request's id.
        id: String,
    },
    /// A node has accepted an operator's ban of a server.
    Banned {
        /// The node that accepted it.
        node: usize,
        /// The server.
        server: usize,
        /// Its time to live; `None` for the longest.
        seconds: Option<u32>,
    },
    /// An operator asks a node to lift the ban of a server.
    BanLifted {
        /// The node.
        node: usize,
        /// The server.
        server: usize,
    },
    /// The holder of a lease wrote to the resource that the lease protects.
    LeaseWrite {
        /// The lease.
        lease: String,
        /// The fencing token.
        token: u64,
        /// Name of the holder.
        holder: String,
        /// The resource has admitted the token.
        admitted: bool,
    },
    /// A step of a schedule, as its line.
    ScheduleStep(String),
}

/// Formats the event for files and reports, with the names of that format.
impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::ProcessStarted { node }
            | Event::Killed { node }
            | Event::TerminationRequested { node }
            | Event::Exited { node }
            | Event::Paused { node }
            | Event::Resumed { node } => formatter
                .debug_struct(self.format_name())
                .field("node", node)
                .finish(),
            Event::Logged { node, line } => formatter
                .debug_struct(self.format_name())
                .field("node", node)
                .field("line", line)
                .finish(),
            Event::RequestSent {
                node,
                id,
                at_most_once,
            } => formatter
                .debug_struct(self.format_name())
                .field("node", node)
                .field("id", id)
                .field("risky", at_most_once)
                .finish(),
            Event::ResponseReceived { node, id, status } => formatter
                .debug_struct(self.format_name())
                .field("node", node)
                .field("id", id)
                .field("status", status)
                .finish(),
            Event::RequestFailed { node, id, error } => formatter
                .debug_struct(self.format_name())
                .field("node", node)
                .field("id", id)
                .field("error", error)
                .finish(),
            Event::AttemptReceived { server, id } | Event::Executed { server, id } => formatter
                .debug_struct(self.format_name())
                .field("server", server)
                .field("id", id)
                .finish(),
            Event::Banned { .. } | Event::BanLifted { .. } => self.fmt_ban(formatter),
            Event::LeaseWrite { .. } => self.fmt_lease_write(formatter),
            Event::ScheduleStep(line) => formatter
                .debug_tuple(self.format_name())
                .field(line)
                .finish(),
        }
    }
}

impl Event {
    /// The name of the event in files and reports.
    fn format_name(&self) -> &'static str {
        match self {
            Event::ProcessStarted { .. } => "Began",
            Event::Killed { .. } => "Killed",
            Event::TerminationRequested { .. } => "Told",
            Event::Exited { .. } => "Ended",
            Event::Paused { .. } => "Froze",
            Event::Resumed { .. } => "Thawed",
            Event::Logged { .. } => "Said",
            Event::RequestSent { .. } => "Asked",
            Event::ResponseReceived { .. } => "Answered",
            Event::RequestFailed { .. } => "Broke",
            Event::AttemptReceived { .. } => "Attempt",
            Event::Executed { .. } => "Effect",
            Event::Banned { .. } => "Banned",
            Event::BanLifted { .. } => "Lifted",
            Event::LeaseWrite { .. } => "Acted",
            Event::ScheduleStep(_) => "Fault",
        }
    }

    fn fmt_ban(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct(self.format_name());
        if let Event::Banned { node, server, .. } | Event::BanLifted { node, server } = self {
            fields.field("node", node).field("server", server);
        }
        if let Event::Banned { seconds, .. } = self {
            fields.field("seconds", seconds);
        }
        fields.finish()
    }

    fn fmt_lease_write(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct(self.format_name());
        if let Event::LeaseWrite {
            lease,
            token,
            holder,
            admitted,
        } = self
        {
            fields
                .field("lease", lease)
                .field("token", token)
                .field("by", holder)
                .field("let_by", admitted);
        }
        fields.finish()
    }

    /// The id of the request that the event concerns, if it concerns one.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Event::RequestSent { id, .. }
            | Event::ResponseReceived { id, .. }
            | Event::RequestFailed { id, .. }
            | Event::AttemptReceived { id, .. }
            | Event::Executed { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Whether the event belongs to the usual course of a request, as most events do.
    pub(super) fn is_request_traffic(&self) -> bool {
        self.request_id().is_some() && !matches!(self, Event::RequestFailed { .. })
    }
}

/// An event of the history, with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Since the start of the history.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}
