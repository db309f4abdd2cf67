//! What happens to requests that are not simply answered: counted, and logged with their ids.
//!
//! `upstream` and `pool` record attempts, [`StreamedAnswer`](super::answer::StreamedAnswer) how answers end that are forwarded
//! unfinished, and `frontend` the final answers that are no server's. Operators read the counts on the management address.

#[cfg(test)]
mod tests;

use super::answer::AnswerBreak;
use super::Log;
use reelfall_balancer::interface::Outcome;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Lines that may be logged in a second about attempts and answers.
const ATTEMPT_LINES_PER_SECOND: u32 = 20;
/// Lines that may be logged in a second about final answers that are no server's. An overload refuses many requests.
const FINAL_LINES_PER_SECOND: u32 = 5;

/// An event in the life of a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestEvent {
    /// An attempt has ended without an answer.
    AttemptEnded {
        /// Its number, from 0.
        attempt: u32,
        /// `None` for a server that is no longer in use.
        server: Option<SocketAddr>,
        outcome: Outcome,
        /// The time since the attempt began.
        after: Duration,
    },
    /// A further attempt is made.
    Retried {
        /// Its number, from 1.
        attempt: u32,
        /// `None` for a server that is no longer in use.
        server: Option<SocketAddr>,
    },
    /// The client's time is up, and what has come of its answer is forwarded.
    ForwardedIncomplete {
        server: Option<SocketAddr>,
        received_bytes: u64,
        /// How long the server has been silent.
        silence: Duration,
    },
    /// An answer that was forwarded incomplete has ended early.
    BrokenOff {
        reason: AnswerBreak,
        received_bytes: u64,
        /// The time since the first of it was forwarded.
        after: Duration,
    },
    /// The client was told that trying again is harmless.
    Rejected,
    /// The client was told that the request has failed, by the outcome of its last attempt.
    Failed(Option<Outcome>),
    /// The client was told that there is no answer in time.
    Unanswered,
}

impl RequestEvent {
    /// The name of its counter.
    fn counter(&self) -> &'static str {
        match self {
            RequestEvent::AttemptEnded { outcome, .. } => match outcome {
                Outcome::Served => "attempts_served",
                Outcome::Error => "attempts_answered_with_error",
                Outcome::Rejected => "attempts_rejected",
                Outcome::ConnectFailed => "attempts_not_connected",
                Outcome::ConnectionLost => "attempts_broken",
                Outcome::TimedOut => "attempts_timed_out",
                Outcome::Cancelled => "attempts_cancelled",
                Outcome::NotSent => "attempts_not_sent",
            },
            RequestEvent::Retried { .. } => "requests_retried",
            RequestEvent::ForwardedIncomplete { .. } => "answers_forwarded_incomplete",
            RequestEvent::BrokenOff { reason, .. } => match reason {
                AnswerBreak::TooLarge => "answers_broken_off_too_large",
                AnswerBreak::ServerSilent => "answers_broken_off_server_silent",
                AnswerBreak::Late => "answers_broken_off_late",
                AnswerBreak::ConnectionLost => "answers_broken_off_connection_lost",
                AnswerBreak::Abandoned => "answers_broken_off_client_gone",
            },
            RequestEvent::Rejected => "requests_rejected",
            RequestEvent::Failed(_) => "requests_failed",
            RequestEvent::Unanswered => "requests_unanswered",
        }
    }

    fn is_final_answer(&self) -> bool {
        matches!(
            self,
            RequestEvent::Rejected | RequestEvent::Failed(_) | RequestEvent::Unanswered
        )
    }
}

impl fmt::Display for RequestEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RequestEvent::AttemptEnded {
                attempt,
                server,
                outcome,
                after,
            } => {
                let server = ServerText(*server);
                write!(f, "attempt {attempt} at {server} ended after {after:.3?}: {outcome:?}")
            }
            RequestEvent::Retried { attempt, server } => {
                write!(f, "attempt {attempt} begins at {}", ServerText(*server))
            }
            RequestEvent::ForwardedIncomplete {
                server,
                received_bytes,
                silence,
            } => write!(
                f,
                "its time is up; {received_bytes} bytes have come from {}, the last {silence:.3?} ago, and are forwarded",
                ServerText(*server)
            ),
            RequestEvent::BrokenOff {
                reason,
                received_bytes,
                after,
            } => write!(
                f,
                "its answer was broken off after {received_bytes} bytes, {after:.3?} after its start was forwarded: {reason}"
            ),
            RequestEvent::Rejected => f.write_str("rejected"),
            RequestEvent::Failed(Some(outcome)) => write!(f, "failed: {outcome:?}"),
            RequestEvent::Failed(None) => f.write_str("failed"),
            RequestEvent::Unanswered => f.write_str("no answer in time"),
        }
    }
}

/// The address of a server for the log.
struct ServerText(Option<SocketAddr>);

impl fmt::Display for ServerText {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(address) => write!(f, "{address}"),
            None => f.write_str("a former server"),
        }
    }
}

/// Counts and logs the events of all requests of a process.
pub struct RequestEvents {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    attempt_log: Log,
    final_log: Log,
}

impl Default for RequestEvents {
    fn default() -> Self {
        RequestEvents {
            counts: RefCell::default(),
            attempt_log: Log::with_limit(ATTEMPT_LINES_PER_SECOND),
            final_log: Log::with_limit(FINAL_LINES_PER_SECOND),
        }
    }
}

impl RequestEvents {
    /// Records an event of the request with this id.
    pub fn record(&self, id: &str, event: &RequestEvent) {
        *self.counts.borrow_mut().entry(event.counter()).or_default() += 1;
        let log = if event.is_final_answer() {
            &self.final_log
        } else {
            &self.attempt_log
        };
        log.write_line(format_args!("request {id}: {event}"));
    }

    /// The counts since the start of the process, a line for each kind of event that has occurred.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, count) in &*self.counts.borrow() {
            // Writing to a string does not fail.
            let _ = writeln!(text, "reelfall_{name}_total {count}");
        }
        text
    }
}
