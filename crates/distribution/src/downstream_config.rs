//! How a relay or an author serves its children: limits, budgets and timeouts.

use crate::token_bucket::Budget;
use crate::Time;

/// How children are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DownstreamConfig {
    /// Most children at once; more are told to go elsewhere.
    pub max_children: usize,
    /// What is sent to a child that is a node.
    pub node_budget: Budget,
    /// What is sent to a child that is a relay or an author.
    pub relay_budget: Budget,
    /// A child hears something at least so often, in seconds.
    pub keepalive_interval: Time,
    /// A child that was not heard for so long is forgotten, in seconds.
    pub silence_timeout: Time,
    /// New sessions a second; more are told to come back later.
    pub sessions_per_second: f64,
    /// A child that is sent away comes back after so long at least and after twice as long at most, in seconds.
    pub min_retry_after: Time,
    /// How many times a child's own budget it may send before it is sent away.
    pub receive_budget_factor: f64,
}

impl Default for DownstreamConfig {
    fn default() -> DownstreamConfig {
        DownstreamConfig {
            max_children: 1024,
            node_budget: Budget::DOWN,
            relay_budget: Budget::CONTROL,
            keepalive_interval: 2.0,
            silence_timeout: 20.0,
            sessions_per_second: 100.0,
            min_retry_after: 2.0,
            receive_budget_factor: 4.0,
        }
    }
}
