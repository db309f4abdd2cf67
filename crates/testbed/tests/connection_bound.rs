//! Which client's connection a node closes when it has no room for another: the real program over loopback sockets.

use reelfall_testbed::scripted::{
    connect, get, read_request, read_response, Discovery, ListedServer, Node, Program, Response,
    Server,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Descriptors that the node may have, and how many clients it leaves connected with these: one place is always made free.
const SOCKETS: usize = 128;
const PLACES: usize = 59;
/// A connection that has not asked for so long goes before one that rests.
const GRACE: Duration = Duration::from_secs(1);

fn node_before(server: &Server) -> (Discovery, Node) {
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "active")]);
    let node = Node::start(
        &Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed")),
        discovery.address,
        SOCKETS,
    );
    (discovery, node)
}

/// Asks on a connection and reads the answer.
fn ask(mut stream: &TcpStream, id: &str) -> Option<Response> {
    let _ = stream.write_all(read_request(id).as_bytes());
    read_response(stream)
}

fn good(id: &str) -> Option<Response> {
    Some(Response {
        status: 200,
        body: id.to_owned(),
    })
}

/// A client that has its answer and rests.
fn resting(node: &Node, id: &str) -> TcpStream {
    let stream = connect(node.address);
    assert_eq!(ask(&stream, id), good(id));
    stream
}

/// Waits until the node has closed a connection, and closes the client's end.
fn until_closed(mut stream: TcpStream) {
    assert_eq!(stream.read(&mut [0; 1]).expect("an orderly end"), 0);
}

#[test]
fn a_client_that_pauses_before_asking_is_answered_and_one_that_rests_goes_for_it() {
    let server = Server::healthy();
    let (_discovery, node) = node_before(&server);
    let mut rest = (0..PLACES)
        .map(|n| resting(&node, &format!("r-{n}")))
        .collect::<Vec<_>>()
        .into_iter();
    let paused: Vec<TcpStream> = (0..4)
        .map(|_| {
            let stream = connect(node.address);
            until_closed(rest.next().expect("one that rests"));
            stream
        })
        .collect();
    let further: Vec<TcpStream> = (0..4)
        .map(|n| {
            let stream = resting(&node, &format!("f-{n}"));
            until_closed(rest.next().expect("one that rests"));
            stream
        })
        .collect();
    for (n, stream) in paused.iter().enumerate() {
        let id = format!("p-{n}");
        assert_eq!(ask(stream, &id), good(&id), "a client that paused");
    }
    for (n, stream) in further.iter().enumerate() {
        let id = format!("g-{n}");
        assert_eq!(
            ask(stream, &id),
            good(&id),
            "the most recently used go last"
        );
    }
}

#[test]
fn silent_connections_beyond_their_grace_go_before_those_that_rest() {
    let server = Server::healthy();
    let (_discovery, node) = node_before(&server);
    let silent: Vec<TcpStream> = (0..5).map(|_| connect(node.address)).collect();
    let rest: Vec<TcpStream> = (silent.len()..PLACES)
        .map(|n| resting(&node, &format!("r-{n}")))
        .collect();
    // Who connected before one that has its answer is connected by the node's clock too.
    let connected = Instant::now();
    let last = rest.last().expect("one that rests");
    while connected.elapsed() <= GRACE {
        assert_eq!(ask(last, "turn"), good("turn"));
    }
    let further: Vec<TcpStream> = (0..3).map(|n| resting(&node, &format!("f-{n}"))).collect();
    silent
        .into_iter()
        .take(further.len())
        .for_each(until_closed);
    for (n, stream) in rest.iter().enumerate() {
        let id = format!("a-{n}");
        assert_eq!(ask(stream, &id), good(&id), "one that rests");
    }
}

/// A client that rests, and closes its connection as soon as the node does.
struct Attentive {
    stream: TcpStream,
    next_answer: JoinHandle<Option<Response>>,
}

impl Attentive {
    fn start(node: &Node, id: &str) -> Attentive {
        let stream = resting(node, id);
        let reads = stream.try_clone().expect("a second handle");
        let next_answer = std::thread::spawn(move || {
            let next = read_response(&reads);
            if next.is_none() {
                let _ = reads.shutdown(Shutdown::Both);
            }
            next
        });
        Attentive {
            stream,
            next_answer,
        }
    }

    /// Asks once more; whether there was an answer.
    fn ask_again(mut self, id: &str) -> bool {
        let _ = self.stream.write_all(read_request(id).as_bytes());
        let next = self.next_answer.join().expect("no panic");
        assert!(next.is_none() || next == good(id), "{next:?}");
        next.is_some()
    }
}

#[test]
fn a_flood_of_new_connections_leaves_places_to_those_that_ask_and_that_rest() {
    let server = Server::healthy();
    let (_discovery, node) = node_before(&server);
    let rest: Vec<Attentive> = (0..PLACES)
        .map(|n| Attentive::start(&node, &format!("r-{n}")))
        .collect();
    let mut flood = Vec::new();
    for n in 0..20 {
        flood.extend((0..15).map(|_| connect(node.address)));
        assert_eq!(
            get(node.address, &format!("n-{n}")).status,
            200,
            "one that asks at once"
        );
    }
    let mut served = 0;
    for (n, client) in rest.into_iter().enumerate() {
        served += usize::from(client.ask_again(&format!("a-{n}")));
    }
    // Three quarters of the places, less those whose clients are slow in closing them.
    assert!(
        served >= PLACES / 2,
        "{served} of {PLACES} that rested are served"
    );
}
