//! The entry that this node has of its own, so that peers and fronts find it.
//!
//! | state | ends |
//! | --- | --- |
//! | off | when it is wanted and the registry is there: looking |
//! | looking | nothing there: making; one of this session: standing; one of an earlier life of this node: clearing; a stranger's: waiting |
//! | making | made: standing; one is there, or nobody knows: looking |
//! | clearing | gone: making; otherwise: looking |
//! | standing | removed by somebody: looking; connection lost: off, since only the registry knows whether it stands |
//! | waiting | the stranger's goes: looking; after [`AGAIN`]: looking |
//! | withdrawing | gone: off, for good |
//!
//! Its path is fixed, so that there are never two at once. A request to make it whose answer was lost may have been
//! carried out, so that is looked up and never guessed. An entry that an earlier life left behind would go on drawing
//! work to a process that is gone or to this one before it is ready: it is removed, by its version, and made anew by this
//! session. An entry of a later life of the same node wins: this one is on its way out.

use crate::session::Event;
use crate::wire::{Acl, Answer, Fired, Happened, Op, Refusal, Stat};
use crate::Time;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// How long a stranger's entry is let be before it is looked at again, in seconds.
pub const AGAIN: Time = 5.0;

/// What the entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Data {
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
    /// Greater in each life of the node than in the one before.
    pub incarnation: u64,
    /// When this life began, in milliseconds of Unix time.
    pub started: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Off,
    Looking,
    Making,
    Clearing,
    Standing,
    Waiting { until: Time },
    Withdrawing,
}

/// Something that people should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The entry stands.
    Stands,
    /// Somebody else's entry has its place.
    Taken(String),
    /// A later life of this node has the place.
    Superseded,
    /// The registry refuses to make or remove it.
    Refused(Refusal),
}

/// See the module.
#[derive(Debug)]
pub struct Own {
    path: String,
    data: Data,
    acl: Vec<Acl>,
    wanted: bool,
    up: bool,
    state: State,
    /// An entry of this session may be there: one was asked for, and nothing told since that it is gone.
    may_stand: bool,
    token: u64,
    op: Option<(u64, Op)>,
    report: Option<Report>,
    reported: Option<Report>,
}

impl Own {
    /// An entry that is not wanted yet.
    pub fn new(path: String, data: Data, acl: Vec<Acl>) -> Own {
        Own {
            path,
            data,
            acl,
            wanted: false,
            up: false,
            state: State::Off,
            may_stand: false,
            token: 0,
            op: None,
            report: None,
            reported: None,
        }
    }

    /// What is to be asked next.
    pub fn op(&mut self) -> Option<(u64, Op)> {
        self.op.take()
    }

    /// What people should know; the same thing once in a row.
    pub fn report(&mut self) -> Option<Report> {
        self.report.take()
    }

    /// It is there, as far as anybody knows.
    pub fn stands(&self) -> bool {
        self.state == State::Standing
    }

    /// It is gone for good, or was never there.
    pub fn is_withdrawn(&self) -> bool {
        !self.wanted && self.state == State::Off && !self.may_stand
    }

    /// The node is ready: its entry may stand.
    pub fn want(&mut self) {
        self.wanted = true;
        if self.up && self.state == State::Off {
            self.look();
        }
    }

    /// The node is on its way out: its entry goes, before anything else does.
    pub fn withdraw(&mut self) {
        self.wanted = false;
        match self.state {
            State::Standing => {
                self.ask(State::Withdrawing, Op::Delete { path: self.path.clone(), version: -1 })
            }
            State::Waiting { .. } => self.state = State::Off,
            // What is under way ends first; its answer tells what is to be removed.
            _ => {}
        }
    }

    /// When [`Own::tick`] has something to do.
    pub fn deadline(&self) -> Time {
        match self.state {
            State::Waiting { until } => until,
            _ => f64::MAX,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        if matches!(self.state, State::Waiting { until } if now >= until) {
            self.look();
        }
    }

    fn ask(&mut self, state: State, op: Op) {
        self.token += 1;
        self.state = state;
        self.op = Some((self.token, op));
    }

    fn look(&mut self) {
        self.ask(State::Looking, Op::GetData { path: self.path.clone(), watch: true });
    }

    fn make(&mut self) {
        let data = serde_json::to_vec(&self.data).unwrap_or_default();
        let op = Op::Create {
            path: self.path.clone(),
            data: Bytes::from(data),
            acl: self.acl.clone(),
            ephemeral: true,
        };
        self.may_stand = true;
        self.ask(State::Making, op);
    }

    fn tell(&mut self, report: Report) {
        if self.reported.as_ref() != Some(&report) {
            self.reported = Some(report.clone());
            self.report = Some(report);
        }
    }

    /// Something has happened on the session, whose number is `session`.
    pub fn event(&mut self, now: Time, session: i64, event: &Event) {
        match event {
            Event::Up { .. } => {
                self.up = true;
                // Also for the same session: what was under way when the connection went may have been carried out.
                if self.wanted || self.may_stand {
                    self.look();
                }
            }
            Event::Lost(_) | Event::Expired | Event::Reset => {
                // Only the registry's word on the session tells that nothing of it stands.
                self.may_stand &= matches!(event, Event::Lost(_));
                self.up = false;
                self.op = None;
                self.state = State::Off;
            }
            Event::Answered(token, answer) if *token == self.token => self.answered(now, session, answer),
            Event::Fired(Fired { what: Happened::Deleted, path }) if *path == self.path => {
                self.may_stand &= self.state == State::Making;
                if matches!(self.state, State::Standing | State::Waiting { .. }) {
                    match self.wanted {
                        true => self.look(),
                        false => self.state = State::Off,
                    }
                }
            }
            _ => {}
        }
    }

    fn answered(&mut self, now: Time, session: i64, answer: &Result<Answer, Refusal>) {
        match (self.state, answer) {
            (State::Looking, Ok(Answer::Data(data, stat))) => self.found(now, session, data, stat),
            (State::Looking, Err(Refusal::NoNode)) => {
                self.may_stand = false;
                match self.wanted {
                    true => self.make(),
                    false => self.state = State::Off,
                }
            }
            (State::Making, Ok(_)) => {
                // Looked at once more, which sets the watch that tells of its end.
                self.look();
            }
            (State::Making, Err(Refusal::NodeExists)) => self.look(),
            (State::Clearing, Ok(_) | Err(Refusal::NoNode)) if self.wanted => self.make(),
            (State::Clearing, Err(Refusal::BadVersion)) => self.look(),
            (State::Withdrawing, Ok(_) | Err(Refusal::NoNode)) => {
                (self.state, self.may_stand) = (State::Off, false);
            }
            (State::Withdrawing, Err(Refusal::BadVersion)) => self.look(),
            (_, Err(refusal)) if self.wanted || self.state == State::Withdrawing => {
                self.tell(Report::Refused(*refusal));
                self.state = if self.wanted { State::Waiting { until: now + AGAIN } } else { State::Off };
            }
            _ => self.state = State::Off,
        }
    }

    fn found(&mut self, now: Time, session: i64, data: &[u8], stat: &Stat) {
        let clear = Op::Delete { path: self.path.clone(), version: stat.version };
        if stat.ephemeral_owner == session {
            if !self.wanted {
                return self.ask(State::Withdrawing, clear);
            }
            self.state = State::Standing;
            return self.tell(Report::Stands);
        }
        self.may_stand = false;
        if !self.wanted {
            self.state = State::Off;
            return;
        }
        let theirs: Option<Data> = serde_json::from_slice(data).ok();
        match theirs.filter(|d| d.name == self.data.name) {
            Some(theirs) if theirs.incarnation <= self.data.incarnation => {
                // Of an earlier life, or of this one by a session that is over.
                return self.ask(State::Clearing, clear);
            }
            Some(_) => self.tell(Report::Superseded),
            None => self.tell(Report::Taken(self.path.clone())),
        }
        self.state = State::Waiting { until: now + AGAIN };
    }
}
