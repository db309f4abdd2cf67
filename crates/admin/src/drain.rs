//! Draining a node: whether it is healthy, and when idle connections are closed.
//!
//! | state | health | answers | idle connections |
//! | --- | --- | --- | --- |
//! | serving | yes | keep the connection | stay |
//! | draining | no, at once | end the connection | are closed after [`Drain::idle_deadline`] |

use crate::Time;

/// Seconds from the beginning of the drain in which an idle connection may carry one more request, whose answer announces
/// the close: a close that crosses a request would cost the client a retry.
pub const IDLE_GRACE: Time = 1.2;
/// The same for a connection that is opened or becomes idle during the drain, from that moment on.
pub const LATE_IDLE_GRACE: Time = 0.4;

/// Whether a node is draining.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    since: Option<Time>,
}

impl Drain {
    /// The drain of another process or an earlier run.
    pub fn new(since: Option<Time>) -> Self {
        Drain {
            since: since.filter(|since| since.is_finite()),
        }
    }

    /// Begins the drain, unless it has begun already.
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

    /// Whether the node is draining: it is not healthy, and each answer ends its connection.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// When a connection that has been idle since `idle_since` is closed; `None` while the node serves.
    pub fn idle_deadline(&self, idle_since: Time) -> Option<Time> {
        self.since
            .map(|since| (since + IDLE_GRACE).max(idle_since + LATE_IDLE_GRACE))
    }
}
