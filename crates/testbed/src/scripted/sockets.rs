//! Listeners, and a thread for each connection.

use super::PATIENCE;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// The state of a connection in `/proc/net/tcp` whose SYN was not answered yet.
const SYN_SENT: &str = "02";

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A listener with a backlog of one connection: the next one waits until that is accepted, and the system retries.
pub fn listener_with_full_backlog() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Waits until somebody is connecting to this port.
pub fn wait_for_connection_attempt(port: u16) {
    let started = Instant::now();
    let pattern = format!(":{port:04X} {SYN_SENT} ");
    while !std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .contains(&pattern)
    {
        assert!(started.elapsed() < PATIENCE, "nobody connects");
        std::thread::yield_now();
    }
}

/// Calls `handler` on a thread of its own for each connection that is accepted, with its number from 0.
pub fn serve(handler: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let handler = handler.clone();
            std::thread::spawn(move || handler(stream, number));
        }
    });
    address
}
