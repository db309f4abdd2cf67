//! Budgets for control traffic and processing. All tables compare their amounts with these.

/// Processor time for control at one node, in processor seconds per second.
pub const NODE_CORES: f64 = 0.012;
/// Memory for control at one node, in bytes.
pub const NODE_MEMORY_BYTES: f64 = 32e6;
/// Control traffic of one node, in and out, in bytes per second.
pub const NODE_TRAFFIC: f64 = 8e3;
/// Time from a change until it is in force at all nodes, in seconds.
pub const IN_FORCE_SECONDS: f64 = 15.0;
/// Latency that control adds to a request at the 99th percentile, in seconds.
pub const ADDED_LATENCY_SECONDS: f64 = 1.7e-3;
