//! Leases, one for each service and zone, and their keepers, for the tables of roles and the ranking.

use super::costs::Costs;
use super::ZONES;
use crate::scale::report::Size;

/// Renewals within the duration of a lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// Number of lease names: one for each service and zone.
pub fn names(size: &Size) -> f64 {
    size.services as f64 * ZONES
}

/// Renewals per second at one keeper.
pub fn renewal_rate(costs: &Costs, size: &Size) -> f64 {
    names(size) * RENEWALS_PER_LEASE / costs.lease_length
}

/// Renewal traffic of one keeper, in and out, in bytes per second.
pub fn keeper_traffic(costs: &Costs, size: &Size) -> f64 {
    renewal_rate(costs, size) * (costs.lease_request_bytes + costs.lease_response_bytes)
}

/// Processor time at one keeper, which scans all names after each message.
pub fn keeper_scan_cores(costs: &Costs, size: &Size) -> f64 {
    renewal_rate(costs, size) * names(size) * costs.lease_scan_seconds
}

/// Size of a keeper's image with all names, in bytes.
pub fn image_bytes(costs: &Costs, size: &Size) -> f64 {
    names(size) * costs.lease_state_bytes
}

/// Traffic, in and out, in bytes per second, of a node that requests the lease of each service in its zone and holds none: it
/// sends a request to every keeper once per lease duration.
pub fn requester_traffic(costs: &Costs, size: &Size) -> f64 {
    let request_rate = size.services as f64 * costs.keepers / costs.lease_length;
    request_rate * (costs.lease_request_bytes + costs.lease_response_bytes)
}
