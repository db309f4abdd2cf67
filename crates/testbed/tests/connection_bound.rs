//! Which client connections a node closes when it has no socket for a new one, tested with the real program over loopback
//! sockets.

use reelfall_testbed::scripted::{
    connect, get, read_request, read_response, Discovery, ListedServer, Message, Node, Program,
    Response, Server,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of sockets that the node may open.
const MAX_SOCKETS: usize = 128;
/// Number of clients that the node keeps connected with `MAX_SOCKETS`; it always frees one connection for the next client.
const MAX_CLIENTS: usize = 59;
/// A connection that has sent no request for this long after it was opened is closed before one that is idle after a
/// request.
const SILENCE_GRACE: Duration = Duration::from_secs(1);

fn start_node(server: &Server) -> (Discovery, Node) {
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "active")]);
    let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
    let node = Node::start(&program, discovery.address, MAX_SOCKETS);
    (discovery, node)
}

/// Sends a request on a connection and reads the response; `None` if the connection is closed instead.
fn send(mut stream: &TcpStream, id: &str) -> Option<Response> {
    let _ = stream.write_all(read_request(id).as_bytes());
    read_response(stream)
}

/// The response of a healthy server to the request with this ID.
fn ok(id: &str) -> Option<Response> {
    Some(Response {
        status: 200,
        body: id.to_owned(),
    })
}

/// A connection that is idle after a request and its response.
fn connect_idle(node: &Node, id: &str) -> TcpStream {
    let stream = connect(node.address);
    assert_eq!(send(&stream, id), ok(id));
    stream
}

/// Waits until the node has closed a connection, and closes the client's end.
fn wait_until_closed(mut stream: TcpStream) {
    assert_eq!(stream.read(&mut [0; 1]).expect("an orderly close"), 0);
}

#[test]
fn idle_connections_are_closed_before_recent_silent_ones() {
    let server = Server::healthy();
    let (_discovery, node) = start_node(&server);
    let mut idle_connections = (0..MAX_CLIENTS)
        .map(|n| connect_idle(&node, &format!("r-{n}")))
        .collect::<Vec<_>>()
        .into_iter();
    let silent_connections: Vec<TcpStream> = (0..4)
        .map(|_| {
            let stream = connect(node.address);
            wait_until_closed(idle_connections.next().expect("an idle connection"));
            stream
        })
        .collect();
    let recently_used: Vec<TcpStream> = (0..4)
        .map(|n| {
            let stream = connect_idle(&node, &format!("f-{n}"));
            wait_until_closed(idle_connections.next().expect("an idle connection"));
            stream
        })
        .collect();
    for (n, stream) in silent_connections.iter().enumerate() {
        let id = format!("p-{n}");
        assert_eq!(
            send(stream, &id),
            ok(&id),
            "a connection that was silent at first was closed"
        );
    }
    for (n, stream) in recently_used.iter().enumerate() {
        let id = format!("g-{n}");
        assert_eq!(
            send(stream, &id),
            ok(&id),
            "a recently used connection was closed before older ones"
        );
    }
}

#[test]
fn silent_connections_are_closed_before_idle_ones_after_grace_period() {
    let server = Server::healthy();
    let (_discovery, node) = start_node(&server);
    let silent_connections: Vec<TcpStream> = (0..5).map(|_| connect(node.address)).collect();
    let idle_connections: Vec<TcpStream> = (silent_connections.len()..MAX_CLIENTS)
        .map(|n| connect_idle(&node, &format!("r-{n}")))
        .collect();
    // A response on a later connection shows that the node has accepted the silent connections.
    let all_accepted = Instant::now();
    let last_idle = idle_connections.last().expect("an idle connection");
    while all_accepted.elapsed() <= SILENCE_GRACE {
        assert_eq!(send(last_idle, "turn"), ok("turn"));
    }
    let new_connections: Vec<TcpStream> = (0..3)
        .map(|n| connect_idle(&node, &format!("f-{n}")))
        .collect();
    silent_connections
        .into_iter()
        .take(new_connections.len())
        .for_each(wait_until_closed);
    for (n, stream) in idle_connections.iter().enumerate() {
        let id = format!("a-{n}");
        assert_eq!(
            send(stream, &id),
            ok(&id),
            "an idle connection was closed before the silent ones"
        );
    }
}

/// A client with an idle connection. It closes its end as soon as the node closes the connection.
struct IdleClient {
    stream: TcpStream,
    next_response: JoinHandle<Option<Response>>,
}

impl IdleClient {
    fn start(node: &Node, id: &str) -> IdleClient {
        let stream = connect_idle(node, id);
        let reader = stream.try_clone().expect("a second handle");
        let next_response = std::thread::spawn(move || {
            let response = read_response(&reader);
            if response.is_none() {
                let _ = reader.shutdown(Shutdown::Both);
            }
            response
        });
        IdleClient {
            stream,
            next_response,
        }
    }

    /// Sends another request; returns whether there was a response.
    fn send_again(mut self, id: &str) -> bool {
        let _ = self.stream.write_all(read_request(id).as_bytes());
        let response = self.next_response.join().expect("no panic");
        assert!(response.is_none() || response == ok(id), "{response:?}");
        response.is_some()
    }
}

#[test]
fn connection_flood_leaves_sockets_to_active_and_idle_clients() {
    const FLOOD_ROUNDS: usize = 20;
    const CONNECTIONS_PER_ROUND: usize = 15;
    /// The node keeps three quarters of the idle connections, less those whose clients are slow to close their end.
    const MIN_SERVED_IDLE_CLIENTS: usize = MAX_CLIENTS / 2;
    let server = Server::healthy();
    let (_discovery, node) = start_node(&server);
    let idle_clients: Vec<IdleClient> = (0..MAX_CLIENTS)
        .map(|n| IdleClient::start(&node, &format!("r-{n}")))
        .collect();
    let mut flood = Vec::new();
    for n in 0..FLOOD_ROUNDS {
        flood.extend((0..CONNECTIONS_PER_ROUND).map(|_| connect(node.address)));
        assert_eq!(
            get(node.address, &format!("n-{n}")).status,
            200,
            "a client that sent its request at once was not served"
        );
    }
    let mut served = 0;
    for (n, client) in idle_clients.into_iter().enumerate() {
        served += usize::from(client.send_again(&format!("a-{n}")));
    }
    assert!(
        served >= MIN_SERVED_IDLE_CLIENTS,
        "only {served} of {MAX_CLIENTS} idle clients were served"
    );
}

/// Sizes in bytes of answers that are buffered and sent in several parts, and how many of them are more than the buffers of the
/// systems hold.
const BUFFERED_ANSWER_BYTES: usize = 500_000;
const BUFFERED_ANSWERS: usize = 12;
/// A client that has received as much as this, in bytes, reads no more.
const SMALL_RECEIVE_BUFFER: usize = 8 << 10;
/// When no further request has arrived for this long, the node waits for the client to read.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// A client that has sent requests on one connection and does not read their answers.
struct SilentReader {
    stream: TcpStream,
    /// How many of the requests have reached the server, when no further one does.
    begun_answers: usize,
}

impl SilentReader {
    fn start(node: &Node, server: &Server, requests: usize) -> SilentReader {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.unwrap();
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
        socket.connect(&node.address.into()).unwrap();
        let mut stream = TcpStream::from(socket);
        let before = server.requests();
        let texts: String = (0..requests)
            .map(|number| read_request(&format!("a-{before}-{number}")))
            .collect();
        stream.write_all(texts.as_bytes()).unwrap();
        let (mut begun_answers, mut quiet_since) = (0, Instant::now());
        while begun_answers == 0 || quiet_since.elapsed() < QUIET_TIME {
            if server.requests() - before != begun_answers {
                (begun_answers, quiet_since) = (server.requests() - before, Instant::now());
            }
            std::thread::yield_now();
        }
        SilentReader {
            stream,
            begun_answers,
        }
    }
}

/// Guards against a connection that counts as idle between the parts of an answer, and is closed at the client limit.
#[test]
fn client_that_is_reading_its_answers_is_not_closed_for_others() {
    let server = Server::start(|_, _, stream| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BUFFERED_ANSWER_BYTES}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; BUFFERED_ANSWER_BYTES]);
    });
    let (_discovery, node) = start_node(&server);
    let many = SilentReader::start(&node, &server, BUFFERED_ANSWERS);
    let begun = many.begun_answers;
    assert!(begun < BUFFERED_ANSWERS, "the systems hold all answers");
    drop(many);
    // The last of these answers is the one of which the systems hold only a part.
    let reader = SilentReader::start(&node, &server, begun);
    // More clients than the node keeps, each idle after a request: the one that has been idle longest is closed for the next.
    let others: Vec<TcpStream> = (0..MAX_CLIENTS + 1)
        .map(|_| {
            let mut stream = connect(node.address);
            let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n");
            let response = read_response(&stream);
            assert_eq!(response.map(|response| response.status), Some(200));
            stream
        })
        .collect();
    let mut stream = reader.stream;
    let mut answers = std::io::BufReader::new(stream.try_clone().unwrap());
    let mut read_answer = |number| {
        let length = Message::read(&mut answers).map(|answer| answer.body.len());
        assert_eq!(length, Some(BUFFERED_ANSWER_BYTES), "answer {number}");
    };
    (0..begun).for_each(&mut read_answer);
    let _ = stream.write_all(read_request("last").as_bytes());
    read_answer(begun);
    drop(others);
}
