//! Hot restart: a new process takes over the listening sockets, the learned state and the clients of the serving
//! process through a Unix socket. Used by [`crate::platform`].
//!
//! [`reelfall_admin::succession`] decides which of the two accepts, and who has the clients.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `clients` | sending and accepting clients |
//! | `exchange` | frames and descriptors on a stream |
//! | `socket` | the Unix socket, and the snapshot that a new process requests |

mod clients;
mod exchange;
mod socket;
#[cfg(test)]
mod tests;

pub use socket::{HandoverSocket, Snapshot};

use super::frontend::{Frontend, HandoverState, ListenSocket, SHUTDOWN_TIME};
use super::shared::Shared;
use super::task::AbortOnDrop;
use crate::process::Termination;
use clients::{accept_clients, accept_sent_clients, return_clients, send_clients};
use exchange::{Exchange, ExchangeError, ReceivedFrame, FRAME_TIMEOUT};
use reelfall_admin::succession::{Predecessor, Successor};
use reelfall_admin::takeover::{Frame, ID_RECORDS_VERSION};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Pause after a connection of a successor that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of processes that share the node's limits while a successor takes over.
const PROCESSES_IN_TAKEOVER: u32 = 2;

/// Collects the learned state of each pool, with the pool's name.
pub type CollectLearned = Box<dyn Fn() -> Vec<(String, serde_json::Value)>>;

/// The role of this process in hot restarts: the successor of one process, and the predecessor of the next.
pub struct Takeover {
    socket: Option<HandoverSocket>,
    shared: Rc<Shared>,
    predecessor: RefCell<Predecessor>,
    successor: Cell<Successor>,
    collect_learned: CollectLearned,
    is_serving: Cell<bool>,
    /// Notified when the connection to the predecessor has ended.
    pub predecessor_gone: Notify,
    /// Notified when this process, which was told to end, accepts nothing any more.
    accepting_ended: Notify,
    /// Notified when a successor is lost after it served, and so after it replaced the socket for successors.
    serving_successor_lost: Notify,
}

impl Takeover {
    /// The state of a new process. Successors connect through `socket`; without it, there are no takeovers.
    pub fn new(
        shared: Rc<Shared>,
        socket: Option<HandoverSocket>,
        has_predecessor: bool,
        collect_learned: CollectLearned,
    ) -> Rc<Self> {
        let mut successor = Successor::default();
        if has_predecessor {
            successor.handle_snapshot();
        }
        shared.set_process_count(successor.process_count());
        Rc::new(Takeover {
            socket,
            shared,
            predecessor: RefCell::default(),
            successor: Cell::new(successor),
            collect_learned,
            is_serving: Cell::new(false),
            predecessor_gone: Notify::new(),
            accepting_ended: Notify::new(),
            serving_successor_lost: Notify::new(),
        })
    }

    /// Whether this process serves, and its predecessor has been notified of that.
    pub fn is_serving(&self) -> bool {
        self.is_serving.get()
    }

    /// Whether the predecessor accepts connections and this process does not yet.
    pub fn is_standby(&self) -> bool {
        !self.successor.get().accepts()
    }

    fn update_predecessor(&self, frontend: &Frontend, change: impl FnOnce(&mut Predecessor)) {
        change(&mut self.predecessor.borrow_mut());
        frontend.notify_handover_changed();
    }

    fn update_successor(&self, change: impl FnOnce(&mut Successor)) {
        let mut successor = self.successor.get();
        change(&mut successor);
        self.successor.set(successor);
    }

    /// Waits until this process can serve, then takes over from the predecessor, and listens for a successor for as long as
    /// the future is polled.
    ///
    /// `ready` completes when this process can serve. If the predecessor ends before, this process accepts from then on.
    pub async fn run(
        self: Rc<Self>,
        frontend: Rc<Frontend>,
        snapshot: Option<Snapshot>,
        ready: impl Future<Output = ()>,
        termination: Termination,
    ) {
        let mut ready = pin!(ready);
        let mut exchange = snapshot.map(Snapshot::into_exchange);
        if let Some(predecessor) = &mut exchange {
            let is_predecessor_gone = tokio::select! {
                biased;
                () = ready.as_mut() => false,
                // It sends nothing before this process serves.
                _ = predecessor.receive() => true,
            };
            if is_predecessor_gone {
                exchange = None;
                self.handle_predecessor_gone();
                frontend.notify_handover_changed();
                ready.await;
            }
        } else {
            ready.await;
        }
        self.serve(frontend, exchange, termination).await;
    }

    /// Called once this process can serve: starts to accept, notifies the predecessor, takes over its clients until SIGTERM,
    /// and listens for a successor for as long as the future is polled.
    async fn serve(
        self: Rc<Self>,
        frontend: Rc<Frontend>,
        exchange: Option<Exchange>,
        termination: Termination,
    ) {
        self.update_successor(Successor::set_ready);
        frontend.notify_handover_changed();
        let _accept_task = self.listen_for_successor(&frontend);
        let is_announced = match &exchange {
            Some(exchange) => exchange.send(&Frame::Serving, &[]).await.is_ok(),
            None => false,
        };
        // Only after the predecessor is notified: an operator may stop it as soon as this process reports that it
        // serves.
        self.is_serving.set(true);
        if let Some(exchange) = exchange {
            self.take_over_clients(exchange, is_announced, &frontend, &termination)
                .await;
        }
        std::future::pending::<()>().await;
    }

    /// Takes over clients until the predecessor has ended, or until SIGTERM: the end of the exchange then tells the predecessor
    /// to serve on.
    async fn take_over_clients(
        &self,
        mut exchange: Exchange,
        is_announced: bool,
        frontend: &Rc<Frontend>,
        termination: &Termination,
    ) {
        let is_predecessor_gone = !is_announced
            || termination
                .interrupt(accept_clients(&mut exchange, frontend))
                .await
                .is_some();
        if is_predecessor_gone {
            self.handle_predecessor_gone();
        } else {
            accept_sent_clients(&mut exchange, frontend);
        }
    }

    fn handle_predecessor_gone(&self) {
        self.update_successor(Successor::handle_predecessor_gone);
        self.shared
            .set_process_count(self.successor.get().process_count());
        self.predecessor_gone.notify_one();
    }

    fn listen_for_successor(self: &Rc<Self>, frontend: &Rc<Frontend>) -> Option<AbortOnDrop> {
        let listener = self.bind_handover_socket()?;
        let accepting = self.clone().accept_successors(listener, frontend.clone());
        Some(AbortOnDrop(
            tokio::task::spawn_local(accepting).abort_handle(),
        ))
    }

    fn bind_handover_socket(&self) -> Option<UnixListener> {
        match self.socket.as_ref()?.listen() {
            Ok(listener) => Some(listener),
            Err(error) => {
                self.shared.log.write_line(format_args!(
                    "takeover: the socket for a successor can't be bound: {error}"
                ));
                None
            }
        }
    }

    async fn accept_successors(self: Rc<Self>, mut listener: UnixListener, frontend: Rc<Frontend>) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.serving_successor_lost.notified() => {
                    listener = self.bind_handover_socket().unwrap_or(listener);
                    continue;
                }
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let serving = self.clone().serve_successor(stream, frontend.clone());
                    tokio::task::spawn_local(serving);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Serves a process that takes over, until it or this process ends.
    async fn serve_successor(self: Rc<Self>, stream: UnixStream, frontend: Rc<Frontend>) {
        let Ok(mut exchange) = Exchange::new(stream) else {
            return;
        };
        let hello = timeout(FRAME_TIMEOUT, exchange.receive()).await;
        let version = match hello {
            Ok(Ok(ReceivedFrame {
                frame: Frame::Hello { version },
                ..
            })) => version,
            Ok(Ok(ReceivedFrame {
                frame: Frame::ShareIds { version },
                ..
            })) => return self.share_ids(version, exchange).await,
            _ => return,
        };
        if !self.predecessor.borrow_mut().handle_hello(version) {
            let _ = exchange.send(&Frame::Busy, &[]).await;
            return;
        }
        let reason = self.hand_over(&mut exchange, &frontend).await;
        if matches!(reason, ExchangeError::AcceptingEnded) {
            // The end of the exchange tells the successor to accept. It still has the listeners.
            return;
        }
        self.shared
            .log
            .write_line(format_args!("takeover: lost the successor: {reason}"));
        frontend.hand_over_to(None);
        let was_serving = self.hands_over();
        self.update_predecessor(&frontend, Predecessor::handle_successor_lost);
        if was_serving {
            self.serving_successor_lost.notify_one();
            // It may have been told to end, and answer its last requests.
            tokio::time::sleep(SHUTDOWN_TIME).await;
        }
        if !self.shares_listeners() {
            self.shared
                .set_process_count(self.successor.get().process_count());
        }
    }

    /// Shares the ids of unsafe requests with a process that supports these records.
    async fn share_ids(&self, version: u32, exchange: Exchange) {
        if version != ID_RECORDS_VERSION {
            return;
        }
        if let Ok(stream) = exchange.into_stream() {
            // A stream that can't be used is closed, which the other process sees.
            let _ = self.shared.share_request_ids(stream).await;
        }
    }

    /// Hands over the sockets, the learned state and the clients. Returns why the successor is lost, only once it is.
    async fn hand_over(&self, exchange: &mut Exchange, frontend: &Rc<Frontend>) -> ExchangeError {
        // Held open until the successor is lost, even if this process closes its own listeners.
        let sockets = frontend.listeners();
        if let Err(error) = self.send_snapshot(exchange, &sockets).await {
            return error;
        }
        if frontend.is_exit_imminent() {
            return ExchangeError::AcceptingEnded;
        }
        let received = tokio::select! {
            biased;
            received = exchange.receive() => received,
            () = self.accepting_ended.notified() => return ExchangeError::AcceptingEnded,
        };
        match received {
            Ok(received) if matches!(received.frame, Frame::Serving) => {}
            Ok(_) => return ExchangeError::ProtocolViolation,
            Err(error) => return error,
        }
        let (sender, mut handovers) = mpsc::unbounded_channel();
        frontend.hand_over_to(Some(sender));
        self.update_predecessor(frontend, Predecessor::handle_serving);
        let reason = send_clients(exchange, &mut handovers).await;
        return_clients(handovers);
        reason
    }

    async fn send_snapshot(
        &self,
        exchange: &Exchange,
        listeners: &[Rc<ListenSocket>],
    ) -> Result<(), ExchangeError> {
        let names = listeners.iter().map(|listener| listener.name().to_owned());
        let sockets: Vec<BorrowedFd> = listeners.iter().map(|listener| listener.as_fd()).collect();
        self.shared.set_process_count(PROCESSES_IN_TAKEOVER);
        let snapshot = Frame::Snapshot {
            listeners: names.collect(),
            learned: (self.collect_learned)(),
        };
        exchange.send(&snapshot, &sockets).await
    }
}

impl HandoverState for Takeover {
    fn accepts(&self) -> bool {
        self.predecessor.borrow().accepts() && self.successor.get().accepts()
    }

    fn shares_listeners(&self) -> bool {
        self.predecessor.borrow().shares_listeners()
    }

    fn hands_over(&self) -> bool {
        self.predecessor.borrow().hands_over()
    }

    fn terminate(&self) {
        self.predecessor.borrow_mut().terminate();
    }

    fn end_accept_grace(&self) {
        self.predecessor.borrow_mut().end_accept_grace();
    }

    fn end_accepting(&self) {
        self.accepting_ended.notify_waiters();
    }
}
