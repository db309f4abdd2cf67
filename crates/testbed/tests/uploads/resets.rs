//! Servers that stop after they have received all of a request. It may have run, so it must not be refused, and it must be
//! answered in time.

use crate::clients::{at_once, request_parts, send, ClientWrite, Ending, Framing, Upload};
use crate::nodes::{for_each_kind, start_node, UsedMemory};
use crate::servers::{read_body, read_head, serve, Runs, OK_RESPONSE};
use reelfall_testbed::test_node::NodeKind;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

/// Length of a body that needs memory, in bytes.
const BODY_BYTES: usize = 6_000;
/// Pause between the writes of a client that are to be received one by one.
const PAUSE: Duration = Duration::from_millis(20);
/// How long requests are repeated until one of them runs.
const MAX_TIME_UNTIL_RUN: Duration = Duration::from_secs(20);

/// What a server does once it has run a request. Its name is a part of the request's id.
#[derive(Clone, Copy, Debug)]
enum Stop {
    Reset,
    Close,
    HalfAnswer,
    Hang,
}

impl Stop {
    const ALL: [Stop; 4] = [Stop::Reset, Stop::Close, Stop::HalfAnswer, Stop::Hang];

    fn of_request(id: &str) -> Option<Stop> {
        let named = |stop: &Stop| id.contains(&format!("{stop:?}"));
        Stop::ALL.into_iter().find(named)
    }

    /// How many requests of each kind have to run. A node soon stops using servers that hang.
    fn required_runs(self) -> usize {
        match self {
            Stop::Hang => 1,
            Stop::Reset | Stop::Close | Stop::HalfAnswer => 4,
        }
    }

    /// Stops a connection. Returns once the client of the connection has ended it.
    fn stop(self, mut stream: TcpStream, reader: &mut BufReader<TcpStream>) {
        match self {
            Stop::Reset => {
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&stream).set_linger(linger).unwrap();
            }
            Stop::Close => drop(stream.shutdown(Shutdown::Both)),
            Stop::HalfAnswer => {
                let _ = stream.write_all(&OK_RESPONSE[..OK_RESPONSE.len() - 2]);
            }
            Stop::Hang => drop(read_head(reader)),
        }
    }
}

/// Starts servers that run each request and then stop as the request's id says.
fn start_servers(runs: &Runs) -> Vec<SocketAddr> {
    let runs = runs.clone();
    serve(move |mut reader, mut stream| {
        while let Some(head) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_none() {
                return;
            }
            runs.record(&head.id);
            match Stop::of_request(&head.id) {
                Some(stop) => return stop.stop(stream, &mut reader),
                None => drop(stream.write_all(OK_RESPONSE)),
            }
        }
    })
}

/// How a request is written.
#[derive(Clone, Copy, Debug)]
enum Pieces {
    /// Head and body in one write.
    One,
    /// The body after the head.
    HeadFirst,
    /// The body in two pieces.
    Halves,
}

impl Pieces {
    const ALL: [Pieces; 3] = [Pieces::One, Pieces::HeadFirst, Pieces::Halves];

    fn writes(self, id: &str, framing: Framing) -> Vec<ClientWrite> {
        let lengths: &[usize] = match self {
            Pieces::One | Pieces::HeadFirst => &[BODY_BYTES],
            Pieces::Halves => &[BODY_BYTES / 2, BODY_BYTES / 2],
        };
        let parts = request_parts(id, framing, lengths);
        let parts = match self {
            Pieces::One => vec![parts.concat()],
            Pieces::HeadFirst | Pieces::Halves => parts,
        };
        let mut writes = at_once(parts);
        for write in writes.iter_mut().skip(1) {
            write.pause = PAUSE;
        }
        writes
    }
}

/// Sends requests of one kind until some have run; returns how those ended that have.
fn endings_of_run_requests(
    node: SocketAddr,
    runs: &Runs,
    kind: &str,
    required_runs: usize,
    writes: impl Fn(&str) -> Vec<ClientWrite>,
) -> Vec<Ending> {
    let started = Instant::now();
    let mut endings = Vec::new();
    let mut number = 0;
    while endings.len() < required_runs {
        assert!(
            started.elapsed() < MAX_TIME_UNTIL_RUN,
            "{kind}: only {} requests have run",
            endings.len()
        );
        number += 1;
        let id = format!("{kind}-{number}");
        let ending = send(node, writes(&id));
        match runs.count(&id) {
            0 => assert!(ending.is_in_time(), "{kind}: {ending:?}"),
            1 => endings.push(ending),
            count => panic!("{kind} has run {count} times"),
        }
        // Requests that are served keep the servers in use.
        send(
            node,
            at_once(request_parts(&format!("ok-{id}"), Framing::Announced, &[1])),
        );
    }
    endings
}

/// Guards against: a body that came whole before it was decided to stream it never counted as sent, so that its request was
/// refused after it had run, or got no answer from a server that hung.
fn check_requests_that_have_run(kind: NodeKind, stop: Stop) {
    let runs = Runs::default();
    let node = start_node(kind, &start_servers(&runs));
    let address = node.address;
    let (sender, results) = channel();
    let _memory = UsedMemory::fill(kind, address);
    for framing in Framing::ALL {
        for pieces in Pieces::ALL {
            let (sender, runs) = (sender.clone(), runs.clone());
            std::thread::spawn(move || {
                let kind = format!("{stop:?}-{framing:?}-{pieces:?}");
                let writes = |id: &str| pieces.writes(id, framing);
                let endings =
                    endings_of_run_requests(address, &runs, &kind, stop.required_runs(), writes);
                let _ = sender.send((kind, endings));
            });
        }
    }
    drop(sender);
    let mut kinds = 0;
    for (kind, endings) in results {
        kinds += 1;
        for ending in endings {
            assert!(!ending.is_refused(), "{kind}: refused after it has run");
            assert!(ending.is_in_time(), "{kind}: {ending:?}");
        }
    }
    assert_eq!(kinds, Framing::ALL.len() * Pieces::ALL.len());
}

#[test]
fn request_that_has_run_is_not_refused_after_a_reset() {
    for_each_kind(|kind| {
        check_requests_that_have_run(kind, Stop::Reset);
    });
}

#[test]
fn request_that_has_run_is_not_refused_after_a_close() {
    for_each_kind(|kind| {
        check_requests_that_have_run(kind, Stop::Close);
    });
}

#[test]
fn request_that_has_run_is_not_refused_after_half_an_answer() {
    for_each_kind(|kind| {
        check_requests_that_have_run(kind, Stop::HalfAnswer);
    });
}

#[test]
fn request_that_has_run_is_answered_in_time_though_its_server_hangs() {
    for_each_kind(|kind| {
        check_requests_that_have_run(kind, Stop::Hang);
    });
}

/// Guards against the same as above, while the node ends.
#[test]
fn request_that_has_run_is_not_refused_after_a_reset_during_a_shutdown() {
    for_each_kind(|kind| {
        let (sender, has_run) = channel();
        let sender = Mutex::new(sender);
        let reset = Arc::new(Barrier::new(2));
        let server_reset = reset.clone();
        let servers = serve(move |mut reader, stream| {
            let Some(head) = read_head(&mut reader) else {
                return;
            };
            if read_body(&mut reader, &head).is_some() {
                let _ = sender.lock().unwrap().send(());
                server_reset.wait();
                Stop::Reset.stop(stream, &mut reader);
            }
        });
        let node = start_node(kind, &servers);
        let _memory = UsedMemory::fill(kind, node.address);
        let writes = Pieces::One.writes("shutdown", Framing::Announced);
        let request = Upload::start(node.address, writes);
        has_run.recv().unwrap();
        node.signal("TERM");
        reset.wait();
        let ending = request.wait();
        assert!(!ending.is_refused(), "{kind:?}: refused after it has run");
        assert!(ending.is_in_time(), "{kind:?}: {ending:?}");
    });
}
