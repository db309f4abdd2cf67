//! HTTP requests from clients and operators to a [`Node`](super::Node) under test.

use super::{Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// Opens a connection; `None` if it can't be established.
pub(super) fn try_connect(address: SocketAddr) -> Option<TcpStream> {
    connect_with_timeout(address).ok()
}

/// Opens a connection whose reads time out after [`WAIT_TIMEOUT`].
///
/// # Panics
/// Panics if the connection can't be established.
pub fn connect(address: SocketAddr) -> TcpStream {
    connect_with_timeout(address)
        .unwrap_or_else(|error| panic!("connecting to {address} failed: {error}"))
}

fn connect_with_timeout(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    Ok(stream)
}

/// A response received from the node.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, decoded as UTF-8.
    pub body: String,
}

/// Formats an idempotent request without a body; `id` is its correlation id.
pub fn read_request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: {id}\r\nx-service-class: read\r\nx-time-left: 6.0\r\n\r\n"
    )
}

/// Formats a request that must take effect at most once. `framing` holds the header lines that frame the body, such as
/// `content-length`.
pub fn write_request(id: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: {id}\r\nx-service-class: write\r\nx-time-left: 6.0\r\n{framing}\r\n\r\n{body}"
    )
}

/// Reads the next response on a connection; `None` if the connection is closed or reset first.
pub fn read_response(stream: &TcpStream) -> Option<Response> {
    let message = Message::read(&mut BufReader::new(stream))?;
    let status = message.start_line.split(' ').nth(1)?.parse().ok()?;
    Some(Response {
        status,
        body: String::from_utf8(message.body).ok()?,
    })
}

/// Sends bytes on a new connection and reads the response; `None` if the connection is closed first.
///
/// # Panics
/// Panics if the connection can't be established.
pub fn exchange(node: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut stream = connect(node);
    let _ = stream.write_all(bytes);
    read_response(&stream)
}

/// Sends a request to the management address and returns the status code of the response.
///
/// # Panics
/// Panics if there is no response.
pub fn call_management(management: SocketAddr, method: &str, path: &str) -> u16 {
    let request = format!("{method} {path} HTTP/1.1\r\nhost: n\r\n\r\n");
    exchange(management, request.as_bytes())
        .expect("the management address responds")
        .status
}

/// Sends an idempotent request on a new connection and reads the response.
///
/// # Panics
/// Panics if there is no response.
pub fn get(node: SocketAddr, id: &str) -> Response {
    exchange(node, read_request(id).as_bytes()).expect("the node responds")
}
