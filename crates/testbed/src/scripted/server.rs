//! Servers that respond as a test prescribes, and one that a test releases request by request.

use super::{serve, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};

/// A server that responds as a test prescribes.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that calls `respond` with each request, its number from 0, and the socket.
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

    /// Starts a server that responds 200 with the id of the request.
    pub fn healthy() -> Server {
        Server::start(|request, _, stream| {
            let _ = stream.write_all(&ok_response(request));
        })
    }

    /// Number of requests so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// A server that lets each request wait until the test releases it.
pub struct GatedServer {
    /// The server.
    pub server: Server,
    /// Passed with the server when a request has arrived.
    pub arrived: Arc<Barrier>,
    /// Passed with the server to let it respond.
    pub release: Arc<Barrier>,
}

impl GatedServer {
    /// Starts the server.
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

/// The response 200 to a request, with its id as the body.
pub fn ok_response(request: &Message) -> Vec<u8> {
    let id = request.header("x-correlation-id").unwrap_or("none");
    let length = id.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{id}").into_bytes()
}
