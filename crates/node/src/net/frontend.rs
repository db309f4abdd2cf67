//! The client side of a node: listeners, client connections and requests, and the shutdown on SIGTERM.
//!
//! `platform` and `standalone` create the one [`Frontend`] of a process; `takeover` hands its clients to a successor.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `listen_socket` | the sockets of the listeners |
//! | `accept` | the accept loop, and serving each connection |
//! | `request` | one request from its head to its answer |
//! | `request_body` | buffering, streaming or discarding its body |
//! | `admission` | finding its service and admitting it there |
//! | `health` | health checks |
//! | `translate` | translating requests for servers and for the engine |
//! | `headers` | the headers that the node reads, sets or removes |
//! | `pending` | requests whose answer is awaited |
//! | `reply` | answers to clients |
//! | `error` | why requests are rejected |
//! | `shutdown` | ending connections when the process ends or is drained |
//! | `handover` | handing connections over to another process of the node |

mod accept;
mod admission;
mod error;
mod handover;
mod headers;
mod health;
mod listen_socket;
mod pending;
mod reply;
mod request;
mod request_body;
mod shutdown;
#[cfg(test)]
mod tests;
mod text_response;
mod translate;

pub(super) use error::RequestError;
pub use handover::{Handover, HandoverState};
pub(super) use headers::{header_text, strip_hop_by_hop, time_left};
pub use listen_socket::{BindError, ListenSocket};
pub(super) use pending::CancelOnDrop;
pub(super) use reply::set_retry_after;
pub(super) use request_body::BufferedBody;
pub use shutdown::{Shutdown, SHUTDOWN_TIME};
pub(super) use translate::{repeatability, AdmittedRequest};

use super::client::{Client, ClientId, EvictionOrder};
use super::service::Routing;
use super::shared::Shared;
use super::task::AbortOnDrop;
use super::SeededRng;
use reelfall_routing::table::ListenerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, Notify};

/// A listener and the task that accepts on it.
struct ActiveListener {
    socket: Rc<ListenSocket>,
    _accept_task: AbortOnDrop,
}

impl ActiveListener {
    fn is(&self, socket: &Rc<ListenSocket>) -> bool {
        Rc::ptr_eq(&self.socket, socket)
    }
}

/// The client side of a process: its listeners and clients.
pub struct Frontend {
    shared: Rc<Shared>,
    routing: RefCell<Rc<Routing>>,
    listeners: RefCell<Vec<ActiveListener>>,
    clients: RefCell<HashMap<ClientId, Rc<Client>>>,
    next_client_id: Cell<ClientId>,
    max_clients: Cell<usize>,
    /// Which client is evicted first at the client limit.
    eviction_order: Rc<RefCell<EvictionOrder>>,
    /// Notified when a client's connection has ended.
    client_ended: Notify,
    /// Whether each answer closes its connection, so that the client connects elsewhere, since the process shuts down.
    is_stopping: Cell<bool>,
    /// Whether the process exits so soon that requests without an answer are answered as timed out.
    is_exit_imminent: Cell<bool>,
    /// Notified when `is_exit_imminent` is set.
    exit_imminent: Notify,
    /// Decides which process accepts while several processes of this node run.
    handover: RefCell<Option<Rc<dyn HandoverState>>>,
    /// Notified when the state of the handover may have changed.
    handover_changed: Notify,
    /// Sends clients to the process that takes them over.
    handover_sender: RefCell<Option<mpsc::UnboundedSender<Handover>>>,
    /// Generates the ids of requests without one and the jitter of retry advice.
    rng: SeededRng,
}

impl Frontend {
    /// A frontend without listeners. `seed` is for generated ids and for retry advice.
    pub fn new(shared: Rc<Shared>, routing: Routing, max_clients: usize, seed: u64) -> Rc<Self> {
        Rc::new(Frontend {
            shared,
            routing: RefCell::new(Rc::new(routing)),
            listeners: RefCell::default(),
            clients: RefCell::default(),
            next_client_id: Cell::new(0),
            max_clients: Cell::new(max_clients),
            eviction_order: Rc::default(),
            client_ended: Notify::new(),
            is_stopping: Cell::new(false),
            is_exit_imminent: Cell::new(false),
            exit_imminent: Notify::new(),
            handover: RefCell::default(),
            handover_changed: Notify::new(),
            handover_sender: RefCell::default(),
            rng: SeededRng::new(seed),
        })
    }

    /// Replaces the routing. Requests that have been routed are not affected.
    pub fn set_routing(&self, routing: Routing, max_clients: usize) {
        self.routing.replace(Rc::new(routing));
        self.max_clients.set(max_clients);
    }

    /// Accepts clients on these listeners and no longer on others. Clients of removed listeners stay connected.
    pub fn set_listeners(self: &Rc<Self>, sockets: Vec<Rc<ListenSocket>>) {
        let mut active = self.listeners.borrow_mut();
        active.retain(|old| {
            let stays = sockets.iter().any(|new| old.is(new));
            if !stays {
                old.socket.tag.id.set(None);
                self.drain_backlog(&old.socket);
            }
            stays
        });
        for (id, new) in sockets.into_iter().enumerate() {
            new.tag.id.set(ListenerId::try_from(id).ok());
            if !active.iter().any(|old| old.is(&new)) {
                active.push(self.start_accepting(new));
            }
        }
    }

    fn start_accepting(self: &Rc<Self>, socket: Rc<ListenSocket>) -> ActiveListener {
        let (frontend, accepting) = (self.clone(), socket.clone());
        let task = tokio::task::spawn_local(async move { frontend.accept(&accepting).await });
        ActiveListener {
            socket,
            _accept_task: AbortOnDrop(task.abort_handle()),
        }
    }

    /// Changes the limit of clients.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.max_clients.set(max_clients);
    }

    /// Sets the handover state, which decides whether this process accepts.
    pub fn set_handover_state<S: HandoverState + 'static>(&self, handover: &Rc<S>) {
        self.handover.replace(Some(handover.clone()));
        self.notify_handover_changed();
    }

    /// Reports that the state of the handover may have changed.
    pub fn notify_handover_changed(&self) {
        self.handover_changed.notify_waiters();
    }

    fn is_accepting(&self) -> bool {
        let handover = self.handover.borrow();
        !self.is_exit_imminent() && handover.as_ref().is_none_or(|handover| handover.accepts())
    }

    /// The listeners in use.
    pub fn listeners(&self) -> Vec<Rc<ListenSocket>> {
        self.listeners
            .borrow()
            .iter()
            .map(|active| active.socket.clone())
            .collect()
    }

    /// The listener with this name and address, if there is one.
    pub fn listener(&self, name: &str, address: SocketAddr) -> Option<Rc<ListenSocket>> {
        let listeners = self.listeners.borrow();
        let found = listeners
            .iter()
            .find(|active| active.socket.name() == name && active.socket.address == address);
        found.map(|active| active.socket.clone())
    }

    /// The names and bound addresses of the listeners.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let listeners = self.listeners.borrow();
        listeners
            .iter()
            .map(|active| {
                let socket = &active.socket;
                (socket.name().to_owned(), socket.bound_address())
            })
            .collect()
    }

    pub(super) fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }
}
