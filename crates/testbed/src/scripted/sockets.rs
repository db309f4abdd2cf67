//! Listeners, and a thread for each connection.

use super::WAIT_TIMEOUT;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// State code in `/proc/net/tcp` of a connection whose SYN has not been answered yet.
const SYN_SENT: &str = "02";
/// Loopback address with a port that the system chooses.
const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Creates a listener whose backlog holds one connection. Further connection attempts stay unanswered, and the kernel
/// retries them, until that connection is accepted.
///
/// # Panics
/// Panics if the socket can't be created, bound or listened on.
pub fn listener_with_full_backlog() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("a socket can be created");
    let address = SocketAddr::from(ANY_PORT);
    socket.bind(&address.into()).expect("a port is available");
    socket.listen(0).expect("a bound socket can listen");
    socket.into()
}

/// Waits until a connection attempt to this port is unanswered.
///
/// # Panics
/// Panics if there is none within [`WAIT_TIMEOUT`], or if `/proc/net/tcp` can't be read.
pub fn wait_for_connection_attempt(port: u16) {
    let started = Instant::now();
    let pattern = format!(":{port:04X} {SYN_SENT} ");
    while !tcp_connections().contains(&pattern) {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no client tried to connect"
        );
        std::thread::yield_now();
    }
}

fn tcp_connections() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable")
}

/// Listens on a free port and calls `handler` on a new thread for each accepted connection, with the number of
/// connections before it. Returns the address of the listener.
///
/// # Panics
/// Panics if no port is available.
pub fn serve(handler: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port is available");
    let address = listener
        .local_addr()
        .expect("a listener has a local address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let handler = handler.clone();
            std::thread::spawn(move || handler(stream, number));
        }
    });
    address
}
