//! When the answer to a request is due whose body is streamed.
//!
//! A client's time counts from the moment at which it has written the last byte of its request. While a server holds the
//! body up, the node can't see this moment, since the end of the body may lie in the buffers of the client's and of this
//! system. An [`UploadClock`] derives the earliest moment at which the last byte can have been written:
//!
//! - not before the node has last waited for the client, having read all that had arrived;
//! - not while more of the body is to come than the buffers hold;
//! - not at a time after which more of a body of unknown length has come than the client's buffer holds.
//!
//! `upstream::answer_timer` reports the progress of an upload to its clock, and ends the attempt when it is due.

#[cfg(test)]
mod tests;

use super::body::STALL_TIMEOUT;
use super::message::ClientInput;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The largest send buffer of Linux by default (`net.ipv4.tcp_wmem`), in bytes.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// The largest segment that a system holds, in bytes. A send buffer that isn't full takes a whole one, and exceeds its size by it.
const MAX_SEGMENT_BYTES: u64 = 64 << 10;
/// The most data that a client's system holds for a connection, in bytes.
const MAX_CLIENT_BUFFER_BYTES: u64 = MAX_SEND_BUFFER_BYTES + MAX_SEGMENT_BYTES;
/// The most data that this system holds for a connection, in bytes: the largest receive buffer of Linux by default
/// (`net.ipv4.tcp_rmem`).
const MAX_RECEIVE_BUFFER_BYTES: u64 = 6 << 20;

/// How much of a body of unknown length comes between two samples of its arrival, in bytes.
const SAMPLE_BYTES: u64 = MAX_CLIENT_BUFFER_BYTES / 64;

/// How often an upload is looked at of which the buffers may soon hold the rest, or whose length is unknown.
const UNCERTAIN_INTERVAL: Duration = Duration::from_millis(100);

/// The progress of an upload at one moment.
#[derive(Clone, Copy, Debug)]
pub struct UploadProgress {
    pub bytes_forwarded: u64,
    /// `None` if the end of the body is not announced.
    pub bytes_remaining: Option<u64>,
    /// When the server last took a part of it.
    pub progressed_at: Instant,
    pub input: ClientInput,
}

/// Derives when the answer to a request is due from the progress of its upload.
#[derive(Debug)]
pub struct UploadClock {
    /// The client's time, from the last byte of its request on.
    time_for_answer: Duration,
    /// The earliest moment at which the client can have written the last byte.
    earliest_end: Instant,
    /// Whether the client can have written the last byte.
    can_have_ended: bool,
    /// The progress at the last update.
    progress: UploadProgress,
    /// For a body of unknown length.
    arrival: ArrivalHistory,
}

/// How much of a body had arrived at which time, for as long as its client can have written the last byte since.
#[derive(Debug, Default)]
struct ArrivalHistory {
    samples: VecDeque<ArrivalSample>,
}

/// How much of a body had arrived at a time, in bytes.
#[derive(Clone, Copy, Debug)]
struct ArrivalSample {
    at: Instant,
    at_least: u64,
    at_most: u64,
}

impl ArrivalHistory {
    /// Records how much has arrived by now, and returns the latest time at which the client can't have written the last byte,
    /// since more has arrived after it than the client's buffer holds.
    fn record(&mut self, sample: ArrivalSample) -> Option<Instant> {
        let mut excluded = None;
        while let Some(first) = self.samples.front() {
            if first.at_most + MAX_CLIENT_BUFFER_BYTES >= sample.at_least {
                break;
            }
            excluded = Some(first.at);
            self.samples.pop_front();
        }
        self.push(sample);
        excluded
    }

    /// Adds a sample; it replaces the last one if that is not much older in bytes.
    fn push(&mut self, sample: ArrivalSample) {
        let before_last = self.samples.iter().rev().nth(1);
        let base = before_last.map_or(0, |before_last| before_last.at_most);
        if self.samples.len() > 1 && sample.at_most < base + SAMPLE_BYTES {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
    }
}

impl UploadClock {
    /// The clock of an upload that begins now.
    pub fn new(now: Instant, time_for_answer: Duration) -> Self {
        UploadClock {
            time_for_answer,
            earliest_end: now,
            can_have_ended: true,
            progress: UploadProgress {
                bytes_forwarded: 0,
                bytes_remaining: None,
                progressed_at: now,
                input: ClientInput::default(),
            },
            arrival: ArrivalHistory::default(),
        }
    }

    /// Updates the clock. `unread_bytes` returns how much input of the client has arrived and was not read, in bytes, if
    /// that is known; it is called only if that matters.
    pub fn update(
        &mut self,
        now: Instant,
        progress: UploadProgress,
        unread_bytes: impl FnOnce() -> Option<u64>,
    ) {
        self.progress = progress;
        if let Some(awaited_until) = progress.input.awaited_until {
            self.earliest_end = self.earliest_end.max(awaited_until);
        }
        match progress.bytes_remaining {
            Some(remaining) => {
                self.can_have_ended = remaining <= MAX_CLIENT_BUFFER_BYTES
                    || remaining
                        <= MAX_CLIENT_BUFFER_BYTES
                            + unread_bytes().unwrap_or(MAX_RECEIVE_BUFFER_BYTES);
                if !self.can_have_ended {
                    self.earliest_end = now;
                }
            }
            None => {
                let (forwarded, unread) = (progress.bytes_forwarded, unread_bytes());
                let excluded = self.arrival.record(ArrivalSample {
                    at: now,
                    at_least: forwarded + unread.unwrap_or(0),
                    at_most: forwarded + unread.unwrap_or(MAX_RECEIVE_BUFFER_BYTES),
                });
                if let Some(excluded) = excluded {
                    self.earliest_end = self.earliest_end.max(excluded);
                }
            }
        }
    }

    /// When the upload has to end at the latest, if it makes no more progress; `None` while the client is awaited, whose
    /// own timeouts apply then.
    pub fn deadline(&self) -> Option<Instant> {
        if self.progress.input.is_awaited {
            None
        } else if self.can_have_ended {
            Some(self.earliest_client_deadline())
        } else {
            Some(self.progress.progressed_at + STALL_TIMEOUT.max(self.time_for_answer))
        }
    }

    /// When the client's time is up at the earliest; `None` if it can't have written the last byte so far.
    pub fn client_deadline(&self) -> Option<Instant> {
        let may_have_begun = self.can_have_ended && !self.progress.input.is_awaited;
        may_have_begun.then(|| self.earliest_client_deadline())
    }

    fn earliest_client_deadline(&self) -> Instant {
        self.earliest_end + self.time_for_answer
    }

    /// When the clock has to be updated again. Nothing reports that a part of the body was taken, that an awaited client
    /// writes on, or that the buffers hold the rest of the body.
    pub fn next_update(&self, now: Instant) -> Instant {
        match self.deadline() {
            // Whenever the client writes on, the deadline that follows is later than this.
            None => now + self.time_for_answer,
            Some(deadline) if self.can_have_ended && self.progress.bytes_remaining.is_some() => {
                deadline
            }
            Some(deadline) => deadline.min(now + UNCERTAIN_INTERVAL),
        }
    }

    /// The earliest moment at which the client can have written the last byte.
    pub fn earliest_end(&self) -> Instant {
        self.earliest_end
    }

    /// Whether the server has taken nothing of the body for at least half of the client's time. What it takes at first says
    /// little, since its system takes some data also when the server hangs.
    pub fn has_server_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progress.progressed_at) >= self.time_for_answer / 2
    }
}
