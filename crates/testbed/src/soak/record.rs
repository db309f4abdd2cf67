//! What clients and servers saw on a day of endings, by one clock. Written by `client` and `endings`, read by `judge`.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole response came.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is the response to this request, as far as its body tells.
        is_own: bool,
    },
    /// The response was cut short, and its client can tell.
    CutShort,
    /// The connection ended without a byte of the response.
    ConnectionEnded {
        /// By a reset, and not in order.
        was_reset: bool,
        /// An earlier response on the connection said that it would be closed.
        was_announced: bool,
    },
    /// The client closed the connection.
    ClientLeft,
    /// The client gave up waiting.
    NoAnswer,
}

impl RequestEnd {
    /// The status of the response, if there is one.
    pub fn status(&self) -> Option<u16> {
        match self {
            RequestEnd::Answered { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Whether the response says that the request had no effect, and can be repeated.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status(), Some(429 | 503))
    }
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Whether it must have its effect at most once.
    pub at_most_once: bool,
    /// Its client.
    pub client: String,
    /// The number of its connection among those of its client.
    pub connection: u64,
    /// When its last byte was written.
    pub written_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// The text of an answer other than 200.
    pub failure_text: Option<String>,
}

impl RequestRecord {
    /// What tells its connection from all others.
    pub(super) fn connection_key(&self) -> (&str, u64) {
        (&self.client, self.connection)
    }
}

/// What happened at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// An attempt arrived.
    Received,
    /// The request took effect.
    Executed,
}

/// An event at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// The server's index.
    pub server: usize,
    /// The request's id.
    pub id: String,
    /// What happened.
    pub event: ServerEvent,
    /// When.
    pub at: Duration,
}

/// Something that was done to the node, or that it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// When.
    pub at: Duration,
    /// What.
    pub text: String,
}

/// All that was seen.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    requests: Mutex<Vec<RequestRecord>>,
    server_events: Mutex<Vec<ServerRecord>>,
    notes: Mutex<Vec<Note>>,
    /// Notified when a request has ended.
    request_ended: Notify,
}

impl Record {
    /// An empty record, whose clock starts now.
    pub fn start() -> Record {
        Record {
            started: Instant::now(),
            requests: Mutex::default(),
            server_events: Mutex::default(),
            notes: Mutex::default(),
            request_ended: Notify::new(),
        }
    }

    /// A record of what was seen elsewhere, whose clock starts now.
    pub fn of(requests: Vec<RequestRecord>, server_events: Vec<ServerRecord>) -> Record {
        Record {
            started: Instant::now(),
            requests: Mutex::new(requests),
            server_events: Mutex::new(server_events),
            notes: Mutex::default(),
            request_ended: Notify::new(),
        }
    }

    /// The time on the record's clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The moment at which the record's clock started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Adds a request that has ended.
    pub fn add_request(&self, request: RequestRecord) {
        lock(&self.requests).push(request);
        self.request_ended.notify_waiters();
    }

    /// Returns once a request of each kind has an answer.
    pub async fn first_answers(&self) {
        loop {
            // Registered before the search, so that none between the two is missed.
            let request_ended = self.request_ended.notified();
            if self.has_answers() {
                return;
            }
            request_ended.await;
        }
    }

    fn has_answers(&self) -> bool {
        let requests = lock(&self.requests);
        let mut answered = requests
            .iter()
            .filter(|request| request.end.status().is_some());
        let is_at_most_once = answered.next().map(|first| first.at_most_once);
        is_at_most_once.is_some_and(|first| answered.any(|request| request.at_most_once != first))
    }

    /// Adds an event at a server, which happens now.
    pub fn add_server_event(&self, server: usize, id: &str, event: ServerEvent) {
        let id = id.to_owned();
        let mut events = lock(&self.server_events);
        let at = self.now();
        events.push(ServerRecord {
            server,
            id,
            event,
            at,
        });
    }

    /// Adds a note of what happens now.
    pub fn add_note(&self, text: impl Into<String>) {
        let (at, text) = (self.now(), text.into());
        lock(&self.notes).push(Note { at, text });
    }

    /// The requests that have ended.
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.requests).clone()
    }

    /// The events at servers, in order.
    pub fn server_events(&self) -> Vec<ServerRecord> {
        lock(&self.server_events).clone()
    }

    /// All of it as text, a line for each event, in the order of their times.
    pub fn to_text(&self) -> String {
        let mut lines: Vec<(Duration, String)> = Vec::new();
        for request in self.requests() {
            let id = &request.id;
            lines.push((request.written_at, format!("client wrote {id}")));
            let connection = request.connection;
            let end = format!(
                "client {id}: {:?}, on its connection {connection}",
                request.end
            );
            lines.push((request.ended_at, end));
        }
        for event in self.server_events() {
            let ServerRecord { server, id, .. } = &event;
            lines.push((event.at, format!("server {server} {id}: {:?}", event.event)));
        }
        for note in lock(&self.notes).iter() {
            lines.push((note.at, note.text.clone()));
        }
        lines.sort_by_key(|(at, _)| *at);
        lines
            .into_iter()
            .map(|(at, text)| format!("{:9.4} {text}\n", at.as_secs_f64()))
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
