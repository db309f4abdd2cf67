//! Tenants and their quotas across nodes. The table of alternatives calls it.

use super::{node_request_rate, program_limits};
use crate::scale::report::Size;

/// Share of requests whose tenant sent none within this window of seconds, if all tenants send alike.
pub fn uncached_request_ratio(size: &Size, window: f64) -> f64 {
    (-node_request_rate(size) * window / size.tenants as f64).exp()
}

/// Tenants that send to one node within this window of seconds, at most.
pub fn active_tenants(size: &Size, window: f64) -> f64 {
    (node_request_rate(size) * window).min(size.tenants as f64)
}

/// Requests that a tenant may send at once beyond its quota, through all nodes together.
pub fn over_quota_burst(size: &Size) -> f64 {
    program_limits::TENANT_BURST * size.nodes as f64
}
