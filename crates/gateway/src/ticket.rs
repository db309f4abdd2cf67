//! Tickets, which identify requests that one site forwards to another, and the status that the peer reports for them.

/// One incarnation of a node at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OriginId {
    /// The id of the node, on which both sites agree.
    pub node: u32,
    /// The incarnation, which increases with each start of the node.
    pub incarnation: u64,
}

/// The identity of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The incarnation of the node that forwarded it.
    pub origin: OriginId,
    /// The sequence number of the request at its origin. Each is offered once.
    pub number: u64,
}

/// The status of a ticket at the peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TicketStatus<A> {
    /// The request never ran, and never will.
    NeverRan,
    /// The request is being executed.
    InProgress,
    /// The request has ended with this response.
    Completed(A),
    /// The request may have run, and has ended without a response.
    Failed,
    /// The peer can't know: the record was removed, or the request was offered to another incarnation of the peer.
    Unknown,
}
