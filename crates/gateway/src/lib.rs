//! Forwards requests from one site to another. It does no I/O: times are arguments, and actions are return values.
//!
//! | module | content |
//! | --- | --- |
//! | [`ticket`] | the identity of a forwarded request, and its status |
//! | [`forwarded`] | a forwarded request at its origin |
//! | [`store`] | the records of forwarded requests at the peer |
//!
//! The *origin* is the site that forwards a request, and the *peer* the site that receives it. The origin offers a
//! request once, under a ticket. While the link works, the origin returns the peer's response. If the link fails with
//! the request in flight, the origin can't know whether the peer received it. It then queries the status of the ticket
//! over another connection. The query settles the status: a ticket that was never executed is *fenced*, so that a copy
//! of the request that arrives later is rejected. So the status "never ran" stays true, and only with this status may
//! the origin run the request itself or reject it.
//!
//! | the origin has received | the request | the origin may |
//! | --- | --- | --- |
//! | the response | ran | return it |
//! | never ran | never ran, and never will: it is fenced | run it itself, or reject it |
//! | in progress | may run | query again, or wait for the response |
//! | failed, unknown, a status from another incarnation of the peer, or nothing by the deadline | may have run | fail it; never run it again |
//!
//! The link, its flow control and the decision to forward are not part of this package. No node uses the package yet.

pub mod forwarded;
pub mod store;
pub mod ticket;

/// Milliseconds on the local clock of a site. Only differences matter; times of two sites are never compared.
pub type Millis = u64;
