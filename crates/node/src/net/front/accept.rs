//! Accepting connections, and the conversation on each.

use super::{Front, Listening};
use crate::net::client::{close, Client, ClientIo, Phase};
use crate::net::gate::{self, Gate};
use crate::net::service::Routing;
use crate::net::{set_nodelay, HEAD_MOST};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Under pressure, a request that has been coming for so long loses its connection.
const COMING_LONG: Duration = Duration::from_secs(1);
/// What the library may read beyond the largest head.
const BUFFER_MARGIN: usize = 16 << 10;
/// Pause after a descriptor could not be had.
const DESCRIPTORS_OUT: Duration = Duration::from_millis(20);

impl Front {
    /// What the machine has accepted counts as taken: the backlog is emptied before a listener closes.
    pub(super) fn drain_backlog(self: &Rc<Self>, listening: &Rc<Listening>) {
        let mut waker = Context::from_waker(Waker::noop());
        while let Poll::Ready(Ok((stream, _))) = listening.listener.poll_accept(&mut waker) {
            self.clone().spawn_client(stream, listening);
        }
    }

    pub(super) async fn accept(self: &Rc<Self>, listening: &Rc<Listening>) {
        loop {
            if self.clients.borrow().len() >= self.max_clients.get() {
                self.make_room();
                // Without an idle one to close, clients wait in the backlog.
                let _ = timeout(DESCRIPTORS_OUT, self.freed.notified()).await;
                continue;
            }
            if !self.accepts() {
                self.handover_changed.notified().await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.handover_changed.notified() => continue,
                accepted = listening.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.clone().spawn_client(stream, listening),
                Err(e) => {
                    // Out of descriptors, as a rule: the error stays until one is free, so don't spin on it.
                    self.shared.log.say(format_args!("accept: {e}"));
                    self.make_room();
                    tokio::time::sleep(DESCRIPTORS_OUT).await;
                }
            }
        }
    }

    /// Closes the connection that can best be spared: the longest silent of those that never asked, then the
    /// longest idle, then one whose request does not get on.
    ///
    /// Guards against clients that connect by hundreds and say nothing, or next to nothing, while others wait to
    /// be let in; it ought to bear any flood of connections. Harm: a client may find an idle connection closed
    /// sooner than usual. It is read once more before that, so no request that has come is lost.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        let spare = |c: &Client| match c.phase.get() {
            _ if c.close_when_idle.get() || c.fault.get().is_some() => None,
            Phase::New => Some((0, c.since.get())),
            Phase::Idle => Some((1, c.since.get())),
            Phase::Receiving if c.since.get().elapsed() > COMING_LONG => Some((2, c.since.get())),
            _ => None,
        };
        let least = clients.values().filter_map(|c| Some((spare(c)?, c))).min_by_key(|(key, _)| *key);
        if let Some((_, client)) = least {
            match client.phase.get() {
                Phase::Receiving => client.fault.set(Some(StatusCode::REQUEST_TIMEOUT)),
                _ => client.close_when_idle.set(true),
            }
            client.wake.notify_one();
        }
    }

    pub(super) fn spawn_client(self: Rc<Self>, stream: TcpStream, listening: &Rc<Listening>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let client = Rc::new(Client::new(listening.tag.clone()));
        self.clients.borrow_mut().insert(id, client.clone());
        tokio::task::spawn_local(async move {
            self.connection(stream, &client).await;
            self.clients.borrow_mut().remove(&id);
            self.freed.notify_waiters();
        });
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        set_nodelay(&stream);
        let mut stream = Rc::new(stream);
        while self.serve_requests(&stream, client).await {
            match self.hand_over(stream, client).await {
                Some(back) => stream = back,
                None => return,
            }
        }
        close(&stream, client).await;
    }

    /// Answers what a client asks; true if it goes to another process now, of which nothing has been read yet that was not
    /// answered.
    async fn serve_requests(self: &Rc<Self>, stream: &Rc<TcpStream>, client: &Rc<Client>) -> bool {
        let methods: &[&[u8]] = match &**self.routing.borrow() {
            Routing::Alone(_) => &gate::METHODS,
            Routing::Table(_) => &gate::METHODS_ROUTED,
        };
        let io = TokioIo::new(ClientIo::new(stream.clone(), client.clone(), Gate::new(methods)));
        let service = service_fn(|request| self.clone().request(request, client.clone()));
        // Times are kept by `ClientIo`, which knows whether a request has begun.
        let mut connection = pin!(Builder::new()
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST + BUFFER_MARGIN)
            .serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                // How it ended concerns the client alone.
                _ = connection.as_mut() => return false,
                () = client.wake.notified() => {
                    let idle = matches!(client.phase.get(), Phase::New | Phase::Idle);
                    if idle && client.handing_over.get() && client.fault.get().is_none() {
                        return true;
                    }
                }
            }
        }
    }
}
