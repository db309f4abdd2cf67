//! Counters of simulated nodes: written by [`drive`](super::drive), summed by [`network`](super::network).

use super::datagram::DatagramKind;
use super::report::{PerNode, Traffic};
use super::sampler::Sample;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};

/// The counters of one node, written by its task alone.
#[derive(Default)]
pub struct Counters {
    /// Datagrams received.
    pub messages_in: AtomicU64,
    /// Bytes of the datagrams received.
    pub bytes_in: AtomicU64,
    /// Datagrams sent.
    pub messages_out: AtomicU64,
    /// Bytes of the datagrams sent.
    pub bytes_out: AtomicU64,
    /// Snapshots and updates of lists received.
    pub list_messages: AtomicU64,
    /// Bytes of the snapshots and updates received.
    pub list_bytes: AtomicU64,
    /// Most bytes received and sent within one second of the window.
    pub peak_bytes: AtomicU64,
    /// Other members that the node knows.
    pub members: AtomicUsize,
}

/// Computes [`Counters::peak_bytes`] of one node.
#[derive(Default)]
pub struct PeakMeter {
    window: u32,
    second: u64,
    bytes: u64,
}

impl PeakMeter {
    /// Adds bytes that were received or sent at a time of the run's clock.
    pub fn add(&mut self, counters: &Counters, window: &AtomicU32, now: f64, bytes: usize) {
        let window = window.load(Ordering::Relaxed);
        if window != self.window {
            self.window = window;
            self.bytes = 0;
            counters.peak_bytes.store(0, Ordering::Relaxed);
        }
        let second = now as u64;
        if second != self.second {
            self.second = second;
            self.bytes = 0;
        }
        self.bytes += bytes as u64;
        counters.peak_bytes.fetch_max(self.bytes, Ordering::Relaxed);
    }
}

/// The sums over all nodes at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Datagrams received.
    pub messages_in: u64,
    /// Bytes of the datagrams received.
    pub bytes_in: u64,
    /// Datagrams sent.
    pub messages_out: u64,
    /// Bytes of the datagrams sent.
    pub bytes_out: u64,
    /// Snapshots and updates of lists received.
    pub list_messages: u64,
    /// Bytes of the snapshots and updates received.
    pub list_bytes: u64,
    /// Processor time, in seconds.
    pub cpu: f64,
}

impl Totals {
    /// Adds the counters of one node.
    pub fn add(&mut self, counters: &Counters) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        self.messages_in += read(&counters.messages_in);
        self.bytes_in += read(&counters.bytes_in);
        self.messages_out += read(&counters.messages_out);
        self.bytes_out += read(&counters.bytes_out);
        self.list_messages += read(&counters.list_messages);
        self.list_bytes += read(&counters.list_bytes);
    }
}

/// Computes the cost of a window of `seconds` seconds, averaged over `nodes` nodes.
pub fn per_node(
    before: &Totals,
    after: &Totals,
    sample: &Sample,
    nodes: usize,
    seconds: f64,
) -> PerNode {
    let rate = |counter: fn(&Totals) -> u64| {
        counter(after).saturating_sub(counter(before)) as f64 / seconds / nodes as f64
    };
    let all = Traffic {
        kind: "all".to_owned(),
        bytes_in: rate(|totals| totals.bytes_in),
        bytes_out: rate(|totals| totals.bytes_out),
        messages_in: rate(|totals| totals.messages_in),
        messages_out: rate(|totals| totals.messages_out),
    };
    let mut traffic: Vec<Traffic> = DatagramKind::ALL
        .iter()
        .map(|kind| traffic_of_kind(&all, sample, *kind))
        .collect();
    traffic.push(Traffic {
        kind: "list".to_owned(),
        bytes_in: rate(|totals| totals.list_bytes),
        bytes_out: 0.0,
        messages_in: rate(|totals| totals.list_messages),
        messages_out: 0.0,
    });
    PerNode {
        traffic,
        cpu: (after.cpu - before.cpu).max(0.0) / seconds / nodes as f64,
        ..PerNode::default()
    }
}

/// Estimates the traffic of one kind from its shares of the sample.
fn traffic_of_kind(all: &Traffic, sample: &Sample, kind: DatagramKind) -> Traffic {
    let shares = sample.shares(kind);
    Traffic {
        kind: kind.label().to_owned(),
        bytes_in: all.bytes_in * shares.bytes,
        bytes_out: all.bytes_out * shares.bytes,
        messages_in: all.messages_in * shares.messages,
        messages_out: all.messages_out * shares.messages,
    }
}
