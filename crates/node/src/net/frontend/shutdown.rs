//! Closing client connections on SIGTERM, and while an operator drains the node.

use super::{Frontend, HandoverState};
use crate::net::client::Phase;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connections are still accepted after SIGTERM: clients may connect for 0.4 s after it.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// The most of the longest deadline that counts for the time until SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// SIGKILL follows this long after the longest deadline that counts at the earliest.
const KILL_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);
/// How long after SIGTERM a process may serve at the most, unless it forwards answers that are incomplete.
pub const SHUTDOWN_TIME: Duration =
    MAX_COUNTED_DEADLINE.saturating_add(KILL_AFTER_LONGEST_DEADLINE);
/// The process ends this long before SIGKILL.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(100);
/// Requests without an answer are answered this long before the end of the process.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);
/// The time for these answers to be written, also by a process that was held up.
const MIN_LAST_ANSWERS_TIME: Duration = Duration::from_millis(30);
/// How often a node that is being drained closes idle connections.
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);
/// How long the process goes on after its time for answers that are forwarded incomplete, if it is not killed.
const MAX_STREAMING_TIME: Duration = Duration::from_secs(60);
/// Time reserved at the end for clients that no successor takes over.
const FINAL_DRAIN_TIME: Duration = Duration::from_millis(400);

/// The times of a shutdown, all of which count from SIGTERM. What the process waits for in a shutdown ends at
/// [`Shutdown::ends_at`] at the latest, and nothing is awaited before the clock starts.
pub struct Shutdown {
    begins_at: Instant,
    ends_at: Instant,
}

/// The current phase of the shutdown, and when it ends at the latest.
struct ShutdownStep {
    until: Instant,
    /// Whether idle connections are closed, and nothing is accepted any more unless a successor that is not ready has the
    /// listeners too.
    is_draining: bool,
}

impl Shutdown {
    /// The shutdown of a process that received SIGTERM at this time.
    pub fn begin(frontend: &Frontend, terminated_at: Instant) -> Shutdown {
        let longest_deadline = frontend.routing.borrow().longest_deadline();
        let counted_deadline = longest_deadline.min(MAX_COUNTED_DEADLINE);
        let killed_at = terminated_at + counted_deadline + KILL_AFTER_LONGEST_DEADLINE;
        Shutdown {
            begins_at: terminated_at,
            ends_at: killed_at - EXIT_BEFORE_KILL,
        }
    }

    /// When the process ends, except for answers that are forwarded incomplete.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    fn last_answers_at(&self) -> Instant {
        self.ends_at - LAST_ANSWERS_TIME
    }

    fn step(&self, now: Instant, handover: Option<&dyn HandoverState>) -> ShutdownStep {
        let hands_over = handover.is_some_and(HandoverState::hands_over);
        let shares_listeners = handover.is_some_and(HandoverState::shares_listeners);
        let accept_until = self.begins_at + ACCEPT_GRACE;
        let await_successor_until = self.ends_at - FINAL_DRAIN_TIME;
        let (until, is_draining) = if hands_over {
            (self.ends_at, false)
        } else if shares_listeners && now < await_successor_until {
            (await_successor_until, false)
        } else if !shares_listeners && now < accept_until {
            (accept_until, false)
        } else {
            (self.ends_at, true)
        };
        ShutdownStep { until, is_draining }
    }
}

impl Frontend {
    /// Serves clients during the shutdown, until all clients have disconnected or time is up. A request may have a deadline
    /// after the end of the process; it is answered as timed out before the end. Answers that are forwarded incomplete are
    /// not cut off: the process goes on for them until it is killed.
    pub async fn shut_down(self: &Rc<Self>, shutdown: &Shutdown) {
        let handover = self.handover.borrow().clone();
        let handover = handover.as_deref();
        if let Some(handover) = handover {
            handover.terminate();
        }
        let mut ends_at = shutdown.ends_at;
        loop {
            let now = Instant::now();
            let shares_listeners = handover.is_some_and(HandoverState::shares_listeners);
            let step = shutdown.step(now, handover);
            // Clients that are handed over to a successor need not reconnect.
            self.is_stopping.set(!shares_listeners || step.is_draining);
            if now >= shutdown.last_answers_at() && !self.is_exit_imminent() {
                self.give_last_answers(handover);
                ends_at = ends_at.max(now + MIN_LAST_ANSWERS_TIME);
            }
            let is_time_up = now >= ends_at;
            if step.is_draining || is_time_up {
                self.drain_clients(handover, shares_listeners);
            }
            let is_last_step = step.until == shutdown.ends_at;
            if is_last_step && self.clients.borrow().is_empty() {
                return;
            }
            let streaming_until = shutdown.ends_at + MAX_STREAMING_TIME;
            if is_time_up && (!self.is_streaming() || now >= streaming_until) {
                return;
            }
            let wake_at = if is_time_up {
                streaming_until
            } else if self.is_exit_imminent() {
                ends_at
            } else {
                step.until.min(shutdown.last_answers_at())
            };
            self.wait_for_progress(wake_at).await;
        }
    }

    /// Waits until a client's connection has ended, the handover has changed, or this time.
    async fn wait_for_progress(&self, until: Instant) {
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = self.client_ended.notified() => {}
            () = self.handover_changed.notified() => {}
        }
    }

    /// Answers all requests that have no answer yet, since the process is about to end. From now on nothing is sent to servers,
    /// and no more connections are accepted: those in the backlog are left to a successor.
    fn give_last_answers(&self, handover: Option<&dyn HandoverState>) {
        self.is_exit_imminent.set(true);
        self.exit_imminent.notify_waiters();
        if let Some(handover) = handover {
            handover.end_accepting();
        }
        self.notify_handover_changed();
        for client in self.clients.borrow().values() {
            // Its last byte could otherwise arrive unread.
            if client.phase.get() == Phase::Receiving {
                client
                    .rejection_status
                    .set(Some(StatusCode::SERVICE_UNAVAILABLE));
                client.wake.notify_one();
            }
        }
    }

    /// Whether an answer is forwarded to a client while its server still writes it.
    fn is_streaming(&self) -> bool {
        let clients = self.clients.borrow();
        clients.values().any(|client| client.is_answer_unfinished())
    }

    /// Stops accepting, and closes every connection as soon as no request is in progress on it.
    fn drain_clients(
        self: &Rc<Self>,
        handover: Option<&dyn HandoverState>,
        shares_listeners: bool,
    ) {
        if let Some(handover) = handover {
            handover.end_accept_grace();
        }
        if !shares_listeners {
            self.set_listeners(Vec::new());
        }
        for client in self.clients.borrow().values() {
            if !client.close_when_idle.replace(true) {
                client.wake.notify_one();
            }
        }
    }

    /// Closes idle connections while an operator drains the node, each at its own deadline.
    pub async fn close_idle_while_draining(self: Rc<Self>) {
        loop {
            if !self.shared.is_draining() {
                self.shared.drain_changed.notified().await;
                continue;
            }
            for client in self.clients.borrow().values() {
                let is_idle = matches!(client.phase.get(), Phase::New | Phase::Idle);
                let idle_until = self.shared.idle_deadline(client.phase_since.get());
                if is_idle && idle_until.is_some_and(|until| until <= Instant::now()) {
                    client.close_when_idle.set(true);
                    client.wake.notify_one();
                }
            }
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    }
}
