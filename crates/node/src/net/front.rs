//! The client side: the listeners and connections of a node, from the first client to the end of it all on SIGTERM.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `listening` | the addresses where clients connect |
//! | `accept` | the accept loop, and the conversation on each connection |
//! | `request` | one request: its service, its body, its answer |
//! | `translate` | heads of requests in the terms of the engine |
//! | `reply` | answers to clients |
//! | `handover` | handing connections over to another process of the node |

mod accept;
mod handover;
mod listening;
mod reply;
mod request;
mod translate;

pub use handover::{Handover, HandoverState};
pub use listening::Listening;
pub(super) use translate::{strip_hop_by_hop, time_left, AdmittedRequest, PendingRequest, ID_OPEN};

use super::client::{Client, ClientId, EvictionOrder, Phase};
use super::service::Routing;
use super::shared::Shared;
use super::task::AbortOnDrop;
use super::SeededRng;
use reelfall_routing::table::ListenerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, Notify};

/// How long connections go on being accepted after SIGTERM: they come for 0.4 s at the most.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than this after the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// How often a node that is being emptied looks for connections that may go.
const EMPTIES_EVERY: Duration = Duration::from_millis(100);
/// What a process that ends keeps of its time for clients that nobody takes over.
const LAST_WORDS: Duration = Duration::from_millis(400);

/// The client side of a node.
pub struct Front {
    shared: Rc<Shared>,
    routing: RefCell<Rc<Routing>>,
    listening: RefCell<Vec<(Rc<Listening>, AbortOnDrop)>>,
    clients: RefCell<HashMap<ClientId, Rc<Client>>>,
    next: Cell<ClientId>,
    max_clients: Cell<usize>,
    /// Which of the clients go first when there is no room.
    eviction_order: Rc<RefCell<EvictionOrder>>,
    /// A client's connection has ended.
    freed: Notify,
    stopping: Cell<bool>,
    /// Who accepts, where several processes of this node may.
    handover: RefCell<Option<Rc<dyn HandoverState>>>,
    /// That may have changed.
    handover_changed: Notify,
    /// The way of clients to the process that takes over.
    handover_sender: RefCell<Option<mpsc::UnboundedSender<Handover>>>,
    /// For ids of requests that came without one, and for advice on when to come back.
    rng: SeededRng,
}

impl Front {
    /// No clients yet. `seed` is for ids and advice.
    pub fn new(shared: Rc<Shared>, routing: Routing, clients: usize, seed: u64) -> Rc<Self> {
        Rc::new(Front {
            shared,
            routing: RefCell::new(Rc::new(routing)),
            listening: RefCell::default(),
            clients: RefCell::default(),
            next: Cell::new(0),
            max_clients: Cell::new(clients),
            eviction_order: Rc::default(),
            freed: Notify::new(),
            stopping: Cell::new(false),
            handover: RefCell::default(),
            handover_changed: Notify::new(),
            handover_sender: RefCell::default(),
            rng: SeededRng::new(seed),
        })
    }

    /// Puts another routing in force. What has been routed stays where it is.
    pub fn route(&self, routing: Routing, clients: usize) {
        self.routing.replace(Rc::new(routing));
        self.max_clients.set(clients);
    }

    /// Accepts clients on these listeners, and on no others from here on. Whoever has connected stays until its
    /// request is answered.
    pub fn listen(self: &Rc<Self>, listening: Vec<Rc<Listening>>) {
        let mut now = self.listening.borrow_mut();
        now.retain(|(old, _)| {
            let stays = listening.iter().any(|new| Rc::ptr_eq(new, old));
            if !stays {
                old.tag.id.set(None);
                self.drain_backlog(old);
            }
            stays
        });
        for (id, new) in listening.into_iter().enumerate() {
            new.tag.id.set(ListenerId::try_from(id).ok());
            if now.iter().any(|(old, _)| Rc::ptr_eq(old, &new)) {
                continue;
            }
            let (front, accepting) = (self.clone(), new.clone());
            let task = tokio::task::spawn_local(async move { front.accept(&accepting).await });
            now.push((new, AbortOnDrop(task.abort_handle())));
        }
    }

    /// Changes how many clients there may be.
    pub fn set_max_clients(&self, clients: usize) {
        self.max_clients.set(clients);
    }

    /// Has the state of the handover say who accepts.
    pub fn set_handover_state<S: HandoverState + 'static>(&self, handover: &Rc<S>) {
        self.handover.replace(Some(handover.clone()));
        self.notify_handover_changed();
    }

    /// Who accepts may have changed.
    pub fn notify_handover_changed(&self) {
        self.handover_changed.notify_waiters();
    }

    fn accepts(&self) -> bool {
        self.handover.borrow().as_ref().is_none_or(|t| t.accepts())
    }

    /// The listeners there are.
    pub fn listening(&self) -> Vec<Rc<Listening>> {
        self.listening
            .borrow()
            .iter()
            .map(|(l, _)| l.clone())
            .collect()
    }

    /// The listener of a name and address, if there is one.
    pub fn listener(&self, name: &str, address: SocketAddr) -> Option<Rc<Listening>> {
        let listening = self.listening.borrow();
        let found = listening
            .iter()
            .find(|(l, _)| l.name() == name && l.address == address);
        found.map(|(l, _)| l.clone())
    }

    /// The addresses that are listened on, by name.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let listening = self.listening.borrow();
        let address = |l: &Listening| l.listener.local_addr().unwrap_or(l.address);
        listening
            .iter()
            .map(|(l, _)| (l.name().to_owned(), address(l)))
            .collect()
    }

    /// Serves until `stop`, and a little longer; ends when what was taken has its answers.
    pub async fn serve(self: &Rc<Self>, stop: impl Future<Output = ()>) {
        stop.await;
        let told = Instant::now();
        let longest = self.routing.borrow().longest_deadline();
        let end = told + longest + KILL_AFTER - Duration::from_millis(100);
        let handover = self.handover.borrow().clone();
        if let Some(handover) = &handover {
            handover.terminate();
        }
        loop {
            let now = Instant::now();
            let shares = handover.as_ref().is_some_and(|t| t.shares_listeners());
            let (until, drains) = if handover.as_ref().is_some_and(|t| t.hands_over()) {
                (end, false)
            } else if shares && now < end - LAST_WORDS {
                // A successor that gets ready has what is left of the time to do so.
                (end - LAST_WORDS, false)
            } else if !shares && now < told + ACCEPT_ON {
                (told + ACCEPT_ON, false)
            } else {
                (end, true)
            };
            // Clients that go to another process need not be told to connect anew.
            self.stopping.set(!shares || drains);
            if drains {
                self.drain_clients(handover.as_deref(), shares);
            }
            if now >= end || (until == end && self.clients.borrow().is_empty()) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = self.freed.notified() => {}
                () = self.handover_changed.notified() => {}
            }
        }
    }

    /// Accepts nobody any more and ends every connection as soon as no request is on it.
    fn drain_clients(self: &Rc<Self>, handover: Option<&dyn HandoverState>, shares: bool) {
        if let Some(handover) = handover {
            handover.end_accept_grace();
        }
        if !shares {
            self.listen(Vec::new());
        }
        for client in self.clients.borrow().values() {
            if !client.close_when_idle.replace(true) {
                client.wake.notify_one();
            }
        }
    }

    /// Lets idle connections go while the node is being emptied, each at its time, for as long as it is polled.
    pub async fn close_idle_while_draining(self: Rc<Self>) {
        loop {
            if !self.shared.is_draining() {
                self.shared.drain_changed.notified().await;
                continue;
            }
            for client in self.clients.borrow().values() {
                let idle = matches!(client.phase.get(), Phase::New | Phase::Idle);
                let until = self.shared.idle_deadline(client.since.get());
                if idle && until.is_some_and(|until| until <= Instant::now()) {
                    client.close_when_idle.set(true);
                    client.wake.notify_one();
                }
            }
            tokio::time::sleep(EMPTIES_EVERY).await;
        }
    }

    pub(super) fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }
}
