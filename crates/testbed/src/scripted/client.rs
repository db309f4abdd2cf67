//! Requests of clients and operators.

use super::{Message, PATIENCE};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection, if it can be established.
pub(super) fn try_connect(to: SocketAddr) -> Option<TcpStream> {
    connect_in_time(to).ok()
}

/// A connection.
pub fn connect(to: SocketAddr) -> TcpStream {
    connect_in_time(to).unwrap_or_else(|error| panic!("a connection to {to}: {error}"))
}

fn connect_in_time(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// A response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// An idempotent request.
pub fn read_request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: {id}\r\nx-service-class: read\r\nx-time-left: 6.0\r\n\r\n"
    )
}

/// A request that must not run twice, with header lines for its framing.
pub fn write_request(id: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: {id}\r\nx-service-class: write\r\nx-time-left: 6.0\r\n{framing}\r\n\r\n{body}"
    )
}

/// The next response on a connection; `None` if it ends or is reset instead.
pub fn read_response(stream: &TcpStream) -> Option<Response> {
    let message = Message::read(&mut BufReader::new(stream))?;
    let status = message.start_line.split(' ').nth(1)?.parse().ok()?;
    Some(Response {
        status,
        body: String::from_utf8(message.body).ok()?,
    })
}

/// Sends bytes on a new connection and reads the response.
pub fn exchange(node: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut stream = connect(node);
    let _ = stream.write_all(bytes);
    read_response(&stream)
}

/// Sends a request to the management address; returns the status of its answer.
pub fn call(management: SocketAddr, method: &str, path: &str) -> u16 {
    let text = format!("{method} {path} HTTP/1.1\r\nhost: n\r\n\r\n");
    exchange(management, text.as_bytes())
        .expect("an answer to a call")
        .status
}

/// Sends an idempotent request on a new connection.
pub fn get(node: SocketAddr, id: &str) -> Response {
    exchange(node, read_request(id).as_bytes()).expect("an answer")
}
