//! Distribution of configuration from authors over relays to nodes.
//!
//! No I/O: frames, moments and chance are arguments; what is to be sent, stored or applied comes back as values.

/// Seconds on one process's own monotonic clock; only differences matter.
pub type Time = f64;
