//! Forwards requests from one site to another, without I/O: times are arguments, and actions are return values.
//!
//! | module | content |
//! | --- | --- |
//! | [`ticket`] | the identity of a forwarded request, and its status |
//! | [`forwarded`] | a forwarded request at its origin |
//! | [`store`] | the records of forwarded requests at the peer |
//!
//! The origin offers a request under a ticket, once. While the link works, the peer's response is the response. If the
//! link fails with the request in flight, the origin can't know whether the peer received it; then it queries the status
//! of the ticket over another connection, and the query itself settles it: a ticket that was never executed is *fenced*,
//! and a copy that arrives later is rejected. So "never ran" stays true, and only then may the origin run the request
//! itself or reject it.
//!
//! | the origin has received | the request | the origin may |
//! | --- | --- | --- |
//! | the response | ran | return it |
//! | never ran | never ran, and never will: it is fenced | run it itself, or reject it |
//! | in progress | may run | query again, or wait for the response |
//! | failed, unknown, another incarnation of the peer, nothing by the deadline | may have run | fail it; never run it again |
//!
//! The link itself, its flow control and the decision to forward are not part of this package, and no node uses it yet.

pub mod forwarded;
pub mod store;
pub mod ticket;

/// Milliseconds on the local clock. Only differences matter; times of two sites are never compared.
pub type Millis = u64;
