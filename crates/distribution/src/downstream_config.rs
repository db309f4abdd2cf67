//! How a relay or a publisher serves its children: limits, budgets and timeouts.

use crate::token_bucket::Budget;
use crate::Time;

/// Configuration of the sessions with children.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DownstreamConfig {
    /// Maximum number of children; further sessions are rejected.
    pub max_children: usize,
    /// Send budget for a node.
    pub node_budget: Budget,
    /// Send budget for a relay or a publisher.
    pub relay_budget: Budget,
    /// Longest time between two frames to a child, in seconds.
    pub keepalive_interval: Time,
    /// Seconds without a frame after which a child's session ends.
    pub silence_timeout: Time,
    /// Maximum rate of new sessions per second; further ones are rejected.
    pub sessions_per_second: f64,
    /// A rejected child retries after this many seconds at least, and twice as many at most.
    pub min_retry_after: Time,
    /// A child whose frames exceed this multiple of its own budget loses its session.
    pub receive_budget_factor: f64,
}

impl Default for DownstreamConfig {
    fn default() -> DownstreamConfig {
        DownstreamConfig {
            max_children: 1024,
            node_budget: Budget::NODE_DOWNLINK,
            relay_budget: Budget::CONTROL,
            keepalive_interval: 2.0,
            silence_timeout: 20.0,
            sessions_per_second: 100.0,
            min_retry_after: 2.0,
            receive_budget_factor: 4.0,
        }
    }
}
