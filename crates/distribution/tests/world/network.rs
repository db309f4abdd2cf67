//! The links between processes: losses, duplicates, delays and partitions.

use super::process::Run;
use super::{Event, World};
use rand::Rng;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::Time;

/// The range of the delay of a frame, in seconds.
#[derive(Clone, Copy)]
pub struct DelayRange {
    pub min: Time,
    pub max: Time,
}

#[derive(Clone, Copy)]
pub struct Network {
    /// The probability that a frame is lost.
    pub loss: f64,
    /// The probability that a frame arrives twice.
    pub duplication: f64,
    pub delay: DelayRange,
}

/// Short delays, without losses or duplicates.
pub const CALM: Network = Network {
    loss: 0.0,
    duplication: 0.0,
    delay: DelayRange {
        min: 0.01,
        max: 0.02,
    },
};

/// A frame that a process has sent.
pub struct SentFrame {
    pub at: Time,
    pub from: PeerId,
    pub to: PeerId,
    pub bytes: usize,
}

impl World {
    /// Drops the frames between two processes for this many seconds.
    pub fn partition(&mut self, one: PeerId, other: PeerId, duration: Time) {
        let pair = (one.min(other), one.max(other));
        self.partitions.insert(pair, self.now + duration);
    }

    pub fn send(&mut self, from: PeerId, to: PeerId, frame: Vec<u8>) {
        self.record_sent(from, to, &frame);
        let pair = (from.min(to), from.max(to));
        if self
            .partitions
            .get(&pair)
            .is_some_and(|until| self.now < *until)
        {
            return;
        }
        if self.rng.random_bool(self.network.loss) {
            return;
        }
        let is_duplicated = self.rng.random_bool(self.network.duplication);
        for _ in 0..1 + usize::from(is_duplicated) {
            let DelayRange { min, max } = self.network.delay;
            let at = self.now + self.rng.random_range(min..max);
            let frame = frame.clone();
            self.schedule(at, Event::Frame { to, from, frame });
        }
    }

    fn record_sent(&mut self, from: PeerId, to: PeerId, frame: &[u8]) {
        let sender = self.run_of(from);
        let receiver = self.run_of(to);
        self.invariants
            .check_sent(self.now, sender, receiver, frame.len());
        self.sent_frames.push(SentFrame {
            at: self.now,
            from,
            to,
            bytes: frame.len(),
        });
        if let Some(digest) = &mut self.digest {
            digest.update(&self.now.to_bits().to_le_bytes());
            digest
                .update(&from.0.to_le_bytes())
                .update(&to.0.to_le_bytes())
                .update(frame);
        }
    }

    /// The current run of a process; incarnation 0 of one that the world does not have.
    fn run_of(&self, id: PeerId) -> Run {
        let process = self.processes.get(&id);
        Run {
            id,
            incarnation: process.map_or(0, |process| process.incarnation),
        }
    }

    /// The bytes of frames to a process since a number of frames had been sent.
    pub fn bytes_sent_to(&self, to: PeerId, since_frame: usize) -> usize {
        self.sent_frames[since_frame..]
            .iter()
            .filter(|sent| sent.to == to)
            .map(|sent| sent.bytes)
            .sum()
    }
}
