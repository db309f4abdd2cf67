//! This node's part in a fleet, on a socket. The decisions are made by [`reelfall_cluster`]; this module sends and receives
//! datagrams, schedules, and applies the results to the pools.

mod admin;
mod clock;
mod events;

use crate::net::shared::{Condemnation, FleetObserver, PoolId, Shared};
use crate::net::Log;
use clock::Clock;
use events::{ListLag, CONDEMN_INTERVAL};
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
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Maximum number of datagrams that are received before other tasks of the node have their turn.
///
/// Guards requests against a flood of datagrams. Harm: of a flood, what the system's buffer does not hold is lost.
const RECEIVE_BATCH: usize = 64;
/// Interval at which overdue attempts are looked for.
///
/// Guards the others' requests: each node that has not heard sends what it would have to a server that hangs. Harm: a look
/// at what is open, forty times in a second.
const OVERDUE_INTERVAL: Time = 0.025;
/// The shortest and the longest rest of the event loop, in seconds.
const REST: (Time, Time) = (0.001, 60.0);

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

/// This node's part in a fleet, on a socket. See the module.
pub struct FleetRuntime {
    fleet: RefCell<Fleet>,
    shared: Rc<Shared>,
    socket: UdpSocket,
    clock: Clock,
    /// Logs of their own, since the node's log is limited in lines, and the churn of a fleet in trouble uses them up just as
    /// an operator waits for the confirmation of a ban.
    ban_log: Log,
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
    /// When dropped datagrams were last logged, and how many there were.
    logged_dropped: Cell<(Time, u64)>,
}

impl FleetRuntime {
    /// Opens the socket and reads the key. No datagram is sent yet.
    ///
    /// # Errors
    /// If the key can't be read or the address can't be bound.
    pub fn open(shared: &Rc<Shared>, settings: &model::Fleet) -> Result<Rc<FleetRuntime>, String> {
        let secret = read_secret(settings)?;
        let to_text = |e: std::io::Error| format!("fleet: {}: {e}", settings.listen);
        let socket = std::net::UdpSocket::bind(settings.listen).map_err(to_text)?;
        socket.set_nonblocking(true).map_err(to_text)?;
        let address = settings
            .advertise
            .map_or_else(|| socket.local_addr().map_err(to_text), Ok)?;
        let socket = UdpSocket::from_std(socket).map_err(to_text)?;
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
            logged_dropped: Cell::new((0.0, 0)),
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
                // Requests have their turn between two batches of a flood.
                tokio::task::yield_now().await;
                continue;
            }
            let rest = (self.deadline() - self.clock.now()).max(REST.0).min(REST.1);
            let due =
                tokio::time::sleep_until((Instant::now() + Duration::from_secs_f64(rest)).into());
            tokio::select! {
                _ = self.socket.readable() => {}
                () = self.wake.notified() => {}
                () = due => {}
            }
        }
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
        // One byte more than any datagram of the fleet, so that one that is too long is noticed.
        let mut buffer = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..RECEIVE_BATCH {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((n, _)) => {
                    let datagram = buffer.get(..n).unwrap_or_default();
                    self.fleet.borrow_mut().receive(self.clock.now(), datagram);
                    self.deliver_messages();
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return false,
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

    /// Microseconds since this process began, by the clock that goes on while the machine sleeps.
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
        let listed = self.shared.listed_server_count();
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

    /// Sends the outgoing datagrams. What the system refuses (no buffer, no permission, no route) is lost, as a datagram
    /// may be, and ends nothing.
    fn send_datagrams(&self) {
        let mut fleet = self.fleet.borrow_mut();
        while let Some((to, datagram)) = fleet.next_datagram() {
            if self.socket.try_send_to(&datagram, to).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }

    /// Tells the others that this node leaves.
    pub fn leave(&self) {
        self.fleet.borrow_mut().leave(self.clock.now());
        self.send_datagrams();
    }
}

fn read_secret(settings: &model::Fleet) -> Result<Secret, String> {
    let file = &settings.key_file;
    let key = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Secret::new(&key, &settings.name).map_err(|e| format!("{}: {e}", file.display()))
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
        // A reload may have put another pool in its place already, which follows a list of the same name.
        self.lists
            .borrow_mut()
            .retain(|name, followed| name != list || followed.pool != pool);
    }
}
