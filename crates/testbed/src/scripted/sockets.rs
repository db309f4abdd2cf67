//! Listeners, and a thread for each connection.

use super::WAIT_TIMEOUT;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// The state of a connection in `/proc/net/tcp` whose SYN was not answered yet.
const SYN_SENT: &str = "02";
/// Lets the system choose a port of loopback.
const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// A listener with a backlog of one connection: the next one waits until that is accepted, and the system retries.
///
/// # Panics
/// Panics if the system refuses the socket.
pub fn listener_with_full_backlog() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("the system has a socket left");
    let address = SocketAddr::from(ANY_PORT);
    socket
        .bind(&address.into())
        .expect("the system has a port left");
    socket.listen(0).expect("a bound socket can listen");
    socket.into()
}

/// Waits until somebody is connecting to this port.
///
/// # Panics
/// Panics if nobody does within [`WAIT_TIMEOUT`], or if the system does not list its connections.
pub fn wait_for_connection_attempt(port: u16) {
    let started = Instant::now();
    let pattern = format!(":{port:04X} {SYN_SENT} ");
    while !tcp_connections().contains(&pattern) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "nobody connects");
        std::thread::yield_now();
    }
}

fn tcp_connections() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("the system lists its connections")
}

/// Listens on a port of its own, and calls `handler` on a thread of its own for each connection that is accepted, with its
/// number from 0. Returns the address.
///
/// # Panics
/// Panics if the system has no port left.
pub fn serve(handler: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("the system has a port left");
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
