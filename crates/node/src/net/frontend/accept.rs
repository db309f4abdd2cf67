//! Accepting client connections, each of which is served in a task of its own.

use super::{Frontend, ListenSocket};
use crate::net::client::{close, Client, ClientIo, Phase, CROWDED_GRACE};
use crate::net::request_filter::{self, RequestFilter};
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

/// How much the HTTP library may buffer beyond the largest request head, in bytes.
const BUFFER_MARGIN: usize = 16 << 10;
/// Pause before accepting again at the limit of clients or file descriptors. A client that is new before the pause may
/// be evicted after it.
const CAPACITY_RETRY_INTERVAL: Duration = CROWDED_GRACE;

impl Frontend {
    /// Serves the connections that the system has already accepted, since closing the listener would reset them.
    pub(super) fn drain_backlog(self: &Rc<Self>, socket: &Rc<ListenSocket>) {
        let mut waker = Context::from_waker(Waker::noop());
        while let Poll::Ready(Ok((stream, _))) = socket.listener.poll_accept(&mut waker) {
            self.clone().spawn_client(stream, socket);
        }
    }

    pub(super) async fn accept(self: &Rc<Self>, socket: &Rc<ListenSocket>) {
        loop {
            if self.is_full() {
                self.wait_for_capacity().await;
                continue;
            }
            if !self.is_accepting() {
                self.handover_changed.notified().await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.handover_changed.notified() => continue,
                accepted = socket.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.clone().spawn_client(stream, socket),
                Err(e) => {
                    // Usually out of file descriptors; the error persists until one is free, so wait.
                    self.shared
                        .log
                        .write_line(format_args!("accepting a client connection failed: {e}"));
                    self.evict_client();
                    tokio::time::sleep(CAPACITY_RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.clients.borrow().len() >= self.max_clients.get()
    }

    /// Evicts a client, or waits a short time until one disconnects.
    async fn wait_for_capacity(&self) {
        // Input that has already arrived is processed first: a closed connection makes an eviction needless, and a
        // client that has sent a request is not evicted.
        tokio::task::yield_now().await;
        if self.is_full() {
            self.evict_client();
            // If no client could be evicted, new ones wait in the backlog.
            let _ = timeout(CAPACITY_RETRY_INTERVAL, self.client_ended.notified()).await;
        }
    }

    /// Closes the connection that is first in the [`EvictionOrder`](crate::net::client::EvictionOrder). A
    /// connection without a request is closed as after its idle timeout; an incomplete request is answered with 408.
    fn evict_client(&self) {
        let evicted = self
            .eviction_order
            .borrow_mut()
            .pop(Instant::now(), self.max_clients.get());
        let clients = self.clients.borrow();
        let Some(client) = evicted.and_then(|id| clients.get(&id)) else {
            return;
        };
        match client.phase.get() {
            Phase::Receiving => client
                .rejection_status
                .set(Some(StatusCode::REQUEST_TIMEOUT)),
            _ => client.close_when_idle.set(true),
        }
        client.wake.notify_one();
    }

    pub(super) fn spawn_client(self: Rc<Self>, stream: TcpStream, socket: &Rc<ListenSocket>) {
        let id = self.next_client_id.get();
        self.next_client_id.set(id + 1);
        let client = Rc::new(Client::new(
            id,
            socket.tag.clone(),
            self.eviction_order.clone(),
            self.shared.memory().clone(),
        ));
        self.clients.borrow_mut().insert(id, client.clone());
        tokio::task::spawn_local(async move {
            self.serve_client(stream, &client).await;
            self.clients.borrow_mut().remove(&id);
            self.client_ended.notify_waiters();
        });
    }

    async fn serve_client(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        set_nodelay(&stream);
        let mut stream = Rc::new(stream);
        loop {
            client.enter_eviction_order();
            let must_hand_over = self.serve_requests(&stream, client).await;
            client.leave_eviction_order();
            if !must_hand_over {
                if client.take_late_request(&stream) {
                    continue;
                }
                break;
            }
            match self.hand_over(stream, client).await {
                Some(returned) => stream = returned,
                None => return,
            }
        }
        close(&stream, client).await;
    }

    /// Answers the requests of a client. Returns whether the connection is to be handed over to another process: then
    /// all requests that were read from it have been answered.
    async fn serve_requests(self: &Rc<Self>, stream: &Rc<TcpStream>, client: &Rc<Client>) -> bool {
        let methods: &[&[u8]] = match &**self.routing.borrow() {
            Routing::Single(_) => &request_filter::METHODS,
            Routing::Table(_) => &request_filter::ROUTED_METHODS,
        };
        let io = TokioIo::new(ClientIo::new(
            stream.clone(),
            client.clone(),
            RequestFilter::new(methods),
        ));
        let service = service_fn(|request| self.clone().request(request, client.clone()));
        // `ClientIo` enforces the timeouts, as it knows whether a request has begun.
        let mut connection = pin!(Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_REQUEST_HEAD_BYTES + BUFFER_MARGIN)
            .serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                // An error concerns this client only.
                _ = connection.as_mut() => return false,
                () = client.wake.notified() => {
                    let is_idle = matches!(client.phase.get(), Phase::New | Phase::Idle);
                    if is_idle && client.is_handing_over.get() && client.rejection_status.get().is_none() {
                        return true;
                    }
                }
            }
        }
    }
}
