//! Handing connections without a request over to another process of the node, and taking them over from one.

use super::Front;
use crate::net::client::Client;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// A connection on its way to the process that takes over; it comes back if it can't be handed over.
pub struct Handover {
    pub stream: std::net::TcpStream,
    pub listener: String,
    pub done: oneshot::Sender<Result<(), std::net::TcpStream>>,
}

/// The state of this process among those of the node, as far as it concerns clients.
pub trait HandoverState {
    /// Whether this process accepts clients.
    fn accepts(&self) -> bool;
    /// Whether another process has the listening sockets too.
    fn shares_listeners(&self) -> bool;
    /// Whether connections without a request are handed over.
    fn hands_over(&self) -> bool;
    /// SIGTERM has come: the process ends.
    fn terminate(&self);
    /// The time in which connections are accepted after SIGTERM is over.
    fn end_accept_grace(&self);
}

impl Front {
    /// Hands clients over that have no request in hand, now or later, to another process; `None` ends that.
    pub fn hand_over_to(&self, sender: Option<mpsc::UnboundedSender<Handover>>) {
        let handing_over = sender.is_some();
        self.handover_sender.replace(sender);
        for client in self.clients.borrow().values() {
            client.handing_over.set(handing_over);
            client.wake.notify_one();
        }
    }

    /// Accepts a client that another process hands over.
    pub fn accept_handover(self: &Rc<Self>, descriptor: std::net::TcpStream, listener: &str) {
        let listening = self.listening().into_iter().find(|l| l.name() == listener);
        let stream = descriptor
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(descriptor));
        match (listening, stream) {
            (Some(listening), Ok(stream)) => self.clone().spawn_client(stream, &listening),
            // It ends here: its listener is no longer in the settings, or it is no socket.
            (_, stream) => drop(stream),
        }
    }

    /// Hands a client over; it comes back if nobody takes it.
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
        let back = match sender.send(Handover {
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
        TcpStream::from_std(back).ok().map(Rc::new)
    }
}
