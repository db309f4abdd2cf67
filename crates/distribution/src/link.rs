//! The link of one session: ordering, acknowledgement, retransmission and clock echoes.
//!
//! Each side has one reliable payload in flight; it is retransmitted until it is acknowledged, and the reader accepts
//! payloads in sequence, each once. A budget of a few thousand bytes per second needs no larger window, and an urgent
//! payload waits for one frame at most.
//!
//! Each frame carries its sender's clock and an echo of the receiver's clock. The echoed time was sent before the
//! frame was, so the frame is no older than the receiver's clock has advanced since, less the time that the sender
//! spent before replying (as in the `freshness` module of `reelfall-cluster`).
//!
//! Used by children, sessions and session attempts.

use crate::close_reason::CloseReason;
use crate::frame::MAX_FRAME_OVERHEAD_BYTES;
use crate::message::{self, Echo, Head, Payload};
use crate::output::Output;
use crate::peer::PeerId;
use crate::token_bucket::{Budget, TokenBucket, TRANSPORT_OVERHEAD_BYTES};
use crate::{Time, DRIFT};

/// First retransmission timeout in seconds; it doubles with each retransmission.
pub const RETRANSMIT_TIMEOUT: Time = 1.0;
/// Longest retransmission timeout, in seconds.
pub const MAX_RETRANSMIT_TIMEOUT: Time = 4.0;

#[derive(Debug)]
struct Outstanding {
    number: u64,
    frame: Vec<u8>,
    sent_at: Time,
    retransmit_after: Time,
}

/// Result of accepting a frame's head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrameReceipt {
    /// Whether the payload is the next in sequence, or needs no sequence.
    pub is_new: bool,
    /// Upper bound of the frame's transit time in seconds, if it is known.
    pub max_transit: Option<Time>,
    /// The peer had received our payloads up to this number when it sent the frame.
    pub acknowledged: u64,
}

/// One side of a session.
#[derive(Debug)]
pub struct Link {
    peer: PeerId,
    session: u64,
    is_child: bool,
    bucket: TokenBucket,
    budget: Budget,
    last_sent: u64,
    last_received: u64,
    outstanding: Option<Outstanding>,
    owes_acknowledgement: bool,
    peer_clock: Option<(u64, Time)>,
    last_received_at: Time,
    last_sent_at: Time,
}

fn micros(time: Time) -> u64 {
    (time.max(0.0) * 1e6) as u64
}

impl Link {
    /// A link of a new session. `on_child_side`: whether this side is the child.
    pub fn new(peer: PeerId, session: u64, on_child_side: bool, budget: Budget, now: Time) -> Link {
        Link {
            peer,
            session,
            is_child: on_child_side,
            bucket: TokenBucket::new(budget, now),
            budget,
            last_sent: 0,
            last_received: 0,
            outstanding: None,
            owes_acknowledgement: false,
            peer_clock: None,
            last_received_at: now,
            last_sent_at: now,
        }
    }

    /// The same link with the send bucket of an earlier session, so that a new session does not renew the budget.
    pub fn with_bucket(mut self, bucket: TokenBucket) -> Link {
        self.bucket = bucket;
        self
    }

    /// The send bucket, for the next session with the same peer.
    pub fn bucket(&self) -> &TokenBucket {
        &self.bucket
    }

    /// The send bucket, to take from.
    pub fn bucket_mut(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }

    /// The peer.
    pub fn peer(&self) -> PeerId {
        self.peer
    }

    /// The session's id, chosen by the child.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// When the last frame of this session was received.
    pub fn last_received_at(&self) -> Time {
        self.last_received_at
    }

    /// Whether a frame of this session was received.
    pub fn is_answered(&self) -> bool {
        self.peer_clock.is_some()
    }

    /// When the last frame was sent.
    pub fn last_sent_at(&self) -> Time {
        self.last_sent_at
    }

    /// Whether no payload is in flight.
    pub fn is_idle(&self) -> bool {
        self.outstanding.is_none()
    }

    /// The sequence number of the last reliable payload that was sent.
    pub fn last_sent(&self) -> u64 {
        self.last_sent
    }

    /// Largest payload that the budget ever allows, in bytes.
    pub fn max_payload_bytes(&self) -> usize {
        self.budget
            .max_frame_bytes()
            .saturating_sub(MAX_FRAME_OVERHEAD_BYTES)
    }

    /// Largest payload that the budget allows now, in bytes.
    pub fn available_payload_bytes(&self, now: Time) -> usize {
        let available = self.bucket.available(now) as usize;
        available
            .saturating_sub(MAX_FRAME_OVERHEAD_BYTES + TRANSPORT_OVERHEAD_BYTES)
            .min(self.max_payload_bytes())
    }

    /// When a payload of this size can be sent.
    pub fn ready_at(&self, now: Time, payload: usize) -> Time {
        self.bucket
            .ready_at(now, payload + MAX_FRAME_OVERHEAD_BYTES)
    }

    /// Accepts the head of a received frame.
    ///
    /// # Errors
    /// If the frame belongs to another session, or implies a state that this session was never in: a duplicated opening
    /// frame can reopen a session that has ended.
    pub fn accept(&mut self, now: Time, head: &Head) -> Result<FrameReceipt, CloseReason> {
        if head.session != self.session || head.from_child == self.is_child {
            return Err(CloseReason::UnknownSession);
        }
        if head.acknowledged > self.last_sent || head.number > self.last_received + 1 {
            return Err(CloseReason::UnknownSession);
        }
        self.last_received_at = self.last_received_at.max(now);
        if self
            .peer_clock
            .is_none_or(|(stamp, _)| stamp < head.sent_at_us)
        {
            self.peer_clock = Some((head.sent_at_us, now));
        }
        if self
            .outstanding
            .as_ref()
            .is_some_and(|o| o.number <= head.acknowledged)
        {
            self.outstanding = None;
        }
        let is_next = head.number == self.last_received + 1;
        if is_next {
            self.last_received = head.number;
        }
        self.owes_acknowledgement |= head.number > 0;
        let transit = head.echo.and_then(|echo| max_transit_time(now, echo));
        Ok(FrameReceipt {
            is_new: is_next || head.number == 0,
            max_transit: transit,
            acknowledged: head.acknowledged,
        })
    }

    fn head(&self, now: Time, number: u64) -> Head {
        let echo = self.peer_clock.map(|(stamp_us, at)| Echo {
            stamp_us,
            elapsed_us: micros(now - at),
        });
        Head {
            session: self.session,
            from_child: self.is_child,
            number,
            acknowledged: self.last_received,
            sent_at_us: micros(now),
            echo,
        }
    }

    /// Sends a payload that the peer acknowledges; false if one is in flight or the budget does not allow it.
    pub fn send_reliable(
        &mut self,
        now: Time,
        payload: &Payload,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if !self.is_idle() {
            return false;
        }
        let number = self.last_sent + 1;
        let frame = message::encode(&self.head(now, number), payload);
        if !self.bucket.take(now, frame.len()) {
            return false;
        }
        self.last_sent = number;
        self.outstanding = Some(Outstanding {
            number,
            frame: frame.clone(),
            sent_at: now,
            retransmit_after: RETRANSMIT_TIMEOUT,
        });
        self.push_frame(now, frame, outputs);
        true
    }

    /// Sends a payload without acknowledgement; false if the budget does not allow it.
    pub fn send_unreliable(
        &mut self,
        now: Time,
        payload: &Payload,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let frame = message::encode(&self.head(now, 0), payload);
        let is_sent = self.bucket.take(now, frame.len());
        if is_sent {
            self.push_frame(now, frame, outputs);
        }
        is_sent
    }

    fn push_frame(&mut self, now: Time, frame: Vec<u8>, outputs: &mut Vec<Output>) {
        self.owes_acknowledgement = false;
        self.last_sent_at = now;
        outputs.push(Output::Send {
            to: self.peer,
            frame,
        });
    }

    /// Sends an acknowledgement, if one is owed and no payload has carried it.
    pub fn flush_acknowledgement(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.owes_acknowledgement {
            self.send_unreliable(now, &Payload::Acknowledge, outputs);
        }
    }

    /// Retransmits the payload in flight, if its timeout has passed.
    pub fn retransmit_if_due(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Some(outstanding) = &mut self.outstanding else {
            return;
        };
        if now < outstanding.sent_at + outstanding.retransmit_after {
            return;
        }
        if !self.bucket.take(now, outstanding.frame.len()) {
            return;
        }
        outstanding.sent_at = now;
        outstanding.retransmit_after =
            (2.0 * outstanding.retransmit_after).min(MAX_RETRANSMIT_TIMEOUT);
        let frame = outstanding.frame.clone();
        self.last_sent_at = now;
        outputs.push(Output::Send {
            to: self.peer,
            frame,
        });
    }

    /// When [`Link::flush_acknowledgement`] or [`Link::retransmit_if_due`] has something to do.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let retransmission = self.outstanding.as_ref().map_or(f64::INFINITY, |o| {
            let due = o.sent_at + o.retransmit_after;
            due.max(self.bucket.ready_at(now.max(due), o.frame.len()))
        });
        let acknowledge = if self.owes_acknowledgement {
            self.ready_at(now, 0)
        } else {
            f64::INFINITY
        };
        retransmission.min(acknowledge)
    }
}

/// Upper bound of the transit time of a frame that carries this echo, in seconds; `None` if the echoed time is in the
/// future.
pub fn max_transit_time(now: Time, echo: Echo) -> Option<Time> {
    let since = now - echo.stamp_us as f64 / 1e6;
    let elapsed = echo.elapsed_us as f64 / 1e6;
    (since >= 0.0).then(|| (since / (1.0 - DRIFT) - elapsed / (1.0 + DRIFT)).max(0.0))
}
