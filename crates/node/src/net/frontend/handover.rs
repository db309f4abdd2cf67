//! Handing idle connections over to another process of the node, and taking them over from one. `takeover` moves them
//! between the processes.

use super::Frontend;
use crate::net::client::Client;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// A connection on its way to another process; `done` returns it if it can't be handed over.
pub struct Handover {
    pub stream: std::net::TcpStream,
    pub listener: String,
    pub done: oneshot::Sender<Result<(), std::net::TcpStream>>,
}

/// The state of a handover between processes of the node, as far as it concerns clients.
pub trait HandoverState {
    /// Whether this process accepts clients.
    fn accepts(&self) -> bool;
    /// Whether another process uses the same listening sockets.
    fn shares_listeners(&self) -> bool;
    /// Whether idle connections are handed over.
    fn hands_over(&self) -> bool;
    /// Reports that the process has received SIGTERM.
    fn terminate(&self);
    /// Reports that connections are no longer accepted after SIGTERM, unless a successor that is not ready has the listeners.
    fn end_accept_grace(&self);
    /// Reports that the process is about to exit and accepts nothing more, not even for a successor that is not ready.
    fn end_accepting(&self);
}

impl Frontend {
    /// Starts to hand each client over to another process as soon as it is idle; `None` stops this.
    pub fn hand_over_to(&self, sender: Option<mpsc::UnboundedSender<Handover>>) {
        let handing_over = sender.is_some();
        self.handover_sender.replace(sender);
        for client in self.clients.borrow().values() {
            client.is_handing_over.set(handing_over);
            client.wake.notify_one();
        }
    }

    /// Takes over a client from another process.
    pub fn accept_handover(self: &Rc<Self>, descriptor: std::net::TcpStream, listener: &str) {
        let socket = self
            .listeners()
            .into_iter()
            .find(|socket| socket.name() == listener);
        let stream = descriptor
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(descriptor));
        match (socket, stream) {
            (Some(socket), Ok(stream)) => self.clone().spawn_client(stream, &socket),
            // The listener is no longer in the settings, or the descriptor is unusable: the connection is closed.
            (_, stream) => drop(stream),
        }
    }

    /// Hands a client over; returns its socket if the other process does not take it.
    pub(super) async fn hand_over(
        &self,
        stream: Rc<TcpStream>,
        client: &Client,
    ) -> Option<Rc<TcpStream>> {
        let sender = self.handover_sender.borrow().clone();
        let (Some(sender), Some(stream)) = (sender, Rc::into_inner(stream)) else {
            return None;
        };
        let stream = stream.into_std().ok()?;
        let (done, handed_over) = oneshot::channel();
        let listener = client.listener_tag.name.clone();
        let returned = match sender.send(Handover {
            stream,
            listener,
            done,
        }) {
            Err(e) => e.0.stream,
            Ok(()) => match handed_over.await {
                Ok(Ok(())) | Err(_) => return None,
                Ok(Err(stream)) => stream,
            },
        };
        TcpStream::from_std(returned).ok().map(Rc::new)
    }
}
