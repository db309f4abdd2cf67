//! The messages between the origin and the peer.

use reelfall_gateway::ticket::TicketStatus;

/// A message in flight. Each can be lost, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The origin offers a request to an incarnation of the peer.
    Offer { number: u64, offered_to: u64 },
    /// The origin queries the status of a ticket that it offered to an incarnation of the peer.
    Query { number: u64, offered_to: u64 },
    /// An incarnation of the peer reports the status of a ticket.
    Status {
        number: u64,
        reported_by: u64,
        status: ReportedStatus,
    },
}

/// A status as the peer reports it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReportedStatus {
    NeverRan,
    InProgress,
    Completed,
    Failed,
    Unknown,
}

impl From<&TicketStatus<()>> for ReportedStatus {
    fn from(status: &TicketStatus<()>) -> ReportedStatus {
        match status {
            TicketStatus::NeverRan => ReportedStatus::NeverRan,
            TicketStatus::InProgress => ReportedStatus::InProgress,
            TicketStatus::Completed(()) => ReportedStatus::Completed,
            TicketStatus::Failed => ReportedStatus::Failed,
            TicketStatus::Unknown => ReportedStatus::Unknown,
        }
    }
}

impl From<&ReportedStatus> for TicketStatus<()> {
    fn from(status: &ReportedStatus) -> TicketStatus<()> {
        match status {
            ReportedStatus::NeverRan => TicketStatus::NeverRan,
            ReportedStatus::InProgress => TicketStatus::InProgress,
            ReportedStatus::Completed => TicketStatus::Completed(()),
            ReportedStatus::Failed => TicketStatus::Failed,
            ReportedStatus::Unknown => TicketStatus::Unknown,
        }
    }
}
