//! Sampling of datagrams by kind: [`drive`](super::drive) offers every datagram that it sends, and
//! [`window`](super::window) takes the sample.

use super::datagram::{classify, fleet_secret, ClassifiedDatagram, DatagramKind};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};

/// One datagram in this many is sampled: classifying all of them would take more processor time than the nodes.
pub const SAMPLING_INTERVAL: u64 = 16;
/// Capacity of the queue of datagrams to classify; further ones are dropped.
const QUEUE_LEN: usize = 4096;

/// Datagrams and bytes of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    messages: [u64; DatagramKind::COUNT],
    bytes: [u64; DatagramKind::COUNT],
}

/// Shares of one kind in a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindShares {
    /// Fraction of the datagrams.
    pub messages: f64,
    /// Fraction of the bytes.
    pub bytes: f64,
}

impl Sample {
    /// Adds a datagram. Its entries count as bytes of [`DatagramKind::Entries`].
    pub fn add(&mut self, datagram: ClassifiedDatagram) {
        self.messages[datagram.kind as usize] += 1;
        self.bytes[datagram.kind as usize] += datagram.base_bytes as u64;
        self.bytes[DatagramKind::Entries as usize] += datagram.entry_bytes as u64;
    }

    /// Returns the number of datagrams of a kind.
    pub fn messages(&self, kind: DatagramKind) -> u64 {
        self.messages[kind as usize]
    }

    /// Returns the number of bytes of a kind.
    pub fn bytes(&self, kind: DatagramKind) -> u64 {
        self.bytes[kind as usize]
    }

    /// Returns the shares of a kind in the sample; zero if the sample is empty.
    pub fn shares(&self, kind: DatagramKind) -> KindShares {
        let share = |counts: &[u64; DatagramKind::COUNT]| {
            counts[kind as usize] as f64 / counts.iter().sum::<u64>().max(1) as f64
        };
        KindShares {
            messages: share(&self.messages),
            bytes: share(&self.bytes),
        }
    }
}

/// Classifies sampled datagrams on a thread of its own, whose processor time is not counted.
#[derive(Clone)]
pub struct Sampler {
    queue: SyncSender<Vec<u8>>,
    sample: Arc<Mutex<Sample>>,
}

impl Sampler {
    /// Starts the thread; it ends when the last clone of the sampler is dropped.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start() -> reelfall_testbed::Result<Sampler> {
        let secret = fleet_secret()?;
        let (queue, datagrams): (SyncSender<Vec<u8>>, Receiver<Vec<u8>>) = sync_channel(QUEUE_LEN);
        let sample = Arc::new(Mutex::new(Sample::default()));
        let written = sample.clone();
        std::thread::Builder::new()
            .name("scale-sampler".to_owned())
            .spawn(move || {
                for datagram in datagrams {
                    if let Some(classified) = classify(&secret, &datagram) {
                        written
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .add(classified);
                    }
                }
            })?;
        Ok(Sampler { queue, sample })
    }

    /// Offers a datagram of a node that has sent `sent_before` datagrams before it.
    pub fn offer(&self, sent_before: u64, datagram: &[u8]) {
        if sent_before.is_multiple_of(SAMPLING_INTERVAL) {
            // If the queue is full, the datagram is left out of the sample.
            let _ = self.queue.try_send(datagram.to_vec());
        }
    }

    /// Takes the sample since the last call.
    pub fn take(&self) -> Sample {
        std::mem::take(&mut *self.sample.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
