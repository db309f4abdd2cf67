//! Rules that nodes must not violate, and the violations found in a run.

use reelfall_balancer::interface::Time;
use std::fmt;

/// Maximum number of violations that are recorded.
const MAX_VIOLATIONS: usize = 100;

/// A rule, named by how it is violated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// A request had no final answer by its deadline although its node was up.
    Unanswered,
    /// A request had a second final answer.
    AnsweredTwice,
    /// An attempt was sent for a request that was already answered.
    SentAfterAnswer,
    /// A request that must be executed at most once was executed twice, or was rejected after an execution.
    RepeatedEffect,
    /// A new attempt was sent to a draining or removed server after the drain grace period.
    SentToRemoved,
    /// A server in slow start was overloaded by nodes that knew when it had started.
    OverloadedDuringSlowStart,
}

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The time in the run, in seconds.
    pub at: Time,
    /// The rule that was violated.
    pub rule: Rule,
    /// The number of the request or server concerned.
    pub subject: usize,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:.3} s: {:?} ({})", self.at, self.rule, self.subject)
    }
}

/// The violations found in a run.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// The first violations, in the order in which they were found.
    pub list: Vec<Violation>,
    /// The maximum load of a server in slow start, as a multiple of its capacity, counted only while most of its work came
    /// from nodes that knew when it had started.
    pub max_slow_start_load: f64,
}

impl Violations {
    /// Records a violation, unless the list is full.
    pub fn record(&mut self, at: Time, rule: Rule, subject: usize) {
        if self.list.len() < MAX_VIOLATIONS {
            self.list.push(Violation { at, rule, subject });
        }
    }

    /// Whether there was no violation.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
