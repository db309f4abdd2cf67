//! Servers that respond as a test specifies, including one that holds each request until the test releases it.

use super::{serve, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};

/// A server whose responses are written by a closure of the test.
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that calls `respond` with each request, the number of requests before it, and the socket.
    ///
    /// # Panics
    /// The thread of a connection panics if its socket can't be cloned.
    pub fn start(
        respond: impl Fn(&Message, usize, &mut TcpStream) + Send + Sync + 'static,
    ) -> Server {
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        let address = serve(move |mut stream, _| {
            let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
            while let Some(request) = Message::read(&mut reader) {
                let number = counter.fetch_add(1, Ordering::SeqCst);
                respond(&request, number, &mut stream);
            }
        });
        Server { address, requests }
    }

    /// Starts a server that responds to each request with [`ok_response`].
    pub fn healthy() -> Server {
        Server::start(|request, _, stream| {
            let _ = stream.write_all(&ok_response(request));
        })
    }

    /// Number of requests received so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// A server that holds each request until the test releases it.
pub struct GatedServer {
    /// The server that is controlled by the barriers.
    pub server: Server,
    /// Barrier that the server and the test pass when a request has arrived.
    pub arrived: Arc<Barrier>,
    /// Barrier that the server and the test pass before the server responds.
    pub release: Arc<Barrier>,
}

impl GatedServer {
    /// Starts a server whose responses wait for the barriers.
    pub fn start() -> GatedServer {
        let arrived = Arc::new(Barrier::new(2));
        let release = Arc::new(Barrier::new(2));
        let (server_arrived, server_release) = (arrived.clone(), release.clone());
        let server = Server::start(move |request, _, stream| {
            server_arrived.wait();
            server_release.wait();
            let _ = stream.write_all(&ok_response(request));
        });
        GatedServer {
            server,
            arrived,
            release,
        }
    }
}

/// Formats a response with status 200 whose body is the correlation id of the request.
pub fn ok_response(request: &Message) -> Vec<u8> {
    let id = request.header("x-correlation-id").unwrap_or("none");
    let length = id.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{id}").into_bytes()
}
