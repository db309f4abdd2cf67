//! A session with a registry over its socket: connects, sends, reads and waits as the session wants.

use super::RegistryAccess;
use crate::net::shared::Clock;
use bytes::{Buf, BytesMut};
use reelfall_balancer::interface::Time;
use reelfall_registry_client::session::{Command, Event, Session, PENDING_MOST};
use reelfall_registry_client::wire::Op;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum number of bytes of one read.
const READ_LEN: usize = 64 << 10;

/// What uses a session.
pub(super) trait SessionUser {
    /// Handles an event of the session.
    fn handle_event(&mut self, now: Time, session: &Session, event: &Event);
    /// The next request, with the token that its answer has.
    fn next_request(&mut self) -> Option<(u64, Op)>;
    /// Time has passed, and the session may have been heard.
    fn tick(&mut self, now: Time, session: &Session);
    /// When `tick` has something to do.
    fn deadline(&self) -> Time;
    /// All events so far have been handled.
    fn events_handled(&mut self, now: Time);
    /// The session ends here, by its own wish.
    fn is_done(&self) -> bool;
}

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The socket under a session.
enum Connection {
    Closed,
    Connecting(Connecting),
    Up(TcpStream),
}

/// What woke the driver.
enum Wakeup {
    Connected(io::Result<TcpStream>),
    Read(io::Result<usize>),
    Writable,
    Other,
}

pub(super) struct Driver<P> {
    session: Session,
    user: P,
    clock: Clock,
    connection: Connection,
    out: BytesMut,
    read: BytesMut,
}

impl<P: SessionUser> Driver<P> {
    pub(super) fn new(access: &RegistryAccess, user: P, clock: Clock) -> Self {
        let session = access.session(clock.now());
        Driver {
            session,
            user,
            clock,
            connection: Connection::Closed,
            out: BytesMut::new(),
            read: BytesMut::with_capacity(READ_LEN),
        }
    }

    /// Runs until the user of the session is done; `changed` wakes it when there may be something new for it to do.
    pub(super) async fn run(mut self, changed: &Notify) {
        loop {
            self.step();
            if self.user.is_done() {
                self.session.close(self.clock.now());
                self.step();
                // The registry drops what ends with the session when this is read; a moment, and no more.
                let _ = tokio::time::timeout(Duration::from_millis(200), self.flush()).await;
                return;
            }
            let woken = self.wait(changed).await;
            let now = self.clock.now();
            match woken {
                Wakeup::Connected(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    self.connection = Connection::Up(stream);
                    self.session.handle_connected(now);
                }
                Wakeup::Connected(Err(_)) | Wakeup::Read(Ok(0) | Err(_)) => {
                    self.connection = Connection::Closed;
                    self.session.handle_disconnected(now);
                }
                Wakeup::Read(Ok(_)) => {
                    let bytes = self.read.split();
                    self.session.handle_bytes(now, &bytes);
                }
                Wakeup::Writable => self.write(),
                Wakeup::Other => {}
            }
        }
    }

    /// Handles all that has happened and starts all that is to be done.
    fn step(&mut self) {
        let now = self.clock.now();
        self.session.tick(now);
        self.user.tick(now, &self.session);
        loop {
            while let Some(event) = self.session.next_event() {
                self.user.handle_event(now, &self.session, &event);
            }
            while self.session.is_up() && self.session.pending_count() < PENDING_MOST {
                let Some((token, op)) = self.user.next_request() else {
                    break;
                };
                self.session.request(now, token, op);
            }
            let Some(command) = self.session.next_command() else {
                break;
            };
            match command {
                Command::Connect(address) => {
                    self.connection = Connection::Connecting(Box::pin(TcpStream::connect(address)))
                }
                Command::Send(bytes) => self.out.extend_from_slice(&bytes),
                Command::Close => {
                    self.connection = Connection::Closed;
                    self.out.clear();
                    self.read.clear();
                }
            }
        }
        self.write();
        self.user.events_handled(now);
    }

    fn write(&mut self) {
        let Connection::Up(stream) = &self.connection else {
            return;
        };
        while !self.out.is_empty() {
            match stream.try_write(&self.out) {
                Ok(n) => self.out.advance(n),
                // What broke shows when it is read.
                Err(_) => return,
            }
        }
    }

    async fn flush(&mut self) {
        while !self.out.is_empty() {
            let Connection::Up(stream) = &self.connection else {
                return;
            };
            if stream.writable().await.is_err() {
                return;
            }
            self.write();
        }
    }

    async fn wait(&mut self, changed: &Notify) -> Wakeup {
        let until = self
            .session
            .deadline()
            .unwrap_or(f64::MAX)
            .min(self.user.deadline());
        // Without anything due, an hour is as good as any time.
        let rest = Duration::from_secs_f64((until - self.clock.now()).clamp(0.0, 3600.0));
        let sleep = tokio::time::sleep_until((Instant::now() + rest).into());
        match &mut self.connection {
            Connection::Closed => tokio::select! {
                () = sleep => Wakeup::Other,
                () = changed.notified() => Wakeup::Other,
            },
            Connection::Connecting(connecting) => tokio::select! {
                connected = connecting.as_mut() => Wakeup::Connected(connected),
                () = sleep => Wakeup::Other,
                () = changed.notified() => Wakeup::Other,
            },
            Connection::Up(stream) => {
                self.read.reserve(READ_LEN);
                let (mut from, to) = stream.split();
                let writes = !self.out.is_empty();
                // News first: what a timer would do can wait for it.
                tokio::select! {
                    biased;
                    read = from.read_buf(&mut self.read) => Wakeup::Read(read),
                    _ = to.writable(), if writes => Wakeup::Writable,
                    () = changed.notified() => Wakeup::Other,
                    () = sleep => Wakeup::Other,
                }
            }
        }
    }
}
