//! Processor time, latency and memory of a node. All subjects of a measurement run in turn on one machine, several rounds
//! each; what counts is the ratio of two subjects within a round. Run by the command `measure`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `services` | requests against a bare relay, rejections, route lookups, idle services |
//! | `graphql` | GraphQL requests against plain ones, classification, open batches |
//! | `membership` | a node that follows a registry |
//! | `fleet` | a node that is part of a fleet |
//! | `subject` | a process under load and its rounds |
//! | `statistics` | medians and rounding |
//! | `error` | why a measurement has no result |

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

/// How many rounds, and the load of each.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rounds of all subjects.
    pub rounds: usize,
    /// How long one subject is under load in a round.
    pub round_duration: Duration,
    /// Requests per second.
    pub rate: f64,
    /// A node to compare with, started by the platform's settings.
    pub baseline: Option<Program>,
}
