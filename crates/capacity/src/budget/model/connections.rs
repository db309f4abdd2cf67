//! Connections between nodes and servers, for the tables of roles and the ranking.

use super::costs::Costs;
use super::{node_request_rate, request_rate};
use crate::scale::report::Size;

/// Requests per second to one server at which a node usually finds an open connection.
const WARM_REQUEST_RATE: f64 = 2.0;

/// Requests per second from one node to one server if requests are spread evenly.
pub fn request_rate_to_server(size: &Size) -> f64 {
    node_request_rate(size) / size.servers as f64
}

/// Requests per second at one server, from all nodes.
pub fn server_request_rate(size: &Size) -> f64 {
    request_rate(size) / size.servers as f64
}

/// Fraction of the time for which an idle connection between a node and a server can be reused, with requests that arrive as a
/// Poisson process.
pub fn idle_ratio(costs: &Costs, size: &Size) -> f64 {
    1.0 - (-request_rate_to_server(size) * costs.idle_timeout).exp()
}

/// Fraction of requests that find no idle connection and have to dial.
pub fn dial_ratio(costs: &Costs, size: &Size) -> f64 {
    1.0 - idle_ratio(costs, size)
}

/// Number of servers to which a node can send [`WARM_REQUEST_RATE`] each, given its request rate.
pub fn servers_at_warm_rate(size: &Size) -> f64 {
    node_request_rate(size) / WARM_REQUEST_RATE
}
