//! This node's membership in a fleet, over a UDP socket. The decisions are made by [`reelfall_cluster`]; this module
//! sends and receives datagrams, schedules, and applies the results to the pools. Opened by [`crate::standalone`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `admin` | management requests that concern the fleet |
//! | `clock` | the clock of the fleet |
//! | `events` | the effects of the fleet's events on the pools and the log |
//! | `observer` | what the pools report to the fleet: outcomes of attempts and list indexes |
//! | `open` | opening the socket and reading the key at the start |

mod admin;
mod clock;
mod events;
mod observer;
mod open;
#[cfg(test)]
mod tests;

pub use open::FleetError;

use crate::net::shared::{PoolId, QuorumEjection, Shared};
use crate::net::Log;
use clock::Clock;
use events::{ListLag, LoggedDropped, EJECTION_UPDATE_INTERVAL};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::fleet::Fleet;
use reelfall_cluster::node::Node;
use reelfall_cluster::wire::MAX_DATAGRAM_LEN;
use reelfall_cluster::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Maximum number of datagrams that are received before other tasks run, so that a flood of datagrams does not delay
/// requests.
const MAX_RECEIVE_BATCH: usize = 64;
/// Interval at which overdue attempts are reported, in seconds: until they are notified, other nodes keep sending
/// requests to a server that hangs.
const OVERDUE_INTERVAL: Time = 0.025;
/// The shortest sleep of the event loop, in seconds.
const MIN_SLEEP: Time = 0.001;
/// The longest sleep of the event loop, in seconds.
const MAX_SLEEP: Time = 60.0;
/// Length of a receive buffer, in bytes: one more than the longest valid datagram, so that a longer one is detected.
const RECEIVE_BUFFER_LEN: usize = MAX_DATAGRAM_LEN + 1;

/// The receiver of an application message.
pub enum Recipient {
    /// The current incarnation of the node with this name.
    Named(String),
    /// The process with this tag, and no later incarnation of its node.
    Tagged(u64),
}

/// An endpoint list that a pool of this node follows, and whether it lags behind other nodes' lists.
struct FollowedList {
    pool: PoolId,
    index: u64,
    lag: ListLag,
}

/// Handles an application message: its sender and its body.
pub type MessageHandler = Box<dyn Fn(&Node, &[u8])>;

/// Drives the [`Fleet`] state machine of this node with a socket, timers and the pools.
pub struct FleetRuntime {
    fleet: RefCell<Fleet>,
    shared: Rc<Shared>,
    socket: UdpSocket,
    clock: Clock,
    /// Bans. Separate from the node's log: the churn of an unhealthy fleet exhausts the rate limit of that log just when
    /// an operator waits for the confirmation of a ban.
    ban_log: Log,
    /// Ejections. Separate for the same reason.
    ejection_log: Log,
    /// This node's reports. Separate, since reports on many servers may be logged at once.
    report_log: Log,
    /// Name conflicts. Separate, since enough member changes precede one to reach the rate limit of a log.
    name_conflict_log: Log,
    /// Wakes the event loop after a change that has to be sent without delay.
    wake: Notify,
    /// The ejections that are currently applied to the pools.
    ejected: RefCell<BTreeMap<ServerInstance, QuorumEjection>>,
    /// The lists that pools follow, by name. Bounded by the number of services in the settings file.
    lists: RefCell<BTreeMap<String, FollowedList>>,
    next_ejection_update: Cell<Time>,
    next_overdue: Cell<Time>,
    message_handler: RefCell<Option<MessageHandler>>,
    /// Number of datagrams that the system refused to send.
    unsent: Cell<u64>,
    logged_dropped: Cell<LoggedDropped>,
}

impl FleetRuntime {
    /// The local address of the socket.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Runs the event loop for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            let may_have_more = self.receive_datagrams();
            self.tick();
            if may_have_more {
                // Lets other tasks serve requests between two batches of a flood.
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
            .min(self.next_ejection_update.get())
            .min(self.next_overdue.get())
    }

    /// Receives a batch of datagrams; returns whether there may be more. Called before the timers are processed: after a
    /// pause of this process, the datagrams may answer probes whose timers are due.
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
                // An ICMP error for a datagram that was sent earlier; others may still be waiting.
                Err(_) => {}
            }
        }
        true
    }

    /// Passes application messages to their handler.
    fn deliver_messages(&self) {
        loop {
            // The fleet is not borrowed while the handler runs, since it may send messages.
            let Some(message) = self.fleet.borrow_mut().next_message() else {
                return;
            };
            if let Some(handler) = &*self.message_handler.borrow() {
                handler(&message.from, &message.body);
            }
        }
    }

    /// Sets the handler of application messages; those that arrive without one are dropped.
    pub fn set_message_handler(&self, handler: MessageHandler) {
        self.message_handler.replace(Some(handler));
    }

    /// Sends an application message, which may be lost. It is dropped if the recipient is not a member.
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

    /// This node's name, address and incarnation, as the other members know them.
    pub fn local_node(&self) -> Node {
        self.fleet.borrow().members().local_node().clone()
    }

    /// Microseconds since the socket was opened. Includes the time that the machine was suspended.
    pub fn micros(&self) -> u64 {
        self.clock.micros()
    }

    /// Processes the due timers, sends the outgoing datagrams and handles the events.
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
        if now >= self.next_ejection_update.get() {
            self.next_ejection_update
                .set(now + EJECTION_UPDATE_INTERVAL);
            self.apply_quorum_ejections(now);
            self.log_lagging_lists(now);
            self.log_dropped(now);
        }
    }

    /// Sends the outgoing datagrams. Those that the system refuses (no buffer, no permission, no route) are counted and
    /// lost: the protocol tolerates the loss of any datagram.
    fn send_datagrams(&self) {
        let mut fleet = self.fleet.borrow_mut();
        while let Some(datagram) = fleet.next_datagram() {
            let sent = self.socket.try_send_to(&datagram.bytes, datagram.to);
            if sent.is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }

    /// Announces to the other nodes that this one leaves the fleet.
    pub fn leave(&self) {
        self.fleet.borrow_mut().leave(self.clock.now());
        self.send_datagrams();
    }
}
