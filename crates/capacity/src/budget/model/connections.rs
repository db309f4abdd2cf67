//! Connections between nodes and servers. The tables of roles and the ranking call it.

use super::costs::Costs;
use super::{node_request_rate, request_rate};
use crate::scale::report::Size;

/// Requests a second to one server at which a node finds a warm connection.
const WARM_REQUEST_RATE: f64 = 2.0;

/// Requests a second from one node to one server, evenly spread.
pub fn request_rate_to_server(size: &Size) -> f64 {
    node_request_rate(size) / size.servers as f64
}

/// Requests a second at one server, from all nodes.
pub fn server_request_rate(size: &Size) -> f64 {
    request_rate(size) / size.servers as f64
}

/// Share of the time for which a connection between a node and a server is idle and can be reused; requests arrive at random
/// moments.
pub fn idle_ratio(costs: &Costs, size: &Size) -> f64 {
    1.0 - (-request_rate_to_server(size) * costs.idle_timeout).exp()
}

/// Share of requests that find no idle connection.
pub fn dial_ratio(costs: &Costs, size: &Size) -> f64 {
    1.0 - idle_ratio(costs, size)
}

/// Servers to which a node could send [`WARM_REQUEST_RATE`] each, of all that it sends.
pub fn servers_at_warm_rate(size: &Size) -> f64 {
    node_request_rate(size) / WARM_REQUEST_RATE
}
