//! Tickets, which identify requests that one site forwards to another, and their status as the peer reports it.

/// One incarnation of a node at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OriginId {
    /// The node, by an id that both sites agree on.
    pub node: u32,
    /// The incarnation, which increases with each start of the node.
    pub incarnation: u64,
}

/// The identity of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The incarnation of the node that forwarded it.
    pub origin: OriginId,
    /// The sequence number of the request; each is offered once.
    pub number: u64,
}

/// The status of a ticket at the peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TicketStatus<A> {
    /// The request never ran, and never will.
    NeverRan,
    /// It is being executed.
    InProgress,
    /// It has ended with this response.
    Completed(A),
    /// It may have run, and has ended without a response.
    Failed,
    /// Its record was removed, or it was offered to another incarnation of the peer.
    Unknown,
}
