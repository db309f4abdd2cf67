//! Tickets of requests that one site forwards to another, and what the peer reports of them.

/// One incarnation of a node at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OriginId {
    /// Which node of which site, as both ends number them.
    pub node: u32,
    /// Its incarnation; it grows with each start of the node.
    pub incarnation: u64,
}

/// The identity of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Who forwarded it.
    pub origin: OriginId,
    /// The number of the request; each is offered once.
    pub number: u64,
}

/// What the peer reports of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TicketStatus<A> {
    /// The request never ran, and never will.
    NeverRan,
    /// It is under way.
    InProgress,
    /// It has ended with this answer.
    Completed(A),
    /// It may have run, and has ended without an answer.
    Failed,
    /// Nothing is known of it any more, or it was offered to another incarnation of this node.
    Unknown,
}
