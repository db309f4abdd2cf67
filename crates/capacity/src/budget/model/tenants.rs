//! Tenants and their quotas across nodes, for the table of alternatives.

use super::{node_request_rate, program_limits};
use crate::scale::report::Size;

/// Fraction of requests whose tenant sent none to the node within the preceding `window` seconds, if all tenants send at the same
/// rate.
pub fn uncached_request_ratio(size: &Size, window: f64) -> f64 {
    (-node_request_rate(size) * window / size.tenants as f64).exp()
}

/// Upper bound on the tenants that send to one node within `window` seconds.
pub fn active_tenants(size: &Size, window: f64) -> f64 {
    (node_request_rate(size) * window).min(size.tenants as f64)
}

/// Requests that a tenant may send at once beyond its quota, through all nodes together.
pub fn over_quota_burst(size: &Size) -> f64 {
    program_limits::TENANT_BURST * size.nodes as f64
}
