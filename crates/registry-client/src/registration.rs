//! Registers this node: creates the entry by which peers and load balancers find it, and removes it on shutdown.
//!
//! | state | next state |
//! | --- | --- |
//! | idle | when registration is requested and the session is connected: reading |
//! | reading | no entry: creating; an entry of this session: registered; of an earlier run of this node: removing stale; of another owner: waiting |
//! | creating | created, or an entry exists: reading |
//! | removing stale | removed: creating; changed since it was read: reading |
//! | registered | removed by another client: reading |
//! | waiting | the other owner's entry is removed, or [`RETRY_INTERVAL`] has passed: reading |
//! | deregistering | removed, or the request rejected: idle; the end of the session removes an entry that may not be deleted |
//! | any | request rejected: waiting; connection lost: idle, since only the registry knows what was executed and whether the entry exists |
//!
//! The path is fixed, so that a node never has two entries. A create request whose response was lost may have been
//! executed, so the entry is always read after a connect. The entry of an earlier run would attract requests to a
//! process that has ended, or to this one before it is ready, so it is deleted (only in the version that was read) and
//! created again by this session. The entry of a later run takes precedence, since this process is about to end.

use crate::session::{Event, TokenRequest};
use crate::wire::{Acl, Op, OperationError, Response, Stat, WatchEvent, WatchEventKind};
use crate::Time;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Interval at which the entry is read again while it belongs to another owner or the registry rejects a request, in
/// seconds.
pub const RETRY_INTERVAL: Time = 5.0;

/// The data of this node's entry, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryData {
    /// The name of the node.
    pub name: String,
    /// The address where it accepts requests.
    pub address: String,
    /// The site that the node runs in, if it is configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub site: Option<String>,
    /// The zone that the node runs in, if it is configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The incarnation, which increases with each start of the node.
    pub incarnation: u64,
    /// When the process started, in milliseconds of Unix time.
    pub started: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Idle,
    Reading,
    Creating,
    RemovingStale,
    Registered,
    Waiting { until: Time },
    Deregistering,
}

/// An event that the caller should log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The entry exists, with this session as its owner.
    Registered,
    /// An entry of another owner exists at this path.
    PathTaken(String),
    /// An entry of a later run of this node exists at the path.
    Superseded,
    /// The registry rejected a request to read, create or delete the entry.
    Rejected(OperationError),
}

/// The state machine that registers this node; see the module documentation.
#[derive(Debug)]
pub struct Registration {
    path: String,
    data: EntryData,
    acl: Vec<Acl>,
    is_wanted: bool,
    is_connected: bool,
    state: State,
    /// Whether an entry of this session may exist: its creation was requested, and nothing received since shows that it
    /// does not exist.
    may_exist: bool,
    /// The token of the latest request. Responses with other tokens are ignored.
    token: u64,
    request: Option<TokenRequest>,
    report: Option<Report>,
    last_reported: Option<Report>,
}

impl Registration {
    /// Creates a registration that does nothing until [`Registration::register`] is called.
    pub fn new(path: String, data: EntryData, acl: Vec<Acl>) -> Registration {
        Registration {
            path,
            data,
            acl,
            is_wanted: false,
            is_connected: false,
            state: State::Idle,
            may_exist: false,
            token: 0,
            request: None,
            report: None,
            last_reported: None,
        }
    }

    /// Takes the next request to send to the registry.
    pub fn next_request(&mut self) -> Option<TokenRequest> {
        self.request.take()
    }

    /// Takes the next report. Equal reports in a row are returned once.
    pub fn next_report(&mut self) -> Option<Report> {
        self.report.take()
    }

    /// Whether the entry is known to exist.
    pub fn is_registered(&self) -> bool {
        self.state == State::Registered
    }

    /// Whether no entry will be created, and none exists that would outlive a close of the session.
    pub fn is_deregistered(&self) -> bool {
        !self.is_wanted && self.state == State::Idle && !self.may_exist
    }

    /// Requests the registration; it takes place as soon as the session is connected.
    pub fn register(&mut self) {
        self.is_wanted = true;
        if self.is_connected && self.state == State::Idle {
            self.read();
        }
    }

    /// Removes the entry and stops registering the node. This is the first step of a shutdown.
    pub fn deregister(&mut self) {
        self.is_wanted = false;
        match self.state {
            State::Registered => self.request(
                State::Deregistering,
                Op::Delete {
                    path: self.path.clone(),
                    version: -1,
                },
            ),
            State::Waiting { .. } => self.state = State::Idle,
            // No entry of this session exists, whatever the response is.
            State::Reading | State::RemovingStale if !self.may_exist => {
                self.state = State::Idle;
                self.request = None;
            }
            // The response to the request in flight determines what has to be removed.
            _ => {}
        }
    }

    /// When [`Registration::tick`] has to be called next; `f64::MAX` if no timer is set.
    pub fn deadline(&self) -> Time {
        match self.state {
            State::Waiting { until } => until,
            _ => f64::MAX,
        }
    }

    /// Reads the entry again if the retry interval has passed. Has to be called at [`Registration::deadline`].
    pub fn tick(&mut self, now: Time) {
        if matches!(self.state, State::Waiting { until } if now >= until) {
            self.read();
        }
    }

    fn request(&mut self, state: State, op: Op) {
        self.token += 1;
        self.state = state;
        self.request = Some(TokenRequest {
            token: self.token,
            op,
        });
    }

    fn read(&mut self) {
        self.request(
            State::Reading,
            Op::GetData {
                path: self.path.clone(),
                watch: true,
            },
        );
    }

    fn create(&mut self) {
        let data = serde_json::to_vec(&self.data).unwrap_or_default();
        let op = Op::Create {
            path: self.path.clone(),
            data: Bytes::from(data),
            acl: self.acl.clone(),
            ephemeral: true,
        };
        self.may_exist = true;
        self.request(State::Creating, op);
    }

    fn report(&mut self, report: Report) {
        if self.last_reported.as_ref() != Some(&report) {
            self.last_reported = Some(report.clone());
            self.report = Some(report);
        }
    }

    /// Handles an event of the session, whose id is `session`.
    pub fn handle_event(&mut self, now: Time, session: i64, event: &Event) {
        match event {
            Event::Connected { .. } => {
                self.is_connected = true;
                // Also if the session is the same: a request in flight when the connection was lost may have been
                // executed.
                if self.is_wanted || self.may_exist {
                    self.read();
                }
            }
            Event::Disconnected(_) | Event::Expired | Event::Reset => {
                // Only the end of the session guarantees that the entry is removed.
                self.may_exist &= matches!(event, Event::Disconnected(_));
                self.is_connected = false;
                self.request = None;
                self.state = State::Idle;
            }
            Event::Response(token, response) if *token == self.token => {
                self.handle_response(now, session, response);
            }
            Event::Watch(WatchEvent {
                kind: WatchEventKind::Deleted,
                path,
            }) if *path == self.path => {
                self.may_exist &= self.state == State::Creating;
                if matches!(self.state, State::Registered | State::Waiting { .. }) {
                    if self.is_wanted {
                        self.read();
                    } else {
                        self.state = State::Idle;
                    }
                }
            }
            _ => {}
        }
    }

    fn handle_response(
        &mut self,
        now: Time,
        session: i64,
        response: &Result<Response, OperationError>,
    ) {
        match (self.state, response) {
            (State::Reading, Ok(Response::Data(data, stat))) => {
                self.handle_entry(now, session, data, stat);
            }
            (State::Reading, Err(OperationError::NoNode)) => {
                self.may_exist = false;
                if self.is_wanted {
                    self.create();
                } else {
                    self.state = State::Idle;
                }
            }
            (State::Creating, Ok(_)) => {
                // Reading the entry sets the watch that reports its removal.
                self.read();
            }
            (State::Creating, Err(OperationError::NodeExists)) => self.read(),
            (State::RemovingStale, Ok(_) | Err(OperationError::NoNode)) if self.is_wanted => {
                self.create();
            }
            (State::RemovingStale, Err(OperationError::BadVersion)) => self.read(),
            (State::Deregistering, Ok(_) | Err(OperationError::NoNode)) => {
                (self.state, self.may_exist) = (State::Idle, false);
            }
            (State::Deregistering, Err(OperationError::BadVersion)) => self.read(),
            (State::Idle, _) => {}
            (_, Err(error)) => {
                self.report(Report::Rejected(*error));
                if self.is_wanted {
                    self.state = State::Waiting {
                        until: now + RETRY_INTERVAL,
                    };
                } else {
                    // The close of the session removes what may exist.
                    (self.state, self.may_exist) = (State::Idle, false);
                }
            }
            _ => self.state = State::Idle,
        }
    }

    fn handle_entry(&mut self, now: Time, session: i64, data: &[u8], stat: &Stat) {
        let remove = Op::Delete {
            path: self.path.clone(),
            version: stat.version,
        };
        if stat.ephemeral_owner == session {
            if !self.is_wanted {
                return self.request(State::Deregistering, remove);
            }
            self.state = State::Registered;
            return self.report(Report::Registered);
        }
        self.may_exist = false;
        if !self.is_wanted {
            self.state = State::Idle;
            return;
        }
        let existing: Option<EntryData> = serde_json::from_slice(data).ok();
        match existing.filter(|entry| entry.name == self.data.name) {
            Some(existing) if existing.incarnation <= self.data.incarnation => {
                // An earlier run created it, or this run did in a session that has expired.
                return self.request(State::RemovingStale, remove);
            }
            Some(_) => self.report(Report::Superseded),
            None => self.report(Report::PathTaken(self.path.clone())),
        }
        self.state = State::Waiting {
            until: now + RETRY_INTERVAL,
        };
    }
}
