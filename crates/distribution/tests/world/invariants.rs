//! What must hold at any time: checked after each step of a process and for each frame.

use super::process::{Machine, Process, Run};
use super::REJECTED_BY_ODD_NODES;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Name, Selector, Version};
use reelfall_distribution::subscriber::Subscriber;
use reelfall_distribution::token_bucket::TRANSPORT_OVERHEAD_BYTES;
use reelfall_distribution::Time;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of bytes sent between a relay and a node within [`WINDOW`].
pub const MAX_WINDOW_BYTES: usize = 80_000;
/// Interval to which [`MAX_WINDOW_BYTES`] applies, in seconds.
pub const WINDOW: Time = 10.0;
/// The first id of a node; publishers and relays have lower ids.
pub const FIRST_NODE: u32 = 100;
const MAX_SHOWN_VIOLATIONS: usize = 5;

struct WindowFrame {
    at: Time,
    bytes: usize,
}

/// The frames between two runs of processes within [`WINDOW`].
#[derive(Default)]
struct Window {
    frames: VecDeque<WindowFrame>,
    bytes: usize,
}

impl Window {
    /// Adds a frame. Returns the bytes of all frames within [`WINDOW`].
    fn add(&mut self, at: Time, bytes: usize) -> usize {
        self.frames.push_back(WindowFrame { at, bytes });
        self.bytes += bytes;
        while let Some(oldest) = self.frames.front() {
            if oldest.at > at - WINDOW {
                break;
            }
            self.bytes -= oldest.bytes;
            self.frames.pop_front();
        }
        self.bytes
    }
}

/// An event that a process has reported.
#[derive(Debug, PartialEq)]
pub struct RecordedEvent {
    pub at: Time,
    pub process: PeerId,
    pub event: Event,
}

/// A version that the publisher with the lease has published.
struct PublishedVersion {
    at: Time,
    version: Version,
}

#[derive(Default)]
pub struct InvariantChecker {
    /// The last version that each node applied of each resource.
    applied: BTreeMap<(PeerId, Name), Version>,
    windows: BTreeMap<(Run, Run), Window>,
    /// In the order of time.
    published: Vec<PublishedVersion>,
    pub violations: Vec<String>,
    pub events: Vec<RecordedEvent>,
    /// The greatest number of bytes sent between a relay and a node within [`WINDOW`].
    pub max_window_bytes: usize,
}

impl InvariantChecker {
    pub fn published(&mut self, at: Time, version: Version) {
        self.published.push(PublishedVersion { at, version });
    }

    /// A node has ended a subscription: it retains neither contents nor versions of it.
    pub fn unsubscribed(&mut self, node: PeerId, selector: &Selector) {
        self.applied
            .retain(|(id, name), _| *id != node || !selector.matches(&name.group));
    }

    pub fn record_event(&mut self, at: Time, process: PeerId, event: Event) {
        self.events.push(RecordedEvent { at, process, event });
    }

    /// A frame was sent.
    pub fn check_sent(&mut self, at: Time, from: Run, to: Run, bytes: usize) {
        if from.id.0 < FIRST_NODE && to.id.0 < FIRST_NODE {
            return;
        }
        let window = self
            .windows
            .entry((from.min(to), from.max(to)))
            .or_default();
        let sum = window.add(at, bytes + TRANSPORT_OVERHEAD_BYTES);
        self.max_window_bytes = self.max_window_bytes.max(sum);
        if sum > MAX_WINDOW_BYTES {
            self.violations.push(format!(
                "{at}: {sum} bytes between {from:?} and {to:?} in {WINDOW} s"
            ));
        }
    }

    /// A process has done something.
    pub fn check_process(&mut self, at: Time, id: PeerId, process: &Process) {
        if let Some(Machine::Node(node)) = &process.machine {
            self.check_applied(at, id, node);
            self.check_staleness(at, id, node, process.clock(at));
        }
    }

    /// No version that a node applies decreases, and it applies nothing that it rejected.
    fn check_applied(&mut self, at: Time, id: PeerId, node: &Subscriber) {
        for change in node.applied_changes() {
            let key = (id, change.key.name.clone());
            let previous = self.applied.entry(key).or_default();
            if change.version < *previous {
                self.violations.push(format!(
                    "{at}: {id:?} went back from {previous:?} to {:?} of {:?}",
                    change.version, change.key.name
                ));
            }
            *previous = change.version;
            if id.0 % 2 == 1 && change.content.bytes().starts_with(REJECTED_BY_ODD_NODES) {
                self.violations
                    .push(format!("{at}: {id:?} applies what it rejected"));
            }
        }
    }

    /// A node has all versions that were published before the time up to which it reports its configuration as current.
    fn check_staleness(&mut self, at: Time, id: PeerId, node: &Subscriber, clock: Time) {
        let staleness = node.staleness(clock);
        let current_at = at - staleness;
        let count = self
            .published
            .partition_point(|published| published.at < current_at);
        let required = self.published[..count]
            .iter()
            .map(|published| published.version)
            .max();
        let head = node.head();
        if required.is_some_and(|required| head < required) {
            self.violations.push(format!(
                "{at}: {id:?} reports a staleness of {staleness} s, and has {head:?}, not {required:?}"
            ));
        }
    }

    /// Fails the test with the first violations, if there are any.
    pub fn verify(&self) {
        let first = &self.violations[..self.violations.len().min(MAX_SHOWN_VIOLATIONS)];
        assert!(self.violations.is_empty(), "{first:#?}");
    }
}
