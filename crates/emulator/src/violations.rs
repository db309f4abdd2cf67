//! The rules that no node may break, watched during a run.

use reelfall_balancer::interface::Time;
use std::fmt;

/// Maximum number of violations that are recorded.
const MAX_VIOLATIONS: usize = 100;

/// How a rule was broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// A request had no final answer by its deadline, though its node was up.
    Unanswered,
    /// A request had a second final answer.
    AnsweredTwice,
    /// An attempt was sent for a request that had its answer.
    SentAfterAnswer,
    /// A request that must not run twice did, or was rejected after it had run.
    RepeatedEffect,
    /// A new attempt was sent to a server after the grace for draining and removed servers.
    SentToRemoved,
    /// A server in its slow start was overloaded by nodes that knew of its start.
    OverloadedDuringSlowStart,
}

/// One broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When, in seconds.
    pub at: Time,
    /// How.
    pub rule: Rule,
    /// The request or the server.
    pub subject: usize,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:.3} s: {:?} ({})", self.at, self.rule, self.subject)
    }
}

/// The rules that were broken in a run.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// The first ones, in their order.
    pub list: Vec<Violation>,
    /// The greatest load of a server in its slow start, as a multiple of its capacity.
    pub max_slow_start_load: f64,
}

impl Violations {
    /// Records a broken rule.
    pub fn record(&mut self, at: Time, rule: Rule, subject: usize) {
        if self.list.len() < MAX_VIOLATIONS {
            self.list.push(Violation { at, rule, subject });
        }
    }

    /// Whether no rule was broken.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
