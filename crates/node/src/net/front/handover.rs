//! Handing connections without a request over to another process of the node, and taking them over from one.

use super::Front;
use crate::net::client::Client;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// A connection on its way to the process that takes over; it comes back if it can't be passed.
pub struct Passing {
    pub stream: std::net::TcpStream,
    pub listener: String,
    pub done: oneshot::Sender<Result<(), std::net::TcpStream>>,
}

/// This process in the succession of the node's processes, as far as it concerns clients.
pub trait Succession {
    /// Whether this process accepts clients.
    fn accepts(&self) -> bool;
    /// Whether another process has the listening sockets too.
    fn shares(&self) -> bool;
    /// Whether connections without a request are handed over.
    fn passes(&self) -> bool;
    /// SIGTERM has come.
    fn terminate(&self);
    /// No more connections are to be expected after it.
    fn late(&self);
}

impl Front {
    /// Passes clients that have no request in hand, now or later, to another process; `None` ends that.
    pub fn pass_to(&self, passes: Option<mpsc::UnboundedSender<Passing>>) {
        let passing = passes.is_some();
        self.passes.replace(passes);
        for client in self.clients.borrow().values() {
            client.passing.set(passing);
            client.wake.notify_one();
        }
    }

    /// Takes in a client that another process passes on.
    pub fn take_in(self: &Rc<Self>, descriptor: std::net::TcpStream, listener: &str) {
        let listening = self.listening().into_iter().find(|l| l.name() == listener);
        let stream = descriptor.set_nonblocking(true).and_then(|()| TcpStream::from_std(descriptor));
        match (listening, stream) {
            (Some(listening), Ok(stream)) => self.clone().client(stream, &listening),
            // It ends here: its listener is no longer in the settings, or it is no socket.
            (_, stream) => drop(stream),
        }
    }

    /// Passes a client on; it comes back if nobody takes it.
    pub(super) async fn pass_on(&self, stream: Rc<TcpStream>, client: &Client) -> Option<Rc<TcpStream>> {
        let passes = self.passes.borrow().clone();
        let (Some(passes), Some(stream)) = (passes, Rc::into_inner(stream)) else { return None };
        let stream = stream.into_std().ok()?;
        let (done, passed) = oneshot::channel();
        let listener = client.came_by.name.clone();
        let back = match passes.send(Passing { stream, listener, done }) {
            Err(e) => e.0.stream,
            Ok(()) => match passed.await {
                Ok(Ok(())) | Err(_) => return None,
                Ok(Err(stream)) => stream,
            },
        };
        TcpStream::from_std(back).ok().map(Rc::new)
    }
}
