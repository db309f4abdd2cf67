//! The result of a run: counts per second, violations, and the digest of all commands.

use crate::digest::CommandDigest;
use crate::violations::Violations;
use reelfall_balancer::interface::Time;

/// Totals of one second over all nodes.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Priority weight of the requests that clients first sent in this second.
    pub offered_weight: f64,
    /// The part of [`Second::offered_weight`] whose requests were served within their latency objective.
    pub earned_weight: f64,
    /// New requests of clients.
    pub requests: u32,
    /// Requests of clients, including their retries.
    pub client_attempts: u32,
    /// Attempts that nodes sent.
    pub attempts: u32,
    /// Attempts that were retries by nodes.
    pub retries: u32,
    /// Connections that nodes opened.
    pub connections: u32,
    /// Connections that could not be established.
    pub failed_connections: u32,
    /// Attempts that timed out.
    pub timed_out: u32,
    /// Attempts that a server with a full queue rejected.
    pub rejected_by_servers: u32,
    /// Requests that were served later than their latency objective.
    pub late: u32,
    /// Requests that nodes rejected.
    pub rejected: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Attempts sent to servers that are partitioned, not running or unresponsive.
    pub to_unresponsive: u32,
    /// Work sent to servers with a long queue, in seconds on a standard core.
    pub work_to_long_queues: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Totals by second since the start.
    pub seconds: Vec<Second>,
    /// Violations of rules.
    pub violations: Violations,
    /// Digest of all commands of nodes.
    pub commands: CommandDigest,
}

impl Report {
    /// The totals of the second that contains this time since the start.
    pub fn second_at(&mut self, since_start: Time) -> &mut Second {
        let index = since_start.max(0.0) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    /// The sum of a count over the run.
    pub fn sum(&self, count: impl Fn(&Second) -> u32) -> u32 {
        self.seconds.iter().map(count).sum()
    }

    /// Fraction of the offered priority weight that was earned.
    pub fn earned_fraction(&self) -> f64 {
        earned_fraction(&self.seconds)
    }

    /// The earned fraction in the worst window of this many seconds.
    pub fn worst_earned_fraction(&self, seconds: usize) -> f64 {
        let windows = self.seconds.windows(seconds.max(1));
        let full = windows.filter(|window| window.iter().all(|second| second.requests > 0));
        full.map(earned_fraction).fold(1.0, f64::min)
    }

    /// New connections per request.
    pub fn connections_per_request(&self) -> f64 {
        self.per_request(|second| second.connections)
    }

    /// Retries by nodes per request.
    pub fn retries_per_request(&self) -> f64 {
        self.per_request(|second| second.retries)
    }

    fn per_request(&self, count: impl Fn(&Second) -> u32) -> f64 {
        f64::from(self.sum(count)) / f64::from(self.sum(|second| second.requests).max(1))
    }

    /// Work sent to servers with a long queue, in seconds on a standard core.
    pub fn work_to_long_queues(&self) -> f64 {
        self.seconds
            .iter()
            .map(|second| second.work_to_long_queues)
            .sum()
    }
}

fn earned_fraction(seconds: &[Second]) -> f64 {
    let mut earned = 0.0;
    let mut offered = 0.0;
    for second in seconds {
        earned += second.earned_weight;
        offered += second.offered_weight;
    }
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}
