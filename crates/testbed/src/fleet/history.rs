//! All that happened, by one clock.

use crate::node::WAIT_TIMEOUT;
use crate::Result;
use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process begins.
    Began {
        /// Where.
        node: usize,
    },
    /// It was killed.
    Killed {
        /// Where.
        node: usize,
    },
    /// It was told to end.
    Told {
        /// Where.
        node: usize,
    },
    /// It has ended.
    Ended {
        /// Where.
        node: usize,
    },
    /// It stands still from here on.
    Froze {
        /// Where.
        node: usize,
    },
    /// It goes on.
    Thawed {
        /// Where.
        node: usize,
    },
    /// It wrote a line. Nothing is judged by it.
    Said {
        /// Where.
        node: usize,
        /// The line.
        line: String,
    },
    /// A client asked.
    Asked {
        /// Which node.
        node: usize,
        /// The request's id.
        id: String,
        /// A second run would do harm.
        risky: bool,
    },
    /// A client has its answer, or its connection broke.
    Answered {
        /// Which node.
        node: usize,
        /// The request's id.
        id: String,
        /// The status; `None` for a connection that broke.
        status: Option<u16>,
    },
    /// A request came to a server.
    Attempt {
        /// Which one.
        server: usize,
        /// The request's id.
        id: String,
    },
    /// It had its effect there.
    Effect {
        /// Which one.
        server: usize,
        /// The request's id.
        id: String,
    },
    /// An operator was told that a server is out.
    Banned {
        /// By which node.
        node: usize,
        /// The server.
        server: usize,
        /// For how long.
        seconds: Option<u32>,
    },
    /// An operator calls a server back.
    Lifted {
        /// At which node.
        node: usize,
        /// The server.
        server: usize,
    },
    /// A holder of a lease has acted.
    Acted {
        /// Which lease.
        lease: String,
        /// Its token.
        token: u64,
        /// The holder.
        by: String,
        /// The resource has let it.
        let_by: bool,
    },
    /// A fault begins or ends.
    Fault(String),
}

/// See the module.
pub struct History {
    begun: Instant,
    events: Mutex<Vec<(Duration, Event)>>,
    more: Notify,
}

impl History {
    /// An empty one, whose clock begins now.
    pub fn begin() -> History {
        History {
            begun: Instant::now(),
            events: Mutex::default(),
            more: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Duration, Event)>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds what happens now. Moments never go back.
    pub fn add(&self, event: Event) {
        let mut events = self.lock();
        events.push((self.begun.elapsed(), event));
        drop(events);
        self.more.notify_waiters();
    }

    /// What has happened so far.
    pub fn events(&self) -> Vec<(Duration, Event)> {
        self.lock().clone()
    }

    /// How much has happened.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Nothing has happened.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Now, by this clock.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Waits for something that happens, from a place in the history on.
    ///
    /// # Errors
    /// If it does not.
    pub async fn until(&self, from: usize, is: impl Fn(&Event) -> bool) -> Result<Duration> {
        let wait = async {
            loop {
                let more = self.more.notified();
                let found = self
                    .lock()
                    .iter()
                    .skip(from)
                    .find(|(_, e)| is(e))
                    .map(|(at, _)| *at);
                match found {
                    Some(at) => return at,
                    None => more.await,
                }
            }
        };
        let found = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
        found.map_err(|_| format!("it does not happen\n{}", self.tail(40)).into())
    }

    /// The last lines, requests apart.
    pub fn tail(&self, n: usize) -> String {
        let events = self.lock();
        let dull = |e: &Event| {
            matches!(
                e,
                Event::Asked { .. }
                    | Event::Answered { .. }
                    | Event::Attempt { .. }
                    | Event::Effect { .. }
            )
        };
        let mut last: Vec<_> = events
            .iter()
            .rev()
            .filter(|(_, e)| !dull(e))
            .take(n)
            .collect();
        last.reverse();
        last.iter().fold(String::new(), |mut text, (at, event)| {
            // A text takes all that is written to it.
            let _ = writeln!(text, "{:8.3} {event:?}", at.as_secs_f64());
            text
        })
    }
}
