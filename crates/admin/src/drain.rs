//! The drain of a node: whether the node reports itself as healthy, and when idle connections are closed.
//!
//! | state | healthy | after an answer | idle connections |
//! | --- | --- | --- | --- |
//! | serving | yes | the connection stays open | stay open |
//! | draining | no, immediately | the connection is closed | are closed at [`Drain::idle_deadline`] |

use crate::Time;

/// Seconds from the beginning of the drain during which an idle connection may receive one more request, whose answer
/// announces the close. Closing the connection while a request is on its way would cost the client a retry.
pub const IDLE_GRACE: Time = 1.2;
/// The same time for a connection that is opened or becomes idle during the drain, counted from that moment.
pub const LATE_IDLE_GRACE: Time = 0.4;

/// Whether a node is draining.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    since: Option<Time>,
}

impl Drain {
    /// Restores the drain that another process or an earlier run has stored; `None` or a time that is not finite is no
    /// drain.
    pub fn new(since: Option<Time>) -> Self {
        Drain {
            since: since.filter(|since| since.is_finite()),
        }
    }

    /// Begins the drain; has no effect if it has begun already.
    pub fn begin(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// Ends the drain.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// When the drain began.
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    /// Whether the node is draining. Then it is not healthy, and closes each connection after its next answer.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// When a connection that has been idle since `idle_since` is closed; `None` if the node is not draining.
    pub fn idle_deadline(&self, idle_since: Time) -> Option<Time> {
        self.since
            .map(|since| (since + IDLE_GRACE).max(idle_since + LATE_IDLE_GRACE))
    }
}
