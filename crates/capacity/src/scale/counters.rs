//! What hollow nodes count as they run, and how kinds of datagrams are told apart.

use super::hollow::{self, KINDS, VERDICTS};
use super::report::{PerNode, Traffic};
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};

/// One of so many datagrams is read for its kind: reading all would take more time than the nodes do.
pub const SAMPLED: u64 = 16;
/// Datagrams that wait to be read for their kinds; more are left out of the sample.
const SAMPLES_WAITING: usize = 4096;

/// Counted at one node by its own task, read by whoever measures.
#[derive(Default)]
pub struct Counters {
    /// Datagrams taken in, and their bytes.
    pub messages_in: AtomicU64,
    /// See [`Counters::messages_in`].
    pub bytes_in: AtomicU64,
    /// Datagrams sent, and their bytes.
    pub messages_out: AtomicU64,
    /// See [`Counters::messages_out`].
    pub bytes_out: AtomicU64,
    /// Lines of lists, and their bytes.
    pub lines: AtomicU64,
    /// See [`Counters::lines`].
    pub line_bytes: AtomicU64,
    /// Most bytes in and out within a second of the window.
    pub peak: AtomicU64,
    /// Others that the node knows.
    pub members: AtomicUsize,
}

/// A node's own part of its counters: which second of which window it is in.
#[derive(Default)]
pub struct Meter {
    window: u32,
    second: u64,
    bytes: u64,
}

impl Meter {
    /// Bytes have come or gone at a moment of the run's clock.
    pub fn add(&mut self, counters: &Counters, window: &AtomicU32, now: f64, bytes: usize) {
        let window = window.load(Ordering::Relaxed);
        if window != self.window {
            (self.window, self.bytes) = (window, 0);
            counters.peak.store(0, Ordering::Relaxed);
        }
        let second = now as u64;
        if second != self.second {
            (self.second, self.bytes) = (second, 0);
        }
        self.bytes += bytes as u64;
        counters.peak.fetch_max(self.bytes, Ordering::Relaxed);
    }
}

/// Totals of all nodes at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Datagrams taken in, their bytes, datagrams sent, their bytes.
    pub datagrams: [u64; 4],
    /// Lines of lists, and their bytes.
    pub lines: [u64; 2],
    /// Processor time, in seconds.
    pub cpu: f64,
}

impl Totals {
    /// Adds what one node has counted.
    pub fn add(&mut self, counters: &Counters) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let of = [
            &counters.messages_in,
            &counters.bytes_in,
            &counters.messages_out,
            &counters.bytes_out,
        ];
        for (total, counter) in self.datagrams.iter_mut().zip(of) {
            *total += read(counter);
        }
        self.lines[0] += read(&counters.lines);
        self.lines[1] += read(&counters.line_bytes);
    }
}

/// Datagrams and bytes of each kind, of those that were read for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Datagrams by kind.
    pub messages: [u64; KINDS.len()],
    /// Bytes by kind.
    pub bytes: [u64; KINDS.len()],
}

impl Sample {
    /// Adds a datagram.
    pub fn add(&mut self, parts: hollow::Parts) {
        self.messages[parts.kind] += 1;
        self.bytes[parts.kind] += parts.own as u64;
        self.bytes[VERDICTS] += parts.verdicts as u64;
    }

    /// The share of a kind in datagrams and in bytes.
    pub fn shares(&self, kind: usize) -> (f64, f64) {
        let share =
            |of: &[u64; KINDS.len()]| of[kind] as f64 / of.iter().sum::<u64>().max(1) as f64;
        (share(&self.messages), share(&self.bytes))
    }
}

/// Reads a part of all datagrams for their kinds, on a thread of its own whose time is not counted.
#[derive(Clone)]
pub struct Sampler {
    to: SyncSender<Vec<u8>>,
    sample: Arc<Mutex<Sample>>,
}

impl Sampler {
    /// Starts the thread; it ends when the last copy of this is dropped.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start() -> reelfall_testbed::Result<Sampler> {
        let secret = hollow::secret()?;
        let (to, from): (SyncSender<Vec<u8>>, Receiver<Vec<u8>>) = sync_channel(SAMPLES_WAITING);
        let sample = Arc::new(Mutex::new(Sample::default()));
        let into = sample.clone();
        std::thread::Builder::new()
            .name("scale-sampler".to_owned())
            .spawn(move || {
                for datagram in from {
                    if let Some(parts) = hollow::parts(&secret, &datagram) {
                        into.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .add(parts);
                    }
                }
            })?;
        Ok(Sampler { to, sample })
    }

    /// Takes the n-th datagram of a node, if it is one to be read.
    pub fn offer(&self, n: u64, datagram: &[u8]) {
        if n.is_multiple_of(SAMPLED) {
            // Where too many wait, this one is left out.
            let _ = self.to.try_send(datagram.to_vec());
        }
    }

    /// Takes what was counted since the last call.
    pub fn take(&self) -> Sample {
        std::mem::take(&mut *self.sample.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// What a window of so many seconds cost each of so many nodes.
pub fn per_node(
    before: &Totals,
    after: &Totals,
    sample: &Sample,
    nodes: usize,
    seconds: f64,
) -> PerNode {
    let rate =
        |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds / nodes as f64;
    let mut rates = [0.0; 4];
    for (rated, (a, b)) in rates
        .iter_mut()
        .zip(after.datagrams.iter().zip(before.datagrams))
    {
        *rated = rate(*a, b);
    }
    let [messages_in, bytes_in, messages_out, bytes_out] = rates;
    let mut traffic: Vec<Traffic> = KINDS
        .iter()
        .enumerate()
        .map(|(kind, name)| {
            let (messages, bytes) = sample.shares(kind);
            Traffic {
                kind: (*name).to_owned(),
                bytes_in: bytes_in * bytes,
                bytes_out: bytes_out * bytes,
                messages_in: messages_in * messages,
                messages_out: messages_out * messages,
            }
        })
        .collect();
    traffic.push(Traffic {
        kind: "list".to_owned(),
        bytes_in: rate(after.lines[1], before.lines[1]),
        bytes_out: 0.0,
        messages_in: rate(after.lines[0], before.lines[0]),
        messages_out: 0.0,
    });
    let cpu = (after.cpu - before.cpu).max(0.0) / seconds / nodes as f64;
    PerNode {
        traffic,
        cpu,
        ..PerNode::default()
    }
}
