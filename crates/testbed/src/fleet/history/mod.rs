//! The history of a fleet: all events, by a single clock.
//!
//! The clients, the servers and the fleet itself record events; [`invariants`](super::invariants),
//! [`queries`](super::queries) and the tests read them.

mod event;

pub use event::{Event, TimedEvent};

use super::error::FleetError;
use crate::node::WAIT_TIMEOUT;
use crate::Result;
use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Number of lines of the history in the error of a wait that timed out.
pub(super) const ERROR_CONTEXT_LINES: usize = 40;

/// Events in the order of their times. All writers share one.
pub struct History {
    started: Instant,
    events: Mutex<Vec<TimedEvent>>,
    appended: Notify,
}

impl History {
    /// Creates an empty history, whose clock starts now.
    pub fn start() -> History {
        History {
            started: Instant::now(),
            events: Mutex::default(),
            appended: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TimedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends an event with the current time. The times of events never decrease.
    pub fn record(&self, event: Event) {
        let mut events = self.lock();
        let at = self.started.elapsed();
        events.push(TimedEvent { at, event });
        drop(events);
        self.appended.notify_waiters();
    }

    /// All events so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.lock().clone()
    }

    /// Number of events so far.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no event yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The current time by the clock of this history.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits for a wanted event at the index `from` or later, and returns its time.
    ///
    /// # Errors
    /// Fails if there is none within [`WAIT_TIMEOUT`].
    pub async fn wait_for(
        &self,
        from: usize,
        is_wanted: impl Fn(&Event) -> bool,
    ) -> Result<Duration> {
        let find = || {
            let events = self.lock();
            let mut candidates = events.iter().skip(from);
            candidates
                .find(|entry| is_wanted(&entry.event))
                .map(|entry| entry.at)
        };
        let wait = async {
            loop {
                // Registered before the search, so that no event between the two is missed.
                let appended = self.appended.notified();
                match find() {
                    Some(at) => return at,
                    None => appended.await,
                }
            }
        };
        let found = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
        found.map_err(|_| {
            let tail = self.tail(ERROR_CONTEXT_LINES);
            FleetError::EventTimeout { tail }.into()
        })
    }

    /// Formats the last events without the usual ones of requests, at most `count` lines.
    pub fn tail(&self, count: usize) -> String {
        let events = self.lock();
        let is_shown = |entry: &&TimedEvent| !entry.event.is_request_traffic();
        let mut last: Vec<&TimedEvent> = events.iter().rev().filter(is_shown).take(count).collect();
        last.reverse();
        let mut text = String::new();
        for TimedEvent { at, event } in last {
            // Writing to a string never fails.
            let _ = writeln!(text, "{:8.3} {event}", at.as_secs_f64());
        }
        text
    }

    /// Formats all events for a file, one line each.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for TimedEvent { at, event } in self.events() {
            // Writing to a string never fails.
            let _ = match event {
                Event::ScheduleStep(line) => {
                    writeln!(text, "{:9.4} fault {line}", at.as_secs_f64())
                }
                event => writeln!(text, "{:9.4} {event}", at.as_secs_f64()),
            };
        }
        text
    }
}
