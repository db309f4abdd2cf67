//! What came of a run.

use crate::digest::CommandDigest;
use crate::rules::Rules;
use reelfall_balancer::interface::Time;

/// Counts of one second, by all nodes together.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Worth asked for first in this second, and the part of it that was answered within its aim.
    pub asked: f64,
    /// See `asked`.
    pub earned: f64,
    /// First tries, and all tries that came to nodes.
    pub first: u32,
    /// See `first`.
    pub tries: u32,
    /// Attempts sent, and those after the first of their request.
    pub sends: u32,
    /// See `sends`.
    pub repeats: u32,
    /// Connections dialled, and those that did not come up.
    pub dials: u32,
    /// See `dials`.
    pub undialled: u32,
    /// Attempts that nobody answered in time.
    pub expired: u32,
    /// Attempts that a full waiting room turned away.
    pub shed: u32,
    /// Tries that were served past their aim.
    pub late: u32,
    /// Requests refused, and failed.
    pub refused: u32,
    /// See `refused`.
    pub failed: u32,
    /// Attempts sent to servers that answer nothing, whatever the reason.
    pub to_dead: u32,
    /// Work sent to servers that had a third of a second of it queued.
    pub past: f64,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By second from the start.
    pub seconds: Vec<Second>,
    /// The rules.
    pub rules: Rules,
    /// Of all commands that nodes have given.
    pub commands: CommandDigest,
}

impl Report {
    /// The second in which something happens; one past the end counts for the last.
    pub fn at(&mut self, since: Time) -> &mut Second {
        let n = since.max(0.0) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    /// Sum of a count over the run.
    pub fn sum(&self, of: impl Fn(&Second) -> u32) -> u32 {
        self.seconds.iter().map(of).sum()
    }

    /// Share of the worth that was earned.
    pub fn whole(&self) -> f64 {
        share(&self.seconds)
    }

    /// The same in the worst stretch of so many seconds.
    pub fn worst(&self, seconds: usize) -> f64 {
        self.seconds
            .windows(seconds.max(1))
            .filter(|w| w.iter().all(|s| s.first > 0))
            .map(share)
            .fold(1.0, f64::min)
    }

    /// New connections for each first try.
    pub fn handshakes(&self) -> f64 {
        f64::from(self.sum(|s| s.dials)) / f64::from(self.sum(|s| s.first).max(1))
    }

    /// Repeats by nodes for each first try.
    pub fn repeats(&self) -> f64 {
        f64::from(self.sum(|s| s.repeats)) / f64::from(self.sum(|s| s.first).max(1))
    }

    /// Work sent to servers that had a long queue, in seconds on a standard core.
    pub fn past(&self) -> f64 {
        self.seconds.iter().map(|s| s.past).sum()
    }
}

fn share(seconds: &[Second]) -> f64 {
    let (earned, asked) = seconds
        .iter()
        .fold((0.0, 0.0), |(e, a), s| (e + s.earned, a + s.asked));
    if asked > 0.0 {
        earned / asked
    } else {
        1.0
    }
}
