//! Which connections are evicted, and when; a request that crosses its eviction.

use super::eviction::{CROWDED_GRACE, EVICTION_GRACE};
use super::{Client, ClientId, ClientIo, EvictionOrder, ListenerTag, Phase};
use crate::net::gate::{Gate, METHODS};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

const PLACES: usize = 10;
const MOMENT: Duration = Duration::from_millis(1);

/// Connections that are in their phases for so long, by id from 0, each a moment longer than the next.
fn order(now: Instant, connections: &[(Phase, Duration)]) -> EvictionOrder {
    let mut order = EvictionOrder::default();
    let longer = MOMENT * u32::try_from(connections.len()).expect("few");
    for (id, (phase, age)) in (0..).zip(connections) {
        let since = now - *age - longer + MOMENT * u32::try_from(id).expect("few");
        order.insert(*phase, since, id);
    }
    order
}

fn evicted(mut order: EvictionOrder, now: Instant) -> Vec<ClientId> {
    std::iter::from_fn(|| order.pop(now, PLACES)).collect()
}

#[test]
fn the_least_recently_used_goes_first_and_before_what_has_not_asked_yet() {
    let now = Instant::now();
    let short = CROWDED_GRACE;
    let order = order(
        now,
        &[
            (Phase::New, short),
            (Phase::Idle, short),
            (Phase::New, short),
            (Phase::Idle, short),
        ],
    );
    assert_eq!(evicted(order, now), [1, 3, 0, 2]);
}

#[test]
fn what_has_not_asked_within_its_grace_goes_before_what_rests() {
    let now = Instant::now();
    let resting = (Phase::Idle, EVICTION_GRACE * 4);
    let order = order(
        now,
        &[
            resting,
            (Phase::New, EVICTION_GRACE),
            (Phase::New, EVICTION_GRACE / 2),
            resting,
        ],
    );
    assert_eq!(evicted(order, now), [1, 0, 3, 2]);
}

#[test]
fn what_has_not_asked_holds_a_quarter_of_the_places_at_most_while_others_rest() {
    let now = Instant::now();
    let order = order(
        now,
        &[
            [(Phase::Idle, EVICTION_GRACE); 3].as_slice(),
            &[(Phase::New, CROWDED_GRACE); 7],
        ]
        .concat(),
    );
    assert_eq!(evicted(order, now), [3, 4, 5, 6, 7, 0, 1, 2, 8, 9]);
}

#[test]
fn what_was_made_just_now_keeps_its_place_for_a_moment_in_a_crowd_too() {
    let now = Instant::now();
    let crowd = order(
        now,
        &[
            [(Phase::Idle, EVICTION_GRACE); 3].as_slice(),
            &[(Phase::New, MOMENT); 4],
        ]
        .concat(),
    );
    assert!(evicted(crowd, now).is_empty());
    let receiving = (Phase::Receiving, EVICTION_GRACE * 2);
    let none_rests = order(now, &[(Phase::New, MOMENT), receiving]);
    assert!(evicted(none_rests, now).is_empty());
}

#[test]
fn a_request_keeps_its_place_unless_it_comes_too_slowly() {
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
    assert_eq!(evicted(order(now, &connections), now), [5, 0]);
}

fn client(order: &Rc<RefCell<EvictionOrder>>) -> Rc<Client> {
    let tag = ListenerTag {
        id: Cell::new(Some(0)),
        name: "client".to_owned(),
    };
    Rc::new(Client::new(7, Rc::new(tag), order.clone()))
}

#[test]
fn a_client_may_be_evicted_between_its_requests_alone() {
    let order = Rc::<RefCell<EvictionOrder>>::default();
    let client = client(&order);
    let pop = || order.borrow_mut().pop(Instant::now(), PLACES);
    assert_eq!(pop(), None, "it is not served yet");
    client.enter_eviction_order();
    for phase in [Phase::Receiving, Phase::AwaitingAnswer, Phase::Answering] {
        client.set_phase(phase);
        assert_eq!(pop(), None);
    }
    client.set_phase(Phase::Idle);
    assert_eq!(pop(), Some(7));
    assert_eq!(pop(), None, "it is evicted already");
    client.set_phase(Phase::Idle);
    client.leave_eviction_order();
    assert_eq!(pop(), None, "it ends already");
}

/// Reads once, as the library does; what came.
fn read(io: &mut ClientIo, context: &mut Context) -> Poll<Vec<u8>> {
    let mut space = [0; 256];
    let mut buffer = ReadBuf::new(&mut space);
    let read = Pin::new(io).poll_read(context, &mut buffer);
    read.map(|read| {
        read.expect("no fault");
        buffer.filled().to_vec()
    })
}

#[test]
fn a_request_that_comes_as_its_connection_is_evicted_is_read() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        // What is written to a socket of this kind is there at once.
        let (near, mut far) = UnixStream::pair().expect("a pair");
        near.set_nonblocking(true).expect("a socket");
        let near = std::net::TcpStream::from(OwnedFd::from(near));
        let stream = Rc::new(TcpStream::from_std(near).expect("a socket"));
        let client = client(&Rc::default());
        let mut io = ClientIo::new(stream, client.clone(), Gate::new(&METHODS));
        let mut nobody = Context::from_waker(Waker::noop());
        assert!(read(&mut io, &mut nobody).is_pending());
        // The runtime gets no turn between the request and the eviction.
        let request = b"GET /api HTTP/1.1\r\nhost: n\r\n\r\n";
        far.write_all(request).expect("room");
        client.close_when_idle.set(true);
        assert!(
            read(&mut io, &mut nobody).is_pending(),
            "a request that has come is dropped"
        );
        assert_eq!(poll_fn(|context| read(&mut io, context)).await, request);
    });
}

#[test]
fn an_evicted_connection_without_a_request_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (near, _far) = UnixStream::pair().expect("a pair");
        near.set_nonblocking(true).expect("a socket");
        let near = std::net::TcpStream::from(OwnedFd::from(near));
        let stream = Rc::new(TcpStream::from_std(near).expect("a socket"));
        let client = client(&Rc::default());
        let mut io = ClientIo::new(stream, client.clone(), Gate::new(&METHODS));
        client.close_when_idle.set(true);
        assert_eq!(poll_fn(|context| read(&mut io, context)).await, b"");
    });
}
