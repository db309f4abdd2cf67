//! One session with one peer.
//!
//! Each side has one payload under way at a time; it is sent again until it is acknowledged, and the reader takes payloads
//! in the order of their numbers, each once. A budget of a few thousand bytes a second needs no more than that, and
//! what is urgent waits for one frame at most.
//!
//! Each frame holds its writer's clock and the last that the writer heard of its reader's clock, by which the reader
//! can tell how old the frame is at most (as `reelfall-cluster`'s `fresh` does for datagrams): what the writer heard was
//! said before the frame was written, so the frame is no older than the reader's clock has gone on since, less the time
//! that the writer held it.

use crate::bucket::{Bucket, Budget, TRANSPORT_OVERHEAD};
use crate::frame::FRAME_OVERHEAD;
use crate::message::{self, Echo, Head, Payload};
use crate::output::Output;
use crate::peer::PeerId;
use crate::session_end::Reason;
use crate::{Time, DRIFT};

/// A payload that was not acknowledged is sent again after so long, in seconds; then after twice as long each time.
pub const REPEAT_AFTER: Time = 1.0;
/// The longest time between two sendings, in seconds.
pub const REPEAT_MOST: Time = 4.0;

#[derive(Debug)]
struct Outstanding {
    number: u64,
    frame: Vec<u8>,
    sent_at: Time,
    wait: Time,
}

/// What a frame's head says to its reader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The payload is the next one, or needs no order.
    pub fresh: bool,
    /// How long the frame was under way at most, in seconds.
    pub transit: Option<Time>,
    /// Payloads of ours up to this one had come when it was written.
    pub acknowledged: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Link {
    peer: PeerId,
    session: u64,
    up: bool,
    bucket: Bucket,
    budget: Budget,
    sent: u64,
    received: u64,
    outstanding: Option<Outstanding>,
    acknowledge: bool,
    heard_clock: Option<(u64, Time)>,
    heard_at: Time,
    wrote_at: Time,
}

fn micros(time: Time) -> u64 {
    (time.max(0.0) * 1e6) as u64
}

impl Link {
    /// A session's beginning. `up`: this side is the child.
    pub fn new(peer: PeerId, session: u64, up: bool, budget: Budget, now: Time) -> Link {
        Link {
            peer,
            session,
            up,
            bucket: Bucket::new(budget, now),
            budget,
            sent: 0,
            received: 0,
            outstanding: None,
            acknowledge: false,
            heard_clock: None,
            heard_at: now,
            wrote_at: now,
        }
    }

    /// With the bucket of an earlier session: a new one brings no new budget.
    pub fn with_bucket(mut self, bucket: Bucket) -> Link {
        self.bucket = bucket;
        self
    }

    /// The bucket, for the next session with the same peer.
    pub fn bucket(&self) -> &Bucket {
        &self.bucket
    }

    /// The same, to take from.
    pub fn bucket_mut(&mut self) -> &mut Bucket {
        &mut self.bucket
    }

    /// With whom.
    pub fn peer(&self) -> PeerId {
        self.peer
    }

    /// The session's number.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// When a frame of this session came last.
    pub fn heard_at(&self) -> Time {
        self.heard_at
    }

    /// Whether a frame of this session has come.
    pub fn is_answered(&self) -> bool {
        self.heard_clock.is_some()
    }

    /// When a frame was written last.
    pub fn wrote_at(&self) -> Time {
        self.wrote_at
    }

    /// Whether no payload is under way.
    pub fn is_free(&self) -> bool {
        self.outstanding.is_none()
    }

    /// The number of the payload that was sent last.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// The longest payload that the budget allows at all.
    pub fn room_most(&self) -> usize {
        self.budget.frame_most().saturating_sub(FRAME_OVERHEAD)
    }

    /// The longest payload that the budget allows now.
    pub fn room(&self, now: Time) -> usize {
        let level = self.bucket.level(now) as usize;
        level
            .saturating_sub(FRAME_OVERHEAD + TRANSPORT_OVERHEAD)
            .min(self.room_most())
    }

    /// When a payload of so many bytes can be sent.
    pub fn ready(&self, now: Time, payload: usize) -> Time {
        self.bucket.ready(now, payload + FRAME_OVERHEAD)
    }

    /// Takes a frame's head in.
    ///
    /// # Errors
    /// If the peer is in another session, or in another state of it: a repeated beginning can bring a session back that had
    /// ended.
    pub fn take(&mut self, now: Time, head: &Head) -> Result<Arrival, Reason> {
        if head.session != self.session || head.up == self.up {
            return Err(Reason::Unknown);
        }
        if head.acknowledged > self.sent || head.number > self.received + 1 {
            return Err(Reason::Unknown);
        }
        self.heard_at = self.heard_at.max(now);
        if self
            .heard_clock
            .is_none_or(|(stamp, _)| stamp < head.stamp_us)
        {
            self.heard_clock = Some((head.stamp_us, now));
        }
        if self
            .outstanding
            .as_ref()
            .is_some_and(|o| o.number <= head.acknowledged)
        {
            self.outstanding = None;
        }
        let next = head.number == self.received + 1;
        if next {
            self.received = head.number;
        }
        self.acknowledge |= head.number > 0;
        let transit = head.echo.and_then(|echo| transit(now, echo));
        Ok(Arrival {
            fresh: next || head.number == 0,
            transit,
            acknowledged: head.acknowledged,
        })
    }

    fn head(&self, now: Time, number: u64) -> Head {
        let echo = self.heard_clock.map(|(stamp_us, at)| Echo {
            stamp_us,
            held_us: micros(now - at),
        });
        Head {
            session: self.session,
            up: self.up,
            number,
            acknowledged: self.received,
            stamp_us: micros(now),
            echo,
        }
    }

    /// Sends a payload that is to be acknowledged; whether it went. Only one is under way at a time.
    pub fn send(&mut self, now: Time, payload: &Payload, outputs: &mut Vec<Output>) -> bool {
        if !self.is_free() {
            return false;
        }
        let number = self.sent + 1;
        let frame = message::encode(&self.head(now, number), payload);
        if !self.bucket.take(now, frame.len()) {
            return false;
        }
        self.sent = number;
        self.outstanding = Some(Outstanding {
            number,
            frame: frame.clone(),
            sent_at: now,
            wait: REPEAT_AFTER,
        });
        self.write(now, frame, outputs);
        true
    }

    /// Sends a payload that needs no acknowledgement; whether it went.
    pub fn say(&mut self, now: Time, payload: &Payload, outputs: &mut Vec<Output>) -> bool {
        let frame = message::encode(&self.head(now, 0), payload);
        let goes = self.bucket.take(now, frame.len());
        if goes {
            self.write(now, frame, outputs);
        }
        goes
    }

    fn write(&mut self, now: Time, frame: Vec<u8>, outputs: &mut Vec<Output>) {
        self.acknowledge = false;
        self.wrote_at = now;
        outputs.push(Output::Send {
            to: self.peer,
            frame,
        });
    }

    /// Sends an acknowledgement, if one is due and nothing else has brought it.
    pub fn flush(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.acknowledge {
            self.say(now, &Payload::Acknowledge, outputs);
        }
    }

    /// Sends a payload again that has not been acknowledged in time.
    pub fn flush_repeats(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Some(outstanding) = &mut self.outstanding else {
            return;
        };
        if now < outstanding.sent_at + outstanding.wait {
            return;
        }
        if !self.bucket.take(now, outstanding.frame.len()) {
            return;
        }
        outstanding.sent_at = now;
        outstanding.wait = (2.0 * outstanding.wait).min(REPEAT_MOST);
        let frame = outstanding.frame.clone();
        self.wrote_at = now;
        outputs.push(Output::Send {
            to: self.peer,
            frame,
        });
    }

    /// When [`Link::flush`] or [`Link::flush_repeats`] has something to do.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let repeat = self.outstanding.as_ref().map_or(f64::INFINITY, |o| {
            let due = o.sent_at + o.wait;
            due.max(self.bucket.ready(now.max(due), o.frame.len()))
        });
        let acknowledge = if self.acknowledge {
            self.ready(now, 0)
        } else {
            f64::INFINITY
        };
        repeat.min(acknowledge)
    }
}

/// How long a frame that holds this can have been under way at most, in seconds; `None` if that can't be told.
pub fn transit(now: Time, echo: Echo) -> Option<Time> {
    let since = now - echo.stamp_us as f64 / 1e6;
    let held = echo.held_us as f64 / 1e6;
    (since >= 0.0).then(|| (since / (1.0 - DRIFT) - held / (1.0 + DRIFT)).max(0.0))
}
