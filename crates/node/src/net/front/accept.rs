//! Accepting connections, and the conversation on each.

use super::{Front, Listening};
use crate::net::client::{close, Client, ClientIo, Phase, CROWDED_GRACE};
use crate::net::gate::{self, Gate};
use crate::net::service::Routing;
use crate::net::{set_nodelay, MAX_REQUEST_HEAD_BYTES};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What the library may read beyond the largest head.
const BUFFER_MARGIN: usize = 16 << 10;
/// Pause after a descriptor could not be had. What was new before it may be evicted after it.
const DESCRIPTORS_OUT: Duration = CROWDED_GRACE;

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
            if self.is_full() {
                self.wait_for_room().await;
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
                    self.shared.log.write_line(format_args!("accept: {e}"));
                    self.make_room();
                    tokio::time::sleep(DESCRIPTORS_OUT).await;
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.clients.borrow().len() >= self.max_clients.get()
    }

    /// Waits for a place for one more client, a short time at most.
    async fn wait_for_room(&self) {
        // What has come already is read first: an end makes room without an eviction, and who has asked is not evicted.
        tokio::task::yield_now().await;
        if self.is_full() {
            self.make_room();
            // Without one to close, clients wait in the backlog.
            let _ = timeout(DESCRIPTORS_OUT, self.freed.notified()).await;
        }
    }

    /// Closes the connection that is first in the [`EvictionOrder`](crate::net::client::EvictionOrder). One without a
    /// request ends like one that has rested for long; a request that does not get on is answered 408.
    fn make_room(&self) {
        let evicted = self
            .eviction_order
            .borrow_mut()
            .pop(Instant::now(), self.max_clients.get());
        let clients = self.clients.borrow();
        let Some(client) = evicted.and_then(|id| clients.get(&id)) else {
            return;
        };
        match client.phase.get() {
            Phase::Receiving => client.fault.set(Some(StatusCode::REQUEST_TIMEOUT)),
            _ => client.close_when_idle.set(true),
        }
        client.wake.notify_one();
    }

    pub(super) fn spawn_client(self: Rc<Self>, stream: TcpStream, listening: &Rc<Listening>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let client = Rc::new(Client::new(
            id,
            listening.tag.clone(),
            self.eviction_order.clone(),
        ));
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
        loop {
            client.enter_eviction_order();
            let hands_over = self.serve_requests(&stream, client).await;
            client.leave_eviction_order();
            if !hands_over {
                break;
            }
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
            Routing::Single(_) => &gate::METHODS,
            Routing::Table(_) => &gate::METHODS_ROUTED,
        };
        let io = TokioIo::new(ClientIo::new(
            stream.clone(),
            client.clone(),
            Gate::new(methods),
        ));
        let service = service_fn(|request| self.clone().request(request, client.clone()));
        // Times are kept by `ClientIo`, which knows whether a request has begun.
        let mut connection = pin!(Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_REQUEST_HEAD_BYTES + BUFFER_MARGIN)
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
