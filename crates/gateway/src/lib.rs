//! The link between two sites, without I/O: times are arguments, and what is to be done is returned.
//!
//! | module | does |
//! | --- | --- |
//! | [`ticket`] | the identity of a forwarded request, and its status |
//! | [`forwarded`] | a forwarded request at its origin |
//! | [`store`] | the records of forwarded requests at the peer |
//!
//! The origin offers a request under a ticket, once. While the link works, the peer's answer is the answer. If the link fails
//! with the request on it, nobody knows whether the peer has it; then the origin queries the status of the ticket over
//! another connection, and the query itself settles it: a ticket that was never executed is *fenced*, and a copy that
//! arrives later is rejected. So "never ran" stays true, and only then may the origin run the request itself or refuse it.
//!
//! | the origin has received | the request | the origin may |
//! | --- | --- | --- |
//! | the answer | ran | return it |
//! | never ran | never ran, and never will: it is fenced | run it itself, or refuse it |
//! | in progress | may run | query again, or wait for the answer |
//! | failed, unknown, another incarnation of the peer, nothing by the deadline | may have run | fail it; never run it again |
//!
//! Nothing here is sent yet: the link, its credits and the decision to forward come beside it.

pub mod forwarded;
pub mod store;
pub mod ticket;

/// Milliseconds on the local clock; only differences matter, and those of two sites are never compared.
pub type Millis = u64;
