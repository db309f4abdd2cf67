//! What control may spend. Every table holds its amounts against these.

/// Control at one node, in processor seconds a second.
pub const NODE_CORES: f64 = 0.012;
/// Control at one node, in bytes.
pub const NODE_MEMORY_BYTES: f64 = 32e6;
/// Control at one node, in and out, in bytes a second.
pub const NODE_TRAFFIC: f64 = 8e3;
/// From a change until it is in force at all nodes, in seconds.
pub const IN_FORCE_SECONDS: f64 = 15.0;
/// Added to a request at the 99th percentile, in seconds.
pub const ADDED_LATENCY_SECONDS: f64 = 1.7e-3;
