//! The order in which connections are evicted, and a request that arrives during an eviction.

use super::eviction::{CROWDED_GRACE, EVICTION_GRACE};
use super::{Client, ClientId, ClientIo, EvictionOrder, ListenerTag, Phase};
use crate::net::memory::{MemoryAccount, MemoryPlan};
use crate::net::request_filter::{RequestFilter, METHODS};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const CLIENT_LIMIT: usize = 10;
const MOMENT: Duration = Duration::from_millis(1);

/// Connections that have been in their phases for these times, with ids from 0. Each entered its phase [`MOMENT`]
/// before the next.
fn order(now: Instant, connections: &[(Phase, Duration)]) -> EvictionOrder {
    let mut order = EvictionOrder::default();
    let longer = MOMENT * u32::try_from(connections.len()).expect("a small count");
    for (id, (phase, age)) in (0..).zip(connections) {
        let since = now - *age - longer + MOMENT * u32::try_from(id).expect("a small count");
        order.insert(*phase, since, id);
    }
    order
}

fn eviction_sequence(mut order: EvictionOrder, now: Instant) -> Vec<ClientId> {
    std::iter::from_fn(|| order.pop(now, CLIENT_LIMIT)).collect()
}

#[test]
fn idle_connections_are_evicted_before_new_ones_least_recently_used_first() {
    let now = Instant::now();
    let age = CROWDED_GRACE;
    let order = order(
        now,
        &[
            (Phase::New, age),
            (Phase::Idle, age),
            (Phase::New, age),
            (Phase::Idle, age),
        ],
    );
    assert_eq!(eviction_sequence(order, now), [1, 3, 0, 2]);
}

#[test]
fn silent_connections_past_their_grace_are_evicted_before_idle_ones() {
    let now = Instant::now();
    let idle = (Phase::Idle, EVICTION_GRACE * 4);
    let order = order(
        now,
        &[
            idle,
            (Phase::New, EVICTION_GRACE),
            (Phase::New, EVICTION_GRACE / 2),
            idle,
        ],
    );
    assert_eq!(eviction_sequence(order, now), [1, 0, 3, 2]);
}

#[test]
fn new_connections_beyond_a_quarter_are_evicted_before_idle_ones() {
    let now = Instant::now();
    let order = order(
        now,
        &[
            [(Phase::Idle, EVICTION_GRACE); 3].as_slice(),
            &[(Phase::New, CROWDED_GRACE); 7],
        ]
        .concat(),
    );
    assert_eq!(
        eviction_sequence(order, now),
        [3, 4, 5, 6, 7, 0, 1, 2, 8, 9]
    );
}

#[test]
fn connections_within_the_crowded_grace_are_not_evicted() {
    let now = Instant::now();
    let crowded = order(
        now,
        &[
            [(Phase::Idle, EVICTION_GRACE); 3].as_slice(),
            &[(Phase::New, MOMENT); 4],
        ]
        .concat(),
    );
    assert!(eviction_sequence(crowded, now).is_empty());
    let receiving = (Phase::Receiving, EVICTION_GRACE * 2);
    let without_idle = order(now, &[(Phase::New, MOMENT), receiving]);
    assert!(eviction_sequence(without_idle, now).is_empty());
}

#[test]
fn only_slow_requests_are_evicted() {
    let now = Instant::now();
    let long = EVICTION_GRACE * 2;
    let connections = [
        (Phase::Receiving, long),
        (Phase::Receiving, EVICTION_GRACE / 2),
        (Phase::Streaming, long),
        (Phase::AwaitingAnswer, long),
        (Phase::Answering, long),
        (Phase::New, CROWDED_GRACE),
    ];
    assert_eq!(eviction_sequence(order(now, &connections), now), [5, 0]);
}

fn client(order: &Rc<RefCell<EvictionOrder>>) -> Rc<Client> {
    let tag = ListenerTag {
        id: Cell::new(Some(0)),
        name: "client".to_owned(),
    };
    let account = MemoryAccount::new(&MemoryPlan::for_single_service(64 << 20, 100, 100));
    Rc::new(Client::new(7, Rc::new(tag), order.clone(), account))
}

#[test]
fn client_is_evictable_only_between_requests() {
    let order = Rc::<RefCell<EvictionOrder>>::default();
    let client = client(&order);
    let pop = || order.borrow_mut().pop(Instant::now(), CLIENT_LIMIT);
    assert_eq!(
        pop(),
        None,
        "the client is not eligible before it is served"
    );
    client.enter_eviction_order();
    for phase in [Phase::Receiving, Phase::AwaitingAnswer, Phase::Answering] {
        client.set_phase(phase);
        assert_eq!(pop(), None);
    }
    client.set_phase(Phase::Idle);
    assert_eq!(pop(), Some(7));
    assert_eq!(pop(), None, "the client was already evicted");
    client.set_phase(Phase::Idle);
    client.leave_eviction_order();
    assert_eq!(pop(), None, "the client was already closed");
}

/// Reads once, as the HTTP library does; returns the bytes.
fn read(io: &mut ClientIo, context: &mut Context) -> Poll<Vec<u8>> {
    let mut space = [0; 256];
    let mut buffer = ReadBuf::new(&mut space);
    let read = Pin::new(io).poll_read(context, &mut buffer);
    read.map(|read| {
        read.expect("no error");
        buffer.filled().to_vec()
    })
}

/// Runs a test on a single-threaded runtime, as a node does.
fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

/// A client's connection, and its remote end. Bytes written to a Unix socket can be read immediately.
fn connected_pair() -> (Rc<TcpStream>, UnixStream) {
    let (local, remote) = UnixStream::pair().expect("a pair");
    local.set_nonblocking(true).expect("a socket");
    let local = std::net::TcpStream::from(OwnedFd::from(local));
    (
        Rc::new(TcpStream::from_std(local).expect("a socket")),
        remote,
    )
}

#[test]
fn request_received_during_eviction_is_read() {
    block_on(async {
        let (stream, mut remote) = connected_pair();
        let client = client(&Rc::default());
        let mut io = ClientIo::new(stream, client.clone(), RequestFilter::new(&METHODS));
        let mut no_waker = Context::from_waker(Waker::noop());
        assert!(read(&mut io, &mut no_waker).is_pending());
        // The runtime does not poll the socket between the request and the eviction.
        let request = b"GET /api HTTP/1.1\r\nhost: n\r\n\r\n";
        remote.write_all(request).expect("buffer space");
        client.close_when_idle.set(true);
        assert!(
            read(&mut io, &mut no_waker).is_pending(),
            "a received request is dropped"
        );
        assert_eq!(poll_fn(|context| read(&mut io, context)).await, request);
    });
}

#[test]
fn evicted_connection_without_a_request_is_closed() {
    block_on(async {
        let (stream, _remote) = connected_pair();
        let client = client(&Rc::default());
        let mut io = ClientIo::new(stream, client.clone(), RequestFilter::new(&METHODS));
        client.close_when_idle.set(true);
        assert_eq!(poll_fn(|context| read(&mut io, context)).await, b"");
    });
}

/// Guards against discarding a request that arrives after an idle connection was ended and before it is closed.
#[test]
fn request_received_before_an_idle_connection_is_closed_is_read() {
    block_on(async {
        let (stream, mut remote) = connected_pair();
        let client = client(&Rc::default());
        let end = async || {
            let mut io =
                ClientIo::new(stream.clone(), client.clone(), RequestFilter::new(&METHODS));
            client.close_when_idle.set(true);
            assert_eq!(poll_fn(|context| read(&mut io, context)).await, b"");
            let shutdown = poll_fn(|context| Pin::new(&mut io).poll_shutdown(context)).await;
            shutdown.expect("a socket");
        };
        end().await;
        let request = b"GET /api HTTP/1.1\r\nhost: n\r\n\r\n";
        remote.write_all(request).expect("the connection is open");
        assert!(
            client.take_late_request(&stream),
            "the late request is discarded"
        );
        let mut io = ClientIo::new(stream.clone(), client.clone(), RequestFilter::new(&METHODS));
        assert_eq!(poll_fn(|context| read(&mut io, context)).await, request);
        // The request can be answered, since the write side is still open.
        stream.try_write(b"x").expect("the connection is open");
        // Without another request the connection is closed.
        client.set_phase(Phase::Idle);
        end().await;
        assert!(!client.take_late_request(&stream));
    });
}
