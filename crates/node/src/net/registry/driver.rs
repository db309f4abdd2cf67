//! Runs a session with a registry over its socket: connects, sends, reads and waits as the session requires.
//!
//! The two users of sessions are [`follower`](super::follower) and [`own_entry`](super::own_entry).

use super::RegistryAccess;
use crate::net::shared::Clock;
use bytes::{Buf, BytesMut};
use reelfall_balancer::interface::Time;
use reelfall_registry_client::session::{
    Command, Event, Session, TokenRequest, MAX_PENDING_REQUESTS,
};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum size of one read, in bytes.
const MAX_READ_BYTES: usize = 64 << 10;
/// How long a session that is being closed may take to send its last requests, and the registry to close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest wait for an event, in seconds.
const MAX_WAIT: Time = 3600.0;

/// The user of a session, which handles its events and issues requests.
pub(super) trait SessionUser {
    /// Handles an event of the session.
    fn handle_event(&mut self, now: Time, session: &Session, event: &Event);
    /// The next request, with the token that its response will have.
    fn next_request(&mut self) -> Option<TokenRequest>;
    /// Called before events are handled, after the session may have received data.
    fn tick(&mut self, now: Time, session: &Session);
    /// The time of the next call of `tick` at the latest.
    fn deadline(&self) -> Time;
    /// Called when all events so far have been handled.
    fn events_handled(&mut self, now: Time);
    /// Whether the user wants the session closed.
    fn is_done(&self) -> bool;
    /// Whether the process is about to exit and the user still needs the registry.
    fn is_in_haste(&self) -> bool;
}

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The state of a session's socket.
enum Connection {
    Closed,
    Connecting(Connecting),
    Open(TcpStream),
}

/// The reason why the driver was woken.
enum Wakeup {
    Connected(io::Result<TcpStream>),
    Read(io::Result<usize>),
    Writable,
    DeadlineOrChange,
}

/// A session with its user and its socket.
pub(super) struct Driver<U> {
    session: Session,
    user: U,
    clock: Clock,
    connection: Connection,
    write_buffer: BytesMut,
    read_buffer: BytesMut,
}

impl<U: SessionUser> Driver<U> {
    /// A driver of a new session.
    pub(super) fn new(access: &RegistryAccess, user: U, clock: Clock) -> Self {
        let session = access.session(clock.now());
        Driver {
            session,
            user,
            clock,
            connection: Connection::Closed,
            write_buffer: BytesMut::new(),
            read_buffer: BytesMut::with_capacity(MAX_READ_BYTES),
        }
    }

    /// Runs until the user of the session is done. `changed` wakes the driver when the user may have new requests.
    pub(super) async fn run(mut self, changed: &Notify) {
        loop {
            self.step();
            if self.user.is_done() {
                self.session.close(self.clock.now());
                self.step();
                // The registry removes the session's entries as soon as it reads that the session is closed.
                let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.finish()).await;
                return;
            }
            let wakeup = self.wait(changed).await;
            let now = self.clock.now();
            match wakeup {
                Wakeup::Connected(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    self.connection = Connection::Open(stream);
                    self.session.handle_connected(now);
                }
                Wakeup::Connected(Err(_)) | Wakeup::Read(Ok(0) | Err(_)) => {
                    self.connection = Connection::Closed;
                    self.session.handle_disconnected(now);
                }
                Wakeup::Read(Ok(_)) => {
                    let bytes = self.read_buffer.split();
                    self.session.handle_bytes(now, &bytes);
                }
                Wakeup::Writable => self.write(),
                Wakeup::DeadlineOrChange => {}
            }
        }
    }

    /// Handles all events and executes all commands of the session.
    fn step(&mut self) {
        let now = self.clock.now();
        if self.user.is_in_haste() {
            self.session.make_haste(now);
        }
        self.session.tick(now);
        self.user.tick(now, &self.session);
        loop {
            while let Some(event) = self.session.next_event() {
                self.user.handle_event(now, &self.session, &event);
            }
            while self.session.is_connected() && self.session.pending_count() < MAX_PENDING_REQUESTS
            {
                let Some(request) = self.user.next_request() else {
                    break;
                };
                self.session.request(now, request.token, request.op);
            }
            let Some(command) = self.session.next_command() else {
                break;
            };
            match command {
                Command::Connect(address) => {
                    self.connection = Connection::Connecting(Box::pin(TcpStream::connect(address)));
                }
                Command::Send(bytes) => self.write_buffer.extend_from_slice(&bytes),
                Command::Close => {
                    self.connection = Connection::Closed;
                    self.write_buffer.clear();
                    self.read_buffer.clear();
                }
            }
        }
        self.write();
        self.user.events_handled(now);
    }

    fn write(&mut self) {
        let Connection::Open(stream) = &self.connection else {
            return;
        };
        while !self.write_buffer.is_empty() {
            match stream.try_write(&self.write_buffer) {
                Ok(written) => self.write_buffer.advance(written),
                // A broken connection is detected by the next read.
                Err(_) => return,
            }
        }
    }

    /// Sends what is left, and reads until the registry closes the connection: closing it with unread input would reset it,
    /// and the registry might lose what was sent.
    async fn finish(&mut self) {
        self.flush().await;
        let Connection::Open(stream) = &mut self.connection else {
            return;
        };
        while stream
            .read_buf(&mut self.read_buffer)
            .await
            .is_ok_and(|length| length > 0)
        {
            self.read_buffer.clear();
        }
    }

    async fn flush(&mut self) {
        while !self.write_buffer.is_empty() {
            let Connection::Open(stream) = &self.connection else {
                return;
            };
            if stream.writable().await.is_err() {
                return;
            }
            self.write();
        }
    }

    async fn wait(&mut self, changed: &Notify) -> Wakeup {
        let deadline = self
            .session
            .deadline()
            .unwrap_or(f64::MAX)
            .min(self.user.deadline());
        let seconds_left = (deadline - self.clock.now()).clamp(0.0, MAX_WAIT);
        let wake_at = Instant::now() + Duration::from_secs_f64(seconds_left);
        let sleep = tokio::time::sleep_until(wake_at.into());
        match &mut self.connection {
            Connection::Closed => tokio::select! {
                () = sleep => Wakeup::DeadlineOrChange,
                () = changed.notified() => Wakeup::DeadlineOrChange,
            },
            Connection::Connecting(connecting) => tokio::select! {
                connected = connecting.as_mut() => Wakeup::Connected(connected),
                () = sleep => Wakeup::DeadlineOrChange,
                () = changed.notified() => Wakeup::DeadlineOrChange,
            },
            Connection::Open(stream) => {
                self.read_buffer.reserve(MAX_READ_BYTES);
                let (mut reader, writer) = stream.split();
                let has_output = !self.write_buffer.is_empty();
                // Data is read before timers are handled, since it may make a timer obsolete.
                tokio::select! {
                    biased;
                    read = reader.read_buf(&mut self.read_buffer) => Wakeup::Read(read),
                    _ = writer.writable(), if has_output => Wakeup::Writable,
                    () = changed.notified() => Wakeup::DeadlineOrChange,
                    () = sleep => Wakeup::DeadlineOrChange,
                }
            }
        }
    }
}
