//! What passes between two sites, without I/O: times are arguments, and what is to be done comes back.
//!
//! | module | does |
//! | --- | --- |
//! | [`ticket`] | the fate of one request that was passed on, at both ends: it runs once at most, and whoever refuses it knows that it never ran |
//!
//! Nothing here is sent yet: the link, its credits and the decision to pass on come beside it.

pub mod ticket;

/// Milliseconds on the clock of whoever is asked; only differences matter, and those of two sites are never compared.
pub type Millis = u64;
