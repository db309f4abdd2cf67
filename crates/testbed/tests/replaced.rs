//! Servers that are replaced at their address while a connection to them comes up, on the real program.

use reelfall_testbed::scripted::{
    connect, endpoint_list, exchange, listener_with_full_backlog, ok_response, read_request,
    read_response, wait_for_connection_attempt, write_request, Discovery, ListedServer, Message,
    Node, NodeSettings, Program, Server, WAIT_TIMEOUT,
};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const MAX_SOCKETS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the system takes to repeat a connect twice: after 1 s and after 3 s.
const LONG_CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A node whose connection to server `s-1` comes up only when its address is released, with a request that waits for it.
struct Waiting {
    node: Node,
    discovery: Discovery,
    listener: TcpListener,
    filler: TcpStream,
    client: TcpStream,
}

impl Waiting {
    fn start(request: &str, connect_timeout: Duration) -> Waiting {
        let listener = listener_with_full_backlog();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery::start();
        discovery.send_snapshot(1, &[ListedServer::new("s-1", address, "active")]);
        let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
        let settings = NodeSettings {
            connect_timeout,
            ..NodeSettings::with_sockets(MAX_SOCKETS)
        };
        let node = Node::start_with(&program, discovery.address, settings);
        let filler = TcpStream::connect(address).unwrap();
        let mut client = connect(node.address);
        client.write_all(request.as_bytes()).unwrap();
        wait_for_connection_attempt(address.port());
        Waiting {
            node,
            discovery,
            listener,
            filler,
            client,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Lets the node's connection come up; returns the ids of the requests on it until it ends or the client is answered.
    fn release(self) -> (Vec<String>, Option<u16>) {
        drop((self.filler, accept(&self.listener)));
        let stream = accept(&self.listener);
        serve_further_connections(self.listener);
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let reading = std::thread::spawn({
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            move || {
                let mut ids = Vec::new();
                while let Some(request) = Message::read(&mut reader) {
                    ids.extend(request.header("x-correlation-id").map(str::to_owned));
                }
                ids
            }
        });
        let status = read_response(&self.client).map(|response| response.status);
        // The node closes a connection that it does not use; one that it uses ends here.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        (reading.join().unwrap(), status)
    }
}

/// Accepts a connection.
fn accept(listener: &TcpListener) -> TcpStream {
    let started = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                listener.set_nonblocking(false).unwrap();
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(_) => assert!(started.elapsed() < WAIT_TIMEOUT, "no connection came up"),
        }
        std::thread::yield_now();
    }
}

/// Answers all requests on connections that come later.
fn serve_further_connections(listener: TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(request) = Message::read(&mut reader) {
                    let _ = (&stream).write_all(&ok_response(&request));
                }
            });
        }
    });
}

/// Waits until the node uses this server, and so has applied the list that names it. Each request has little time: one that is
/// sent before waits for the connection that does not come up.
fn wait_until_used(node: &Node, server: &Server) {
    let started = Instant::now();
    for number in 0.. {
        let request = read_request(&format!("probe-{number}")).replace("6.0", "0.2");
        let _ = exchange(node.address, request.as_bytes());
        if server.requests() > 0 {
            return;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the server is not used");
    }
}

/// Guards against a request that is sent to another process, which has the former address of its server, since the connection
/// to it came up after the list had changed.
#[test]
fn request_is_not_sent_to_the_former_address_of_a_server_that_has_moved() {
    let waiting = Waiting::start(
        &write_request("moved", "content-length: 1", "x"),
        CONNECT_TIMEOUT,
    );
    let new_server = Server::healthy();
    let listed = [
        ListedServer::new("s-2", waiting.address(), "leaving"),
        ListedServer::new("s-1", new_server.address, "active"),
    ];
    waiting.discovery.send_snapshot(2, &listed);
    wait_until_used(&waiting.node, &new_server);
    let (ids_at_former_address, status) = waiting.release();
    assert!(
        ids_at_former_address.is_empty(),
        "{ids_at_former_address:?} came to the former address"
    );
    assert!(matches!(status, Some(200 | 503)), "{status:?}");
}

/// Guards against a request that is sent to a new process at the address of its server, as if it were the one for which that was
/// decided: a server that has just started bears less.
#[test]
fn request_is_not_sent_to_a_server_that_has_started_anew_since_it_was_chosen() {
    let request = write_request("restarted", "content-length: 1", "x");
    let waiting = Waiting::start(&request, LONG_CONNECT_TIMEOUT);
    let other = Server::healthy();
    let listed = [
        ListedServer::new("s-1", waiting.address(), "active"),
        ListedServer::new("s-2", other.address, "active"),
    ];
    let since = "\"since_ms\":0";
    let restarted = endpoint_list(2, true, &listed).replacen(since, "\"since_ms\":1", 1);
    waiting.discovery.send_line(&restarted);
    wait_until_used(&waiting.node, &other);
    let (ids, status) = waiting.release();
    assert!(
        !ids.contains(&"restarted".to_owned()),
        "{ids:?} came to the new process on the connection that was begun before"
    );
    assert!(matches!(status, Some(200 | 503)), "{status:?}");
}
