//! A session with a registry: connects to one member at a time, sends pings, and matches responses to requests in
//! order.
//!
//! | state | next state |
//! | --- | --- |
//! | backoff | when the delay has passed: connecting to the next member |
//! | connecting | connected: handshake; connecting failed or timed out: backoff |
//! | handshake | session granted: open; session expired: backoff without a delay, then a new session is requested; timed out: backoff |
//! | open | the connection ends, is silent, or violates the protocol: backoff, with the same session |
//! | closed | none |
//!
//! A lost connection does not end the session. Only the registry knows that a session has expired, and it tells a
//! client that tries to resume it; until then, the session's entries may exist. So the loss of a connection is reported
//! as [`Event::Disconnected`], and only the registry's response as [`Event::Expired`].
//!
//! | module | content |
//! | --- | --- |
//! | [`interface`] | configuration, commands and events |
//! | [`haste`] | the shorter timeouts of a session whose owner is about to exit |
//! | [`members`] | the order in which members are tried, and the backoff |
//! | [`messages`] | handshake, ping, credentials, close, and the header of responses |
//! | [`receive`] | handling of received messages |
//!
//! Source: ZooKeeper Programmer's Guide, "ZooKeeper Sessions"; Internals, "Wire protocol".

mod haste;
mod interface;
mod members;
mod messages;
mod receive;

pub use interface::{Command, Credentials, Event, LossReason, SessionConfig, TokenRequest};

use crate::wire::{FrameDecoder, Op};
use crate::Time;
use bytes::Bytes;
use haste::Haste;
use members::Members;
use messages::SessionKey;
use std::collections::VecDeque;

/// Maximum number of requests without a response.
pub const MAX_PENDING_REQUESTS: usize = 1024;

#[derive(Debug)]
enum State {
    Backoff { until: Time },
    Connecting { until: Time },
    Handshake { until: Time },
    Open,
    Closed,
}

/// A request without a response.
#[derive(Debug)]
struct PendingRequest {
    xid: i32,
    token: u64,
    op: Op,
    sent_at: Time,
}

/// The client side of a session; see the module documentation.
#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    members: Members,
    state: State,
    /// Since when there has been no connection: its loss, or the creation or reset of the session.
    disconnected_since: Time,
    key: SessionKey,
    /// The session time-out in seconds: the granted one, or the requested one before the first connection.
    timeout: Time,
    /// The latest transaction id that the registry sent. Older states are rejected.
    last_zxid: i64,
    last_xid: i32,
    pending: VecDeque<PendingRequest>,
    frames: FrameDecoder,
    last_received: Time,
    last_sent: Time,
    /// Set when the owner is about to exit.
    haste: Option<Haste>,
    commands: VecDeque<Command>,
    events: VecDeque<Event>,
}

impl Session {
    /// Creates a session; the first [`Session::tick`] starts to connect. `seed` determines the order of members and the
    /// random part of delays.
    pub fn new(mut config: SessionConfig, now: Time, seed: u64) -> Session {
        Session {
            members: Members::new(std::mem::take(&mut config.members), seed),
            timeout: config.timeout,
            config,
            state: State::Backoff { until: now },
            disconnected_since: now,
            key: SessionKey::none(),
            last_zxid: 0,
            last_xid: 0,
            pending: VecDeque::new(),
            frames: FrameDecoder::default(),
            last_received: now,
            last_sent: now,
            haste: None,
            commands: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Takes the next command for the owner of the connection.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Whether the registry has granted the session on the current connection.
    pub fn is_connected(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// The id of the session, which is the owner of its ephemeral entries; 0 if the registry has not granted a session.
    pub fn id(&self) -> i64 {
        self.key.id
    }

    /// The latest transaction id that the registry sent.
    pub fn last_zxid(&self) -> i64 {
        self.last_zxid
    }

    /// When a message from the registry was last received.
    pub fn last_received(&self) -> Time {
        self.last_received
    }

    /// Number of requests without a response.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// When the next ping is due.
    fn ping_at(&self) -> Time {
        self.last_sent + self.timeout / 3.0
    }

    /// When the connection is considered lost unless a message is received.
    fn silent_at(&self) -> Time {
        let silent_at = self.last_received + self.timeout * 2.0 / 3.0;
        match (&self.haste, self.pending.front()) {
            (Some(haste), Some(request)) => {
                let waiting_since = request.sent_at.max(self.last_received);
                silent_at.min(haste.response_due(waiting_since))
            }
            _ => silent_at,
        }
    }

    /// When [`Session::tick`] has to be called next; `None` once the session is closed.
    pub fn deadline(&self) -> Option<Time> {
        match self.state {
            State::Backoff { until } | State::Connecting { until } | State::Handshake { until } => {
                Some(until)
            }
            State::Open => Some(self.ping_at().min(self.silent_at())),
            State::Closed => None,
        }
    }

    /// Sends a request; its response is an event with `token`. Returns `false` if the session is not connected or has
    /// too many pending requests.
    pub fn request(&mut self, now: Time, token: u64, op: Op) -> bool {
        if !self.is_connected() || self.pending.len() >= MAX_PENDING_REQUESTS {
            return false;
        }
        self.last_xid = if self.last_xid == i32::MAX {
            1
        } else {
            self.last_xid + 1
        };
        let xid = self.last_xid;
        self.send(now, op.frame(xid));
        self.pending.push_back(PendingRequest {
            xid,
            token,
            op,
            sent_at: now,
        });
        true
    }

    /// Makes haste, since the owner is about to exit: the session reconnects at once, without long delays between
    /// attempts, and leaves a member that does not respond soon for the next one.
    pub fn make_haste(&mut self, now: Time) {
        if self.haste.is_some() {
            return;
        }
        let haste = Haste::new(now);
        match &mut self.state {
            State::Backoff { until } => *until = now,
            State::Connecting { until } | State::Handshake { until } => {
                *until = until.min(haste.response_due(now));
            }
            State::Open | State::Closed => {}
        }
        self.haste = Some(haste);
    }

    /// Closes the session, so that the registry removes its entries at once. The session can't be used afterwards.
    pub fn close(&mut self, now: Time) {
        if self.is_connected() {
            self.last_xid = self.last_xid.wrapping_add(1).max(1);
            self.send(now, messages::close(self.last_xid));
        } else if !matches!(self.state, State::Closed) {
            self.commands.push_back(Command::Close);
        }
        self.state = State::Closed;
        self.lose_pending();
    }

    /// Connects, sends pings and handles timeouts, as far as they are due. Has to be called at [`Session::deadline`].
    pub fn tick(&mut self, now: Time) {
        match self.state {
            State::Backoff { until } if now >= until => self.connect(now),
            State::Connecting { until } | State::Handshake { until } if now >= until => {
                self.disconnect(now, LossReason::Timeout);
            }
            State::Open if now >= self.silent_at() => self.disconnect(now, LossReason::Timeout),
            State::Open if now >= self.ping_at() => self.send(now, messages::ping()),
            _ => {}
        }
    }

    fn connect(&mut self, now: Time) {
        let Some(member) = self.members.current() else {
            return;
        };
        self.commands.push_back(Command::Connect(member));
        let until = now + self.config.connect_timeout;
        self.state = State::Connecting {
            until: match &self.haste {
                Some(haste) => until.min(haste.response_due(now)),
                None => until,
            },
        };
    }

    /// Handles the success of [`Command::Connect`].
    pub fn handle_connected(&mut self, now: Time) {
        let State::Connecting { until } = self.state else {
            return;
        };
        self.frames = FrameDecoder::default();
        let handshake = messages::handshake(&self.key, self.last_zxid, self.config.timeout);
        self.send(now, handshake);
        self.state = State::Handshake { until };
    }

    /// Handles the failure of [`Command::Connect`], or the end of the connection.
    pub fn handle_disconnected(&mut self, now: Time) {
        match self.state {
            State::Connecting { .. } => self.disconnect(now, LossReason::ConnectFailed),
            State::Handshake { .. } | State::Open => self.disconnect(now, LossReason::Closed),
            State::Backoff { .. } | State::Closed => {}
        }
    }

    fn has_connection(&self) -> bool {
        matches!(self.state, State::Handshake { .. } | State::Open)
    }

    /// Handles received bytes.
    pub fn handle_bytes(&mut self, now: Time, bytes: &[u8]) {
        if !self.has_connection() {
            return;
        }
        self.frames.push(bytes);
        while self.has_connection() {
            let result = match self.frames.next_frame() {
                Ok(None) => return,
                Ok(Some(frame)) => self.handle_frame(now, frame),
                Err(error) => Err(error.into()),
            };
            if let Err(reason) = result {
                return self.disconnect(now, reason);
            }
        }
    }

    fn send(&mut self, now: Time, bytes: Bytes) {
        self.last_sent = now;
        self.commands.push_back(Command::Send(bytes));
    }

    /// Reports all requests without a response as lost.
    fn lose_pending(&mut self) {
        let lost = self.pending.drain(..);
        self.events
            .extend(lost.map(|request| Event::RequestLost(request.token)));
    }

    /// Drops the connection, and schedules a connection attempt to the next member.
    fn disconnect(&mut self, now: Time, reason: LossReason) {
        if self.is_connected() {
            self.disconnected_since = now;
        }
        self.commands.push_back(Command::Close);
        self.frames = FrameDecoder::default();
        self.events.push_back(Event::Disconnected(reason));
        self.lose_pending();
        self.members.record_failure();
        if self.last_zxid > 0 && now - self.disconnected_since >= self.config.forget_after {
            self.reset(now);
        }
        let mut backoff = self.members.backoff(reason == LossReason::BadCredentials);
        if let Some(haste) = &mut self.haste {
            haste.record_loss(reason);
            backoff = backoff.min(haste::MAX_BACKOFF);
        }
        self.state = State::Backoff {
            until: now + backoff,
        };
    }

    /// Forgets the session and the last state. A registry that was set up again from scratch never reaches that state,
    /// so without a reset the session would reject it forever.
    fn reset(&mut self, now: Time) {
        self.last_zxid = 0;
        self.key = SessionKey::none();
        self.disconnected_since = now;
        self.events.push_back(Event::Reset);
    }
}
