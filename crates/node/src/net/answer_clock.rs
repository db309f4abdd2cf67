//! When an answer has to be forwarded, and when one that is forwarded has to end.
//!
//! The first bytes of an answer of more than 64 KiB are timed; a shorter one is timed as a whole. Of many answers the length is
//! known only at their end, and one that is written slowly can't be told from one that was given up by its server. An
//! [`AnswerClock`] decides for an answer of which the head came in its client's time:
//!
//! | length | at the client's time | then |
//! | --- | --- | --- |
//! | announced, up to 64 KiB | it has failed | - |
//! | more than 64 KiB, announced or received | it is forwarded | it ends when its server is silent for [`STALL_TIMEOUT`] |
//! | unknown | it is forwarded | it is broken off if its server is silent for [`MAX_SILENCE`], if it turns out to be short and late, and if it only trickles |
//!
//! `upstream::buffering` follows the clock until the answer is forwarded, and [`StreamedAnswer`](super::answer::StreamedAnswer)
//! from then on: no other part of the node ends an answer of which a server still writes more.

#[cfg(test)]
mod tests;

use super::body::STALL_TIMEOUT;
use super::MAX_UNSTREAMED_RESPONSE_BYTES;
use std::time::{Duration, Instant};

/// How long the start of an answer that is known to be long is buffered. If its connection breaks meanwhile, another attempt can
/// be made.
const LONG_ANSWER_BUFFERING_TIME: Duration = Duration::from_millis(25);

/// How long the start of an answer of unknown length is buffered at most. Clients of long answers miss what is buffered for 2 s.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(1500);

/// The longest silence of a server in an answer that is overdue unless it turns out to be long. From then on its client can't tell
/// a silent server from a node that holds the rest back.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// A short answer that is complete later than this after its client's time is not forwarded whole. It would be lost half a second
/// after that time, and this process may be held up before it writes the end.
const MAX_LATENESS: Duration = Duration::from_millis(400);

/// How long after its client's time an answer may go on of which is still unknown whether it is long, besides the time that what
/// was received takes at [`MIN_UNDECIDED_RATE`].
const MAX_UNDECIDED_TIME: Duration = Duration::from_secs(5);

/// The lowest rate of such an answer, in bytes per second: a sixteenth of what the slowest servers write, which may pause.
const MIN_UNDECIDED_RATE: f64 = 4e3;

/// What is known of the length of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerLength {
    /// Up to [`MAX_UNSTREAMED_RESPONSE_BYTES`]: its last byte is timed.
    Short,
    /// More than that: its first bytes are timed.
    Long,
    /// Not announced, and not received so far.
    Unknown,
}

/// Decides when an answer is forwarded, and when it has to end.
#[derive(Clone, Debug)]
pub struct AnswerClock {
    announced_bytes: Option<u64>,
    received_bytes: u64,
    head_at: Instant,
    first_part_at: Option<Instant>,
    /// Since when its server is silent, or its client does not read.
    silent_since: Instant,
    /// When its client's time is up; `None` while that is unknown, as the request is still being uploaded.
    deadline: Option<Instant>,
    /// How long its client has kept the node from reading on, in total.
    client_wait: Duration,
}

impl AnswerClock {
    /// The clock of an answer whose head was received now. `announced_bytes` is the length of its body, if the head states it.
    pub fn new(now: Instant, announced_bytes: Option<u64>) -> Self {
        AnswerClock {
            announced_bytes,
            received_bytes: 0,
            head_at: now,
            first_part_at: None,
            silent_since: now,
            deadline: None,
            client_wait: Duration::ZERO,
        }
    }

    /// Records that a part of the body was received.
    pub fn record_part(&mut self, now: Instant, bytes: usize) {
        self.received_bytes += bytes as u64;
        self.first_part_at.get_or_insert(now);
        self.silent_since = now;
    }

    /// Records that nothing was read for this long up to now, as the client had not taken what was read before.
    pub fn record_client_wait(&mut self, now: Instant, waited: Duration) {
        self.silent_since = now;
        self.client_wait += waited;
    }

    /// Sets when the client's time is up; `None` if that is unknown.
    pub fn set_deadline(&mut self, deadline: Option<Instant>) {
        self.deadline = deadline;
    }

    /// How much of the body was received, in bytes.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// How long its server has been silent.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.silent_since)
    }

    /// What is known of its length.
    pub fn length(&self) -> AnswerLength {
        let known_bytes = self.announced_bytes.unwrap_or(self.received_bytes);
        if known_bytes > MAX_UNSTREAMED_RESPONSE_BYTES as u64 {
            AnswerLength::Long
        } else if self.announced_bytes.is_some() {
            AnswerLength::Short
        } else {
            AnswerLength::Unknown
        }
    }

    /// When its start has to be forwarded though its client still has time; `None` while nothing has to be.
    pub fn forward_by(&self) -> Option<Instant> {
        let first_part_at = self.first_part_at?;
        match self.length() {
            AnswerLength::Short => None,
            AnswerLength::Long => Some(self.head_at + LONG_ANSWER_BUFFERING_TIME),
            AnswerLength::Unknown => Some(first_part_at + MAX_BUFFERING_TIME),
        }
    }

    /// When an answer that is forwarded is broken off, unless its server writes on.
    pub fn ends_at(&self) -> Instant {
        let stalled_at = self.silent_since + STALL_TIMEOUT;
        let Some(deadline) = self.deadline else {
            return stalled_at;
        };
        match self.length() {
            AnswerLength::Short => deadline + MAX_LATENESS,
            AnswerLength::Long => stalled_at.max(deadline),
            AnswerLength::Unknown => {
                let is_silent_at = (self.silent_since + MAX_SILENCE).max(deadline + MAX_LATENESS);
                is_silent_at.min(deadline + self.time_undecided() + self.client_wait)
            }
        }
    }

    /// How long after its client's time it may go on while it may still turn out to be short.
    fn time_undecided(&self) -> Duration {
        let time_received = self.received_bytes as f64 / MIN_UNDECIDED_RATE;
        MAX_UNDECIDED_TIME + Duration::from_secs_f64(time_received)
    }

    /// Whether an answer that is complete now is lost: it is short, and its client's time was up long before, though that has
    /// not kept the node from reading on.
    pub fn is_late(&self, now: Instant) -> bool {
        let is_overdue = self
            .deadline
            .is_some_and(|deadline| now > deadline + MAX_LATENESS + self.client_wait);
        is_overdue && self.length() != AnswerLength::Long
    }
}
