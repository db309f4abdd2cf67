//! What must never be, whatever happens: looked at after each step of a process.

use super::{Machine, Process, REJECTED_BY_ODD_NODES};
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Name, Selector, Version};
use reelfall_distribution::token_bucket::TRANSPORT_OVERHEAD_BYTES;
use reelfall_distribution::Time;
use std::collections::{BTreeMap, VecDeque};

/// What passes between a relay and a node over any [`WINDOW`], in bytes.
pub const BUDGET: usize = 80_000;
/// See [`BUDGET`], in seconds.
pub const WINDOW: Time = 10.0;
/// Nodes have numbers from this one on.
pub const FIRST_NODE: u32 = 100;

type ProcessRun = (PeerId, u64);

/// What passed between two processes of late.
#[derive(Default)]
struct Window {
    frames: VecDeque<(Time, usize)>,
    sum: usize,
}

impl Window {
    /// Adds a frame; gives back what passed within [`WINDOW`].
    fn add(&mut self, t: Time, bytes: usize) -> usize {
        self.frames.push_back((t, bytes));
        self.sum += bytes;
        while self.frames.front().is_some_and(|(at, _)| *at <= t - WINDOW) {
            self.sum -= self.frames.pop_front().map_or(0, |(_, bytes)| bytes);
        }
        self.sum
    }
}

#[derive(Default)]
pub struct InvariantChecker {
    applied: BTreeMap<(PeerId, Name), Version>,
    windows: BTreeMap<(ProcessRun, ProcessRun), Window>,
    /// What the author with the lease has published, and when.
    published: Vec<(Time, Version)>,
    pub violations: Vec<String>,
    pub events: Vec<(Time, PeerId, Event)>,
    /// The most that passed between a relay and a node over any window.
    pub max_window_bytes: usize,
}

impl InvariantChecker {
    pub fn published(&mut self, t: Time, version: Version) {
        self.published.push((t, version));
    }

    /// A node has ended a subscription: it keeps nothing of it, the versions neither.
    pub fn unsubscribed(&mut self, node: PeerId, selector: &Selector) {
        self.applied
            .retain(|(id, name), _| *id != node || !selector.matches(&name.group));
    }

    pub fn event(&mut self, t: Time, id: PeerId, event: Event) {
        self.events.push((t, id, event));
    }

    /// A frame was sent.
    pub fn sent(&mut self, t: Time, from: ProcessRun, to: ProcessRun, bytes: usize) {
        if from.0 .0 < FIRST_NODE && to.0 .0 < FIRST_NODE {
            return;
        }
        let window = self
            .windows
            .entry((from.min(to), from.max(to)))
            .or_default();
        let sum = window.add(t, bytes + TRANSPORT_OVERHEAD_BYTES);
        self.max_window_bytes = self.max_window_bytes.max(sum);
        if sum > BUDGET {
            self.violations.push(format!(
                "{t}: {sum} bytes between {from:?} and {to:?} in {WINDOW} s"
            ));
        }
    }

    /// A process has done something.
    pub fn look(&mut self, t: Time, id: PeerId, process: &Process) {
        let Some(Machine::Node(node)) = &process.machine else {
            return;
        };
        for change in node.applied_changes() {
            let known = self
                .applied
                .entry((id, change.key.name.clone()))
                .or_default();
            if change.version < *known {
                self.violations.push(format!(
                    "{t}: {id:?} went back from {known:?} to {:?} of {:?}",
                    change.version, change.key.name
                ));
            }
            *known = change.version;
            if id.0 % 2 == 1 && change.content.bytes().starts_with(REJECTED_BY_ODD_NODES) {
                self.violations
                    .push(format!("{t}: {id:?} has in force what it refused"));
            }
        }
        let staleness = node.staleness(process.clock(t));
        let at = t - staleness;
        let before = self
            .published
            .partition_point(|(published, _)| *published < at);
        let must = self.published[..before]
            .iter()
            .map(|(_, version)| *version)
            .max();
        if must.is_some_and(|must| node.head() < must) {
            let head = node.head();
            self.violations.push(format!(
                "{t}: {id:?} says {staleness} s, and has {head:?}, not {must:?}"
            ));
        }
    }

    pub fn verdict(&self) {
        assert!(
            self.violations.is_empty(),
            "{:#?}",
            &self.violations[..self.violations.len().min(5)]
        );
    }
}
