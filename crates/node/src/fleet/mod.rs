//! This node's membership in a fleet, on a socket. The decisions are made by [`reelfall_cluster`]; this module sends and
//! receives datagrams, schedules, and applies the results to the pools. Opened by [`crate::standalone`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `admin` | management requests that concern the fleet |
//! | `clock` | the time that the fleet runs by |
//! | `events` | the effects of the fleet's events on the pools and the log |

mod admin;
mod clock;
mod events;

use crate::net::shared::{Condemnation, FleetObserver, PoolId, Shared};
use crate::net::Log;
use crate::process::BoxError;
use clock::Clock;
use events::{ListLag, LoggedDropped, CONDEMN_INTERVAL};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::fleet::Fleet;
use reelfall_cluster::node::Node;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_cluster::wire::{Secret, MAX_DATAGRAM_LEN};
use reelfall_cluster::Time;
use reelfall_config::model;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Maximum number of datagrams that are received before other tasks of the node run: a flood of datagrams must not delay
/// requests.
const MAX_RECEIVE_BATCH: usize = 64;
/// Interval at which overdue attempts are looked for, in seconds: until it is notified, each other node goes on sending
/// requests to a server that hangs.
const OVERDUE_INTERVAL: Time = 0.025;
/// The shortest sleep of the event loop, in seconds.
const MIN_SLEEP: Time = 0.001;
/// The longest sleep of the event loop, in seconds.
const MAX_SLEEP: Time = 60.0;
/// Length of a receive buffer: one byte more than any datagram of the fleet, so that one that is too long is noticed.
const RECEIVE_BUFFER_LEN: usize = MAX_DATAGRAM_LEN + 1;

/// Why the node can't take part in its fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The key file can't be read.
    #[error("{path}: {source}", path = path.display())]
    UnreadableKey {
        /// The path of the key file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The key file has no usable key.
    #[error("{path}: {source}", path = path.display())]
    InvalidKey {
        /// The path of the key file.
        path: PathBuf,
        /// What is wrong with the key.
        source: BoxError,
    },
    /// The socket can't be opened.
    #[error("fleet: {address}: {source}")]
    Socket {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

/// The receiver of an application message.
pub enum Recipient {
    /// The node of this name, whichever incarnation of it.
    Named(String),
    /// The process with this tag alone.
    Tagged(u64),
}

/// A list that a pool of this node follows.
struct FollowedList {
    pool: PoolId,
    index: u64,
    lag: ListLag,
}

/// Handles application messages of other nodes.
pub type MessageHandler = Box<dyn Fn(&Node, &[u8])>;

/// This node's membership in a fleet, on a socket.
pub struct FleetRuntime {
    fleet: RefCell<Fleet>,
    shared: Rc<Shared>,
    socket: UdpSocket,
    clock: Clock,
    /// Separate from the node's log, whose rate limit the churn of an unhealthy fleet exhausts just as an operator waits for
    /// the confirmation of a ban.
    ban_log: Log,
    /// Separate for the same reason.
    condemned_log: Log,
    /// There is something to send at once.
    wake: Notify,
    /// The condemnations that are applied to the pools.
    condemned: RefCell<BTreeMap<ServerInstance, Condemnation>>,
    /// Bounded by the services of the settings file.
    lists: RefCell<BTreeMap<String, FollowedList>>,
    next_condemn: Cell<Time>,
    next_overdue: Cell<Time>,
    message_handler: RefCell<Option<MessageHandler>>,
    /// Datagrams that the system did not accept.
    unsent: Cell<u64>,
    logged_dropped: Cell<LoggedDropped>,
}

impl FleetRuntime {
    /// Opens the socket and reads the key. No datagram is sent yet.
    ///
    /// # Errors
    /// If the key can't be read or the address can't be bound.
    pub fn open(
        shared: &Rc<Shared>,
        settings: &model::Fleet,
    ) -> Result<Rc<FleetRuntime>, FleetError> {
        let secret = read_secret(settings)?;
        let to_error = |source| FleetError::Socket {
            address: settings.listen,
            source,
        };
        let socket = bind(settings.listen).map_err(to_error)?;
        let address = settings.advertise.map_or_else(|| socket.local_addr(), Ok);
        let address = address.map_err(to_error)?;
        let random = |what: &str| RandomState::new().hash_one((what, std::process::id()));
        let clock = Clock::start();
        let (tag, seed) = (random("tag") | 1, random("seed"));
        let config = settings.rules.clone();
        let fleet = Fleet::new(
            &settings.node,
            address,
            tag,
            config,
            secret,
            seed,
            clock.now(),
        );
        Ok(Rc::new(FleetRuntime {
            fleet: RefCell::new(fleet),
            shared: shared.clone(),
            socket,
            clock,
            ban_log: Log::default(),
            condemned_log: Log::default(),
            wake: Notify::new(),
            condemned: RefCell::default(),
            lists: RefCell::default(),
            next_condemn: Cell::new(0.0),
            next_overdue: Cell::new(0.0),
            message_handler: RefCell::default(),
            unsent: Cell::new(0),
            logged_dropped: Cell::default(),
        }))
    }

    /// The address that datagrams are received at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Takes part in the fleet for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            let may_have_more = self.receive_datagrams();
            self.tick();
            if may_have_more {
                // Requests are served between two batches of a flood.
                tokio::task::yield_now().await;
                continue;
            }
            let sleep = Duration::from_secs_f64(self.time_to_deadline());
            let due = tokio::time::sleep_until((Instant::now() + sleep).into());
            tokio::select! {
                _ = self.socket.readable() => {}
                () = self.wake.notified() => {}
                () = due => {}
            }
        }
    }

    /// How long the event loop sleeps, in seconds.
    fn time_to_deadline(&self) -> Time {
        let sleep = (self.deadline() - self.clock.now()).max(MIN_SLEEP);
        sleep.min(MAX_SLEEP)
    }

    fn deadline(&self) -> Time {
        let fleet = self.fleet.borrow().deadline();
        fleet
            .min(self.next_condemn.get())
            .min(self.next_overdue.get())
    }

    /// Receives a batch of datagrams, before any timer: what was due while this process was paused may be answered by them.
    /// Returns whether there may be more.
    fn receive_datagrams(&self) -> bool {
        let mut buffer = [0; RECEIVE_BUFFER_LEN];
        for _ in 0..MAX_RECEIVE_BATCH {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => {
                    let datagram = buffer.get(..length).unwrap_or_default();
                    self.fleet.borrow_mut().receive(self.clock.now(), datagram);
                    self.deliver_messages();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // An earlier datagram could not be delivered; the next one may be another node's.
                Err(_) => {}
            }
        }
        true
    }

    /// Passes application messages to their handler.
    fn deliver_messages(&self) {
        loop {
            // The handler may send others: the fleet is not borrowed meanwhile.
            let Some((from, body)) = self.fleet.borrow_mut().next_message() else {
                return;
            };
            if let Some(handler) = &*self.message_handler.borrow() {
                handler(&from, &body);
            }
        }
    }

    /// Sets the handler of application messages.
    pub fn set_message_handler(&self, handler: MessageHandler) {
        self.message_handler.replace(Some(handler));
    }

    /// Sends an application message; it may be lost, as it is where the recipient is no member.
    pub fn send_message(&self, to: &Recipient, body: Vec<u8>) {
        let mut fleet = self.fleet.borrow_mut();
        let to = match to {
            Recipient::Named(name) => fleet.members().by_name(name).cloned(),
            Recipient::Tagged(tag) => fleet.members().by_tag(*tag).cloned(),
        };
        if let Some(to) = to {
            fleet.send_message(&to, body);
            drop(fleet);
            self.send_datagrams();
        }
    }

    /// This node as the others know it.
    pub fn me(&self) -> Node {
        self.fleet.borrow().members().me().clone()
    }

    /// Microseconds since the socket was opened, by the clock that goes on while the machine sleeps.
    pub fn micros(&self) -> u64 {
        self.clock.micros()
    }

    /// Does what is due and acts on the events.
    fn tick(&self) {
        let now = self.clock.now();
        if now >= self.next_overdue.get() {
            self.next_overdue.set(now + OVERDUE_INTERVAL);
            self.report_overdue(now);
        }
        let listed = self.shared.listed();
        let events = {
            let mut fleet = self.fleet.borrow_mut();
            fleet.tick(now, listed);
            std::iter::from_fn(|| fleet.next_event()).collect::<Vec<_>>()
        };
        self.send_datagrams();
        self.handle_events(&events, now);
        if now >= self.next_condemn.get() {
            self.next_condemn.set(now + CONDEMN_INTERVAL);
            self.apply_condemnations(now);
            self.log_lagging_lists(now);
            self.log_dropped(now);
        }
    }

    /// Sends the outgoing datagrams. What the system refuses (no buffer, no permission, no route) is lost, as any datagram
    /// may be.
    fn send_datagrams(&self) {
        let mut fleet = self.fleet.borrow_mut();
        while let Some((to, datagram)) = fleet.next_datagram() {
            if self.socket.try_send_to(&datagram, to).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }

    /// Notifies the other nodes that this one leaves.
    pub fn leave(&self) {
        self.fleet.borrow_mut().leave(self.clock.now());
        self.send_datagrams();
    }
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn read_secret(settings: &model::Fleet) -> Result<Secret, FleetError> {
    let path = || settings.key_file.clone();
    let key = std::fs::read(&settings.key_file).map_err(|source| FleetError::UnreadableKey {
        path: path(),
        source,
    })?;
    Secret::new(&key, &settings.name).map_err(|error| FleetError::InvalidKey {
        path: path(),
        source: error.into(),
    })
}

impl FleetObserver for FleetRuntime {
    fn attempt_ended(&self, server: ServerInstance, outcome: AttemptOutcome) {
        self.fleet
            .borrow_mut()
            .record_outcome(self.clock.now(), &server, outcome);
    }

    fn list_updated(&self, list: &str, pool: PoolId, index: u64) {
        let now = self.clock.now();
        let followed = FollowedList {
            pool,
            index,
            lag: ListLag::None,
        };
        self.lists.borrow_mut().insert(list.to_owned(), followed);
        self.fleet.borrow_mut().publish_list_index(now, list, index);
    }

    fn list_dropped(&self, list: &str, pool: PoolId) {
        // After a reload, another pool may follow a list of the same name already.
        self.lists
            .borrow_mut()
            .retain(|name, followed| name != list || followed.pool != pool);
    }
}
