//! Measurements of CPU time, latency and memory of a node. The subjects of a measurement run in turn on one machine, several
//! rounds each; the result is the ratio of two subjects within a round. Run by the command `measure`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `services` | requests against a bare relay, rejections, route lookups, idle services |
//! | `graphql` | GraphQL requests against plain ones, classification, open batches |
//! | `membership` | a node that follows a registry |
//! | `fleet` | a node that is part of a fleet |
//! | `subject` | a process under load and its rounds |
//! | `statistics` | medians and rounding |
//! | `error` | errors of measurements |

mod error;
pub mod fleet;
pub mod graphql;
pub mod membership;
pub mod services;
mod statistics;
mod subject;

use statistics::{median, median_ratio, round_to_tenth};
use subject::{measure_rounds, Subject, SubjectProcess};

use crate::node::Program;
use std::time::Duration;

/// The number of rounds, and the load of each.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of rounds; each one measures every subject once.
    pub rounds: usize,
    /// How long one subject is under load in a round.
    pub round_duration: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Another build of the node to compare with.
    pub baseline: Option<Program>,
}
