//! A session with a registry: connections to its members one after the other, pings, requests in their order.
//!
//! | state | ends |
//! | --- | --- |
//! | resting | when its time has come: connecting to the next member |
//! | connecting | with a connection: greeting; without one in time: the next member |
//! | greeting | with the registry's word: up, or the session is over and a new one is asked for; without one in time: the next member |
//! | up | when the connection ends, goes silent, or says what can't be: the next member, with the same session |
//! | closed | never |
//!
//! *Connection lost* and *session expired* are two things. Only the registry knows that a session is over, and says so to
//! whoever comes back with it; until then its entries may stand. So losing a connection is told as [`Event::Lost`], and
//! only the registry's word as [`Event::Expired`].
//!
//! Source: ZooKeeper Programmer's Guide, "ZooKeeper Sessions"; Internals, "Wire protocol".

use crate::wire::{answer, Answer, Fired, Frames, Op, Reader, Refusal, WireFault, Writer};
use crate::Time;
use bytes::Bytes;
use std::collections::VecDeque;
use std::net::SocketAddr;
use thiserror::Error;

/// Most requests that wait for their answers.
pub const PENDING_MOST: usize = 1024;
/// The first pause after all members have failed in a row; it doubles up to [`REST_MOST`].
const BACKOFF: Time = 0.1;
const REST_MOST: Time = 5.0;

/// Configuration of a session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The members; at least one.
    pub members: Vec<SocketAddr>,
    /// How long the registry keeps the session without a word, in seconds. The registry may give less or more.
    pub timeout: Time,
    /// A member that has not answered the handshake by then is passed over, in seconds.
    pub connect_within: Time,
    /// The credentials of the session: a scheme and its proof, such as `digest` and `name:password`.
    pub auth: Option<(String, Bytes)>,
    /// If every member has turned it away for so long, in seconds, the session begins anew without asking for the state
    /// that it has seen: the registry was set up again.
    pub forget_after: Time,
}

/// What the owner of the connection has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect to this member, and say how that went.
    Connect(SocketAddr),
    /// Send these bytes.
    Send(Bytes),
    /// Close the connection, if there is one.
    Close,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The registry answers; `fresh` if the session is a new one, with nothing left of the one before.
    Up {
        /// The session is new.
        fresh: bool,
    },
    /// The connection is lost. The session may live on.
    Lost(LossReason),
    /// The session is over: what ended with it is gone.
    Expired,
    /// The registry was set up again, as far as can be told: the state that was seen counts no longer.
    Reset,
    /// A request has been answered.
    Answered(u64, Result<Answer, Refusal>),
    /// A request has been lost with its connection: it may have been carried out.
    Unanswered(u64),
    /// A watch has fired.
    Fired(Fired),
}

/// LossReason a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// It could not be made.
    #[error("no connection")]
    ConnectFailed,
    /// It was closed from the other side.
    #[error("closed by the registry")]
    Closed,
    /// Nothing came for too long.
    #[error("the registry is silent")]
    Timeout,
    /// What came is not what the protocol has.
    #[error("{0}")]
    Protocol(WireFault),
    /// The registry does not take the session's proof.
    #[error("the registry does not take the credentials")]
    BadCredentials,
}

#[derive(Debug)]
enum State {
    Backoff { until: Time },
    Connecting { until: Time },
    Handshake { until: Time },
    Up,
    Closed,
}

/// See the module.
#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    state: State,
    /// The next of the members.
    next_member: usize,
    /// Failures in a row.
    failures: u32,
    /// Since when no member has taken the session.
    disconnected_since: Time,
    random: u64,
    id: i64,
    password: Bytes,
    /// The time-out that was agreed on.
    timeout: Time,
    last_zxid: i64,
    xid: i32,
    pending: VecDeque<(i32, u64, Op)>,
    frames: Frames,
    last_heard: Time,
    last_sent: Time,
    commands: VecDeque<Command>,
    events: VecDeque<Event>,
}

const PING: i32 = -2;
const AUTH: i32 = -4;
const WATCH_EVENT: i32 = -1;

impl Session {
    /// A session that is yet to be asked for. `random` sets the order of members and the rests.
    pub fn new(config: SessionConfig, now: Time, random: u64) -> Session {
        let mut session = Session {
            timeout: config.timeout,
            config,
            state: State::Backoff { until: now },
            next_member: 0,
            failures: 0,
            disconnected_since: now,
            random,
            id: 0,
            password: Bytes::from_static(&[0; 16]),
            last_zxid: 0,
            xid: 0,
            pending: VecDeque::new(),
            frames: Frames::default(),
            last_heard: now,
            last_sent: now,
            commands: VecDeque::new(),
            events: VecDeque::new(),
        };
        // So that many nodes do not all come to the first member.
        for n in (1..session.config.members.len()).rev() {
            let other = (session.fraction() * (n + 1) as f64) as usize;
            session.config.members.swap(n, other.min(n));
        }
        session
    }

    fn fraction(&mut self) -> f64 {
        // SplitMix64: enough to spread members and rests.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The next command for the owner of the connection.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Requests are answered.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    /// The session's number with the registry, 0 for none yet. Entries that end with it have it as their owner.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The newest state that was seen.
    pub fn last_zxid(&self) -> i64 {
        self.last_zxid
    }

    /// When the registry was last heard.
    pub fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// Number of requests that wait for their answers.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// When [`Session::tick`] has to be called; `None` once it is closed.
    pub fn deadline(&self) -> Option<Time> {
        match self.state {
            State::Backoff { until } | State::Connecting { until } | State::Handshake { until } => {
                Some(until)
            }
            State::Up => Some(
                (self.last_sent + self.timeout / 3.0)
                    .min(self.last_heard + self.timeout * 2.0 / 3.0),
            ),
            State::Closed => None,
        }
    }

    /// Sends a request, whose answer comes as an event with `token`. Returns whether it could be sent.
    pub fn request(&mut self, now: Time, token: u64, op: Op) -> bool {
        if !self.is_up() || self.pending.len() >= PENDING_MOST {
            return false;
        }
        self.xid = if self.xid == i32::MAX {
            1
        } else {
            self.xid + 1
        };
        self.send(now, op.frame(self.xid));
        self.pending.push_back((self.xid, token, op));
        true
    }

    /// Ends the session: the registry drops what ends with it at once. Nothing else is done after this.
    pub fn close(&mut self, now: Time) {
        if self.is_up() {
            self.xid = self.xid.wrapping_add(1).max(1);
            self.send(now, Writer::new().int(self.xid).int(-11).done());
        } else if !matches!(self.state, State::Closed) {
            self.commands.push_back(Command::Close);
        }
        self.state = State::Closed;
        self.fail_pending();
    }

    /// Acts on timeouts; to be called at [`Session::deadline`].
    pub fn tick(&mut self, now: Time) {
        match self.state {
            State::Backoff { until } if now >= until => self.connect(now),
            State::Connecting { until } | State::Handshake { until } if now >= until => {
                self.disconnect(now, LossReason::Timeout)
            }
            State::Up if now >= self.last_heard + self.timeout * 2.0 / 3.0 => {
                self.disconnect(now, LossReason::Timeout)
            }
            State::Up if now >= self.last_sent + self.timeout / 3.0 => {
                self.send(now, Writer::new().int(PING).int(11).done());
            }
            _ => {}
        }
    }

    fn connect(&mut self, now: Time) {
        let Some(member) = self
            .config
            .members
            .get(self.next_member % self.config.members.len().max(1))
        else {
            return;
        };
        self.commands.push_back(Command::Connect(*member));
        self.state = State::Connecting {
            until: now + self.config.connect_within,
        };
    }

    /// The connection was made.
    pub fn handle_connected(&mut self, now: Time) {
        let State::Connecting { until } = self.state else {
            return;
        };
        self.frames = Frames::default();
        let timeout = (self.config.timeout * 1e3).clamp(1.0, f64::from(i32::MAX)) as i32;
        let handshake = Writer::new()
            .int(0)
            .long(self.last_zxid)
            .int(timeout)
            .long(self.id)
            .buffer(&self.password);
        self.send(now, handshake.boolean(false).done());
        self.state = State::Handshake { until };
    }

    /// The connection could not be made, or has ended.
    pub fn handle_disconnected(&mut self, now: Time) {
        match self.state {
            State::Connecting { .. } => self.disconnect(now, LossReason::ConnectFailed),
            State::Handshake { .. } | State::Up => self.disconnect(now, LossReason::Closed),
            State::Backoff { .. } | State::Closed => {}
        }
    }

    /// Bytes were received.
    pub fn handle_bytes(&mut self, now: Time, bytes: &[u8]) {
        if !matches!(self.state, State::Handshake { .. } | State::Up) {
            return;
        }
        self.frames.push(bytes);
        loop {
            let taken = match self.frames.frame() {
                Ok(None) => return,
                Ok(Some(frame)) => self.handle_frame(now, frame),
                Err(fault) => Err(LossReason::Protocol(fault)),
            };
            if let Err(why) = taken {
                return self.disconnect(now, why);
            }
            if !matches!(self.state, State::Handshake { .. } | State::Up) {
                return;
            }
        }
    }

    fn handle_frame(&mut self, now: Time, frame: Bytes) -> Result<(), LossReason> {
        self.last_heard = now;
        let mut r = Reader::new(frame);
        match self.state {
            State::Handshake { .. } => self.handle_handshake(now, &mut r),
            _ => self.handle_response(&mut r),
        }
    }

    fn handle_handshake(&mut self, now: Time, r: &mut Reader) -> Result<(), LossReason> {
        let mut read = || Ok((r.int()?, r.int()?, r.long()?, r.buffer()?));
        let (_version, timeout, id, password) = read().map_err(LossReason::Protocol)?;
        if timeout <= 0 || id == 0 {
            if self.id == 0 {
                // A new session was asked for and not given: no reason to ask again at once.
                return Err(LossReason::Closed);
            }
            // The registry's word, and nothing else, ends a session.
            self.id = 0;
            self.password = Bytes::from_static(&[0; 16]);
            self.commands.push_back(Command::Close);
            self.events.push_back(Event::Expired);
            // The same member gives a new one at once.
            self.state = State::Backoff { until: now };
            return Ok(());
        }
        let fresh = self.id != id;
        (self.id, self.password) = (id, password);
        self.timeout = f64::from(timeout) / 1e3;
        (self.state, self.failures) = (State::Up, 0);
        if let Some((scheme, proof)) = self.config.auth.clone() {
            self.send(
                now,
                Writer::new()
                    .int(AUTH)
                    .int(100)
                    .int(0)
                    .text(&scheme)
                    .buffer(&proof)
                    .done(),
            );
        }
        self.events.push_back(Event::Up { fresh });
        Ok(())
    }

    fn handle_response(&mut self, r: &mut Reader) -> Result<(), LossReason> {
        let (xid, zxid, code) = (
            r.int().map_err(LossReason::Protocol)?,
            r.long().map_err(LossReason::Protocol)?,
            r.int().map_err(LossReason::Protocol)?,
        );
        match xid {
            PING => return Ok(()),
            AUTH if code != 0 => return Err(LossReason::BadCredentials),
            AUTH => return Ok(()),
            WATCH_EVENT => {
                let fired = Fired::read(r).map_err(LossReason::Protocol)?;
                self.last_zxid = self.last_zxid.max(zxid);
                self.events.push_back(Event::Fired(fired));
                return Ok(());
            }
            _ => {}
        }
        if self.pending.front().is_none_or(|(next, ..)| *next != xid) {
            return Err(LossReason::Protocol(WireFault::Order(xid)));
        }
        let Some((_, token, op)) = self.pending.pop_front() else {
            return Ok(());
        };
        // Guards against a member that has lost what it once had, or never had what another showed: what it says next
        // could bring back servers that are gone. Harm: none, since another member is asked.
        if zxid > 0 && zxid < self.last_zxid {
            self.events.push_back(Event::Unanswered(token));
            return Err(LossReason::Protocol(WireFault::Older(zxid, self.last_zxid)));
        }
        self.last_zxid = self.last_zxid.max(zxid);
        match answer(&op, code, r) {
            Ok(answer) => self.events.push_back(Event::Answered(token, answer)),
            Err(fault) => {
                self.events.push_back(Event::Unanswered(token));
                return Err(LossReason::Protocol(fault));
            }
        }
        Ok(())
    }

    fn send(&mut self, now: Time, bytes: Bytes) {
        self.last_sent = now;
        self.commands.push_back(Command::Send(bytes));
    }

    fn fail_pending(&mut self) {
        self.events.extend(
            self.pending
                .drain(..)
                .map(|(_, token, _)| Event::Unanswered(token)),
        );
    }

    /// Drops the connection, and goes on with the next member at once or after a pause.
    fn disconnect(&mut self, now: Time, why: LossReason) {
        if self.is_up() {
            self.disconnected_since = now;
        }
        self.commands.push_back(Command::Close);
        self.frames = Frames::default();
        self.events.push_back(Event::Lost(why));
        self.fail_pending();
        self.next_member = (self.next_member + 1) % self.config.members.len().max(1);
        self.failures = self.failures.saturating_add(1);
        if self.last_zxid > 0 && now - self.disconnected_since >= self.config.forget_after {
            // Guards against waiting for ever for a state that no member will reach: the registry was set up again.
            // Harm: if it was not, but every member that has the state stays away for so long, an older list counts.
            (self.last_zxid, self.id, self.disconnected_since) = (0, 0, now);
            self.password = Bytes::from_static(&[0; 16]);
            self.events.push_back(Event::Reset);
        }
        // Each member once without a pause, so that one that is gone costs no time; then rests that grow.
        let rounds = self.failures as usize / self.config.members.len().max(1);
        let pause = match rounds {
            0 if why != LossReason::BadCredentials => 0.0,
            n => {
                (BACKOFF * f64::from(2u32.saturating_pow(n.min(10) as u32))).min(REST_MOST)
                    * (0.5 + self.fraction())
            }
        };
        self.state = State::Backoff { until: now + pause };
    }
}
