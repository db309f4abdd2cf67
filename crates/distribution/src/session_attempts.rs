//! Sessions that have been asked for and that nobody has answered yet.
//!
//! An upstream that has not answered within [`UpstreamConfig::attempt_delay`] is not given up: the next candidate is asked
//! beside it, and the first that answers is followed (connection attempts as in RFC 8305, "Happy Eyeballs"). So each
//! candidate that is dead costs `attempt_delay` in place of `answer`, and one that is slow can still be followed.
//!
//! All attempts take from one bucket, the follower's own.

use crate::link::Link;
use crate::message::Payload;
use crate::output::Output;
use crate::peer::PeerId;
use crate::session_end::CloseReason;
use crate::token_bucket::TokenBucket;
use crate::upstream_config::UpstreamConfig;
use crate::Time;

/// What the beginning of a session takes in a frame at most, beside the frame's own head, in bytes.
const OPEN_PAYLOAD_BYTES: usize = 8;

#[derive(Debug)]
struct Attempt {
    link: Link,
    deadline: Time,
}

/// See the module. There are no more attempts than candidates, since none is asked twice at once.
#[derive(Debug)]
pub(crate) struct SessionAttempts {
    pending: Vec<Attempt>,
    /// How many were begun, those that have ended among them.
    begun_count: u32,
    /// When the next candidate may be asked.
    next_at: Time,
}

impl SessionAttempts {
    /// None yet; the first candidate may be asked at once.
    pub fn new(now: Time) -> SessionAttempts {
        SessionAttempts {
            pending: Vec::new(),
            begun_count: 0,
            next_at: now,
        }
    }

    /// Who has been asked.
    pub fn peers(&self) -> Vec<PeerId> {
        self.pending
            .iter()
            .map(|attempt| attempt.link.peer())
            .collect()
    }

    /// Who was asked last.
    pub fn latest(&self) -> Option<PeerId> {
        self.pending.last().map(|attempt| attempt.link.peer())
    }

    /// Whether nobody is asked at present.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// How much sooner all were asked than one after the other, in seconds.
    pub fn time_saved(&self, rules: &UpstreamConfig) -> Time {
        f64::from(self.begun_count.saturating_sub(1))
            * (rules.open_timeout - rules.attempt_delay).max(0.0)
    }

    /// When the next candidate may be asked.
    pub fn next_at(&self) -> Time {
        self.next_at
    }

    /// Asks for a session; whether the budget allowed it.
    pub fn begin(
        &mut self,
        now: Time,
        mut link: Link,
        rules: &UpstreamConfig,
        bucket: &mut TokenBucket,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let open = Payload::Open {
            is_relay: rules.is_relay,
        };
        let sent = with_shared_bucket(bucket, &mut link, |link| {
            link.send_reliable(now, &open, outputs)
        });
        if sent {
            self.pending.push(Attempt {
                link,
                deadline: now + rules.open_timeout,
            });
            self.begun_count += 1;
            self.next_at = now + rules.attempt_delay;
        } else {
            self.next_at = link_ready(bucket, now);
        }
        sent
    }

    /// Asks again where an answer is late.
    pub fn retransmit(&mut self, now: Time, bucket: &mut TokenBucket, outputs: &mut Vec<Output>) {
        for attempt in &mut self.pending {
            with_shared_bucket(bucket, &mut attempt.link, |link| {
                link.retransmit_if_due(now, outputs)
            });
        }
    }

    /// The attempt of this session, which has been answered.
    pub fn take_answered(&mut self, peer: PeerId, session: u64) -> Option<Link> {
        let answered =
            |attempt: &Attempt| attempt.link.peer() == peer && attempt.link.session() == session;
        let position = self.pending.iter().position(answered)?;
        Some(self.pending.remove(position).link)
    }

    /// Ends the attempts that were not answered in time; gives back whom they asked.
    pub fn end_timed_out(
        &mut self,
        now: Time,
        bucket: &mut TokenBucket,
        outputs: &mut Vec<Output>,
    ) -> Vec<PeerId> {
        let is_late = |attempt: &Attempt| now >= attempt.deadline;
        let (late, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(is_late);
        self.pending = pending;
        close(late, now, CloseReason::TimedOut, bucket, outputs)
    }

    /// Ends all attempts; gives back whom they asked.
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

    /// When something is due, where the next candidate is free at `free_at`.
    pub fn next_wakeup(&self, now: Time, bucket: &TokenBucket, free_at: Time) -> Time {
        let repeats = self
            .pending
            .iter()
            .map(|attempt| attempt.link.next_wakeup(now));
        let repeat = repeats
            .fold(f64::INFINITY, f64::min)
            .max(link_ready(bucket, now));
        let late = self
            .pending
            .iter()
            .map(|attempt| attempt.deadline)
            .fold(f64::INFINITY, f64::min);
        repeat.min(late).min(self.next_at.max(free_at))
    }
}

/// When the budget allows the beginning of a session.
fn link_ready(bucket: &TokenBucket, now: Time) -> Time {
    bucket.ready_at(
        now,
        OPEN_PAYLOAD_BYTES + crate::frame::MAX_FRAME_OVERHEAD_BYTES,
    )
}

/// Guards against sessions that an upstream keeps though nobody wants them any more. Harm: one small frame for each.
fn close(
    attempts: Vec<Attempt>,
    now: Time,
    reason: CloseReason,
    bucket: &mut TokenBucket,
    outputs: &mut Vec<Output>,
) -> Vec<PeerId> {
    let end = |mut attempt: Attempt| {
        let payload = Payload::Close {
            reason,
            retry_after_ms: 0,
        };
        with_shared_bucket(bucket, &mut attempt.link, |link| {
            link.send_unreliable(now, &payload, outputs)
        });
        attempt.link.peer()
    };
    attempts.into_iter().map(end).collect()
}

/// Lets a link take from a bucket that it shares with others.
fn with_shared_bucket<T>(
    bucket: &mut TokenBucket,
    link: &mut Link,
    act: impl FnOnce(&mut Link) -> T,
) -> T {
    std::mem::swap(bucket, link.bucket_mut());
    let result = act(link);
    std::mem::swap(bucket, link.bucket_mut());
    result
}
