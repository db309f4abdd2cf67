//! Attempts to open a session, until the first candidate answers.
//!
//! A candidate that has not answered within [`UpstreamConfig::attempt_delay`] is not given up: the next one is tried in
//! parallel, and the first that answers is followed (RFC 8305, "Happy Eyeballs"). So a dead candidate costs
//! `attempt_delay` and not `open_timeout`, and a slow one can still be followed.
//!
//! All attempts share one send bucket, that of the follower. Used by `upstream::opening`.

use crate::close_reason::CloseReason;
use crate::link::Link;
use crate::message::Payload;
use crate::output::Output;
use crate::peer::PeerId;
use crate::token_bucket::TokenBucket;
use crate::upstream_config::UpstreamConfig;
use crate::Time;

/// Maximum size of a payload that opens a session, in bytes.
const OPEN_PAYLOAD_BYTES: usize = 8;

#[derive(Debug)]
struct Attempt {
    link: Link,
    deadline: Time,
}

/// The attempts in progress; each candidate has one at most.
#[derive(Debug)]
pub(crate) struct SessionAttempts {
    pending: Vec<Attempt>,
    /// Number of attempts begun, including those that have ended.
    begun_count: u32,
    /// When the next candidate may be tried.
    next_at: Time,
}

impl SessionAttempts {
    /// No attempts; the first candidate may be tried at once.
    pub fn new(now: Time) -> SessionAttempts {
        SessionAttempts {
            pending: Vec::new(),
            begun_count: 0,
            next_at: now,
        }
    }

    /// The candidates that are being tried.
    pub fn peers(&self) -> Vec<PeerId> {
        self.pending
            .iter()
            .map(|attempt| attempt.link.peer())
            .collect()
    }

    /// The candidate that was tried last.
    pub fn latest(&self) -> Option<PeerId> {
        self.pending.last().map(|attempt| attempt.link.peer())
    }

    /// Whether no candidate is being tried.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Seconds saved by parallel attempts, compared with trying one candidate after the other.
    pub fn time_saved(&self, config: &UpstreamConfig) -> Time {
        f64::from(self.begun_count.saturating_sub(1))
            * (config.open_timeout - config.attempt_delay).max(0.0)
    }

    /// When the next candidate may be tried.
    pub fn next_at(&self) -> Time {
        self.next_at
    }

    /// Begins an attempt; false if the budget does not allow it.
    pub fn begin(
        &mut self,
        now: Time,
        mut link: Link,
        config: &UpstreamConfig,
        bucket: &mut TokenBucket,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let open = Payload::Open {
            is_relay: config.is_relay,
        };
        let sent = with_shared_bucket(bucket, &mut link, |link| {
            link.send_reliable(now, &open, outputs)
        });
        if sent {
            self.pending.push(Attempt {
                link,
                deadline: now + config.open_timeout,
            });
            self.begun_count += 1;
            self.next_at = now + config.attempt_delay;
        } else {
            self.next_at = opening_ready_at(bucket, now);
        }
        sent
    }

    /// Retransmits the opening frames that were not answered in time.
    pub fn retransmit(&mut self, now: Time, bucket: &mut TokenBucket, outputs: &mut Vec<Output>) {
        for attempt in &mut self.pending {
            with_shared_bucket(bucket, &mut attempt.link, |link| {
                link.retransmit_if_due(now, outputs);
            });
        }
    }

    /// Takes the link of an attempt that was answered.
    pub fn take_answered(&mut self, peer: PeerId, session: u64) -> Option<Link> {
        let answered =
            |attempt: &Attempt| attempt.link.peer() == peer && attempt.link.session() == session;
        let position = self.pending.iter().position(answered)?;
        Some(self.pending.remove(position).link)
    }

    /// Ends the attempts that timed out; returns their candidates.
    pub fn end_timed_out(
        &mut self,
        now: Time,
        bucket: &mut TokenBucket,
        outputs: &mut Vec<Output>,
    ) -> Vec<PeerId> {
        let has_timed_out = |attempt: &Attempt| now >= attempt.deadline;
        let (timed_out, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(has_timed_out);
        self.pending = pending;
        close(timed_out, now, CloseReason::TimedOut, bucket, outputs)
    }

    /// Ends all attempts; returns their candidates.
    pub fn end_all(
        &mut self,
        now: Time,
        bucket: &mut TokenBucket,
        outputs: &mut Vec<Output>,
    ) -> Vec<PeerId> {
        close(
            std::mem::take(&mut self.pending),
            now,
            CloseReason::Replaced,
            bucket,
            outputs,
        )
    }

    /// When something is due, if the next candidate is available at `available_at`.
    pub fn next_wakeup(&self, now: Time, bucket: &TokenBucket, available_at: Time) -> Time {
        let retransmissions = self
            .pending
            .iter()
            .map(|attempt| attempt.link.next_wakeup(now));
        let retransmission = retransmissions
            .fold(f64::INFINITY, f64::min)
            .max(opening_ready_at(bucket, now));
        let timed_out = self
            .pending
            .iter()
            .map(|attempt| attempt.deadline)
            .fold(f64::INFINITY, f64::min);
        retransmission
            .min(timed_out)
            .min(self.next_at.max(available_at))
    }
}

/// When the budget allows an attempt.
fn opening_ready_at(bucket: &TokenBucket, now: Time) -> Time {
    bucket.ready_at(
        now,
        OPEN_PAYLOAD_BYTES + crate::frame::MAX_FRAME_OVERHEAD_BYTES,
    )
}

/// Closes attempts, so that the upstreams do not keep unused sessions.
fn close(
    attempts: Vec<Attempt>,
    now: Time,
    reason: CloseReason,
    bucket: &mut TokenBucket,
    outputs: &mut Vec<Output>,
) -> Vec<PeerId> {
    let close_attempt = |mut attempt: Attempt| {
        let payload = Payload::Close {
            reason,
            retry_after_ms: 0,
        };
        with_shared_bucket(bucket, &mut attempt.link, |link| {
            link.send_unreliable(now, &payload, outputs)
        });
        attempt.link.peer()
    };
    attempts.into_iter().map(close_attempt).collect()
}

/// Calls a function on a link while the link has the bucket that all attempts share.
fn with_shared_bucket<T>(
    bucket: &mut TokenBucket,
    link: &mut Link,
    call: impl FnOnce(&mut Link) -> T,
) -> T {
    std::mem::swap(bucket, link.bucket_mut());
    let result = call(link);
    std::mem::swap(bucket, link.bucket_mut());
    result
}
