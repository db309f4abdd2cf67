//! What clients and servers observed in a run, by a single clock. Written by the clients and the servers, read by `checker`.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response arrived.
    Answered {
        /// Status code.
        status: u16,
        /// Whether it is the response to this request: the body of a 200 must be the request's id.
        is_own: bool,
    },
    /// The response was truncated, detectably for the client.
    CutShort,
    /// The connection ended before the first byte of the response.
    ConnectionEnded {
        /// It was reset, not closed in order.
        was_reset: bool,
        /// An earlier response on the connection announced the close.
        was_announced: bool,
    },
    /// The client closed the connection.
    ClientDisconnected,
    /// The client stopped waiting for a response.
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

    /// Whether the response says that the request had no effect and can be retried.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status(), Some(429 | 503))
    }
}

/// A request and its end, as recorded by its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Unique id, sent as the correlation id.
    pub id: String,
    /// Whether it must be executed at most once.
    pub at_most_once: bool,
    /// Name of the client.
    pub client: String,
    /// Number of the connection among those of its client, from 1.
    pub connection: u64,
    /// When its last byte was written.
    pub written_at: Duration,
    /// When the client had its end.
    pub ended_at: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// Body of an answer other than 200.
    pub failure_text: Option<String>,
}

impl RequestRecord {
    /// Identifies the connection among those of all clients.
    pub(super) fn connection_key(&self) -> (&str, u64) {
        (&self.client, self.connection)
    }
}

/// Kind of an event at a server.
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
    /// Index of the server.
    pub server: usize,
    /// Id of the request.
    pub id: String,
    /// Kind of the event.
    pub event: ServerEvent,
    /// Time of the event, by the clock of the record.
    pub at: Duration,
}

/// A note about the node or the test, for the text of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Time of the note, by the clock of the record.
    pub at: Duration,
    /// What happened.
    pub text: String,
}

/// All observations of a run.
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
    /// Creates an empty record, whose clock starts now.
    pub fn start() -> Record {
        Record {
            started: Instant::now(),
            requests: Mutex::default(),
            server_events: Mutex::default(),
            notes: Mutex::default(),
            request_ended: Notify::new(),
        }
    }

    /// Creates a record with given contents, whose clock starts now.
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

    /// When the record's clock started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Adds a request that has ended.
    pub fn add_request(&self, request: RequestRecord) {
        lock(&self.requests).push(request);
        self.request_ended.notify_waiters();
    }

    /// Waits until both an at-most-once request and another one have an answer.
    pub async fn first_answers(&self) {
        loop {
            // Registered before the check, so that no request that ends in between is missed.
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

    /// Adds an event at a server, with the current time.
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

    /// Adds a note, with the current time.
    pub fn add_note(&self, text: impl Into<String>) {
        let (at, text) = (self.now(), text.into());
        lock(&self.notes).push(Note { at, text });
    }

    /// The requests that have ended.
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.requests).clone()
    }

    /// The events at servers, in the order of their times.
    pub fn server_events(&self) -> Vec<ServerRecord> {
        lock(&self.server_events).clone()
    }

    /// Formats the record, one line per event, in the order of their times.
    pub fn to_text(&self) -> String {
        let mut lines: Vec<(Duration, String)> = Vec::new();
        for request in self.requests() {
            let id = &request.id;
            lines.push((request.written_at, format!("client wrote {id}")));
            let connection = request.connection;
            let end = format!("client {id}: {:?}, on connection {connection}", request.end);
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
