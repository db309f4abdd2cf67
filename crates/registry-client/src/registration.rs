//! The registration of this node: the entry of its own, by which peers and load balancers find it.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when it is wanted and the registry is connected: reading |
//! | reading | no entry: creating; one of this session: registered; one of an earlier run of this node: removing stale; another owner's: waiting |
//! | creating | created, or one exists, or the outcome is unknown: reading |
//! | removing stale | removed: creating; otherwise: reading |
//! | registered | removed by somebody: reading; connection lost: idle, since only the registry knows whether it still exists |
//! | waiting | the other owner's entry is removed, or [`RETRY_INTERVAL`] is over: reading |
//! | deregistering | removed: idle, for good |
//!
//! Its path is fixed, so that there are never two at once. A request to create it whose answer was lost may have
//! been carried out, so the entry is read and never guessed. An entry that an earlier run left behind would go on
//! attracting requests to a process that is gone, or to this one before it is ready: it is removed, by its version, and
//! created anew by this session. An entry of a later run of the same node wins: this process is about to end.

use crate::session::Event;
use crate::wire::{Acl, Answer, Fired, Happened, Op, Refusal, Stat};
use crate::Time;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Interval at which an entry of another owner is read again, in seconds.
pub const RETRY_INTERVAL: Time = 5.0;

/// The data of the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryData {
    /// The node's name.
    pub name: String,
    /// Where it takes requests.
    pub address: String,
    /// Its site.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub site: Option<String>,
    /// Its zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Grows with each start of the node.
    pub incarnation: u64,
    /// When this process started, in milliseconds of Unix time.
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

/// Something that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The entry exists, with this session as its owner.
    Registered,
    /// An entry of another owner has its path.
    PathTaken(String),
    /// A later run of this node has its path.
    Superseded,
    /// The registry refuses to create or remove it.
    Refused(Refusal),
}

/// The registration of this node; see the module.
#[derive(Debug)]
pub struct Registration {
    path: String,
    data: EntryData,
    acl: Vec<Acl>,
    wanted: bool,
    up: bool,
    state: State,
    /// An entry of this session may exist: its creation was requested, and nothing has shown since that it is gone.
    may_exist: bool,
    token: u64,
    request: Option<(u64, Op)>,
    report: Option<Report>,
    last_reported: Option<Report>,
}

impl Registration {
    /// A registration that is not wanted yet.
    pub fn new(path: String, data: EntryData, acl: Vec<Acl>) -> Registration {
        Registration {
            path,
            data,
            acl,
            wanted: false,
            up: false,
            state: State::Idle,
            may_exist: false,
            token: 0,
            request: None,
            report: None,
            last_reported: None,
        }
    }

    /// The next request, with the token that its answer has.
    pub fn next_request(&mut self) -> Option<(u64, Op)> {
        self.request.take()
    }

    /// The next report; the same one is not returned twice in a row.
    pub fn next_report(&mut self) -> Option<Report> {
        self.report.take()
    }

    /// Whether the entry exists, as far as is known.
    pub fn is_registered(&self) -> bool {
        self.state == State::Registered
    }

    /// Whether the entry is removed for good, or never existed.
    pub fn is_deregistered(&self) -> bool {
        !self.wanted && self.state == State::Idle && !self.may_exist
    }

    /// Registers the node, as soon as the registry is connected.
    pub fn register(&mut self) {
        self.wanted = true;
        if self.up && self.state == State::Idle {
            self.read();
        }
    }

    /// Removes the entry for good; the first step of a shutdown.
    pub fn deregister(&mut self) {
        self.wanted = false;
        match self.state {
            State::Registered => self.request(
                State::Deregistering,
                Op::Delete {
                    path: self.path.clone(),
                    version: -1,
                },
            ),
            State::Waiting { .. } => self.state = State::Idle,
            // What is under way ends first; its answer tells what is to be removed.
            _ => {}
        }
    }

    /// When [`Registration::tick`] has to be called next.
    pub fn deadline(&self) -> Time {
        match self.state {
            State::Waiting { until } => until,
            _ => f64::MAX,
        }
    }

    /// Acts on timeouts; to be called at [`Registration::deadline`].
    pub fn tick(&mut self, now: Time) {
        if matches!(self.state, State::Waiting { until } if now >= until) {
            self.read();
        }
    }

    fn request(&mut self, state: State, op: Op) {
        self.token += 1;
        self.state = state;
        self.request = Some((self.token, op));
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

    /// Handles an event of the session with the id `session`.
    pub fn handle_event(&mut self, now: Time, session: i64, event: &Event) {
        match event {
            Event::Up { .. } => {
                self.up = true;
                // Also for the same session: what was under way when the connection went may have been carried out.
                if self.wanted || self.may_exist {
                    self.read();
                }
            }
            Event::Lost(_) | Event::Expired | Event::Reset => {
                // Only the end of the session shows that its entry is gone.
                self.may_exist &= matches!(event, Event::Lost(_));
                self.up = false;
                self.request = None;
                self.state = State::Idle;
            }
            Event::Answered(token, answer) if *token == self.token => {
                self.handle_answer(now, session, answer)
            }
            Event::Fired(Fired {
                what: Happened::Deleted,
                path,
            }) if *path == self.path => {
                self.may_exist &= self.state == State::Creating;
                if matches!(self.state, State::Registered | State::Waiting { .. }) {
                    match self.wanted {
                        true => self.read(),
                        false => self.state = State::Idle,
                    }
                }
            }
            _ => {}
        }
    }

    fn handle_answer(&mut self, now: Time, session: i64, answer: &Result<Answer, Refusal>) {
        match (self.state, answer) {
            (State::Reading, Ok(Answer::Data(data, stat))) => {
                self.handle_entry(now, session, data, stat)
            }
            (State::Reading, Err(Refusal::NoNode)) => {
                self.may_exist = false;
                match self.wanted {
                    true => self.create(),
                    false => self.state = State::Idle,
                }
            }
            (State::Creating, Ok(_)) => {
                // Read once more, which sets the watch that reports its removal.
                self.read();
            }
            (State::Creating, Err(Refusal::NodeExists)) => self.read(),
            (State::RemovingStale, Ok(_) | Err(Refusal::NoNode)) if self.wanted => self.create(),
            (State::RemovingStale, Err(Refusal::BadVersion)) => self.read(),
            (State::Deregistering, Ok(_) | Err(Refusal::NoNode)) => {
                (self.state, self.may_exist) = (State::Idle, false);
            }
            (State::Deregistering, Err(Refusal::BadVersion)) => self.read(),
            (_, Err(refusal)) if self.wanted || self.state == State::Deregistering => {
                self.report(Report::Refused(*refusal));
                self.state = if self.wanted {
                    State::Waiting {
                        until: now + RETRY_INTERVAL,
                    }
                } else {
                    State::Idle
                };
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
            if !self.wanted {
                return self.request(State::Deregistering, remove);
            }
            self.state = State::Registered;
            return self.report(Report::Registered);
        }
        self.may_exist = false;
        if !self.wanted {
            self.state = State::Idle;
            return;
        }
        let theirs: Option<EntryData> = serde_json::from_slice(data).ok();
        match theirs.filter(|d| d.name == self.data.name) {
            Some(theirs) if theirs.incarnation <= self.data.incarnation => {
                // Of an earlier run, or of this one by a session that is over.
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
